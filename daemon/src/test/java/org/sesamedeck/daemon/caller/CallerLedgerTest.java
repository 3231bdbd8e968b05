package org.sesamedeck.daemon.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class CallerLedgerTest {
    private final ManualClock mClock = ManualClock.create();
    private final CallerLedger mLedger = CallerLedger.of(mClock, new CallerLimits(3, 1, 1_000, 0));
    private final List<String> mClosed = new ArrayList<>();

    private CallerConnection open(String name) {
        return mLedger.open(() -> mClosed.add(name));
    }

    private CallerConnection receiving(String name) {
        CallerConnection connection = open(name);
        mLedger.beginRequest(connection);
        mLedger.beginReceiving(connection);
        return connection;
    }

    private void pass(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    /** Guards against a process without descriptors: the longest idle connection makes room. */
    @Test
    void longestIdleConnectionMakesRoom() {
        CallerConnection first = open("first");
        pass(10);
        open("second");
        pass(10);
        mLedger.beginRequest(first);
        mLedger.endRequest(first);
        open("third");
        pass(10);
        open("fourth");
        assertThat(mClosed, contains("second"));
        assertThat(mLedger.connections(), is(3));
        assertThat(mLedger.ended(), is(1L));
    }

    /** Guards against ending requests that wait for an endpoint to make room for a new caller. */
    @Test
    void newConnectionIsClosedWhenAllAreServed() {
        for (String name : List.of("first", "second", "third")) {
            mLedger.beginRequest(open(name));
        }
        pass(60_000);
        open("fourth");
        assertThat(mClosed, contains("fourth"));
    }

    /** Guards against a crowd of stalled transfers that holds all connections. */
    @Test
    void longestStalledTransferMakesRoomWhenNoConnectionIsIdle() {
        receiving("first");
        pass(500);
        receiving("second");
        pass(500);
        receiving("third");
        pass(500);
        open("fourth");
        assertThat(mClosed, contains("first"));
    }

    /** Guards against callers that hold all threads, each with a body that never ends. */
    @Test
    void longestStalledTransfersAreEndedBeyondTheLimit() {
        receiving("first");
        pass(100);
        CallerConnection second = open("second");
        mLedger.beginRequest(second);
        mLedger.beginSending(second);
        pass(100);
        receiving("third");
        mLedger.check();
        assertThat("a burst passes", mClosed, empty());
        pass(1_000);
        mLedger.check();
        assertThat(mClosed, contains("first", "second"));
        assertThat(mLedger.transfers(), is(1));
    }

    /** Guards against a caller that keeps its thread by sending a byte now and then. */
    @Test
    void singleBytesAreNoProgress() {
        CallerConnection slow = receiving("slow");
        CallerConnection steady = receiving("steady");
        for (int i = 0; i < 20; i++) {
            pass(100);
            for (CallerConnection connection : List.of(slow, steady)) {
                mLedger.endTransfer(connection);
                mLedger.received(connection, connection == slow ? 1 : 2_048);
                mLedger.beginReceiving(connection);
            }
        }
        mLedger.check();
        assertThat(mClosed, contains("slow"));
    }

    /** Guards against counting the time that an endpoint takes as a stall of the caller. */
    @Test
    void timeOfTheEndpointIsNoStall() {
        CallerConnection first = receiving("first");
        receiving("second");
        mLedger.endTransfer(first);
        pass(5_000);
        mLedger.beginReceiving(first);
        mLedger.check();
        assertThat(mClosed, contains("second"));
    }

    /** Guards against stalled bodies that take all memory from others. */
    @Test
    void heaviestStalledBodyIsEndedWhenMemoryIsShort() {
        CallerConnection small = receiving("small");
        CallerConnection large = receiving("large");
        assertThat(mLedger.tryReserve(small, 100), is(true));
        assertThat(mLedger.tryReserve(large, 900), is(true));
        CallerConnection other = receiving("other");
        assertThat(mLedger.tryReserve(other, 100), is(false));
        assertThat(mClosed, empty());
        pass(1_500);
        assertThat("not before it is released", mLedger.tryReserve(other, 100), is(false));
        assertThat(mClosed, contains("large"));
        mLedger.release(large, 900);
        assertThat(mLedger.tryReserve(other, 100), is(true));
        assertThat(mLedger.usedBytes(), is(200L));
    }

    /** Guards against ending a request that may have been sent to an endpoint. */
    @Test
    void completeBodyIsNotEnded() {
        CallerConnection complete = receiving("complete");
        assertThat(mLedger.tryReserve(complete, 1_000), is(true));
        mLedger.endTransfer(complete);
        pass(60_000);
        assertThat(mLedger.tryReserve(receiving("other"), 1), is(false));
        assertThat(mClosed, empty());
    }

    /** Guards against a body limit above the memory with which no large body is ever served. */
    @Test
    void singleBodyMayExceedTheMemory() {
        assertThat(mLedger.tryReserve(receiving("first"), 5_000), is(true));
    }

    /** Guards against memory that stays reserved after a caller has left. */
    @Test
    void closedConnectionReleasesOnce() {
        CallerConnection first = receiving("first");
        mLedger.tryReserve(first, 400);
        mLedger.remove(first);
        mLedger.release(first, 400);
        assertThat(mLedger.usedBytes(), is(0L));
        assertThat(mLedger.transfers(), is(0));
        assertThat(mLedger.tryReserve(receiving("other"), 1_000), is(true));
    }

    /**
     * Guards against ordinary requests that wait behind large bodies, each of which holds a part of
     * the memory and waits for the rest.
     */
    @Test
    void smallRequestDoesNotWaitBehindLargeOnes() {
        CallerLedger ledger = CallerLedger.of(mClock, CallerLimits.of(10, 5, 64_000));
        List<CallerConnection> large = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            CallerConnection connection = ledger.open(() -> {});
            connection.expect(40_000);
            large.add(connection);
        }
        boolean isAnyReserved = true;
        while (isAnyReserved) {
            isAnyReserved = false;
            for (CallerConnection connection : large) {
                isAnyReserved |= ledger.tryReserve(connection, 500);
            }
        }
        assertThat("large ones take their part", ledger.usedBytes(), is(56_000L));
        CallerConnection small = ledger.open(() -> {});
        small.expect(500);
        assertThat(ledger.tryReserve(small, 500), is(true));
        assertThat(ledger.tryReserve(small, 500), is(true));
        assertThat("it has become large", ledger.tryReserve(small, 500), is(false));
        small.release(1_000);
        large.forEach(connection -> connection.release(14_000));
        assertThat(ledger.usedBytes(), is(0L));
        assertThat(ledger.tryReserve(large.get(0), 56_000), is(true));
    }

    /** Guards against a large body that does not fit beside small ones and is never served. */
    @Test
    void onlyLargeRequestMayTakeTheMemoryForSmallOnes() {
        CallerLedger ledger = CallerLedger.of(mClock, CallerLimits.of(10, 5, 64_000));
        assertThat(ledger.tryReserve(ledger.open(() -> {}), 500), is(true));
        CallerConnection large = ledger.open(() -> {});
        assertThat(ledger.tryReserve(large, 60_000), is(true));
        assertThat(ledger.tryReserve(ledger.open(() -> {}), 10_000), is(false));
    }
}
