package org.sesamedeck.endpoint.command;

import java.time.Duration;

/**
 * Settings of the command executor.
 *
 * @param unfencedTakeover takeover rule for engines that ignore fencing numbers
 * @param connectionLimit time after which an engine closes a connection on which no complete
 *     command arrived
 * @param connectionMargin safety margin that is added to the connection limit
 * @param leaseDuration duration of the group lease, as in the settings of the lease manager
 * @param confirmationInterval time between two reads of the state of an engine that is executing a
 *     command, and first retry delay
 */
public record CommandSettings(
        UnfencedTakeover unfencedTakeover,
        Duration connectionLimit,
        Duration connectionMargin,
        Duration leaseDuration,
        Duration confirmationInterval) {
    /**
     * Returns settings with a margin of 1 s, a lease of 9 s and a confirmation interval of 200 ms.
     */
    public static CommandSettings of(UnfencedTakeover takeover, Duration connectionLimit) {
        return new CommandSettings(
                takeover,
                connectionLimit,
                Duration.ofSeconds(1),
                Duration.ofSeconds(9),
                Duration.ofMillis(200));
    }
}
