package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.request.Timers;

/**
 * A host on simulated time that can be frozen, suspended or killed. While it is frozen, timers and
 * responses wait; while it is suspended, its monotonic clock stands still as well.
 */
final class SimulatedHost implements Timers {
    private final ManualScheduler mScheduler;
    private final FakeObjectStore mStore;
    private final List<Runnable> mWaiting = new ArrayList<>();
    private boolean mIsFrozen;
    private boolean mIsKilled;
    private boolean mIsSuspended;
    private long mSuspendedAt;
    private long mLostNanos;
    private Duration mTimeOfDayError = Duration.ZERO;

    SimulatedHost(ManualScheduler scheduler, FakeObjectStore store) {
        mScheduler = scheduler;
        mStore = store;
    }

    FakeObjectStore fakeStore() {
        return mStore;
    }

    boolean isRunning() {
        return !mIsFrozen && !mIsKilled;
    }

    void kill() {
        mIsKilled = true;
    }

    void freeze() {
        mIsFrozen = true;
    }

    void suspend() {
        mIsFrozen = true;
        mIsSuspended = true;
        mSuspendedAt = mScheduler.clock().nanoTime();
    }

    void resume() {
        if (mIsSuspended) {
            mLostNanos += mScheduler.clock().nanoTime() - mSuspendedAt;
        }
        mIsSuspended = false;
        mIsFrozen = false;
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(this::run);
    }

    void stepTimeOfDay(Duration error) {
        mTimeOfDayError = error;
    }

    /** Runs an action on the host: at once, after its freeze, or never if it was killed. */
    void run(Runnable action) {
        if (mIsFrozen) {
            mWaiting.add(action);
        } else if (!mIsKilled) {
            action.run();
        }
    }

    Clock clock() {
        return new Clock() {
            @Override
            public long nanoTime() {
                return mScheduler.clock().nanoTime() - mLostNanos;
            }

            @Override
            public Instant now() {
                return mScheduler.clock().now().plus(mTimeOfDayError);
            }
        };
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        boolean[] isCancelled = new boolean[1];
        mScheduler.schedule(
                delay,
                () ->
                        run(
                                () -> {
                                    if (!isCancelled[0]) {
                                        action.run();
                                    }
                                }));
        return () -> isCancelled[0] = true;
    }

    /** Returns a future that completes on the host when the given one completes. */
    <T> CompletableFuture<T> deliver(Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> delivered = new CompletableFuture<>();
        call.get()
                .whenComplete(
                        (value, failure) ->
                                run(
                                        () -> {
                                            if (failure == null) {
                                                delivered.complete(value);
                                            } else {
                                                delivered.completeExceptionally(failure);
                                            }
                                        }));
        return delivered;
    }

    ObjectStore store() {
        return new ObjectStore() {
            @Override
            public CompletableFuture<Optional<StoredObject>> get(ObjectKey key) {
                return deliver(() -> mStore.get(key));
            }

            @Override
            public CompletableFuture<List<StoredObject>> list(String kind) {
                return deliver(() -> mStore.list(kind));
            }

            @Override
            public CompletableFuture<Long> create(ObjectKey key, String value) {
                return deliver(() -> mStore.create(key, value));
            }

            @Override
            public CompletableFuture<Long> update(ObjectKey key, long expected, String value) {
                return deliver(() -> mStore.update(key, expected, value));
            }

            @Override
            public CompletableFuture<Void> delete(ObjectKey key, long expectedVersion) {
                return deliver(() -> mStore.delete(key, expectedVersion));
            }

            @Override
            public CompletableFuture<Optional<StoredObject>> watch(
                    ObjectKey key, long afterVersion, Duration wait) {
                return deliver(() -> mStore.watch(key, afterVersion, wait));
            }

            @Override
            public void close() {
                mStore.close();
            }
        };
    }
}
