package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;

/**
 * This process's estimate of the true time, on which the windows of usage depend.
 *
 * <p>The time of day of a host may jump and its monotonic clock stands still while the host is
 * suspended, so neither is followed alone. The estimate runs on the monotonic clock. The holder of
 * the duties corrects its own by the median of the times of day that the other processes send,
 * which a minority of wrong clocks does not move; the others take over the estimate of the holder.
 * Reading is thread-safe; all else is confined to one thread.
 */
final class FleetTime {
    /** A median of fewer clocks may be that of a wrong one. */
    private static final int MIN_SAMPLES = 3;

    private static final Duration MAX_SAMPLE_AGE = Duration.ofSeconds(10);

    /** A response that took longer says too little about the time at which it was sent. */
    private static final Duration MAX_ROUND_TRIP = Duration.ofMillis(300);

    /** Larger changes between the two clocks of a host are steps or suspensions. */
    private static final Duration STEP = Duration.ofMillis(150);

    private final Clock mClock;
    private final Map<String, Sample> mSamples = new HashMap<>();
    private volatile long mOffsetMillis;
    private long mDifferenceMillis;

    /** The offset of the time of day of a process to the monotonic clock of this one. */
    private record Sample(long offsetMillis, long receivedMillis) {}

    private FleetTime(Clock clock) {
        mClock = clock;
        mDifferenceMillis = difference();
        mOffsetMillis = mDifferenceMillis;
    }

    /** Returns an estimate that begins with the time of day of this host. */
    static FleetTime create(Clock clock) {
        return new FleetTime(clock);
    }

    private long difference() {
        return mClock.now().toEpochMilli() - monotonicMillis();
    }

    /** Returns monotonic time in milliseconds. */
    long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mClock.nanoTime());
    }

    /** Returns the estimated time in milliseconds since 1970. */
    long nowMillis() {
        return monotonicMillis() + mOffsetMillis;
    }

    /** Returns the number of the current window of the given length. */
    long window(Duration length) {
        return Math.floorDiv(nowMillis(), length.toMillis());
    }

    /** Records the time of day that another process has just sent. */
    void sample(String process, long timeOfDayMillis) {
        long now = monotonicMillis();
        mSamples.put(process, new Sample(timeOfDayMillis - now, now));
    }

    /** Corrects the estimate by the recent samples, if there are enough. */
    void followMedian() {
        long oldest = monotonicMillis() - MAX_SAMPLE_AGE.toMillis();
        mSamples.values().removeIf(sample -> sample.receivedMillis() < oldest);
        if (mSamples.size() < MIN_SAMPLES) {
            return;
        }
        List<Long> offsets = new ArrayList<>();
        mSamples.values().forEach(sample -> offsets.add(sample.offsetMillis()));
        offsets.add(difference());
        Collections.sort(offsets);
        mOffsetMillis = offsets.get(offsets.size() / 2);
    }

    /**
     * Takes over the estimate of the holder from a response.
     *
     * @param askedMillis monotonic time at which the response was asked for
     */
    void correct(long trueTimeMillis, long askedMillis) {
        long roundTrip = monotonicMillis() - askedMillis;
        if (roundTrip >= 0 && roundTrip <= MAX_ROUND_TRIP.toMillis()) {
            mOffsetMillis = trueTimeMillis + roundTrip / 2 - monotonicMillis();
        }
    }

    /**
     * Returns whether the clocks of this host have moved against each other since the last call:
     * the time of day was stepped or the host was suspended, and the estimate may be wrong.
     */
    boolean hasStepped() {
        long difference = difference();
        boolean hasStepped = Math.abs(difference - mDifferenceMillis) > STEP.toMillis();
        mDifferenceMillis = difference;
        if (hasStepped) {
            mSamples.clear();
        }
        return hasStepped;
    }
}
