package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

/** A burst that brings more answers than can start on time. */
class StartOrderTest {
    private static final long TARGET_NANOS = Duration.ofMillis(500).toNanos();
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

    private final ManualClock mClock = ManualClock.create();
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final WaitingLine mLine = new WaitingLine(mClock, mTimers);
    private final List<String> mStarted = new ArrayList<>();
    private int mRoom;

    /** A request that starts while there is room. */
    private final class NamedWaiter implements WaitingLine.Waiter {
        private final String mName;

        NamedWaiter(String name) {
            mName = name;
        }

        @Override
        public boolean isOver() {
            return false;
        }

        @Override
        public boolean startIfRoom() {
            if (mRoom == 0) {
                return false;
            }
            mRoom--;
            mStarted.add(mName);
            return true;
        }

        @Override
        public void leaveLine() {}
    }

    private void enter(String name, int priority, long untilDueNanos) {
        long due = mClock.nanoTime() + untilDueNanos;
        mLine.enter(new NamedWaiter(name), new StartTerms(priority, due, LONGEST_WAIT));
    }

    private void makeRoom(int room) {
        mRoom = room;
        mTimers.advance(Duration.ofMillis(50));
    }

    /** Guards against bursts after which every request is late, since late ones go first. */
    @Test
    void aRequestThatCanBeOnTimePassesLateOnes() {
        enter("old", 0, TARGET_NANOS);
        mTimers.advance(Duration.ofMillis(600));
        enter("new", 2, TARGET_NANOS);
        makeRoom(1);
        assertThat(mStarted, contains("new"));
        makeRoom(1);
        assertThat(mStarted, contains("new", "old"));
    }

    /** Guards against requests with a near target that wait behind ones with a far target. */
    @Test
    void theRequestThatIsDueFirstGoesFirst() {
        enter("far", 0, 3 * TARGET_NANOS);
        enter("near", 2, TARGET_NANOS);
        makeRoom(2);
        assertThat(mStarted, contains("near", "far"));
    }

    /** Guards against urgent routes that are served less often once all requests are late. */
    @Test
    void amongLateRequestsTheMoreUrgentGoesFirst() {
        enter("patient", 2, TARGET_NANOS);
        enter("urgent", 0, TARGET_NANOS);
        mTimers.advance(Duration.ofSeconds(1));
        makeRoom(2);
        assertThat(mStarted, contains("urgent", "patient"));
    }

    /**
     * Guards against fresh requests that are refused because of late ones which they would pass.
     */
    @Test
    void lateRequestsDoNotCountAsAhead() {
        enter("late", 0, 0);
        mTimers.advance(Duration.ofMillis(10));
        long due = mClock.nanoTime() + TARGET_NANOS;
        assertThat(mLine.ahead(new StartTerms(2, due, LONGEST_WAIT)), is(0));
        assertThat(mLine.ahead(new StartTerms(2, mClock.nanoTime() - 1, LONGEST_WAIT)), is(1));
    }
}
