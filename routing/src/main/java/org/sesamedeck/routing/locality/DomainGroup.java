package org.sesamedeck.routing.locality;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Failure domains of one region that are weighed together, with the sums and means of their loads.
 * The wait for one of few endpoints is long even under a moderate load, so a region in which a
 * domain has only few is one group. All processes form the same groups.
 *
 * @param domains names of the domains
 * @param region name of their region
 * @param endpoints number of usable endpoints, at least 1
 * @param waitNanos mean expected wait, in nanoseconds
 * @param workNanos mean work of an endpoint, in nanoseconds
 * @param busyFraction fraction of the endpoints' capacity that is in use
 */
record DomainGroup(
        Set<String> domains,
        String region,
        int endpoints,
        double waitNanos,
        double workNanos,
        double busyFraction) {
    /**
     * At a load of 0.7 a request waits for 1.2 service times at one endpoint, and for 0.2 at four
     * that share a queue.
     */
    static final int MIN_ENDPOINTS = 4;

    /** Returns the groups with usable endpoints, sorted by the names of their domains. */
    static List<DomainGroup> of(List<DomainPressure> pressures) {
        Map<String, List<DomainPressure>> regions =
                pressures.stream()
                        .collect(
                                Collectors.groupingBy(
                                        pressure -> pressure.location().region(),
                                        TreeMap::new,
                                        Collectors.toList()));
        List<DomainGroup> groups = new ArrayList<>();
        for (List<DomainPressure> region : regions.values()) {
            boolean isDivided =
                    region.stream().allMatch(domain -> domain.endpoints() >= MIN_ENDPOINTS);
            if (isDivided) {
                region.forEach(domain -> groups.add(merged(List.of(domain))));
            } else {
                groups.add(merged(region));
            }
        }
        return groups.stream().filter(group -> group.endpoints() > 0).toList();
    }

    private static DomainGroup merged(List<DomainPressure> pressures) {
        Set<String> domains = new TreeSet<>();
        int endpoints = 0;
        double wait = 0;
        double work = 0;
        double busy = 0;
        for (DomainPressure pressure : pressures) {
            domains.add(pressure.location().failureDomain());
            endpoints += pressure.endpoints();
            wait += pressure.endpoints() * pressure.waitNanos();
            work += pressure.endpoints() * pressure.workNanos();
            busy += pressure.endpoints() * pressure.busyFraction();
        }
        double count = Math.max(1, endpoints);
        return new DomainGroup(
                Set.copyOf(domains),
                pressures.get(0).location().region(),
                endpoints,
                wait / count,
                work / count,
                busy / count);
    }

    /** Returns the distance of a host to the nearest domain of the group. */
    DomainDistance distanceTo(HostLocation host) {
        if (domains.contains(host.failureDomain())) {
            return DomainDistance.SAME_DOMAIN;
        }
        return region.equals(host.region())
                ? DomainDistance.SAME_REGION
                : DomainDistance.OTHER_REGION;
    }
}
