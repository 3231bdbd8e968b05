package org.sesamedeck.routing;

import java.util.Optional;
import org.sesamedeck.routing.locality.LocalitySettings;

/**
 * Settings of a router.
 *
 * @param region region of this process
 * @param subsetSize maximum number of endpoints for one target that this router uses
 * @param minimumPerRegion minimum number of endpoints of the subset in each other region, if it has
 *     as many
 * @param candidates number of endpoints of each role sampled for a decision, at most 8
 * @param regionMicrosPerKilobyte cost of sending a kilobyte to another region, in microseconds
 * @param bytesPerToken bytes of traffic for each prompt or output token
 * @param mismatchFactor fraction of the mismatched phase's time added to the cost of an engine of
 *     the other role
 * @param prefillNanosPerToken initial estimate of an engine's time for a prompt token, in
 *     nanoseconds
 * @param decodeNanosPerToken initial estimate of an engine's token interval, in nanoseconds
 * @param traits capabilities of the engines
 * @param locality cost of leaving the failure domain of this process; empty to disregard failure
 *     domains
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
        EngineTraits traits,
        Optional<LocalitySettings> locality) {
    /** Returns the defaults for a process in the given region. */
    public static RouterSettings defaults(String region) {
        return new RouterSettings(
                region,
                200,
                20,
                3,
                2_000,
                4.0,
                0.5,
                100_000,
                20_000_000,
                EngineTraits.unrestricted(),
                Optional.empty());
    }

    /**
     * Returns these settings with another cost of traffic between regions, in microseconds per
     * kilobyte.
     */
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
                traits,
                locality);
    }

    /**
     * Returns these settings with other initial estimates of engine speed, in nanoseconds per
     * token.
     */
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
                traits,
                locality);
    }

    /**
     * Returns these settings for other engines. With strict roles the mismatch factor is 0, since
     * the learned speeds reflect the cost of a mismatch.
     */
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
                value,
                locality);
    }

    /** Returns these settings with another number of bytes per token. */
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
                traits,
                locality);
    }

    /** Returns these settings with a cost of leaving the failure domain of this process. */
    public RouterSettings withLocality(LocalitySettings value) {
        return new RouterSettings(
                region,
                subsetSize,
                minimumPerRegion,
                candidates,
                regionMicrosPerKilobyte,
                bytesPerToken,
                mismatchFactor,
                prefillNanosPerToken,
                decodeNanosPerToken,
                traits,
                Optional.of(value));
    }
}
