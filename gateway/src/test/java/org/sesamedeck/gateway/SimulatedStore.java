package org.sesamedeck.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ManualScheduler;

/** A store on simulated time, which may be silent, refuse calls and cut off watches that wait. */
final class SimulatedStore<T> implements Feed<T> {
    /** A new connection, a call and its response, between regions. */
    static final Duration RESPONSE_TIME = Duration.ofMillis(60);

    private Duration mResponseTime = RESPONSE_TIME;

    /** Time that a caller gives a response beyond the wait that it asked for. */
    private static final Duration WATCH_MARGIN = Duration.ofMillis(800);

    private static final Duration LIST_TIMEOUT = Duration.ofMillis(1_500);

    private final ManualScheduler mScheduler;
    private final Map<String, T> mObjects = new TreeMap<>();

    /** Empty for changes of another kind, which raise the revision, too. */
    private final List<Optional<Item<T>>> mChanges = new ArrayList<>();

    private final List<Watch> mWatches = new ArrayList<>();
    private boolean mIsSilent;
    private boolean mIsRefusing;
    private boolean mIsNextCutOff;
    private int mCalls;
    private int mFirstRevision;
    private long mChangedRevision;

    /** A watch that waits; a lost one gets no answer. */
    private final class Watch {
        private final long mRevision;
        private final CompletableFuture<Changes<T>> mAnswer = new CompletableFuture<>();
        private boolean mIsLost;

        Watch(long revision) {
            mRevision = revision;
        }

        void answer() {
            List<Item<T>> changes = changesBetween(mRevision, mChanges.size());
            if (!mIsLost && mRevision < mFirstRevision) {
                mWatches.remove(this);
                mAnswer.complete(new Changes<>(List.of(), mRevision, true));
            } else if (!mIsLost) {
                mWatches.remove(this);
                long last = changes.isEmpty() ? 0 : mChangedRevision;
                byte[] source = source(mRevision, mChanges.size());
                mAnswer.complete(new Changes<>(changes, mChanges.size(), false, last, source));
            }
        }

        void answerIfChanged() {
            if (!mIsLost && !changesBetween(mRevision, mChanges.size()).isEmpty()) {
                mScheduler.schedule(mResponseTime, this::answer);
            }
        }

        void fail(ResultCode code) {
            mWatches.remove(this);
            mAnswer.completeExceptionally(SesamedeckException.of(code, "no answer"));
        }
    }

    SimulatedStore(ManualScheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Returns the number of calls so far. */
    int calls() {
        return mCalls;
    }

    void put(String name, T value) {
        mObjects.put(name, value);
        change(new Item<>(name, Optional.of(value), false));
    }

    void remove(String name) {
        mObjects.remove(name);
        change(new Item<>(name, Optional.empty(), true));
    }

    private void change(Item<T> item) {
        mChanges.add(Optional.of(item));
        mChangedRevision = mChanges.size();
        List.copyOf(mWatches).forEach(Watch::answerIfChanged);
    }

    /** Begins or ends an outage in which nothing is answered. */
    void setSilent(boolean isSilent) {
        mIsSilent = isSilent;
        silenceConnections();
    }

    /** Changes an object of another kind. */
    void changeOtherKind() {
        mChanges.add(Optional.empty());
    }

    /** Forgets the changes so far; what has not been answered yet gets no changes. */
    void forgetHistory() {
        mFirstRevision = mChanges.size();
    }

    /** From now on each call is answered after this time. */
    void setResponseTime(Duration time) {
        mResponseTime = time;
    }

    /** Begins or ends an outage in which each call is refused. */
    void setRefusing(boolean isRefusing) {
        mIsRefusing = isRefusing;
        cutOffWatches();
    }

    /** Lets the open connections go silent for good, while new ones work. */
    void silenceConnections() {
        mWatches.forEach(watch -> watch.mIsLost = true);
    }

    /** Lets the connections of some watches that wait go silent for good. */
    void silenceSomeConnections() {
        for (int i = 0; i < mWatches.size(); i += 3) {
            mWatches.get(i).mIsLost = true;
        }
    }

    /** Closes the connections of the watches that wait. */
    void cutOffWatches() {
        List.copyOf(mWatches).forEach(watch -> watch.fail(ResultCode.STORE_OUTCOME_UNKNOWN));
    }

    /** Closes the connection of the next watch as soon as it has been called. */
    void cutOffNextWatch() {
        mIsNextCutOff = true;
    }

    @Override
    public String kind() {
        return "things";
    }

    @Override
    public Changes<T> decode(byte[] source, long revision) {
        ByteBuffer buffer = ByteBuffer.wrap(source);
        long base = buffer.getLong();
        long last = buffer.getLong();
        return new Changes<>(changesBetween(base, last), last, false, revision);
    }

    /** Returns changes in the format of this store. */
    static byte[] source(long base, long revision) {
        return ByteBuffer.allocate(2 * Long.BYTES).putLong(base).putLong(revision).array();
    }

    private List<Item<T>> changesBetween(long base, long revision) {
        return mChanges.subList((int) base, (int) revision).stream()
                .flatMap(Optional::stream)
                .toList();
    }

    @Override
    public CompletableFuture<Page<T>> list(Optional<String> after) {
        mCalls++;
        CompletableFuture<Page<T>> answer = new CompletableFuture<>();
        boolean isLost = mIsSilent;
        mScheduler.schedule(
                isLost ? LIST_TIMEOUT : mResponseTime,
                () -> {
                    if (isLost || mIsRefusing) {
                        answer.completeExceptionally(
                                SesamedeckException.of(
                                        isLost
                                                ? ResultCode.STORE_OUTCOME_UNKNOWN
                                                : ResultCode.STORE_UNAVAILABLE,
                                        "no answer"));
                    } else {
                        answer.complete(page());
                    }
                });
        return answer;
    }

    private Page<T> page() {
        List<Item<T>> items = new ArrayList<>();
        mObjects.forEach((name, value) -> items.add(new Item<>(name, Optional.of(value), false)));
        return new Page<>(items, false, mChanges.size(), mChangedRevision);
    }

    @Override
    public CompletableFuture<Changes<T>> watch(long revision, Duration timeout) {
        mCalls++;
        Watch watch = new Watch(revision);
        watch.mIsLost = mIsSilent;
        mWatches.add(watch);
        if (mIsRefusing) {
            mScheduler.schedule(mResponseTime, () -> watch.fail(ResultCode.STORE_UNAVAILABLE));
            return watch.mAnswer;
        }
        if (mIsNextCutOff) {
            mIsNextCutOff = false;
            mScheduler.schedule(mResponseTime, () -> watch.fail(ResultCode.STORE_OUTCOME_UNKNOWN));
            return watch.mAnswer;
        }
        watch.answerIfChanged();
        mScheduler.schedule(timeout.plus(mResponseTime), watch::answer);
        mScheduler.schedule(
                timeout.plus(WATCH_MARGIN), () -> watch.fail(ResultCode.STORE_OUTCOME_UNKNOWN));
        return watch.mAnswer;
    }
}
