package org.sesamedeck.routing;

/** Sums over the endpoints of a pool. */
final class PoolCapacity {
    private PoolCapacity() {}

    static int usable(Candidates endpoints) {
        int count = 0;
        for (EndpointState endpoint : endpoints.all()) {
            count += endpoint.isUsable() ? 1 : 0;
        }
        return count;
    }

    /** Counts usable endpoints; those of the other role only when there are no others. */
    static int usableExcept(Candidates endpoints, EndpointRole otherRole) {
        int fitting = 0;
        int others = 0;
        for (EndpointState endpoint : endpoints.all()) {
            if (endpoint.isUsable()) {
                if (endpoint.description().role() == otherRole) {
                    others++;
                } else {
                    fitting++;
                }
            }
        }
        return fitting > 0 ? fitting : others;
    }

    /** Returns the mean expected wait of the usable endpoints that take prompts, in nanoseconds. */
    static long expectedWaitNanos(Candidates endpoints) {
        double sum = 0;
        int count = 0;
        for (EndpointState endpoint : endpoints.all()) {
            if (endpoint.isUsable() && endpoint.description().role() != EndpointRole.DECODE) {
                sum += endpoint.expectedWaitNanos(1);
                count++;
            }
        }
        return count == 0 ? 0 : (long) (sum / count);
    }
}
