package org.sesamedeck.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.HashMixer;

/**
 * Chooses the endpoints that one router uses. Rendezvous hashing keeps the choice stable: when an
 * endpoint is added or removed, at most one endpoint of the subset changes.
 */
final class RendezvousSubset {
    private final String mRouter;
    private final RouterSettings mSettings;

    private RendezvousSubset(String router, RouterSettings settings) {
        mRouter = router;
        mSettings = settings;
    }

    static RendezvousSubset of(String router, RouterSettings settings) {
        return new RendezvousSubset(router, settings);
    }

    /** Prefers endpoints of the local region, with a minimum from every other region. */
    List<EndpointDescription> choose(List<EndpointDescription> endpoints) {
        if (endpoints.size() <= mSettings.subsetSize()) {
            return endpoints;
        }
        Map<String, List<EndpointDescription>> regions = new LinkedHashMap<>();
        endpoints.stream()
                .sorted(
                        Comparator.comparingLong(this::weight)
                                .reversed()
                                .thenComparing(EndpointDescription::name))
                .forEach(
                        endpoint ->
                                regions.computeIfAbsent(
                                                endpoint.region(), region -> new ArrayList<>())
                                        .add(endpoint));
        List<EndpointDescription> chosen = new ArrayList<>();
        List<EndpointDescription> remaining = new ArrayList<>();
        regions.forEach(
                (region, members) -> {
                    if (!region.equals(mSettings.region())) {
                        int count = Math.min(mSettings.minimumPerRegion(), members.size());
                        chosen.addAll(members.subList(0, count));
                        remaining.addAll(members.subList(count, members.size()));
                    }
                });
        List<EndpointDescription> own = regions.getOrDefault(mSettings.region(), List.of());
        List<EndpointDescription> candidates = new ArrayList<>(own);
        candidates.addAll(remaining);
        for (EndpointDescription endpoint : candidates) {
            if (chosen.size() >= mSettings.subsetSize()) {
                break;
            }
            chosen.add(endpoint);
        }
        return chosen.subList(0, Math.min(chosen.size(), mSettings.subsetSize()));
    }

    /** Rendezvous weight: a mixed FNV-1a hash of both names. */
    private long weight(EndpointDescription endpoint) {
        long hash = 0xcbf29ce484222325L;
        hash = mix(hash, mRouter);
        hash = mix(hash, endpoint.name());
        return HashMixer.mix(hash);
    }

    /** FNV-1a over the characters, with a separator. */
    private static long mix(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ 0xffff) * 0x100000001b3L;
    }
}
