package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.gateway.DutyHolder;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.Timers;

/**
 * Decides by one object of the store which process holds the duties. Confined to one thread.
 *
 * <p>All changes of the object are conditional on its version. A process takes the duties over by
 * such a write, and the version of that write is its fencing number: no other write gets the same,
 * and every later one gets a higher one. It may send calls for a while after each further
 * conditional write ({@link DutyTiming#rightTime}), counted from when the write was begun. Another
 * process takes over after it has seen the same version for {@link DutyTiming#takeoverTime} by its
 * own monotonic clock, which is long after the last right from that version has ended and the last
 * call on it was answered or abandoned. This needs neither synchronous clocks nor a platform that
 * checks fencing numbers. For a process to act, another one after it and then the first again takes
 * two takeovers and so at least two of these times.
 *
 * <p>A write without a response may have taken effect or may do so later. It gives no right, and
 * nothing is written until the object was read again. A late write finds another version and fails,
 * or takes effect before the next write, which then fails and is followed by another read.
 *
 * <p>All processes read the object, in the order of their rank ever more rarely: the first three
 * every poll interval, the process of rank r after them every r - 1 poll intervals. The calls of
 * the fleet then grow with the logarithm of its size, while any number of processes may be lost.
 * Reads may be stale: the condition of the write decides.
 */
public final class StoreDutyHolder implements DutyHolder {
    static final ObjectKey KEY = ObjectKey.of("duties", "fleet");

    /** Processes of lower ranks read most often; one of them is usually the holder. */
    private static final int URGENT_RANKS = 3;

    /** Processes of higher ranks wait as long as this one before they take over. */
    private static final int MAX_DELAYED_RANK = 10;

    private static final CompletableFuture<Optional<DutyRight>> NOTHING =
            CompletableFuture.completedFuture(Optional.empty());

    private final Clock mClock;
    private final ObjectStore mStore;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final DutyTiming mTiming;
    private final String mName;
    private final long mIncarnation;
    private int mRank;
    private long mVersion;
    private long mSeenNanos;
    private boolean mHasRead;
    private Optional<DutyRecord> mRecord = Optional.empty();
    private OptionalLong mFencingNumber = OptionalLong.empty();
    private OptionalLong mRefusedFencingNumber = OptionalLong.empty();
    private Optional<Grant> mGrant = Optional.empty();
    private Optional<CompletableFuture<Optional<DutyRight>>> mWrite = Optional.empty();
    private long mTakenNanos;
    private long mWrittenNanos;
    private long mWrites;
    private boolean mIsInDoubt;
    private boolean mIsStopping;
    private Runnable mTakeoverListener = () -> {};

    /** A right and when the write that gave it was begun. */
    private record Grant(DutyRight right, long begunNanos, Instant begun) {}

    private StoreDutyHolder(
            Clock clock,
            ObjectStore store,
            Timers timers,
            DecisionLog log,
            DutyTiming timing,
            String name,
            long incarnation) {
        mClock = clock;
        mStore = store;
        mTimers = timers;
        mLog = log;
        mTiming = timing;
        mName = name;
        mIncarnation = incarnation;
    }

    /**
     * Returns a part that has not started and holds nothing.
     *
     * @param name name of this process
     * @param incarnation random number that identifies this run of the process
     */
    public static StoreDutyHolder create(
            Clock clock,
            ObjectStore store,
            Timers timers,
            DecisionLog log,
            DutyTiming timing,
            String name,
            long incarnation) {
        return new StoreDutyHolder(clock, store, timers, log, timing, name, incarnation);
    }

    /** Sets what runs when this process has taken the duties. */
    public void onTakeover(Runnable listener) {
        mTakeoverListener = listener;
    }

    /** Starts to read the record. */
    public void start() {
        schedule(mTiming.lease());
    }

    /**
     * Sets the place of this process in line.
     *
     * @param rank number of the processes before it
     */
    public void updateRank(int rank) {
        mRank = rank;
    }

    @Override
    public boolean isHolder() {
        return mFencingNumber.isPresent();
    }

    @Override
    public Optional<String> holder() {
        return mRecord.filter(record -> !record.isReleased()).map(DutyRecord::holder);
    }

    /** Returns the fencing number of the holder that the store last showed. */
    public long fencingNumber() {
        return mRecord.map(record -> record.fencingNumber().orElse(mVersion)).orElse(0L);
    }

    /** Returns what the store last showed to be kept for the duties. */
    public String note() {
        return mRecord.map(DutyRecord::note).orElse("");
    }

    @Override
    public CompletableFuture<Optional<DutyRight>> confirm() {
        Optional<DutyRight> recent =
                mGrant.filter(grant -> isRecent(grant, mTiming.rightTime().dividedBy(2)))
                        .map(Grant::right);
        if (recent.isPresent() && isHolder() && !mIsStopping) {
            return CompletableFuture.completedFuture(recent);
        }
        return mWrite.orElseGet(() -> confirm(UnaryOperator.identity()));
    }

