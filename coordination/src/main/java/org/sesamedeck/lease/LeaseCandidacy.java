package org.sesamedeck.lease;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.platform.StoredVersion;

/**
 * Watches a lease until it can be acquired. The lease is acquired by a conditional update when its
 * holder has released it, or when this process has seen the same version for the whole lease
 * duration by its own monotonic clock. The duration starts when the response with the version is
 * handled, so a slow store only delays the takeover.
 */
final class LeaseCandidacy {
    private static final Logger LOGGER = System.getLogger(LeaseCandidacy.class.getName());
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    private static final Duration MAX_WATCH_DURATION = Duration.ofSeconds(10);

    private final LeaseContext mContext;
    private final ObjectKey mKey;
    private final Supplier<LeaseOwner> mOwnerSupplier;
    private final CompletableFuture<Lease> mFuture = new CompletableFuture<>();
    private LeaseListener mListener;
    private Optional<StoredObject> mLatestObject = Optional.empty();

    /** Monotonic time at which this process first saw the version of the latest object. */
    private long mFirstSeenNanos;

    private LeaseCandidacy(
            LeaseContext context,
            ObjectKey key,
            Supplier<LeaseOwner> ownerSupplier,
            LeaseListener listener) {
        mContext = context;
        mKey = key;
        mOwnerSupplier = ownerSupplier;
        mListener = listener;
    }

    static LeaseCandidacy start(
            LeaseContext context,
            ObjectKey key,
            Supplier<LeaseOwner> ownerSupplier,
            LeaseListener listener) {
        LeaseCandidacy candidacy = new LeaseCandidacy(context, key, ownerSupplier, listener);
        candidacy.read();
        return candidacy;
    }

    CompletableFuture<Lease> future() {
        return mFuture;
    }

    void setListener(LeaseListener listener) {
        mListener = listener;
    }

    void withdraw() {
        mFuture.cancel(false);
    }

    private void read() {
        if (mFuture.isDone()) {
            return;
        }
        onControlThread(
                mContext.store().get(mKey), this::handleObject, failure -> retryRead(failure));
    }

    private void handleObject(Optional<StoredObject> found) {
        if (found.isEmpty()) {
            mLatestObject = Optional.empty();
            acquire();
            return;
        }
        observe(found.get());
        acquireOrWatch();
    }

    /** Remembers a newer version; older ones, which a stale read may return, are ignored. */
    private void observe(StoredObject stored) {
        if (mLatestObject.isEmpty() || stored.version() > mLatestObject.get().version()) {
            mLatestObject = Optional.of(stored);
            mFirstSeenNanos = mContext.clock().nanoTime();
        }
    }

    private void acquireOrWatch() {
        LeaseObject object;
        try {
            object = LeaseObject.parse(mLatestObject.orElseThrow().value());
        } catch (SesamedeckException unreadable) {
            LOGGER.log(
                    Level.ERROR,
                    "value of lease {0} cannot be read; retrying: {1}",
                    mKey,
                    unreadable.getMessage());
            mContext.scheduler().schedule(MAX_WATCH_DURATION, this::read);
            return;
        }
        long duration =
                Math.max(
                        mContext.settings().duration().toNanos(),
                        Duration.ofMillis(object.durationMillis()).toNanos());
        long wait = duration - (mContext.clock().nanoTime() - mFirstSeenNanos);
        if (object.isReleased() || wait <= 0) {
            acquire();
        } else {
            watch(Duration.ofNanos(wait));
        }
    }

    private void watch(Duration untilExpiry) {
        Duration wait =
                untilExpiry.compareTo(MAX_WATCH_DURATION) > 0 ? MAX_WATCH_DURATION : untilExpiry;
        long version = mLatestObject.orElseThrow().version();
        onControlThread(
                mContext.store().watch(mKey, version, wait),
                found -> {
                    found.ifPresent(this::observe);
                    boolean isNewVersion = mLatestObject.orElseThrow().version() > version;
                    boolean isWaitOver =
                            mContext.clock().nanoTime() - mFirstSeenNanos >= wait.toNanos();
                    if (isNewVersion || isWaitOver) {
                        acquireOrWatch();
                    } else {
                        // A watch that ends early without a new version must not be repeated
                        // in a tight loop.
                        mContext.scheduler().schedule(RETRY_DELAY, this::read);
                    }
                },
                this::retryRead);
    }

