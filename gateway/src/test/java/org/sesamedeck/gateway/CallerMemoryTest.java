package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sesamedeck.platform.ManualScheduler;

class CallerMemoryTest {
    private static final int LIMIT = 1_000;

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final CallerMemory mMemory =
            CallerMemory.of(mScheduler.clock(), new ManualTimers(mScheduler), LIMIT);

    /** A holder whose weight and speed the test sets. */
    private final class Holder implements MemoryHolder {
        private double mWeight;
        private long mHeldBytes;
        private boolean mIsSlow;
        private boolean mIsAdmitted;
        private boolean mIsEnded;

        private Holder(double weight) {
            mWeight = weight;
            mMemory.add(this);
        }

        boolean reserve(long bytes) {
            boolean isReserved = mMemory.tryReserve(this, bytes);
            mHeldBytes += isReserved ? bytes : 0;
            return isReserved;
        }

        @Override
        public double reclaimWeight(long nowNanos) {
            return mWeight;
        }

        @Override
        public void reclaim() {
            mIsEnded = true;
            mMemory.remove(this, mHeldBytes);
        }

        @Override
        public boolean isSlow(long nowNanos) {
            return mIsSlow;
        }

        @Override
        public void admitted() {
            mIsAdmitted = true;
        }
    }

    /** Guards against refusing the ordinary while others hold the memory without progress. */
    @Test
    void heaviestHolderMakesRoom() {
        Holder light = new Holder(1);
        Holder heavy = new Holder(9);
        assertThat(heavy.reserve(600), is(true));
        assertThat(light.reserve(300), is(true));
        assertThat(light.reserve(200), is(true));
        assertThat(heavy.mIsEnded, is(true));
        assertThat(mMemory.usedBytes(), is(500L));
    }

    /** Guards against memory that is granted to a body which is already complete, and stays. */
    @Test
    void bodyThatIsCompleteNoLongerWaits() {
        Holder first = new Holder(0);
        Holder second = new Holder(0);
        assertThat(mMemory.admit(first, 900), is(true));
        assertThat(mMemory.admit(second, 900), is(false));
        mMemory.cancelWait(second);
        mMemory.releaseLarge(first);
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(second.mIsAdmitted, is(false));
        assertThat(mMemory.usedBytes(), is(0L));
    }

    /** Guards against ending others for the one that weighs most, or for want of any to end. */
    @Test
    void requesterThatWeighsMostIsRefused() {
        Holder light = new Holder(1);
        Holder heavy = new Holder(9);
        Holder working = new Holder(0);
        working.reserve(500);
        light.reserve(400);
        assertThat(heavy.reserve(200), is(false));
        assertThat(light.mIsEnded, is(false));
        assertThat(mMemory.usedBytes(), is(900L));
    }

    /** Guards against large bodies that each hold a part, so that none can be completed. */
    @Test
    void largeBodiesWaitForRoomForAllOfThem() {
        Holder first = new Holder(0);
        Holder second = new Holder(0);
        assertThat(mMemory.admit(first, 700), is(true));
        assertThat(mMemory.admit(second, 700), is(false));
        mMemory.releaseLarge(first);
        mScheduler.advance(Duration.ofMillis(1));
        assertThat(second.mIsAdmitted, is(true));
        assertThat(mMemory.usedBytes(), is(700L));
    }

    /** Guards against an upload that stops short of its end and keeps all others out. */
    @Test
    void slowBodyIsEndedWhileOthersWait() {
        Holder stalled = new Holder(0);
        Holder second = new Holder(0);
        mMemory.admit(stalled, 700);
        mMemory.admit(second, 700);
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(stalled.mIsEnded, is(false));
        stalled.mIsSlow = true;
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(stalled.mIsEnded, is(true));
        assertThat(second.mIsAdmitted, is(true));
    }

    /** Guards against a body that is larger than the part for large ones and never admitted. */
    @Test
    void singleBodyMayTakeNearlyAllMemory() {
        assertThat(mMemory.admit(new Holder(0), 900), is(true));
    }
}
