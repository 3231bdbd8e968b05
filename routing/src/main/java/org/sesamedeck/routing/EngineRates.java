package org.sesamedeck.routing;

/**
 * Throughput of an engine in each role.
 *
 * @param prefillTokensPerSecond prompt tokens per second of a prefill engine
 * @param decodeTokensPerSecond output tokens per second of a decode engine with a full batch
 * @param mixedEfficiency work of a mixed engine on both phases together, as a fraction of what it
 *     would do in one role; mixed batches reduce it
 */
public record EngineRates(
        double prefillTokensPerSecond, double decodeTokensPerSecond, double mixedEfficiency) {
    /** Returns initial estimates, used until measured rates are known. */
    public static EngineRates defaults() {
        return new EngineRates(20_000, 4_500, 0.75);
    }
}