    /**
     * Changes the note and thereby confirms that this process is the holder.
     *
     * @param change returns the changed note
     * @return the right; empty if the change was not or may not have been made
     */
    public CompletableFuture<Optional<DutyRight>> confirm(UnaryOperator<String> change) {
        if (mWrite.isPresent()) {
            return mWrite.get().thenCompose(before -> confirm(change));
        }
        if (!isHolder() || mIsInDoubt || mIsStopping) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return write(
                mRecord.orElseThrow()
                        .confirmed(mFencingNumber.getAsLong(), ++mWrites, change.apply(note())));
    }

    @Override
    public boolean isUsable(DutyRight right) {
        return !mIsStopping
                && isHolder()
                && mGrant.filter(grant -> grant.right().equals(right))
                        .filter(grant -> isRecent(grant, mTiming.rightTime()))
                        .isPresent();
    }

    /**
     * Returns whether a grant is at most so old. The monotonic clock stands still while the host is
     * suspended and the time of day may jump, so both must agree.
     */
    private boolean isRecent(Grant grant, Duration limit) {
        Duration age = Duration.ofNanos(mClock.nanoTime() - grant.begunNanos());
        Duration byTimeOfDay = Duration.between(grant.begun(), mClock.now());
        Duration difference = byTimeOfDay.minus(age).abs();
        return age.compareTo(limit) <= 0
                && byTimeOfDay.compareTo(limit) <= 0
                && difference.compareTo(mTiming.clockTolerance()) <= 0;
    }

    /** Gives the duties up since the platform refused the fencing number of the right. */
    public void refused(DutyRight right) {
        if (mFencingNumber.isPresent() && mFencingNumber.getAsLong() == right.fencingNumber()) {
            mRefusedFencingNumber = mFencingNumber;
            lost("refused by the platform");
        }
    }

    /**
     * Gives the duties up for good. Nothing is sent any more from now on; the record is released
     * when no call is on its way and the duties were held for a lease, so that holders do not take
     * turns within it. Without the release, another process takes over later.
     */
    public void stop() {
        if (mIsStopping) {
            return;
        }
        mIsStopping = true;
        if (isHolder()) {
            Duration held = Duration.ofNanos(mClock.nanoTime() - mTakenNanos);
            Duration untilLease = mTiming.lease().minus(held);
            Duration delay = mTiming.callTimeout();
            mTimers.schedule(untilLease.compareTo(delay) > 0 ? untilLease : delay, this::release);
        }
    }

    private void release() {
        if (mWrite.isPresent()) {
            mWrite.get().thenRun(this::release);
            return;
        }
        if (isHolder() && !mIsInDoubt) {
            write(mRecord.orElseThrow().released(mFencingNumber.getAsLong(), ++mWrites));
        }
    }

    private void schedule(Duration delay) {
        mTimers.schedule(delay, this::step);
    }

    private void step() {
        if (mIsStopping) {
            return;
        }
        CompletableFuture<?> done = isHolder() && !mIsInDoubt ? keep() : poll();
        done.whenComplete((result, failure) -> schedule(nextDelay()));
    }

    private Duration nextDelay() {
        if (mIsInDoubt) {
            return mTiming.retryInterval();
        }
        if (isHolder()) {
            Duration untilWrite = mTiming.confirmInterval().minus(sinceWrite());
            return atLeast(mTiming.rankDelay(), untilWrite);
        }
        long places = Math.max(1L, mRank + 2L - URGENT_RANKS);
        Duration untilRead = mTiming.pollInterval().multipliedBy(places);
        Duration untilTakeover = takeoverTime().minus(sinceSeen());
        boolean isFirst =
                mHasRead && mRank < URGENT_RANKS && untilTakeover.compareTo(untilRead) < 0;
        return isFirst ? atLeast(mTiming.rankDelay(), untilTakeover) : untilRead;
    }

    private static Duration atLeast(Duration minimum, Duration time) {
        return time.compareTo(minimum) > 0 ? time : minimum;
    }

    private Duration sinceWrite() {
        return Duration.ofNanos(mClock.nanoTime() - mWrittenNanos);
    }

    /** Confirms the record if nothing else has done so recently. */
    private CompletableFuture<?> keep() {
        return sinceWrite().compareTo(mTiming.confirmInterval()) < 0
                ? CompletableFuture.completedFuture(null)
                : confirm(UnaryOperator.identity());
    }

    /**
     * Reads the record and takes over if nobody holds the duties any more. A process that reads
     * seldom has not seen the record change for long, so a stale read comes first.
     */
    private CompletableFuture<?> poll() {
        return mIsInDoubt
                ? poll(true)
                : poll(false).thenCompose(done -> mayTakeOver() ? poll(true) : NOTHING);
    }

    private CompletableFuture<Optional<DutyRight>> poll(boolean isFresh) {
        return (isFresh ? mStore.get(KEY) : mStore.getStale(KEY))
                .handle(
                        (stored, failure) -> {
                            if (failure == null) {
                                adopt(stored, isFresh);
                            }
                            return failure == null;
                        })
                .thenCompose(isRead -> isRead && isFresh && mayTakeOver() ? takeOver() : NOTHING);
    }

    private boolean mayTakeOver() {
        return !isHolder() && !mIsStopping && isTakeoverDue();
    }

