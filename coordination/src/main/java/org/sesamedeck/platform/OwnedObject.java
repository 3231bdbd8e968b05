package org.sesamedeck.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * An object that this process owns and writes only by conditional updates. Leases and claim shards
 * use it to store their state.
 *
 * <p>Ownership is decided by the store alone: every write names the version it replaces, so a
 * process that was replaced as owner cannot write, however late its writes arrive. At most one
 * write is in flight; changes that are submitted meanwhile share the next one.
 *
 * <p>A write whose response was lost may have taken effect, may never do so, or may do so later,
 * while further writes are in flight. The object therefore stores the owner's token and the number
 * of changes it contains. Changes are numbered in the order of submission and none is ever
 * withdrawn, so every later write contains all earlier ones, and all writes that replace the same
 * version exclude each other. Reading the object back then shows which changes are durable,
 * whichever of the writes took effect.
 *
 * @param <S> type of the state, mutable and confined to the control thread
 */
public final class OwnedObject<S> {
    private static final Logger LOGGER = System.getLogger(OwnedObject.class.getName());
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(50);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private final ObjectStore mStore;
    private final ControlScheduler mScheduler;
    private final Clock mClock;
    private final ObjectKey mKey;
    private final S mState;
    private final OwnedStateCodec<S> mCodec;
    private final OwnedObjectListener mListener;
    private final WriteRateLimit mWriteRateLimit;
    private final Deque<SubmittedChange<S>> mWaiting = new ArrayDeque<>();
    private final Deque<SubmittedChange<S>> mApplied = new ArrayDeque<>();

    private long mVersion;
    private long mAppliedNumber;
    // Whether a write was sent after the last one that is known to be durable.
    private boolean mHasOutstandingWrite;
    private long mFirstOutstandingSentNanos;
    private boolean mIsWriting;
    private boolean mIsWriteRequested;
    private boolean mIsWriteScheduled;
    private Duration mRetryDelay = INITIAL_RETRY_DELAY;
    private boolean mIsEnded;

    private OwnedObject(
            ObjectStore store,
            ControlScheduler scheduler,
            Clock clock,
            StoredVersion stored,
            S state,
            OwnedStateCodec<S> codec,
            OwnedObjectListener listener,
            WriteRateLimit writeRateLimit) {
        mStore = store;
        mScheduler = scheduler;
        mClock = clock;
        mKey = stored.key();
        mVersion = stored.version();
        mState = state;
        mCodec = codec;
        mListener = listener;
        mWriteRateLimit = writeRateLimit;
    }

    /**
     * Returns the object after this process became its owner.
     *
     * @param stored key, and the version that made this process the owner
     * @param state the state stored in that version
     * @param writeRateLimit rate limit of the writes
     */
    public static <S> OwnedObject<S> of(
            ObjectStore store,
            ControlScheduler scheduler,
            Clock clock,
            StoredVersion stored,
            S state,
            OwnedStateCodec<S> codec,
            OwnedObjectListener listener,
            WriteRateLimit writeRateLimit) {
        return new OwnedObject<>(
                store, scheduler, clock, stored, state, codec, listener, writeRateLimit);
    }

    /** Returns the version of the last write that is known to be durable. */
    public long version() {
        return mVersion;
    }

    /** Returns the state; changes that wait for the next write are not part of it yet. */
    public S state() {
        return mState;
    }

    /** Returns the number of changes that are not known to be durable. */
    public int pendingChanges() {
        return mWaiting.size() + mApplied.size();
    }

    /**
     * Submits a change.
     *
     * @return completes with the durable version that contains the change; fails with the reason
     *     given to {@link #end}, or with what the change itself throws
     */
    public CompletableFuture<Long> change(OwnedChange<S> change) {
        SubmittedChange<S> submitted = SubmittedChange.of(change);
        if (mIsEnded) {
            submitted
                    .future()
                    .completeExceptionally(
                            SesamedeckException.of(
                                    ResultCode.LEASE_LOST, mKey + " is no longer owned"));
            return submitted.future();
        }
        mWaiting.add(submitted);
        startWrite();
        return submitted.future();
    }

    /** Writes the object even when nothing changed. */
    public void refresh() {
        mIsWriteRequested = true;
        startWrite();
    }

    /** Stops writing and fails all changes that are not known to be durable. */
    public void end(SesamedeckException reason) {
        if (mIsEnded) {
            return;
        }
        mIsEnded = true;
        Deque<SubmittedChange<S>> failed = new ArrayDeque<>(mApplied);
        failed.addAll(mWaiting);
        mApplied.clear();
        mWaiting.clear();
        failed.forEach(change -> change.future().completeExceptionally(reason));
    }

