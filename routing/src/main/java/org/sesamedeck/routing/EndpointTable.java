package org.sesamedeck.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Snapshot of the endpoints of the subset, by name, target and pool. Immutable. */
final class EndpointTable {
    private static final Candidates NO_CANDIDATES = Candidates.of(List.of());

    private final Map<String, EndpointState> mByName;
    private final Map<String, Candidates> mByTarget;
    private final Map<String, String> mPoolByTarget;
    private final Map<String, Candidates> mByPool;
    private final List<EndpointDescription> mSubset;
    private final boolean mHasSeveralDomainsInRegion;

    private EndpointTable(
            Map<String, EndpointState> byName,
            Map<String, Candidates> byTarget,
            Map<String, String> poolByTarget,
            Map<String, Candidates> byPool,
            List<EndpointDescription> subset,
            boolean hasSeveralDomainsInRegion) {
        mByName = byName;
        mByTarget = byTarget;
        mPoolByTarget = poolByTarget;
        mByPool = byPool;
        mSubset = subset;
        mHasSeveralDomainsInRegion = hasSeveralDomainsInRegion;
    }

    static EndpointTable empty() {
        return new EndpointTable(Map.of(), Map.of(), Map.of(), Map.of(), List.of(), false);
    }

    /** Builds a table; the function must return a state for each endpoint of the subset. */
    static EndpointTable of(
            List<EndpointDescription> endpoints,
            RendezvousSubset subset,
            Function<EndpointDescription, EndpointState> states) {
        Map<String, List<EndpointDescription>> targets = new LinkedHashMap<>();
        Map<String, String> pools = new HashMap<>();
        for (EndpointDescription endpoint : endpoints) {
            if (endpoint.isEngine()) {
                for (String model : endpoint.models()) {
                    targets.computeIfAbsent(model, key -> new ArrayList<>()).add(endpoint);
                    pools.putIfAbsent(model, endpoint.service());
                }
            } else {
                targets.computeIfAbsent(endpoint.service(), key -> new ArrayList<>()).add(endpoint);
                pools.put(endpoint.service(), endpoint.service());
            }
        }
        Map<String, EndpointState> byName = new LinkedHashMap<>();
        Map<String, Candidates> byTarget = new HashMap<>();
        Map<String, Map<String, EndpointState>> byPool = new HashMap<>();
        targets.forEach(
                (target, members) -> {
                    List<EndpointState> chosen = new ArrayList<>();
                    for (EndpointDescription endpoint : subset.choose(members)) {
                        EndpointState state =
                                byName.computeIfAbsent(
                                        endpoint.name(), name -> states.apply(endpoint));
                        chosen.add(state);
                        byPool.computeIfAbsent(pools.get(target), key -> new LinkedHashMap<>())
                                .put(endpoint.name(), state);
                    }
                    byTarget.put(target, Candidates.of(chosen));
                });
        Map<String, Candidates> poolCandidates = new HashMap<>();
        byPool.forEach(
                (pool, members) ->
                        poolCandidates.put(pool, Candidates.of(List.copyOf(members.values()))));
        return new EndpointTable(
                byName,
                byTarget,
                pools,
                poolCandidates,
                byName.values().stream().map(EndpointState::description).toList(),
                hasSeveralDomainsInRegion(endpoints));
    }

    private static boolean hasSeveralDomainsInRegion(List<EndpointDescription> endpoints) {
        Map<String, String> domains = new HashMap<>();
        for (EndpointDescription endpoint : endpoints) {
            String known = domains.putIfAbsent(endpoint.region(), endpoint.failureDomain());
            if (known != null && !known.equals(endpoint.failureDomain())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a region has endpoints in more than one failure domain. */
    boolean hasSeveralDomainsInRegion() {
        return mHasSeveralDomainsInRegion;
    }

    Candidates candidates(String target) {
        return mByTarget.getOrDefault(target, NO_CANDIDATES);
    }

    Candidates pool(String pool) {
        return mByPool.getOrDefault(pool, NO_CANDIDATES);
    }

    String poolOf(String target) {
        return mPoolByTarget.getOrDefault(target, target);
    }

    /** Returns null for an endpoint outside the subset. */
    EndpointState state(String name) {
        return mByName.get(name);
    }

    Map<String, EndpointState> states() {
        return mByName;
    }

    List<EndpointDescription> subset() {
        return mSubset;
    }
}
