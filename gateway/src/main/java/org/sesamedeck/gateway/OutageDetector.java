package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Tells an outage of the store from calls that it cut off. The store may end a call that waits at
 * any time and serve the next one; objects that it reports as gone then are gone. During an outage,
 * a live object may have expired merely because its owner could not renew it.
 */
final class OutageDetector {
    /** Owners renew their objects about as often as this and have several tries. */
    private static final Duration MAX_TIME_WITHOUT_OUTAGE = Duration.ofSeconds(1);

    private final Clock mClock;
    private Optional<Long> mFailingSinceNanos = Optional.empty();
    private boolean mIsOutage;

    OutageDetector(Clock clock) {
        mClock = clock;
    }

    /** Returns whether the last call failed. */
    boolean isFailing() {
        return mFailingSinceNanos.isPresent();
    }

    /** Returns whether the calls that have failed are an outage. */
    boolean isOutage() {
        return mIsOutage;
    }

    /** Returns the time since the first of the failed calls. */
    Duration failingTime() {
        return Duration.ofNanos(
                mFailingSinceNanos.map(since -> mClock.nanoTime() - since).orElse(0L));
    }

    /**
     * Records that calls have failed since the store was last heard of. Has no effect if the first
     * failure was earlier.
     *
     * @param since time since the store was last heard of
     */
    void begunBefore(Duration since) {
        if (!isFailing() || failingTime().compareTo(since) < 0) {
            mFailingSinceNanos = Optional.of(mClock.nanoTime() - since.toNanos());
        }
    }

    /**
     * Records that a call failed, or that calls have failed until now.
     *
     * @param wasCutOff whether the store ended the call by closing its connection
     * @return whether the failures have become an outage by this one
     */
    boolean failed(boolean wasCutOff) {
        if (!isFailing()) {
            mFailingSinceNanos = Optional.of(mClock.nanoTime());
        }
        boolean wasOutage = mIsOutage;
        mIsOutage |= !wasCutOff || failingTime().compareTo(MAX_TIME_WITHOUT_OUTAGE) >= 0;
        return mIsOutage && !wasOutage;
    }

    /** Records that a call was answered; returns whether the failures before it were an outage. */
    boolean succeeded() {
        boolean wasOutage = mIsOutage;
        mFailingSinceNanos = Optional.empty();
        mIsOutage = false;
        return wasOutage;
    }
}