    private boolean isTakeoverDue() {
        return mHasRead && sinceSeen().compareTo(takeoverTime()) >= 0;
    }

    private Duration sinceSeen() {
        return Duration.ofNanos(mClock.nanoTime() - mSeenNanos);
    }

    /** Returns the time for which the record must stay unchanged before this process takes over. */
    private Duration takeoverTime() {
        Duration rankDelay = mTiming.rankDelay().multipliedBy(Math.min(mRank, MAX_DELAYED_RANK));
        boolean isReleased = mRecord.map(DutyRecord::isReleased).orElse(false);
        return isReleased ? rankDelay : mTiming.takeoverTime().plus(rankDelay);
    }

    private CompletableFuture<Optional<DutyRight>> takeOver() {
        return write(
                new DutyRecord(
                        mName, mIncarnation, OptionalLong.empty(), ++mWrites, false, note()));
    }

    /** Takes in what was read; a stale read may be older than what is known. */
    private void adopt(Optional<StoredObject> stored, boolean isFresh) {
        long version = stored.map(StoredObject::version).orElse(0L);
        if (version < mVersion && !isFresh) {
            return;
        }
        if (isFresh) {
            mIsInDoubt = false;
        }
        if (version != mVersion || !mHasRead) {
            observe(version, stored.flatMap(object -> DutyRecord.decode(object.value())));
        }
        boolean isOwn =
                mRecord.filter(record -> record.incarnation() == mIncarnation)
                        .filter(record -> !record.isReleased())
                        .isPresent();
        if (!isOwn) {
            lost("another process has written");
        } else if (!mRefusedFencingNumber.equals(OptionalLong.of(fencingNumber()))) {
            taken(fencingNumber());
        }
    }

    private void observe(long version, Optional<DutyRecord> record) {
        mHasRead = true;
        mVersion = version;
        mSeenNanos = mClock.nanoTime();
        mRecord = record;
    }

    /** Writes the record under the version that was seen last. */
    private CompletableFuture<Optional<DutyRight>> write(DutyRecord record) {
        CompletableFuture<Optional<DutyRight>> result = new CompletableFuture<>();
        mWrite = Optional.of(result);
        long begunNanos = mClock.nanoTime();
        Instant begun = mClock.now();
        mWrittenNanos = begunNanos;
        String text = record.encode();
        CompletableFuture<Long> written =
                mVersion == 0 ? mStore.create(KEY, text) : mStore.update(KEY, mVersion, text);
        written.whenComplete(
                (version, failure) -> {
                    mWrite = Optional.empty();
                    if (failure != null) {
                        writeFailed(SesamedeckException.from(failure));
                        result.complete(Optional.empty());
                        return;
                    }
                    observe(version, Optional.of(record));
                    result.complete(accepted(record, begunNanos, begun));
                });
        return result;
    }

    private Optional<DutyRight> accepted(DutyRecord record, long begunNanos, Instant begun) {
        if (record.isReleased()) {
            lost("released");
            return Optional.empty();
        }
        if (mRefusedFencingNumber.equals(OptionalLong.of(fencingNumber()))) {
            lost("refused"); // The write was on its way when the platform refused the number.
            return Optional.empty();
        }
        taken(fencingNumber());
        DutyRight right = new DutyRight(mName, fencingNumber());
        mGrant = Optional.of(new Grant(right, begunNanos, begun));
        return isUsable(right) ? Optional.of(right) : Optional.empty();
    }

    /**
     * After a conflict another process or an earlier write of this one has changed the record, and
     * without a response this write may have: only a read can tell.
     */
    private void writeFailed(SesamedeckException failure) {
        boolean isWithoutEffect =
                failure.code() == ResultCode.STORE_UNAVAILABLE
                        || failure.code() == ResultCode.STORE_RATE_LIMITED
                        || failure.code() == ResultCode.VALUE_TOO_LARGE;
        mIsInDoubt = mIsInDoubt || !isWithoutEffect;
        if (failure.code() == ResultCode.VERSION_CONFLICT) {
            mGrant = Optional.empty();
        }
        mLog.record(
                entry(Decision.DUTY_IN_DOUBT)
                        .with("code", failure.code().number())
                        .with("cause", String.valueOf(failure.getMessage())));
    }

    private void taken(long fencingNumber) {
        if (mFencingNumber.equals(OptionalLong.of(fencingNumber))) {
            return;
        }
        mFencingNumber = OptionalLong.of(fencingNumber);
        mTakenNanos = mClock.nanoTime();
        mLog.record(entry(Decision.DUTY_TAKEN).with("fencingNumber", fencingNumber));
        mTakeoverListener.run();
    }

    private void lost(String cause) {
        if (mFencingNumber.isEmpty()) {
            return;
        }
        mLog.record(
                entry(Decision.DUTY_LOST)
                        .with("fencingNumber", mFencingNumber.getAsLong())
                        .with("holder", holder().orElse(""))
                        .with("cause", cause));
        mFencingNumber = OptionalLong.empty();
        mGrant = Optional.empty();
    }

    private LogEntry entry(Decision decision) {
        return LogEntry.of(decision, mClock.nanoTime());
    }
}
