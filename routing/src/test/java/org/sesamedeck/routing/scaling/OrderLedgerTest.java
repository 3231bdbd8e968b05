package org.sesamedeck.routing.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class OrderLedgerTest {
    private static final Duration START_TIME = Duration.ofSeconds(4);
    private static final ServerPool POOL = new ServerPool("a", true);

    private final ManualClock mClock = ManualClock.create();
    private final OrderLedger mLedger = OrderLedger.create(mClock);

    /** Guards against ordering servers twice that an earlier order has started. */
    @Test
    void refusedOrderLeavesTheEarlierOne() {
        mLedger.ordered(POOL, 6, 2, START_TIME);
        mLedger.accepted(POOL);
        mClock.advance(Duration.ofSeconds(1));
        mLedger.ordered(POOL, 8, 2, START_TIME);
        mLedger.refused(POOL);
        assertThat(mLedger.expected(POOL, 2), is(6));
        mClock.advance(Duration.ofSeconds(30));
        assertThat(mLedger.expected(POOL, 2), is(2));
    }

    /** Guards against counting on servers whose first order was refused. */
    @Test
    void refusedFirstOrderLeavesNothing() {
        mLedger.ordered(POOL, 6, 2, START_TIME);
        mLedger.refused(POOL);
        assertThat(mLedger.expected(POOL, 2), is(2));
    }

    /** Guards against relying on servers that a call without an answer may still take away. */
    @Test
    void serversOfAnUnansweredOrderToGiveBackDoNotCountForSeconds() {
        mLedger.ordered(POOL, 4, 10, START_TIME);
        mLedger.unanswered(POOL);
        mClock.advance(Duration.ofSeconds(9));
        assertThat(mLedger.staying(POOL, 10), is(4));
        assertThat(mLedger.expected(POOL, 10), is(4));
        mClock.advance(Duration.ofSeconds(2));
        assertThat(mLedger.staying(POOL, 10), is(10));
    }

    /** Guards against servers that count as gone although the platform has kept them. */
    @Test
    void answeredOrderToGiveBackCountsUntilTheTableMustShowIt() {
        mLedger.ordered(POOL, 4, 10, START_TIME);
        mLedger.accepted(POOL);
        mClock.advance(Duration.ofSeconds(4));
        assertThat(mLedger.staying(POOL, 10), is(10));
    }
}
