package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.sesamedeck.core.Clock;

/**
 * Sends the counts of this process to the holder of the duties, and answers those that send to this
 * one. Confined to one thread.
 *
 * <p>Counts of a window are cumulative and repeated until the report of the window is fixed in the
 * store, so messages may be lost or doubled. They are sent from time to time while there are new
 * ones and soon after the end of a window, so a killed process loses what it counted since the last
 * time. The holder sends its own to those that are next in line, of which one will succeed it. Each
 * message carries the sender's time of day and each reply the holder's estimate of the true time.
 */
final class UsageExchange implements DutyTransport.Listener {
    /** Processes that are tried in turn while the holder is silent or unknown. */
    private static final int CANDIDATES = 4;

    /** Processes to which the holder sends its own counts, since one of them will succeed it. */
    private static final int SUCCESSORS = 3;

    /** Counts in one datagram; each takes some 15 bytes and a receiver reads 16 KiB at most. */
    private static final int MAX_COUNTS = 500;

    private final Clock mClock;
    private final FleetTime mTime;
    private final UsageCounts mCounts;
    private final UsageLedger mLedger;
    private final StoreDutyHolder mHolder;
    private final UsageReporter mReporter;
    private final DutyTransport mTransport;
    private final DutyRanking mRanking;
    private final UsageSchedule mSchedule;
    private final String mSelf;
    private final long mIncarnation;
    private final Random mRandom;
    private Optional<String> mKnownHolder = Optional.empty();
    private long mKnownFencingNumber;
    private final SortedMap<Long, SortedMap<String, Long>> mAnswered = new TreeMap<>();
    private SortedMap<Long, SortedMap<String, Long>> mSent = new TreeMap<>();
    private long mSentMillis;
    private long mNextSendNanos;
    private long mUnansweredSinceNanos;
    private boolean mIsUnanswered;
    private long mLastWindow;
    private int mTurn;

    UsageExchange(
            DutyService.Environment environment,
            FleetTime time,
            UsageCounts counts,
            UsageLedger ledger,
            StoreDutyHolder holder,
            UsageReporter reporter,
            UsageSchedule schedule) {
        mClock = environment.clock();
        mTime = time;
        mCounts = counts;
        mLedger = ledger;
        mHolder = holder;
        mReporter = reporter;
        mTransport = environment.transport();
        mSelf = environment.name();
        mRanking = new DutyRanking(mSelf);
        mSchedule = schedule;
        mIncarnation = environment.incarnation();
        mRandom = new Random(mIncarnation);
        mNextSendNanos = mClock.nanoTime();
        mTransport.setDutyListener(this);
    }

    @Override
    public void processesChanged(List<String> names) {
        mRanking.update(names);
        mHolder.updateRank(mRanking.ownRank());
    }

    /** Sends what is due; called several times a second. */
    void check() {
        learnFromStore();
        boolean hasStepped = mTime.hasStepped();
        if (isHolder()) {
            mTime.followMedian();
        }
        if (mHolder.isHolder()) {
            mCounts.windows()
                    .forEach((window, counts) -> mLedger.receive(mIncarnation, window, counts));
        }
        long window = mTime.window(mSchedule.window());
        long now = mClock.nanoTime();
        if (window != mLastWindow) {
            mLastWindow = window;
            long jitter = mRandom.nextLong(mSchedule.windowEndJitter().toNanos());
            mNextSendNanos = Math.min(mNextSendNanos, now + jitter);
        }
        if (hasStepped || now - mNextSendNanos >= 0) {
            sendCounts(hasStepped);
            Duration pause = mIsUnanswered ? mSchedule.retryInterval() : mSchedule.sendInterval();
            mNextSendNanos = now + pause.toNanos();
        }
    }

    /** Returns whether this process is the holder, also by what the others have told. */
    private boolean isHolder() {
        return mHolder.isHolder() && mKnownHolder.equals(Optional.of(mSelf));
    }

    /** Sends all counts at once, as at the end of the process. */
    void flush() {
        sendCounts(true);
    }

    /** Tells all processes that this one is the holder, so that they send to it at once. */
    void announce() {
        learnFromStore();
        DutyMessage announcement =
                message(new TreeMap<>(), mTime.monotonicMillis(), Optional.empty());
        send(announcement, mRanking.others());
    }

    private void learnFromStore() {
        mReporter.fixedThrough().ifPresent(this::fixedThrough);
        mHolder.holder().ifPresent(name -> learnHolder(name, mHolder.fencingNumber()));
    }

    private void fixedThrough(long window) {
        mAnswered.headMap(window + 1).clear();
        mCounts.fixedThrough(window);
        mLedger.fixedThrough(window);
    }

