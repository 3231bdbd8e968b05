package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.Timers;

/**
 * Keeps a listener up to date with a feed: lists it once, then watches it from that revision, and
 * lists it again when the store has lost the history. After a failure it retries from the same
 * revision, so that no change is missed, with short calls until one is answered. While other
 * processes pass changes on in time, it keeps no watch call and takes these over; see {@link
 * WatchSchedule#isToldByOthers}. Confined to one thread.
 *
 * @param <T> type of the decoded objects
 */
public final class FeedFollower<T> implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(60);

    /**
     * Wait of a watch call while the last call has failed. The store may be silent, and a call that
     * is sent to it just before it returns is lost, so its time-out delays the next one.
     */
    private static final Duration RETRY_WAIT = Duration.ofMillis(100);

    /**
     * A call that ends without an answer before this time after its wait was cut off by the store;
     * one that ends later has met a silent store, and its time-out ended it.
     */
    private static final Duration ANSWER_TIME = Duration.ofMillis(400);

    /**
     * A younger watch call is not replaced: its answer may be on the way from a slow store, and
     * calls that replace each other faster than the store answers would never be answered.
     */
    private static final Duration MIN_WATCH_AGE = Duration.ofSeconds(1);

    /** Interval of checks whether the watch call that waits is overdue. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    private final Feed<T> mFeed;
    private final Clock mClock;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final Listener<T> mListener;
    private final WatchSchedule mSchedule;
    private final SplittableRandom mRandom;
    private final OutageDetector mOutage;
    private final Set<String> mNames = new HashSet<>();
    private Duration mBackoff = INITIAL_BACKOFF;
    private long mCalledAtNanos;
    private long mCallNumber;
    private OptionalLong mWatchedRevision = OptionalLong.empty();
    private Duration mWatchWait = Duration.ZERO;
    private OptionalLong mToldRevision = OptionalLong.empty();
    private boolean mWasTold;
    private long mChangedRevision;
    private boolean mIsListed;
    private Duration mListPause = Duration.ZERO;
    private boolean mIsClosed;

    /** Receives the objects of a feed and changes in the availability of the store. */
    public interface Listener<T> {
        /** Receives all objects: at the start, and again after the store has lost the history. */
        void listed(List<Feed.Item<T>> items);

        /** Receives changed objects, in order. */
        void changed(List<Feed.Item<T>> items);

        /** The store became unavailable; known objects may be outdated from now on. */
        void storeUnavailable();

        /** The store is available again after it was unavailable. */
        void storeRecovered();
    }

    private FeedFollower(
            Feed<T> feed,
            Clock clock,
            Timers timers,
            DecisionLog log,
            Listener<T> listener,
            WatchSchedule schedule,
            long seed) {
        mFeed = feed;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mListener = listener;
        mSchedule = schedule;
        mRandom = new SplittableRandom(seed);
        mOutage = new OutageDetector(clock);
    }

    /**
     * Returns a follower that has not started.
     *
     * @param pace duration of watch calls and pause between them
     * @param seed seed of the retry jitter; differs between processes
     */
    public static <T> FeedFollower<T> create(
            Feed<T> feed,
            Clock clock,
            Timers timers,
            DecisionLog log,
            Listener<T> listener,
            WatchPace pace,
            long seed) {
        return create(feed, clock, timers, log, listener, WatchSchedule.alone(pace), seed);
    }

    /**
     * Returns a follower that has not started.
     *
     * @param schedule duration of watch calls, and when one is given up
     * @param seed seed of the retry jitter; differs between processes
     */
    static <T> FeedFollower<T> create(
            Feed<T> feed,
            Clock clock,
            Timers timers,
            DecisionLog log,
            Listener<T> listener,
            WatchSchedule schedule,
            long seed) {
        return new FeedFollower<>(feed, clock, timers, log, listener, schedule, seed);
    }

    /** Starts following the feed. */
    public void start() {
        mSchedule.setFollower(changes -> decode(changes).isPresent(), this::told);
        list();
        mTimers.schedule(CHECK_INTERVAL, this::checkWatch);
    }

    private void list() {
        list(Optional.empty(), new ArrayList<>(), OptionalLong.empty());
    }

    /** Replaces a watch call that may wait on a silent connection; its answer is ignored. */
    private void checkWatch() {
        if (mIsClosed) {
            return;
        }
        boolean isOld = mClock.nanoTime() - mCalledAtNanos >= MIN_WATCH_AGE.toNanos();
        if (mWatchedRevision.isPresent() && isOld && mSchedule.isOverdue(mWatchWait)) {
            mLog.record(
                    entry(Decision.WATCH_REPLACED)
                            .with("revision", mWatchedRevision.getAsLong())
                            .with(
                                    "waitedMillis",
                                    (mClock.nanoTime() - mCalledAtNanos) / NANOS_PER_MILLI));
            watch(mWatchedRevision.getAsLong(), RETRY_WAIT);
        }
        if (mToldRevision.isPresent() && !mSchedule.isToldByOthers()) {
            readTold();
        }
        mTimers.schedule(CHECK_INTERVAL, this::checkWatch);
    }

    /** Reads from the store what other processes have not told. */
    private void readTold() {
        long revision = mToldRevision.orElseThrow();
        mToldRevision = OptionalLong.empty();
        mWasTold = true;
        watch(revision, RETRY_WAIT);
    }

    /**
     * Takes changes over that another process has read, if they continue what is known here, and
     * reads the store otherwise.
     */
    private void told(SharedChanges changes) {
        boolean isNews =
                mToldRevision.isPresent() && changes.revision() > mToldRevision.getAsLong();
        if (mIsClosed || !isNews) {
            return;
        }
        if (changes.baseRevision() > mToldRevision.getAsLong()) {
            readTold();
            return;
        }
        Optional<Feed.Changes<T>> decoded = decode(changes);
        if (decoded.isEmpty()) {
            readTold();
            return;
        }
        List<Feed.Item<T>> items = decoded.get().items();
        mToldRevision = OptionalLong.of(changes.revision());
        mChangedRevision = changes.revision();
        mSchedule.applied(changes.revision());
        updateNames(items);
        deliver(() -> mListener.changed(items));
    }

    /** Returns what was told; empty if it is malformed or does not reach the stated revision. */
    private Optional<Feed.Changes<T>> decode(SharedChanges changes) {
        try {
            return Optional.of(mFeed.decode(changes.source(), changes.revision()))
                    .filter(decoded -> decoded.revision() >= changes.revision())
                    .filter(decoded -> !decoded.items().isEmpty());
        } catch (SesamedeckException malformed) {
            return Optional.empty();
        }
    }

    /**
     * Reads a page of the list.
     *
     * @param firstRevision revision of the first page; objects on it may have changed since, so the
     *     watch begins there
     */
    private void list(
            Optional<String> after, List<Feed.Item<T>> collected, OptionalLong firstRevision) {
        if (mIsClosed) {
            return;
        }
        mCalledAtNanos = mClock.nanoTime();
        mFeed.list(after)
                .whenComplete(
                        (page, failure) -> {
                            if (failure != null) {
                                failed(failure, Duration.ZERO, this::list);
                                return;
                            }
                            collected.addAll(page.items());
                            long revision = firstRevision.orElse(page.revision());
                            Optional<String> last = lastName(page.items());
                            if (page.isTruncated() && last.isPresent()) {
                                list(last, collected, OptionalLong.of(revision));
                                return;
                            }
                            succeeded();
                            boolean isPaged = firstRevision.isPresent();
                            listed(
                                    collected,
                                    revision,
                                    isPaged ? revision : page.changedRevision());
                            watch(revision);
                        });
    }

    /**
     * Records a list. One that is the first, or follows lost history, may show changes that nobody
     * has seen as such. Other processes, to which these can't be passed on, have to read them, too.
     *
     * @param changedRevision revision up to which the listed objects may have changed
     */
    private void listed(List<Feed.Item<T>> items, long revision, long changedRevision) {
        Set<String> names = items.stream().map(Feed.Item::name).collect(Collectors.toSet());
        boolean isUnchanged =
                mIsListed && changedRevision <= mChangedRevision && names.equals(mNames);
        if (!isUnchanged) {
            mChangedRevision = revision;
        }
        if (isUnchanged) {
            mSchedule.confirmed(revision, 0);
        } else {
            mSchedule.listed(revision);
        }
        mIsListed = true;
        mNames.clear();
        mNames.addAll(names);
        deliver(() -> mListener.listed(items));
    }

    private void updateNames(List<Feed.Item<T>> items) {
        for (Feed.Item<T> item : items) {
            if (item.isDeleted()) {
                mNames.remove(item.name());
            } else {
                mNames.add(item.name());
            }
        }
    }

    /** Returns the name after which the next page begins; an entry may have none. */
    private static <T> Optional<String> lastName(List<Feed.Item<T>> items) {
        return items.stream()
                .map(Feed.Item::name)
                .filter(name -> !name.isEmpty())
                .reduce((before, name) -> name);
    }

    private void watch(long revision) {
        if (mIsClosed) {
            return;
        }
        if (!mOutage.isFailing() && mSchedule.isToldByOthers()) {
            mToldRevision = OptionalLong.of(revision);
            return;
        }
        watch(revision, mOutage.isFailing() ? RETRY_WAIT : mSchedule.timeout());
    }

    private void watch(long revision, Duration wait) {
        mCalledAtNanos = mClock.nanoTime();
        mWatchedRevision = OptionalLong.of(revision);
        mWatchWait = wait;
        long call = ++mCallNumber;
        mFeed.watch(revision, wait)
                .whenComplete(
                        (changes, failure) -> {
                            if (call != mCallNumber) {
                                return; // Replaced by a later call from the same revision.
                            }
                            mWatchedRevision = OptionalLong.empty();
                            if (failure != null) {
                                failed(failure, wait, () -> watch(revision));
                                return;
                            }
                            succeeded();
                            if (changes.isHistoryLost()) {
                                historyLost();
                                return;
                            }
                            mListPause = Duration.ZERO;
                            mSchedule.confirmed(changes.revision(), changes.changedRevision());
                            if (changes.items().isEmpty()) {
                                watch(changes.revision());
                                return;
                            }
                            changed(changes);
                        });
    }

    /**
     * Lists the objects again. A list that may be stale can be older than the history of the store,
     * and the next one, too, so that pauses between lists grow until a watch is answered.
     */
    private void historyLost() {
        Duration pause = mListPause;
        Duration doubled = pause.isZero() ? INITIAL_BACKOFF : pause.multipliedBy(2);
        Duration longest = mSchedule.pace().maxBackoff();
        mListPause = doubled.compareTo(longest) > 0 ? longest : doubled;
        if (pause.isZero()) {
            list();
        } else {
            mTimers.schedule(pause, this::list);
        }
    }

    private void changed(Feed.Changes<T> changes) {
        long base = mChangedRevision;
        mChangedRevision = changes.changedRevision();
        updateNames(changes.items());
        deliver(() -> mListener.changed(changes.items()));
        mSchedule.share(base, changes.changedRevision(), changes.source());
        if (mSchedule.isToldByOthers()) {
            watch(changes.revision());
        } else {
            mTimers.schedule(mSchedule.pace().pause(), () -> watch(changes.revision()));
        }
    }

    /** Passes objects to the listener, whose failure must not end the following of the feed. */
    private void deliver(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException failure) {
            mLog.record(entry(Decision.UNEXPECTED_ERROR).with("cause", String.valueOf(failure)));
        }
    }

    /**
     * Calls again after a while.
     *
     * @param wait time for which the store may keep the call waiting
     */
    private void failed(Throwable failure, Duration wait, Runnable retry) {
        if (mIsClosed) {
            return;
        }
        SesamedeckException exception = SesamedeckException.from(failure);
        boolean isFirst = !mOutage.isFailing();
        Duration callTime = Duration.ofNanos(mClock.nanoTime() - mCalledAtNanos);
        boolean wasCutOff =
                exception.code() == ResultCode.STORE_OUTCOME_UNKNOWN
                        && callTime.compareTo(wait.plus(ANSWER_TIME)) < 0;
        if (mWasTold && !(isFirst && wasCutOff)) {
            // Without calls of its own, this process has not noticed when the failures began. One
            // call that is cut off shows no outage, however long ago the last confirmation is.
            mOutage.begunBefore(mSchedule.timeSinceConfirmation());
        }
        if (mOutage.failed(wasCutOff)) {
            mListener.storeUnavailable();
        }
        if (isFirst) {
            mLog.record(
                    entry(Decision.DEPENDENCY_LOST)
                            .with("code", exception.code().number())
                            .with("cutOff", wasCutOff)
                            .with("cause", String.valueOf(exception.getMessage())));
        }
        long jitter = mRandom.nextLong(mBackoff.toNanos() / 2);
        mTimers.schedule(mBackoff.plusNanos(jitter), retry);
        if (mOutage.isOutage()) {
            Duration doubled = mBackoff.multipliedBy(2);
            Duration longest = mSchedule.pace().maxBackoff();
            mBackoff = doubled.compareTo(longest) > 0 ? longest : doubled;
        }
    }

    private void succeeded() {
        mBackoff = INITIAL_BACKOFF;
        mWasTold = false;
        if (!mOutage.isFailing()) {
            return;
        }
        Duration failingTime = mOutage.failingTime();
        if (mOutage.failed(true)) {
            mListener.storeUnavailable();
        }
        boolean wasOutage = mOutage.succeeded();
        mLog.record(
                entry(Decision.DEPENDENCY_REGAINED)
                        .with("wasOutage", wasOutage)
                        .with("afterMillis", failingTime.toMillis()));
        if (wasOutage) {
            mListener.storeRecovered();
        }
    }

    private LogEntry entry(Decision decision) {
        return LogEntry.of(decision, mClock.nanoTime()).with("dependency", "store/" + mFeed.kind());
    }

    @Override
    public void close() {
        mIsClosed = true;
    }
}