    private void startWrite() {
        boolean hasWork = !mWaiting.isEmpty() || !mApplied.isEmpty() || mIsWriteRequested;
        if (mIsEnded || mIsWriting || mIsWriteScheduled || !hasWork) {
            return;
        }
        long waitNanos = mWriteRateLimit.waitNanos(mClock.nanoTime());
        if (waitNanos > 0) {
            startWriteAfter(Duration.ofNanos(waitNanos));
            return;
        }
        write();
    }

    private void startWriteAfter(Duration delay) {
        mIsWriteScheduled = true;
        mScheduler.schedule(
                delay,
                () -> {
                    mIsWriteScheduled = false;
                    startWrite();
                });
    }

    private void write() {
        mIsWriting = true;
        mIsWriteRequested = false;
        while (!mWaiting.isEmpty()) {
            applyNext();
        }
        long sentNanos = mClock.nanoTime();
        mWriteRateLimit.recordStart(sentNanos);
        if (!mHasOutstandingWrite) {
            mHasOutstandingWrite = true;
            mFirstOutstandingSentNanos = sentNanos;
        }
        long number = mAppliedNumber;
        mStore.update(mKey, mVersion, mCodec.format(mState, number))
                .whenComplete(
                        (version, failure) ->
                                mScheduler.execute(
                                        () -> {
                                            if (mIsEnded) {
                                                return;
                                            }
                                            if (failure == null) {
                                                confirm(version, number, sentNanos);
                                            } else {
                                                handleFailure(SesamedeckException.from(failure));
                                            }
                                        }));
    }

    private void applyNext() {
        SubmittedChange<S> change = mWaiting.remove();
        try {
            change.change().apply(mState, mVersion);
        } catch (RuntimeException failure) {
            change.future().completeExceptionally(SesamedeckException.from(failure));
            return;
        }
        mAppliedNumber++;
        change.setNumber(mAppliedNumber);
        mApplied.add(change);
    }

    private void confirm(long version, long number, long sentNanos) {
        mVersion = version;
        mHasOutstandingWrite = false;
        mIsWriting = false;
        mRetryDelay = INITIAL_RETRY_DELAY;
        mListener.onWritten(version, sentNanos);
        while (!mApplied.isEmpty() && mApplied.peek().number() <= number) {
            mApplied.remove().future().complete(version);
        }
        startWrite();
    }

    private void handleFailure(SesamedeckException failure) {
        switch (failure.code()) {
            case STORE_OUTCOME_UNKNOWN:
                mListener.onDelayed(failure);
                readBack();
                break;
            case VERSION_CONFLICT:
                readBack();
                break;
            case STORE_UNAVAILABLE:
            case STORE_RATE_LIMITED:
                mListener.onDelayed(failure);
                mIsWriting = false;
                mIsWriteRequested = true;
                startWriteAfter(nextRetryDelay(failure));
                break;
            default:
                loseOwnership(mKey + " cannot be written: " + failure.getMessage());
                break;
        }
    }

    /** Finds out which of the outstanding writes, if any, took effect. */
    private void readBack() {
        mStore.get(mKey)
                .whenComplete(
                        (found, failure) ->
                                mScheduler.execute(
                                        () -> {
                                            if (mIsEnded) {
                                                return;
                                            }
                                            if (failure == null) {
                                                handleReadBack(found);
                                                return;
                                            }
                                            SesamedeckException coded =
                                                    SesamedeckException.from(failure);
                                            mListener.onDelayed(coded);
                                            mScheduler.schedule(
                                                    nextRetryDelay(coded), this::repeatReadBack);
                                        }));
    }

    private void repeatReadBack() {
        if (!mIsEnded) {
            readBack();
        }
    }

    private void handleReadBack(Optional<StoredObject> found) {
        if (found.isPresent() && found.get().version() < mVersion) {
            // A read may return a stale copy, which does not show whether the last write took
            // effect.
            mScheduler.schedule(nextRetryDelay(null), this::repeatReadBack);
            return;
        }
        Optional<Long> number = found.flatMap(stored -> mCodec.ownChanges(stored.value()));
        if (number.isEmpty()) {
            loseOwnership(mKey + " has another owner or is gone");
        } else if (found.get().version() == mVersion) {
            mIsWriting = false;
            mIsWriteRequested = true;
            startWriteAfter(nextRetryDelay(null));
        } else {
            LOGGER.log(
                    Level.INFO,
                    "write of {0} whose response was lost took effect as version {1}",
                    mKey,
                    found.get().version());
            confirm(found.get().version(), number.get(), mFirstOutstandingSentNanos);
        }
    }

    private Duration nextRetryDelay(SesamedeckException failure) {
        Duration delay = mRetryDelay;
        Duration doubled = delay.multipliedBy(2);
        mRetryDelay = doubled.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubled;
        if (failure == null) {
            return delay;
        }
        return failure.retryAfter().filter(wait -> wait.compareTo(delay) > 0).orElse(delay);
    }

    private void loseOwnership(String reason) {
        end(SesamedeckException.of(ResultCode.LEASE_LOST, reason));
        mListener.onLost(reason);
    }
}
