package org.sesamedeck.routing;

/**
 * Number of engines of each role.
 *
 * @param prefill prefill engines
 * @param decode decode engines
 * @param mixed mixed engines
 */
record RoleCounts(int prefill, int decode, int mixed) {
    private static final int SEARCH_STEPS = 24;
    private static final double MAX_FACTOR = 4;

    RoleCounts plus(EndpointRole role, int count) {
        return switch (role) {
            case PREFILL -> new RoleCounts(prefill + count, decode, mixed);
            case DECODE -> new RoleCounts(prefill, decode + count, mixed);
            case MIXED -> new RoleCounts(prefill, decode, mixed + count);
        };
    }

    /**
     * Returns the factor, at most 4, by which the demand could grow until these engines are
     * saturated.
     *
     * @param prefillEngines demand for prefill, in engines
     * @param decodeEngines demand for decode, in engines
     */
    double headroom(double prefillEngines, double decodeEngines, double mixedEfficiency) {
        double low = 0;
        double high = MAX_FACTOR;
        double mixedCapacity = mixedEfficiency * mixed;
        for (int i = 0; i < SEARCH_STEPS; i++) {
            double factor = (low + high) / 2;
            double shortfall =
                    Math.max(0, factor * prefillEngines - prefill)
                            + Math.max(0, factor * decodeEngines - decode);
            if (shortfall <= mixedCapacity) {
                low = factor;
            } else {
                high = factor;
            }
        }
        return low;
    }
}