    private void learnHolder(String name, long fencingNumber) {
        if (fencingNumber <= mKnownFencingNumber) {
            return;
        }
        mKnownHolder = Optional.of(name);
        mKnownFencingNumber = fencingNumber;
        mIsUnanswered = false;
        mSent = new TreeMap<>();
        mAnswered.clear();
        long jitter = mRandom.nextLong(mSchedule.windowEndJitter().toNanos());
        mNextSendNanos = Math.min(mNextSendNanos, mClock.nanoTime() + jitter);
    }

    private void sendCounts(boolean isForced) {
        SortedMap<Long, SortedMap<String, Long>> counts = mCounts.windows();
        if (!isHolder()) {
            counts.entrySet()
                    .removeIf(entry -> entry.getValue().equals(mAnswered.get(entry.getKey())));
        }
        if (counts.isEmpty() && !isForced) {
            mIsUnanswered = false;
            return;
        }
        if (!mIsUnanswered && !isHolder()) {
            mIsUnanswered = true;
            mUnansweredSinceNanos = mClock.nanoTime();
        }
        mSent = counts;
        mSentMillis = mTime.monotonicMillis();
        List<String> receivers = receivers();
        SortedMap<Long, SortedMap<String, Long>> part = new TreeMap<>();
        int size = 0;
        for (var window : counts.entrySet()) {
            if (!part.isEmpty() && size + window.getValue().size() > MAX_COUNTS) {
                // One answer does not stand for several messages: all are sent again.
                mSent = new TreeMap<>();
                send(message(part, mSentMillis, Optional.empty()), receivers);
                part = new TreeMap<>();
                size = 0;
            }
            part.put(window.getKey(), window.getValue());
            size += window.getValue().size();
        }
        send(message(part, mSentMillis, Optional.empty()), receivers);
    }

    private List<String> receivers() {
        List<String> others = mRanking.others();
        if (isHolder()) {
            return others.stream().limit(SUCCESSORS).toList();
        }
        Optional<String> holder = mKnownHolder.filter(name -> !name.equals(mSelf));
        boolean isSilent =
                mIsUnanswered
                        && mClock.nanoTime() - mUnansweredSinceNanos
                                >= mSchedule.silence().toNanos();
        if (holder.isPresent() && !isSilent) {
            return List.of(holder.get());
        }
        List<String> candidates = others.stream().limit(CANDIDATES).toList();
        Stream<String> next =
                candidates.isEmpty()
                        ? Stream.empty()
                        : Stream.of(candidates.get(mTurn++ % candidates.size()));
        return Stream.concat(holder.stream(), next).distinct().toList();
    }

    private DutyMessage message(
            SortedMap<Long, SortedMap<String, Long>> windows,
            long sentMillis,
            Optional<DutyMessage.Reply> reply) {
        return new DutyMessage(
                mSelf,
                mIncarnation,
                mClock.now().toEpochMilli(),
                mKnownHolder,
                mKnownFencingNumber,
                mReporter.fixedThrough(),
                windows,
                sentMillis,
                reply);
    }

    private void send(DutyMessage message, Collection<String> recipients) {
        mTransport.sendDutyMessage(DutyMessageCodec.encode(message), recipients);
    }

    @Override
    public void received(byte[] bytes) {
        DutyMessageCodec.decode(bytes).ifPresent(this::received);
    }

    private void received(DutyMessage message) {
        mTime.sample(message.sender(), message.timeOfDayMillis());
        message.holder().ifPresent(name -> learnHolder(name, message.fencingNumber()));
        message.fixedThrough().ifPresent(this::fixedThrough);
        message.windows()
                .forEach(
                        (window, counts) -> mLedger.receive(message.incarnation(), window, counts));
        if (message.reply().isPresent()) {
            replied(message, message.reply().get());
            return;
        }
        Optional<Long> trueTime = isHolder() ? Optional.of(mTime.nowMillis()) : Optional.empty();
        send(
                message(
                        new TreeMap<>(),
                        mTime.monotonicMillis(),
                        Optional.of(new DutyMessage.Reply(message.sentMillis(), trueTime))),
                List.of(message.sender()));
    }

    private void replied(DutyMessage message, DutyMessage.Reply reply) {
        boolean isAnswered =
                mKnownHolder.equals(Optional.of(message.sender()))
                        && reply.echoMillis() == mSentMillis;
        if (isAnswered) {
            mIsUnanswered = false;
            mAnswered.putAll(mSent);
            mNextSendNanos = mClock.nanoTime() + mSchedule.sendInterval().toNanos();
        }
        if (!isHolder()) {
            reply.trueTimeMillis().ifPresent(time -> mTime.correct(time, reply.echoMillis()));
        }
    }
}
