package org.sesamedeck.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.sesamedeck.core.Clock;

/**
 * Estimates how much longer messages were on their way than the fastest recent one of the same
 * sender. The clocks of two machines need not agree: the difference between the time of receipt and
 * the time of sending is an unknown offset plus the delay, so the excess over its minimum is the
 * part of the delay that varies. Confined to one thread.
 */
final class TransitDelays {
    /**
     * The minimum covers one to two windows. A link that is choked for longer than that looks fast
     * again. Two clocks that differ in speed by 100 ppm add at most 60 ms in two windows.
     */
    private static final Duration WINDOW = Duration.ofMinutes(5);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final Map<String, Sender> mSenders = new HashMap<>();
    private long mWindowStartNanos;

    /** Differences between the times of receipt and of sending, in nanoseconds. */
    private static final class Sender {
        private final long mIncarnation;
        private long mMinimum;
        private long mPreviousMinimum;
        private boolean mIsHeard = true;

        Sender(long incarnation, long difference) {
            mIncarnation = incarnation;
            mMinimum = difference;
            mPreviousMinimum = difference;
        }

        long excessOf(long difference) {
            mMinimum = mIsHeard ? Math.min(mMinimum, difference) : difference;
            mIsHeard = true;
            return Math.max(0, difference - Math.min(mMinimum, mPreviousMinimum));
        }

        /** Begins a window; returns whether the last one had a message. */
        boolean rotate() {
            boolean wasHeard = mIsHeard;
            mPreviousMinimum = mMinimum;
            mIsHeard = false;
            return wasHeard;
        }
    }

    TransitDelays(Clock clock) {
        mClock = clock;
        mWindowStartNanos = clock.nanoTime();
    }

    /**
     * Records a message that has just been received and returns its excess delay in nanoseconds; 0
     * for the first message of an incarnation and for messages without a time.
     */
    long excessNanos(LoadMessage message) {
        if (message.sentMillis() == 0) {
            return 0;
        }
        long now = mClock.nanoTime();
        if (now - mWindowStartNanos >= WINDOW.toNanos()) {
            mWindowStartNanos = now;
            mSenders.values().removeIf(sender -> !sender.rotate());
        }
        long difference = now - message.sentMillis() * NANOS_PER_MILLI;
        Sender sender = mSenders.get(message.sender());
        if (sender == null || sender.mIncarnation != message.incarnation()) {
            mSenders.put(message.sender(), new Sender(message.incarnation(), difference));
            return 0;
        }
        return sender.excessOf(difference);
    }
}
