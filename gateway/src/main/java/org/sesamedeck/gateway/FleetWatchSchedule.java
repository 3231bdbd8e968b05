package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sesamedeck.routing.FleetProgress;

/**
 * The schedule of a process whose peers follow the same objects. A few processes of the fleet end
 * their waits early; the others wait long for as long as they hear from these, see {@link
 * FleetProgress}.
 */
final class FleetWatchSchedule implements WatchSchedule {
    /**
     * Time from a response to a process with short waits until another process that lacks the
     * change has called: the datagrams over three hops, the delay before a watch is taken to be
     * silent, the interval of checks and the call.
     */
    private static final Duration SPREAD_TIME = Duration.ofMillis(1_300);

    /** Time by which a confirmation ages on its way, beyond the wait of the watch behind it. */
    private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(1_400);

    /**
     * Time from the moment at which the others are no longer relied on until this process has read
     * the store: the interval of checks, a call on a connection that has broken, its backoff and
     * the call that follows.
     */
    private static final Duration READ_TIME = Duration.ofMillis(1_300);

    private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1_000);

    private final String mKind;
    private final WatchPace mPace;
    private final FleetProgress mProgress;
    private final BooleanSupplier mWaitsShort;
    private final BooleanSupplier mIsAlone;
    private Optional<ChangeSharing> mSharing = Optional.empty();
    private Duration mBound = Duration.ZERO;

    /**
     * Creates a schedule.
     *
     * @param pace pace of a process that follows the objects on its own
     * @param isAlone whether the fleet is too small to share its calls
     * @param waitsShort whether this process is one of those with short waits
     */
    FleetWatchSchedule(
            String kind,
            WatchPace pace,
            FleetProgress progress,
            BooleanSupplier isAlone,
            BooleanSupplier waitsShort) {
        mKind = kind;
        mPace = pace;
        mProgress = progress;
        mIsAlone = isAlone;
        mWaitsShort = waitsShort;
    }

    @Override
    public WatchPace pace() {
        return mPace;
    }

    @Override
    public Duration timeout() {
        if (mIsAlone.getAsBoolean()) {
            return mPace.timeout();
        }
        boolean mayWait = !mWaitsShort.getAsBoolean() && isConfirmed();
        return mayWait ? longest(WatchPace.SLOW.timeout(), mPace.timeout()) : shortTimeout();
    }

    @Override
    public void confirmed(long revision, long changedRevision) {
        mProgress.confirmed(mKind, revision, changedRevision);
    }

    /**
     * Where changes are passed on, the others have to read what a watching process has only seen as
     * a list. That of another process confirms nothing to them: its own changes stay unknown.
     */
    @Override
    public void listed(long revision) {
        if (mSharing.isEmpty()) {
            mProgress.confirmed(mKind, revision, 0);
        } else if (mWaitsShort.getAsBoolean()) {
            mProgress.confirmed(mKind, revision, revision);
        } else {
            mProgress.read(mKind, revision);
        }
    }

    @Override
    public boolean isOverdue(Duration timeout) {
        if (mIsAlone.getAsBoolean()) {
            // A long wait that began in a larger fleet.
            return timeout.compareTo(mPace.timeout()) > 0;
        }
        return mProgress.isBehind(mKind) || timeout.compareTo(shortTimeout()) > 0 && !isConfirmed();
    }

    /**
     * Lets this process take changes over from others instead of watching the store itself.
     *
     * @param bound time from the acknowledgement of a change until it must be in force
     */
    void enableSharing(ChangeSharing sharing, Duration bound) {
        mSharing = Optional.of(sharing);
        mBound = bound;
    }

    @Override
    public boolean isToldByOthers() {
        Duration limit = mBound.minus(READ_TIME);
        return mSharing.isPresent()
                && !mIsAlone.getAsBoolean()
                && !mWaitsShort.getAsBoolean()
                && isConfirmed()
                && mProgress.isConfirmedWithin(mKind, limit)
                && !mProgress.isBehind(mKind);
    }

    @Override
    public Duration timeSinceConfirmation() {
        return mProgress.timeSinceConfirmation(mKind);
    }

    @Override
    public void share(long baseRevision, long revision, byte[] source) {
        if (!mIsAlone.getAsBoolean() && mWaitsShort.getAsBoolean()) {
            mSharing.ifPresent(sharing -> sharing.share(mKind, baseRevision, revision, source));
        }
    }

    @Override
    public void setFollower(Predicate<SharedChanges> validity, Consumer<SharedChanges> follower) {
        mSharing.ifPresent(sharing -> sharing.setFollower(mKind, validity, follower));
    }

    @Override
    public void applied(long revision) {
        mProgress.applied(mKind, revision);
    }

    private boolean isConfirmed() {
        return mProgress.isConfirmedWithin(mKind, shortTimeout().plus(CONFIRMATION_DELAY));
    }

    private Duration shortTimeout() {
        return longest(SHORTEST_TIMEOUT, mPace.timeout().minus(SPREAD_TIME));
    }

    private static Duration longest(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }
}
