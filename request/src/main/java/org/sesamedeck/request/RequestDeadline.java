package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/** The time that one request has: until the route's timeout or the client timeout, if earlier. */
final class RequestDeadline {
    /** With less remaining time than this an endpoint could not respond, so nothing is sent. */
    private static final Duration MIN_REMAINING_TIME = Duration.ofMillis(20);

    private static final Duration TIMEOUT_WITHOUT_ROUTE = Duration.ofSeconds(1);

    private final Clock mClock;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;

    private RequestDeadline(Clock clock, Duration time) {
        mClock = clock;
        mArrivedNanos = clock.nanoTime();
        mDeadlineNanos = mArrivedNanos + time.toNanos();
    }

    /** Returns the deadline of a request that arrives now. */
    static RequestDeadline of(Clock clock, CallerRequest request, Optional<Route> route) {
        Duration timeout = route.map(Route::timeout).orElse(TIMEOUT_WITHOUT_ROUTE);
        Duration clientTimeout = request.clientTimeout().orElse(timeout);
        Duration time = clientTimeout.compareTo(timeout) < 0 ? clientTimeout : timeout;
        return new RequestDeadline(clock, time.isNegative() ? Duration.ZERO : time);
    }

    /** Returns the time since the arrival, in nanoseconds. */
    long elapsedNanos() {
        return mClock.nanoTime() - mArrivedNanos;
    }

    /** Returns the time from the arrival to another moment of the clock, in nanoseconds. */
    long sinceArrival(long atNanos) {
        return atNanos - mArrivedNanos;
    }

    /** Returns the remaining time, in nanoseconds. */
    long remainingNanos() {
        return mDeadlineNanos - mClock.nanoTime();
    }

    /** Returns whether an endpoint could still respond in time. */
    boolean allowsSending() {
        return remainingNanos() >= MIN_REMAINING_TIME.toNanos();
    }
}
