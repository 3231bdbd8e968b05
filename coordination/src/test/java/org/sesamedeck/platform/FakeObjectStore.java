package org.sesamedeck.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * A client of an in-memory object store, with faults that are injected by explicit calls and with
 * delays that the given scheduler simulates. Further clients of the same store have faults of their
 * own. Thread-safe when the scheduler is.
 */
public final class FakeObjectStore implements ObjectStore {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final FakeStoreData mData;
    private final ControlScheduler mScheduler;
    private final Clock mClock;
    private final CallCounter mCalls;

    private final LongAdder mBytesWritten = new LongAdder();

    private volatile boolean mIsUnavailable;
    private volatile boolean mIsWatchStale;
    private volatile Duration mDelay = Duration.ZERO;
    private volatile Duration mLateWriteDelay = Duration.ofSeconds(2);
    private volatile Function<CallKind, StoreFault> mFaults = kind -> StoreFault.NONE;
    private int mCallsPerSecond = Integer.MAX_VALUE;
    private long mSecond = Long.MIN_VALUE;
    private int mCallsInSecond;

    private FakeObjectStore(
            FakeStoreData data, ControlScheduler scheduler, Clock clock, CallCounter calls) {
        mData = data;
        mScheduler = scheduler;
        mClock = clock;
        mCalls = calls;
    }

    /** Returns the first client of an empty store. */
    public static FakeObjectStore create(ControlScheduler scheduler, Clock clock) {
        return new FakeObjectStore(new FakeStoreData(), scheduler, clock, CallCounter.create());
    }

    /** Returns a further client of the same store, without faults. */
    public FakeObjectStore anotherClient() {
        return new FakeObjectStore(mData, mScheduler, mClock, CallCounter.create());
    }

    /** Returns the calls of this client. */
    public CallCounter calls() {
        return mCalls;
    }

    /** Returns the total length of all values that this client sent, in characters. */
    public long bytesWritten() {
        return mBytesWritten.sum();
    }

    /** Lets writes that change nothing leave the version as it was, as the users' store does. */
    public FakeObjectStore ignoringUnchangedWrites() {
        mData.ignoreUnchangedWrites();
        return this;
    }

    /** Makes all calls fail with STORE_UNAVAILABLE, or stops doing so. */
    public void setUnavailable(boolean isUnavailable) {
        mIsUnavailable = isUnavailable;
    }

    /** Delays each call: half of the time passes before the effect and half after it. */
    public void setDelay(Duration delay) {
        mDelay = delay;
    }

    /** Sets the delay from the client timeout until a late write reaches the store. */
    public void setLateWriteDelay(Duration lateWriteDelay) {
        mLateWriteDelay = lateWriteDelay;
    }

    /** Completes watches at once with the value before the current one, or stops doing so. */
    public void setWatchStale(boolean isStale) {
        mIsWatchStale = isStale;
    }

    /** Makes calls above this number in each second fail with STORE_RATE_LIMITED. */
    public synchronized void setRateLimit(int callsPerSecond) {
        mCallsPerSecond = callsPerSecond;
    }

    /**
     * Sets the function that chooses the fault of each call; reads support NONE and UNAVAILABLE
     * only.
     */
    public void setFaults(Function<CallKind, StoreFault> faults) {
        mFaults = faults;
    }

