package org.sesamedeck.routing;

/**
 * What engines of a deployment can do and how they behave under load.
 *
 * @param rolesAreStrict whether engines with the prefill role refuse whole requests and others
 *     refuse the prefill phase; otherwise every engine serves every phase
 * @param fetchesCaches whether an engine can fetch what another one keeps of a prompt
 * @param batchScale answers in progress at which the time between tokens is twice that of an empty
 *     engine
 * @param paceLimitNanos longest time between tokens under which an engine is given another answer,
 *     in nanoseconds; 0 for no limit
 */
public record EngineTraits(
        boolean rolesAreStrict, boolean fetchesCaches, double batchScale, double paceLimitNanos) {
    private static final double DEFAULT_BATCH_SCALE = 64;

    /** Returns engines that serve every phase, without limit. */
    public static EngineTraits plain() {
        return new EngineTraits(false, false, DEFAULT_BATCH_SCALE, 0);
    }
}
