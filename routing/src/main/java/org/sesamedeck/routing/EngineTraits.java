package org.sesamedeck.routing;

/**
 * Capabilities of the engines of a deployment and their behaviour under load.
 *
 * @param rolesAreStrict whether engines with the prefill role reject whole requests and decode
 *     engines reject the prefill phase; otherwise every engine serves every phase
 * @param fetchesCaches whether an engine can fetch a prompt's KV cache from another one
 * @param batchScale number of responses in progress at which the token interval is twice that of an
 *     idle engine
 * @param tokenIntervalLimitNanos longest token interval at which an engine is assigned another
 *     response, in nanoseconds; 0 for no limit
 */
public record EngineTraits(
        boolean rolesAreStrict,
        boolean fetchesCaches,
        double batchScale,
        double tokenIntervalLimitNanos) {
    private static final double DEFAULT_BATCH_SCALE = 64;

    /** Returns the traits of engines that serve every phase, without a token interval limit. */
    public static EngineTraits unrestricted() {
        return new EngineTraits(false, false, DEFAULT_BATCH_SCALE, 0);
    }
}
