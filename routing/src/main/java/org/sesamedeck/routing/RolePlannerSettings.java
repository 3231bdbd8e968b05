package org.sesamedeck.routing;

import java.time.Duration;

/**
 * Settings of the role planner.
 *
 * @param roleChangeWeight factor of the cost of a change; 0.2 favours goodput, 1.0 few changes
 * @param maxReportAge older reports are not used
 * @param minimumFreshFraction fraction of the usable engines that must have reported within {@code
 *     maxReportAge}, above 0.5
 * @param minimumDwell minimum time for which an engine keeps a role
 * @param hysteresis fraction by which the gain must exceed the weighted cost
 * @param outOfServiceTime time for which a change takes an engine out of service, including the
 *     drain
 * @param cacheLossCost engine time lost with the engine's prefix cache
 * @param benefitHorizon time over which a gain counts; bounded because mixes change within minutes
 * @param forecastHorizon how far ahead the demand is forecast
 */
public record RolePlannerSettings(
        double roleChangeWeight,
        Duration maxReportAge,
        double minimumFreshFraction,
        Duration minimumDwell,
        double hysteresis,
        Duration outOfServiceTime,
        Duration cacheLossCost,
        Duration benefitHorizon,
        Duration forecastHorizon) {
    /**
     * Returns the defaults for a weight. With a higher weight, roles are kept longer: the minimum
     * dwell time is longer, and so is the time over which a gain counts.
     */
    public static RolePlannerSettings defaults(double roleChangeWeight) {
        return new RolePlannerSettings(
                roleChangeWeight,
                Duration.ofSeconds(5),
                0.75,
                Duration.ofMillis(Math.round(5_000 + 25_000 * roleChangeWeight)),
                0.2,
                Duration.ofSeconds(10),
                Duration.ofSeconds(3),
                Duration.ofMillis(Math.round(20_000 + 25_000 * roleChangeWeight)),
                Duration.ofSeconds(8));
    }
}
