package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HashMixer;
import org.sesamedeck.routing.locality.DomainOutflow;
import org.sesamedeck.routing.locality.DomainOutflows;
import org.sesamedeck.routing.locality.DomainPressure;
import org.sesamedeck.routing.locality.HostLocation;
import org.sesamedeck.routing.locality.LocalitySettings;
import org.sesamedeck.routing.locality.ServiceRole;

/**
 * Restricts a routing decision to the failure domains in which the request may run. It does so only
 * where a region has several failure domains and the loads of the other processes are known;
 * otherwise all endpoints are compared.
 */
final class LocalityRule {
    private static final Set<String> ALL_DOMAINS = Set.of();

    /** About the age of the loads of other processes; an endpoint gets as much work meanwhile. */
    private static final double SPREAD_NANOS = Duration.ofMillis(600).toNanos();

    private final Optional<LocalitySettings> mSettings;
    private final Optional<DomainOutflows> mOutflows;
    private final long mSalt;

    private LocalityRule(
            Optional<LocalitySettings> settings, Optional<DomainOutflows> outflows, long salt) {
        mSettings = settings;
        mOutflows = outflows;
        mSalt = salt;
    }

    /**
     * Returns the rule of a process.
     *
     * @param salt differs between processes, which then let different requests of equal deadlines
     *     leave
     */
    static LocalityRule of(Clock clock, RouterSettings settings, long salt) {
        return new LocalityRule(
                settings.locality(),
                settings.locality().map(locality -> DomainOutflows.create(clock, locality)),
                salt);
    }

    /** Returns the outflows; empty where the settings state no locality. */
    Optional<DomainOutflows> outflows() {
        return mOutflows;
    }

    /** Returns the costs of leaving the domain; empty where a region has a single domain. */
    Optional<LocalitySettings> settings(EndpointTable table) {
        return table.hasSeveralDomainsInRegion() ? mSettings : Optional.empty();
    }

    /** Has the choice consider the endpoints among which the request may run. */
    void consider(
            EndpointChoice choice,
            EndpointTable table,
            RequestProfile profile,
            RequestPhase phase,
            boolean isRepeated,
            Runnable considerRoles) {
        Optional<LocalitySettings> settings = settings(table);
        if (settings.isEmpty()) {
            considerRoles.run();
        } else if (phase == RequestPhase.DECODE && profile.cacheLocation().isPresent()) {
            considerNearCache(choice, profile.cacheLocation().get(), considerRoles);
        } else {
            considerOutflow(choice, table, profile, phase, isRepeated, considerRoles);
        }
    }

    /** The sample in the domain of the KV cache is additional to the one among all endpoints. */
    private static void considerNearCache(
            EndpointChoice choice, HostLocation cache, Runnable considerRoles) {
        choice.compareApart(Set.of(cache.failureDomain()));
        choice.restrictTo(Set.of(cache.failureDomain()));
        considerRoles.run();
        choice.restrictTo(ALL_DOMAINS);
        considerRoles.run();
    }

    private void considerOutflow(
            EndpointChoice choice,
            EndpointTable table,
            RequestProfile profile,
            RequestPhase phase,
            boolean isRepeated,
            Runnable considerRoles) {
        Optional<DomainOutflow> outflow =
                mOutflows.get().current(key(table.poolOf(profile.target()), profile, phase));
        if (outflow.isEmpty() || isRepeated) {
            considerRoles.run();
            return;
        }
        choice.compareApart(outflow.get().home());
        if (phase == RequestPhase.PREFILL) {
            // Plain endpoints and batches report their load with each response instead.
            choice.spread(SPREAD_NANOS, uniformBits(profile));
        }
        if (!outflow.get().home().isEmpty()) {
            choice.restrictTo(outflow.get().home());
            considerRoles.run();
        }
        if (outflow.get().permits(uniform(profile))) {
            choice.restrictTo(outflow.get().domains());
            considerRoles.run();
        }
        choice.restrictTo(ALL_DOMAINS);
        if (choice.isEmpty()) {
            considerRoles.run();
        }
    }

    private static ServiceRole key(String service, RequestProfile profile, RequestPhase phase) {
        EndpointRole role = EndpointRole.MIXED;
        if (profile.isModelRequest()) {
            role = phase == RequestPhase.PREFILL ? EndpointRole.PREFILL : EndpointRole.DECODE;
        }
        return new ServiceRole(service, role);
    }

    /** Returns the same number for all decisions about a request, uniform from 0 to 1. */
    private double uniform(RequestProfile profile) {
        return HashFraction.of(uniformBits(profile));
    }

    private long uniformBits(RequestProfile profile) {
        long hash = HashMixer.mix(mSalt ^ profile.deadlineNanos());
        hash = HashMixer.mix(hash ^ profile.promptTokens());
        long[] prefixes = profile.prefixHashes();
        if (prefixes.length > 0) {
            hash = HashMixer.mix(hash ^ prefixes[prefixes.length - 1]);
        }
        return hash;
    }

    /** Derives the outflows from the present loads of the endpoints. */
    void update(EndpointTable table) {
        if (settings(table).isPresent()) {
            mOutflows.get().update(pressures(table));
        }
    }

    private static Map<ServiceRole, List<DomainPressure>> pressures(EndpointTable table) {
        Map<ServiceRole, Map<HostLocation, Wait>> waits = new HashMap<>();
        for (EndpointState state : table.states().values()) {
            EndpointDescription description = state.description();
            for (ServiceRole key : keys(description)) {
                Wait wait =
                        waits.computeIfAbsent(key, any -> new HashMap<>())
                                .computeIfAbsent(description.location(), any -> new Wait());
                if (state.isUsable()) {
                    wait.add(state);
                }
            }
        }
        Map<ServiceRole, List<DomainPressure>> pressures = new HashMap<>();
        waits.forEach((key, domains) -> pressures.put(key, pressures(domains)));
        return pressures;
    }

    private static List<DomainPressure> pressures(Map<HostLocation, Wait> waits) {
        List<DomainPressure> pressures = new ArrayList<>();
        waits.forEach((location, wait) -> pressures.add(wait.pressure(location)));
        return pressures;
    }

    /** An engine of mixed role serves both phases. */
    private static List<ServiceRole> keys(EndpointDescription description) {
        EndpointRole role = description.role();
        if (!description.isEngine() || role != EndpointRole.MIXED) {
            return List.of(new ServiceRole(description.service(), role));
        }
        return List.of(
                new ServiceRole(description.service(), EndpointRole.PREFILL),
                new ServiceRole(description.service(), EndpointRole.DECODE));
    }

    /** Sums over the usable endpoints of a domain. */
    private static final class Wait {
        private int mEndpoints;
        private double mWaitNanos;
        private double mWorkNanos;
        private double mBusy;

        private void add(EndpointState state) {
            mEndpoints++;
            mWaitNanos += state.knownWaitNanos();
            mWorkNanos += state.workNanos();
            mBusy += state.busyFraction();
        }

        private DomainPressure pressure(HostLocation location) {
            double endpoints = Math.max(1, mEndpoints);
            return new DomainPressure(
                    location,
                    mEndpoints,
                    mWaitNanos / endpoints,
                    mWorkNanos / endpoints,
                    mBusy / endpoints);
        }
    }
}
