package org.sesamedeck.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.CallKind;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.SimulatedProcess;
import org.sesamedeck.platform.StoreFault;

class LeaseManagerTest {
    private static final ObjectKey KEY = ObjectKey.of("engine-group", "0");

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mFirstStore =
            FakeObjectStore.create(mScheduler, mScheduler.clock());
    private final FakeObjectStore mSecondStore = mFirstStore.anotherClient();
    private final SimulatedProcess mFirstProcess = SimulatedProcess.start(mScheduler);
    private final SimulatedProcess mSecondProcess = SimulatedProcess.start(mScheduler);
    private final List<String> mLossReasons = new ArrayList<>();
    private LeaseManager mFirstManager;
    private LeaseManager mSecondManager;

    @BeforeEach
    void createManagers() {
        mFirstManager = manager("first", mFirstStore, mFirstProcess);
        mSecondManager = manager("second", mSecondStore, mSecondProcess);
    }

    private LeaseManager manager(String node, FakeObjectStore store, SimulatedProcess process) {
        return DefaultLeaseManager.create(
                store,
                process,
                mScheduler.clock(),
                LeaseSettings.standard(),
                node,
                HostAddress.of("127.0.0.1", 1),
                "token");
    }

    private CompletableFuture<Lease> acquire(LeaseManager manager) {
        return manager.acquire(KEY, (lease, reason) -> mLossReasons.add(reason));
    }

    private Lease firstLease() {
        CompletableFuture<Lease> lease = acquire(mFirstManager);
        mScheduler.advance(Duration.ofMillis(10));
        return lease.join();
    }

    /** A held lease must not expire or change its holder as long as no fault occurs. */
    @Test
    void heldLeaseIsRenewedAndKept() {
        Lease lease = firstLease();
        CompletableFuture<Lease> other = acquire(mSecondManager);
        mScheduler.advance(Duration.ofMinutes(2));
        assertThat(lease.isHeld(), is(true));
        assertThat(other.isDone(), is(false));
        assertThat(mLossReasons, empty());
        // One write every 3 s; the candidate keeps one watch open and makes no other reads.
        assertThat(mFirstStore.calls().writes(), lessThanOrEqualTo(42L));
        assertThat(mSecondStore.calls().calls(CallKind.GET), is(1L));
    }

    /** The holder must stop acting before any candidate can acquire the lease. */
    @Test
    void holderStopsBeforeTheCandidateTakesOver() {
        Lease lease = firstLease();
        CompletableFuture<Lease> other = acquire(mSecondManager);
        mScheduler.advance(Duration.ofSeconds(1));
        mFirstStore.setUnavailable(true);
        while (lease.isHeld()) {
            assertThat(other.isDone(), is(false));
            mScheduler.advance(Duration.ofMillis(100));
        }
        assertThat(mLossReasons, contains("it was not renewed in time"));
        mScheduler.advance(Duration.ofMillis(1500));
        assertThat(other.isDone(), is(false));
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(other.join().fencingNumber(), greaterThan(lease.fencingNumber()));
        assertThat(other.join().unsettled(), contains("first"));
    }

    /**
     * A release must spare the candidate the wait for the lease duration, and must not leave the
     * former holder as unsettled or report a loss to it.
     */
    @Test
    void releasedLeaseIsAcquiredAtOnceWithoutUnsettledNodes() {
        Lease lease = firstLease();
        CompletableFuture<Lease> other = acquire(mSecondManager);
        mScheduler.advance(Duration.ofSeconds(1));
        lease.release();
        assertThat(lease.isHeld(), is(false));
        mScheduler.advance(Duration.ofMillis(100));
        assertThat(other.join().formerHolder().isReleased(), is(true));
        assertThat(other.join().unsettled(), empty());
        assertThat(mLossReasons, empty());
    }

    /** A write that took effect although its response was lost must not end the lease. */
    @Test
    void writeWithoutResponseIsReadBack() {
        Lease lease = firstLease();
        mFirstStore.failNextWrite(StoreFault.LOST_AFTER_EFFECT);
        CompletableFuture<Long> change = lease.change((payload, version) -> "x");
        mScheduler.advance(Duration.ofSeconds(30));
        assertThat(change.isCompletedExceptionally(), is(false));
        assertThat(change.isDone(), is(true));
        assertThat(lease.payload(), is("x"));
        assertThat(lease.isHeld(), is(true));
    }

