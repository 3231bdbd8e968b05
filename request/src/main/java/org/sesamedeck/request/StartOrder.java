package org.sesamedeck.request;

import java.util.Comparator;

/**
 * The order in which waiting requests start.
 *
 * <p>In a burst, more work arrives for some seconds than the engines can do. Started in the order
 * of arrival, each request then waits as long as the burst's surplus, and all of them miss their
 * target, although the engines could have served most of them on time. So those that can still be
 * on time go first, the one that is due soonest before the others; a request with a later target
 * can afford to wait for one with a nearer target. What can no longer be on time waits until none
 * of these is left, since an answer that is late is worth the same now and in a second; among these
 * the more urgent route goes first, and within a rank the earlier arrival. The place of a request
 * can be decided in this way only while it waits here and not at an engine.
 */
final class StartOrder implements Comparator<WaitingLine.Entry> {
    private static final Comparator<WaitingLine.Entry> BY_DUE_TIME =
            Comparator.<WaitingLine.Entry>comparingLong(entry -> entry.terms().dueNanos())
                    .thenComparingLong(WaitingLine.Entry::number);

    private static final Comparator<WaitingLine.Entry> BY_RANK =
            Comparator.<WaitingLine.Entry>comparingInt(entry -> entry.terms().priority())
                    .thenComparingLong(WaitingLine.Entry::number);

    private final long mNowNanos;

    private StartOrder(long nowNanos) {
        mNowNanos = nowNanos;
    }

    /** Returns the order that holds at a monotonic time, in nanoseconds. */
    static StartOrder at(long nowNanos) {
        return new StartOrder(nowNanos);
    }

    @Override
    public int compare(WaitingLine.Entry left, WaitingLine.Entry right) {
        boolean isLeftOnTime = canBeOnTime(left);
        if (isLeftOnTime != canBeOnTime(right)) {
            return isLeftOnTime ? -1 : 1;
        }
        return isLeftOnTime ? BY_DUE_TIME.compare(left, right) : BY_RANK.compare(left, right);
    }

    private boolean canBeOnTime(WaitingLine.Entry entry) {
        return entry.terms().dueNanos() - mNowNanos >= 0;
    }
}