    private void acquire() {
        LeaseOwner owner = mOwnerSupplier.get();
        LeaseObject former =
                mLatestObject.map(seen -> LeaseObject.parse(seen.value())).orElse(null);
        LeaseState state =
                former == null
                        ? new LeaseState("", List.of())
                        : new LeaseState(former.payload(), unsettledAfter(former));
        String value = owner.formatAcquisition(state.unsettled(), state.payload());
        long sentNanos = mContext.clock().nanoTime();
        CompletableFuture<Long> write =
                mLatestObject.isPresent()
                        ? mContext.store().update(mKey, mLatestObject.get().version(), value)
                        : mContext.store().create(mKey, value);
        onControlThread(
                write,
                version -> completeAcquisition(owner, version, state, former, sentNanos),
                failure -> {
                    switch (failure.code()) {
                        case VERSION_CONFLICT:
                            read();
                            break;
                        case STORE_OUTCOME_UNKNOWN:
                            readBack(owner, state, former, sentNanos);
                            break;
                        default:
                            retryRead(failure);
                            break;
                    }
                });
    }

    /**
     * Returns the unsettled nodes of the former holder, and its own node unless it released the
     * lease.
     */
    private static List<String> unsettledAfter(LeaseObject former) {
        List<String> unsettled = new ArrayList<>(former.unsettled());
        if (!former.isReleased() && !unsettled.contains(former.node())) {
            unsettled.add(former.node());
        }
        return unsettled;
    }

    /** Finds out whether the write whose response was lost acquired the lease. */
    private void readBack(LeaseOwner owner, LeaseState state, LeaseObject former, long sentNanos) {
        onControlThread(
                mContext.store().get(mKey),
                found -> {
                    boolean isAcquired =
                            found.flatMap(stored -> owner.ownChanges(stored.value())).isPresent();
                    long age = mContext.clock().nanoTime() - sentNanos;
                    if (isAcquired && age < mContext.validityPeriod().toNanos()) {
                        completeAcquisition(owner, found.get().version(), state, former, sentNanos);
                    } else {
                        // The lease was not acquired, or the acquisition was confirmed too late
                        // to be used and is treated like that of another holder.
                        handleObject(found);
                    }
                },
                failure ->
                        mContext.scheduler()
                                .schedule(
                                        retryDelay(failure),
                                        () -> {
                                            if (!mFuture.isDone()) {
                                                readBack(owner, state, former, sentNanos);
                                            }
                                        }));
    }

    private void completeAcquisition(
            LeaseOwner owner, long version, LeaseState state, LeaseObject former, long sentNanos) {
        if (mContext.clock().nanoTime() - sentNanos >= mContext.validityPeriod().toNanos()) {
            read();
            return;
        }
        FormerHolder formerHolder =
                former == null
                        ? FormerHolder.none(sentNanos)
                        : new FormerHolder(former.node(), former.isReleased(), mFirstSeenNanos);
        LOGGER.log(Level.INFO, "lease {0} acquired with fencing number {1}", mKey, version);
        mFuture.complete(
                HeldLease.start(
                        mContext,
                        owner,
                        new StoredVersion(mKey, version),
                        state,
                        formerHolder,
                        mListener,
                        sentNanos));
    }

    private void retryRead(SesamedeckException failure) {
        mContext.scheduler().schedule(retryDelay(failure), this::read);
    }

    private static Duration retryDelay(SesamedeckException failure) {
        return failure.retryAfter()
                .filter(wait -> wait.compareTo(RETRY_DELAY) > 0)
                .orElse(RETRY_DELAY);
    }

    /**
     * Passes the result or the failure of a call to its consumer on the control thread, unless the
     * candidacy has ended meanwhile.
     */
    private <T> void onControlThread(
            CompletableFuture<T> call,
            Consumer<T> onResult,
            Consumer<SesamedeckException> onFailure) {
        call.whenComplete(
                (result, failure) ->
                        mContext.scheduler()
                                .execute(
                                        () -> {
                                            if (mFuture.isDone()) {
                                                return;
                                            }
                                            if (failure == null) {
                                                onResult.accept(result);
                                            } else {
                                                onFailure.accept(SesamedeckException.from(failure));
                                            }
                                        }));
    }
}
