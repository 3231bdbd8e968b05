package org.sesamedeck.endpoint.command;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.lease.Lease;

/**
 * Decides when a command that differs from earlier ones may be sent to an engine that ignores
 * fencing numbers.
 *
 * <p>A former holder may be paused after its lease check and send its last command whenever it
 * resumes. The arrival is bounded by the connection: it was opened before the check, and the engine
 * closes it if no complete command arrives within the connection limit. The last check of the
 * former holder passed before the lease duration ended. That duration starts before its last write
 * was sent, and therefore before this process first saw the version of that write. Its command
 * therefore arrives no later than lease duration + connection limit after the version was first
 * seen; the margin covers the difference in clock rates and the time until the engine accepts a
 * connection. The connection limit and margin also bound an attempt of this process whose response
 * was lost.
 *
 * <p>Several unsettled former holders do not require a longer wait than the last one, because each
 * takeover happens at least one lease duration after the last write of the previous holder.
 */
final class TakeoverRule {
    private final Lease mLease;
    private final Clock mClock;
    private final CommandSettings mSettings;

    private TakeoverRule(Lease lease, Clock clock, CommandSettings settings) {
        mLease = lease;
        mClock = clock;
        mSettings = settings;
    }

    static TakeoverRule of(Lease lease, Clock clock, CommandSettings settings) {
        return new TakeoverRule(lease, clock, settings);
    }

    /**
     * Returns how long to wait before sending a different command; empty if no wait is sufficient,
     * because the former holders must first be settled.
     */
    Optional<Duration> waitBeforeCommand(EngineExecutionState executionState) {
        long ownArrivalNanos = executionState.remainingArrivalNanos(mClock.nanoTime());
        if (mLease.unsettled().isEmpty()) {
            return Optional.of(Duration.ofNanos(ownArrivalNanos));
        }
        if (mSettings.unfencedTakeover() == UnfencedTakeover.RELEASE_ONLY) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(Math.max(ownArrivalNanos, formerHolderArrivalNanos())));
    }

    /** Returns for how many nanoseconds a command of a former holder may still arrive. */
    long formerHolderArrivalNanos() {
        long latestArrivalNanos =
                mLease.formerHolder().lastSeenNanos()
                        + mSettings.leaseDuration().toNanos()
                        + mSettings.connectionLimit().toNanos()
                        + mSettings.connectionMargin().toNanos();
        return Math.max(0, latestArrivalNanos - mClock.nanoTime());
    }

    /**
     * Returns the latest monotonic time, in nanoseconds, at which a command that is sent over a
     * connection that is already open may arrive.
     */
    long latestArrivalNanos() {
        return mClock.nanoTime()
                + mSettings.connectionLimit().toNanos()
                + mSettings.connectionMargin().toNanos();
    }
}
