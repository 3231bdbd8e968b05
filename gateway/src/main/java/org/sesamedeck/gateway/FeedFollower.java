package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.Timers;

/**
 * Keeps a listener up to date with a feed: lists it once, watches it from there, and lists again
 * when the store has lost its history. After a failure it tries again from the same revision, so a
 * change that happened meanwhile is not missed. Confined to one thread.
 *
 * @param <T> what an object says
 */
public final class FeedFollower<T> implements AutoCloseable {
    /**
     * Bounds how long a connection that went silent hides changes; a configuration must be in force
     * within 2.5 s of its acceptance once a disturbance is 4 s past.
     */
    static final Duration PROMPT = Duration.ofMillis(3_000);

    /** For changes that may come late; each watch is a call that the store charges. */
    static final Duration LEISURELY = Duration.ofMillis(20_000);

    private static final Duration FIRST_PAUSE = Duration.ofMillis(120);
    private static final Duration MAX_PAUSE = Duration.ofMillis(900);

    private final Feed<T> mFeed;
    private final Clock mClock;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final Listener<T> mListener;
    private final Duration mWait;
    private final SplittableRandom mRandom;
    private Duration mPause = FIRST_PAUSE;
    private Optional<Long> mFailingSinceNanos = Optional.empty();
    private boolean mIsClosed;

    /** Receives what the store says. */
    public interface Listener<T> {
        /** All objects, after which only changes follow. */
        void listed(List<Feed.Item<T>> items);

        /** Objects that changed, in order. */
        void changed(List<Feed.Item<T>> items);

        /** The store failed; what is known may be old from now on. */
        void lost();

        /** The store answers again after a failure. */
        void regained();
    }

    private FeedFollower(
            Feed<T> feed,
            Clock clock,
            Timers timers,
            DecisionLog log,
            Listener<T> listener,
            Duration wait,
            long seed) {
        mFeed = feed;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mListener = listener;
        mWait = wait;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns a follower that does nothing yet.
     *
     * @param wait longest time that one call waits for a change
     * @param seed spreads the retries of different processes
     */
    public static <T> FeedFollower<T> create(
            Feed<T> feed,
            Clock clock,
            Timers timers,
            DecisionLog log,
            Listener<T> listener,
            Duration wait,
            long seed) {
        return new FeedFollower<>(feed, clock, timers, log, listener, wait, seed);
    }

    /** Begins to follow. */
    public void start() {
        list(Optional.empty(), new ArrayList<>());
    }

    private void list(Optional<String> after, List<Feed.Item<T>> collected) {
        if (mIsClosed) {
            return;
        }
        mFeed.list(after)
                .whenComplete(
                        (page, failure) -> {
                            if (failure != null) {
                                failed(failure, this::start);
                                return;
                            }
                            collected.addAll(page.items());
                            if (page.isTruncated() && !page.items().isEmpty()) {
                                String last = page.items().get(page.items().size() - 1).name();
                                list(Optional.of(last), collected);
                                return;
                            }
                            succeeded();
                            mListener.listed(collected);
                            watch(page.revision());
                        });
    }

    private void watch(long revision) {
        if (mIsClosed) {
            return;
        }
        mFeed.watch(revision, mWait)
                .whenComplete(
                        (changes, failure) -> {
                            if (failure != null) {
                                failed(failure, () -> watch(revision));
                                return;
                            }
                            succeeded();
                            if (changes.isHistoryLost()) {
                                start();
                                return;
                            }
                            if (!changes.items().isEmpty()) {
                                mListener.changed(changes.items());
                            }
                            watch(changes.revision());
                        });
    }

    private void failed(Throwable failure, Runnable retry) {
        if (mIsClosed) {
            return;
        }
        if (mFailingSinceNanos.isEmpty()) {
            mFailingSinceNanos = Optional.of(mClock.nanoTime());
            SesamedeckException coded = SesamedeckException.from(failure);
            mLog.record(
                    LogEntry.of(Decision.DEPENDENCY_LOST, mClock.nanoTime())
                            .with("dependency", "store/" + mFeed.name())
                            .with("code", coded.code().number())
                            .with("cause", String.valueOf(coded.getMessage())));
            mListener.lost();
        }
        long jitter = mRandom.nextLong(mPause.toNanos() / 2);
        mTimers.schedule(mPause.plusNanos(jitter), retry);
        mPause =
                mPause.multipliedBy(2).compareTo(MAX_PAUSE) > 0
                        ? MAX_PAUSE
                        : mPause.multipliedBy(2);
    }

    private void succeeded() {
        mPause = FIRST_PAUSE;
        if (mFailingSinceNanos.isPresent()) {
            long failing = mClock.nanoTime() - mFailingSinceNanos.get();
            mFailingSinceNanos = Optional.empty();
            mLog.record(
                    LogEntry.of(Decision.DEPENDENCY_REGAINED, mClock.nanoTime())
                            .with("dependency", "store/" + mFeed.name())
                            .with("afterMillis", failing / 1_000_000));
            mListener.regained();
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
    }
}
