package org.sesamedeck.routing.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;

/** The servers of one service that accept work, by pool and by role. Immutable. */
public final class ServerCounts {
    private final Map<ServerPool, Integer> mServing;
    private final Map<EndpointRole, Integer> mRoles;

    private ServerCounts(Map<ServerPool, Integer> serving, Map<EndpointRole, Integer> roles) {
        mServing = serving;
        mRoles = roles;
    }

    /** Counts the endpoints of a service that are not leaving. */
    public static ServerCounts of(Collection<EndpointDescription> endpoints, String service) {
        Map<ServerPool, Integer> serving = new HashMap<>();
        Map<EndpointRole, Integer> roles = new HashMap<>();
        for (EndpointDescription endpoint : endpoints) {
            if (endpoint.service().equals(service) && !endpoint.isLeaving()) {
                serving.merge(poolOf(endpoint), 1, Integer::sum);
                roles.merge(endpoint.role(), 1, Integer::sum);
            }
        }
        return new ServerCounts(Map.copyOf(serving), Map.copyOf(roles));
    }

    /** Returns the pool of an endpoint. */
    public static ServerPool poolOf(EndpointDescription endpoint) {
        return new ServerPool(endpoint.failureDomain(), endpoint.isReclaimable());
    }

    /** Returns the pools that have servers. */
    public Set<ServerPool> pools() {
        return mServing.keySet();
    }

    /** Returns the number of servers in a pool. */
    public int in(ServerPool pool) {
        return mServing.getOrDefault(pool, 0);
    }

    /** Returns the number of servers of a role. */
    public int of(EndpointRole role) {
        return mRoles.getOrDefault(role, 0);
    }

    /** Returns the number of servers of both kinds in all failure domains. */
    public int total() {
        return mServing.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of servers that may not be reclaimed. */
    public int ordinary() {
        return total() - reclaimable();
    }

    /** Returns the number of servers that may be reclaimed. */
    public int reclaimable() {
        return mServing.entrySet().stream()
                .filter(entry -> entry.getKey().isReclaimable())
                .mapToInt(Map.Entry::getValue)
                .sum();
    }
}