    /** A late write conflicts with its own retry, which must not be mistaken for another holder. */
    @Test
    void lateWriteOfTheHolderIsNotMistakenForAnotherHolder() {
        Lease lease = firstLease();
        mFirstStore.setLateWriteDelay(Duration.ofMillis(20));
        mFirstStore.failNextWrite(StoreFault.LATE_EFFECT);
        CompletableFuture<Long> change = lease.change((payload, version) -> payload + "x");
        mScheduler.advance(Duration.ofSeconds(30));
        assertThat(change.isDone(), is(true));
        assertThat(lease.payload(), is("x"));
        assertThat(lease.isHeld(), is(true));
    }

    /** The conditional update must exclude a holder that was paused until its lease had expired. */
    @Test
    void changeOfAPausedFormerHolderHasNoEffect() {
        Lease lease = firstLease();
        CompletableFuture<Lease> other = acquire(mSecondManager);
        mScheduler.advance(Duration.ofSeconds(1));
        mFirstProcess.pause(Duration.ofSeconds(60));
        CompletableFuture<Long> change = lease.change((payload, version) -> "late");
        mScheduler.advance(Duration.ofSeconds(90));
        assertThat(
                SesamedeckException.from(change.handle((version, failure) -> failure).join())
                        .code(),
                is(ResultCode.LEASE_LOST));
        assertThat(other.join().isHeld(), is(true));
        assertThat(lease.remaining(), is(Duration.ZERO));
    }

    /**
     * A user that saw the lease expire has stopped acting, so a late renewal response must not make
     * it valid again.
     */
    @Test
    void lateResponseDoesNotMakeAnExpiredLeaseValidAgain() {
        Lease lease = firstLease();
        // The renewal is sent at 3 s; the response arrives at 6 s, in a pause from 5 s to 8.5 s.
        mFirstStore.setDelay(Duration.ofSeconds(3));
        mScheduler.advance(Duration.ofMillis(4990));
        mFirstProcess.pause(Duration.ofMillis(3500));
        mScheduler.advance(Duration.ofSeconds(3));
        assertThat(lease.remaining(), is(Duration.ZERO));
        for (int i = 0; i < 100; i++) {
            mScheduler.advance(Duration.ofMillis(100));
            assertThat(lease.remaining(), is(Duration.ZERO));
        }
        assertThat(mLossReasons, contains("it was not renewed in time"));
    }

    /** Watches that return stale values must not cause an early takeover or a busy loop. */
    @Test
    void staleWatchDoesNotEndALeaseThatIsRenewed() {
        Lease lease = firstLease();
        mSecondStore.setWatchStale(true);
        CompletableFuture<Lease> other = acquire(mSecondManager);
        mScheduler.advance(Duration.ofMinutes(1));
        assertThat(lease.isHeld(), is(true));
        assertThat(other.isDone(), is(false));
        assertThat(mSecondStore.calls().reads(), lessThanOrEqualTo(600L));
    }

    /**
     * A candidate whose calls are refused by the rate limit must go on trying, but not in a tight
     * loop.
     */
    @Test
    void rateLimitOnlyDelaysTheAcquisition() {
        mFirstStore.setRateLimit(0);
        CompletableFuture<Lease> lease = acquire(mFirstManager);
        mScheduler.advance(Duration.ofSeconds(10));
        assertThat(lease.isDone(), is(false));
        assertThat(mFirstStore.calls().reads(), lessThanOrEqualTo(12L));
        mFirstStore.setRateLimit(10);
        mScheduler.advance(Duration.ofSeconds(3));
        assertThat(lease.join().isHeld(), is(true));
    }

    /**
     * When a holder crashes before it has settled the previous holder, the next one must still find
     * both in the list of unsettled nodes.
     */
    @Test
    void formerHoldersStayUnsettledOverSeveralTakeovers() {
        firstLease();
        CompletableFuture<Lease> second = acquire(mSecondManager);
        mFirstProcess.kill();
        mScheduler.advance(Duration.ofSeconds(12));
        assertThat(second.isDone(), is(true));
        mSecondProcess.kill();
        SimulatedProcess third = SimulatedProcess.start(mScheduler);
        CompletableFuture<Lease> lease =
                acquire(manager("third", mFirstStore.anotherClient(), third));
        mScheduler.advance(Duration.ofSeconds(12));
        assertThat(lease.join().unsettled(), contains("first", "second"));
        lease.join().settle(List.of("first"));
        mScheduler.advance(Duration.ofSeconds(1));
        assertThat(lease.join().unsettled(), contains("second"));
    }
}
