package org.sesamedeck.gateway;

import java.time.Duration;

/**
 * How often a process asks the store for the changes of one kind of objects. Each call of each
 * process is a load on the store, so a call waits for as long as the freshness of the objects
 * allows, and changes that come in series are read together.
 *
 * @param timeout maximum duration of one watch call
 * @param pause time between a change and the next watch call
 * @param maxBackoff longest time between a failed call and the next one, without jitter
 */
public record WatchPace(Duration timeout, Duration pause, Duration maxBackoff) {
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(900);
    private static final Duration SHORTEST_BACKOFF = Duration.ofMillis(120);

    /** For objects whose changes need not be known for many seconds. */
    static final WatchPace SLOW =
            new WatchPace(Duration.ofSeconds(25), Duration.ofSeconds(3), LONGEST_BACKOFF);

    /**
     * Time from the end of the wait of a watch call, which met a broken connection, to the response
     * of the call that follows it.
     */
    private static final Duration RECOVERY_MARGIN = Duration.ofMillis(1_100);

    /** Time-out of a call that a returning store did not receive, and the response to the next. */
    private static final Duration RETRY_TIME = Duration.ofMillis(1_100);

    /** Largest backoff with its jitter, relative to the backoff. */
    private static final double JITTERED_BACKOFF = 1.5;

    /** A store answers a waiting watch at least this often, whatever the bounds. */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1_000);

    private static final Duration MAX_TIMEOUT = Duration.ofSeconds(25);

    /** Endpoints are replaced one after the other, each with several changes. */
    private static final double PAUSE_FRACTION = 0.1;

    /**
     * Returns the pace for objects whose changes must be in force within a bound.
     *
     * <p>A connection that breaks silently hides all changes until the watch call on it times out,
     * as does a store that turned only this process away. Other processes may have read a change by
     * then, so that its bound is over at the end of the settling time. The pause, the watch call
     * and the call that follows it have to fit into the settling time.
     *
     * <p>After an outage a lost call, a backoff and the call that follows have to fit into it, too,
     * together with the time for which an endpoint that is not listed any more stays in use.
     *
     * @param settlingTime time after a fault of a connection within which no bound holds
     * @param bound time from the acknowledgement of a change until it must be in force
     */
    static WatchPace within(Duration settlingTime, Duration bound) {
        Duration pause = Duration.ofNanos((long) (bound.toNanos() * PAUSE_FRACTION));
        Duration timeout = settlingTime.minus(pause).minus(RECOVERY_MARGIN);
        if (timeout.compareTo(MIN_TIMEOUT) < 0) {
            timeout = MIN_TIMEOUT;
        } else if (timeout.compareTo(MAX_TIMEOUT) > 0) {
            timeout = MAX_TIMEOUT;
        }
        return new WatchPace(timeout, pause, maxBackoff(settlingTime));
    }

    private static Duration maxBackoff(Duration settlingTime) {
        Duration left = settlingTime.minus(EndpointDirectory.REREGISTRATION_TIME).minus(RETRY_TIME);
        Duration backoff = Duration.ofNanos((long) (left.toNanos() / JITTERED_BACKOFF));
        if (backoff.compareTo(SHORTEST_BACKOFF) < 0) {
            return SHORTEST_BACKOFF;
        }
        return backoff.compareTo(LONGEST_BACKOFF) > 0 ? LONGEST_BACKOFF : backoff;
    }
}