    /** Applies a fault to the next write only. */
    public void failNextWrite(StoreFault fault) {
        mFaults =
                kind -> {
                    if (kind == CallKind.GET || kind == CallKind.LIST || kind == CallKind.WATCH) {
                        return StoreFault.NONE;
                    }
                    mFaults = next -> StoreFault.NONE;
                    return fault;
                };
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(ObjectKey key) {
        return call(CallKind.GET, () -> mData.get(key));
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String kind) {
        return call(CallKind.LIST, () -> mData.list(kind));
    }

    @Override
    public CompletableFuture<Long> create(ObjectKey key, String value) {
        mBytesWritten.add(value.length());
        return call(CallKind.CREATE, () -> mData.put(key, 0, value));
    }

    @Override
    public CompletableFuture<Long> update(ObjectKey key, long expectedVersion, String value) {
        mBytesWritten.add(value.length());
        return call(CallKind.UPDATE, () -> mData.put(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<Void> delete(ObjectKey key, long expectedVersion) {
        return call(
                CallKind.DELETE,
                () -> {
                    mData.delete(key, expectedVersion);
                    return null;
                });
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
            ObjectKey key, long afterVersion, Duration wait) {
        if (mIsWatchStale) {
            return call(CallKind.WATCH, () -> mData.previous(key));
        }
        CompletableFuture<Optional<StoredObject>> result = new CompletableFuture<>();
        call(CallKind.WATCH, () -> true)
                .whenComplete(
                        (isReached, failure) -> {
                            if (failure != null) {
                                result.completeExceptionally(failure);
                                return;
                            }
                            FakeWatch watch =
                                    new FakeWatch(
                                            key,
                                            afterVersion,
                                            stored ->
                                                    mScheduler.schedule(
                                                            mDelay.dividedBy(2),
                                                            () ->
                                                                    result.complete(
                                                                            Optional.of(stored))));
                            mData.add(watch);
                            mScheduler.schedule(
                                    wait,
                                    () -> {
                                        mData.remove(watch);
                                        result.complete(Optional.empty());
                                    });
                        });
        return result;
    }

    @Override
    public void close() {
        mIsUnavailable = true;
    }

    private <T> CompletableFuture<T> call(CallKind kind, Supplier<T> effect) {
        mCalls.count(kind);
        CompletableFuture<T> result = new CompletableFuture<>();
        if (isRateLimited()) {
            fail(
                    result,
                    SesamedeckException.retryAfter(
                            ResultCode.STORE_RATE_LIMITED, "rate limit", Duration.ofSeconds(1)));
            return result;
        }
        StoreFault fault = mIsUnavailable ? StoreFault.UNAVAILABLE : mFaults.apply(kind);
        Duration half = mDelay.dividedBy(2);
        switch (fault) {
            case NONE:
                mScheduler.schedule(half, () -> applyEffect(effect, half, result));
                break;
            case UNAVAILABLE:
                fail(result, SesamedeckException.of(ResultCode.STORE_UNAVAILABLE, "store is down"));
                break;
            case LOST_BEFORE_EFFECT:
                timeOut(result);
                break;
            case LOST_AFTER_EFFECT:
                mScheduler.schedule(
                        half, () -> applyEffect(effect, half, new CompletableFuture<>()));
                timeOut(result);
                break;
            case LATE_EFFECT:
                mScheduler.schedule(
                        TIMEOUT.plus(mLateWriteDelay),
                        () -> applyEffect(effect, half, new CompletableFuture<>()));
                timeOut(result);
                break;
            default:
                throw new IllegalStateException("fault " + fault);
        }
        return result;
    }

    private <T> void applyEffect(
            Supplier<T> effect, Duration responseDelay, CompletableFuture<T> result) {
        try {
            T value = effect.get();
            mScheduler.schedule(responseDelay, () -> result.complete(value));
        } catch (SesamedeckException failure) {
            mScheduler.schedule(responseDelay, () -> result.completeExceptionally(failure));
        }
    }

    private void fail(CompletableFuture<?> result, SesamedeckException failure) {
        mScheduler.execute(() -> result.completeExceptionally(failure));
    }

    private void timeOut(CompletableFuture<?> result) {
        mScheduler.schedule(
                TIMEOUT,
                () ->
                        result.completeExceptionally(
                                SesamedeckException.of(
                                        ResultCode.STORE_OUTCOME_UNKNOWN, "no response")));
    }

    private synchronized boolean isRateLimited() {
        long second = Math.floorDiv(mClock.nanoTime(), 1_000_000_000L);
        if (second != mSecond) {
            mSecond = second;
            mCallsInSecond = 0;
        }
        mCallsInSecond++;
        return mCallsInSecond > mCallsPerSecond;
    }
}
