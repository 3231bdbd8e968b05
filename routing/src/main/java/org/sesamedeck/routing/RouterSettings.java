package org.sesamedeck.routing;

/**
 * Settings of a router.
 *
 * @param region region of this process
 * @param subsetSize most endpoints for one target that this router uses
 * @param minimumPerRegion endpoints of the subset in each other region, where there are as many
 * @param candidates candidates sampled from each role for a decision
 * @param regionMicrosPerKilobyte cost of sending a kilobyte to another region, in microseconds
 * @param bytesPerToken bytes that a prompt token or an output token stands for
 * @param mismatchFactor part of the mismatched phase's time added when an engine of the other role
 *     is chosen
 * @param prefillNanosPerToken first guess of an engine's time for a prompt token, in nanoseconds
 * @param decodeNanosPerToken first guess of an engine's time between tokens, in nanoseconds
 * @param traits what the engines can do
 */
public record RouterSettings(
        String region,
        int subsetSize,
        int minimumPerRegion,
        int candidates,
        double regionMicrosPerKilobyte,
        double bytesPerToken,
        double mismatchFactor,
        double prefillNanosPerToken,
        double decodeNanosPerToken,
        EngineTraits traits) {
    /** Returns the defaults for a process in the given region. */
    public static RouterSettings defaults(String region) {
        return new RouterSettings(
                region, 200, 20, 3, 2_000, 4.0, 0.5, 100_000, 20_000_000, EngineTraits.plain());
    }

    /** Returns these settings with another region cost, in microseconds per kilobyte. */
    public RouterSettings withRegionMicrosPerKilobyte(double value) {
        return new RouterSettings(
                region,
                subsetSize,
                minimumPerRegion,
                candidates,
                value,
                bytesPerToken,
                mismatchFactor,
                prefillNanosPerToken,
                decodeNanosPerToken,
                traits);
    }

    /** Returns these settings with other first guesses of engine speed, in nanoseconds. */
    public RouterSettings withSpeed(double prefillNanos, double decodeNanos) {
        return new RouterSettings(
                region,
                subsetSize,
                minimumPerRegion,
                candidates,
                regionMicrosPerKilobyte,
                bytesPerToken,
                mismatchFactor,
                prefillNanos,
                decodeNanos,
                traits);
    }

    /** Returns these settings for other engines; learned speeds tell what a mismatch costs. */
    public RouterSettings withTraits(EngineTraits value) {
        return new RouterSettings(
                region,
                subsetSize,
                minimumPerRegion,
                candidates,
                regionMicrosPerKilobyte,
                bytesPerToken,
                value.rolesAreStrict() ? 0 : mismatchFactor,
                prefillNanosPerToken,
                decodeNanosPerToken,
                value);
    }

    /** Returns these settings with another number of bytes that a token stands for. */
    public RouterSettings withBytesPerToken(double value) {
        return new RouterSettings(
                region,
                subsetSize,
                minimumPerRegion,
                candidates,
                regionMicrosPerKilobyte,
                value,
                mismatchFactor,
                prefillNanosPerToken,
                decodeNanosPerToken,
                traits);
    }
}
