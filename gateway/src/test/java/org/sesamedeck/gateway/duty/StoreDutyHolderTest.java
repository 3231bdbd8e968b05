package org.sesamedeck.gateway.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.gateway.RecordingLog;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.StoreFault;

class StoreDutyHolderTest {
    private static final DutyTiming TIMING = new DutyTiming(Duration.ofSeconds(3));
    private static final Duration LONG_ENOUGH = Duration.ofSeconds(10);

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore =
            FakeObjectStore.create(mScheduler, mScheduler.clock()).ignoringUnchangedWrites();
    private final List<Member> mMembers = new ArrayList<>();

    /** A host with its part in the decision. */
    private record Member(SimulatedHost host, StoreDutyHolder holder) {}

    private Member member(int rank) {
        FakeObjectStore client = mStore.anotherClient();
        client.setDelay(Duration.ofMillis(10));
        SimulatedHost host = new SimulatedHost(mScheduler, client);
        StoreDutyHolder holder =
                StoreDutyHolder.create(
                        host.clock(),
                        host.store(),
                        host,
                        new RecordingLog(),
                        TIMING,
                        "host-" + mMembers.size(),
                        1_000 + mMembers.size());
        holder.updateRank(rank);
        holder.start();
        Member member = new Member(host, holder);
        mMembers.add(member);
        return member;
    }

    private void advance(Duration time) {
        mScheduler.advance(time);
    }

    private Optional<DutyRight> confirm(Member member) {
        Optional<DutyRight>[] result = new Optional[] {Optional.empty()};
        member.holder().confirm().thenAccept(right -> result[0] = right);
        advance(Duration.ofMillis(100));
        return result[0];
    }

    /** Guards against two holders, or none, when all processes start at the same time. */
    @Test
    void exactlyOneOfManyProcessesBecomesHolder() {
        for (int rank = 0; rank < 20; rank++) {
            member(rank % 4);
        }
        advance(LONG_ENOUGH);
        assertThat(mMembers.stream().filter(member -> member.holder().isHolder()).count(), is(1L));
    }

    /** Guards against calls of a killed holder's successor under the same fencing number. */
    @Test
    void successorOfKilledHolderHasHigherFencingNumber() {
        Member first = member(0);
        Member second = member(1);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        first.host().kill();
        advance(LONG_ENOUGH);
        assertThat(second.holder().isHolder(), is(true));
        assertThat(
                confirm(second).orElseThrow().fencingNumber(), greaterThan(right.fencingNumber()));
    }

    /** Guards against a second holder while the first one works. */
    @Test
    void workingHolderKeepsDutiesAndFencingNumber() {
        Member first = member(0);
        Member second = member(1);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        advance(Duration.ofMinutes(2));
        assertThat(confirm(first), is(Optional.of(right)));
        assertThat(second.holder().isHolder(), is(false));
        assertThat(second.holder().holder(), is(Optional.of("host-0")));
    }

    /** Guards against a call on a right that was obtained before a freeze. */
    @Test
    void rightIsNotUsableAfterFreeze() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        assertThat(first.holder().isUsable(right), is(true));
        first.host().freeze();
        advance(Duration.ofSeconds(2));
        first.host().resume();
        assertThat(first.holder().isUsable(right), is(false));
    }

    /** Guards against trust in the monotonic clock, which stands still in a suspended host. */
    @Test
    void rightIsNotUsableAfterSuspension() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        first.host().suspend();
        advance(Duration.ofSeconds(1));
        first.host().resume();
        assertThat(first.holder().isUsable(right), is(false));
        assertThat(confirm(first), is(Optional.of(right)));
    }

    /** Guards against trust in the time of day, which may jump back during a freeze. */
    @Test
    void rightIsNotUsableAfterStepOfTimeOfDay() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        first.host().stepTimeOfDay(Duration.ofSeconds(-1));
        assertThat(first.holder().isUsable(right), is(false));
    }

    /** Guards against a right from a write that may not have taken effect. */
    @Test
    void writeWithoutResponseGivesNoRight() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        for (StoreFault fault :
                List.of(
                        StoreFault.LOST_BEFORE_EFFECT,
                        StoreFault.LOST_AFTER_EFFECT,
                        StoreFault.LATE_EFFECT)) {
            advance(Duration.ofMillis(1_300));
            first.host().fakeStore().failNextWrite(fault);
            boolean[] isGranted = new boolean[1];
            first.holder()
                    .confirm(note -> note + 'x')
                    .thenAccept(right -> isGranted[0] = right.isPresent());
            advance(Duration.ofMillis(1_100));
            assertThat(isGranted[0], is(false));
            advance(LONG_ENOUGH);
            assertThat(confirm(first).isPresent(), is(true));
        }
    }

    /** Guards against the loss of a note whose write took effect without a response. */
    @Test
    void noteOfWriteThatTookEffectWithoutResponseIsRead() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        first.host().fakeStore().failNextWrite(StoreFault.LOST_AFTER_EFFECT);
        first.holder().confirm(note -> "window 7");
        advance(Duration.ofSeconds(3));
        assertThat(first.holder().note(), is("window 7"));
    }

    /** Guards against a holder that is cut off from the store and goes on. */
    @Test
    void holderWithoutStoreIsReplacedAndStops() {
        Member first = member(0);
        Member second = member(1);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        first.host().fakeStore().setUnavailable(true);
        advance(TIMING.rightTime());
        assertThat(first.holder().isUsable(right), is(false));
        advance(LONG_ENOUGH);
        assertThat(second.holder().isHolder(), is(true));
        first.host().fakeStore().setUnavailable(false);
        advance(LONG_ENOUGH);
        assertThat(first.holder().isHolder(), is(false));
        assertThat(second.holder().isHolder(), is(true));
    }

    /** Guards against duties that nobody performs for long after a planned stop. */
    @Test
    void plannedStopHandsOverQuickly() {
        Member first = member(0);
        Member second = member(1);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        first.holder().stop();
        assertThat(first.holder().isUsable(right), is(false));
        advance(TIMING.callTimeout().plus(TIMING.lease()));
        assertThat(second.holder().isHolder(), is(true));
        assertThat(first.holder().isHolder(), is(false));
    }

    /** Guards against holders that stop one after the other and so act in turn within the lease. */
    @Test
    void holderThatStopsSoonKeepsDutiesForLease() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        Member second = member(1);
        Member third = member(2);
        first.holder().stop();
        while (!second.holder().isHolder()) {
            advance(Duration.ofMillis(100));
        }
        second.holder().stop();
        advance(TIMING.lease().minusMillis(200));
        assertThat(third.holder().isHolder(), is(false));
        advance(LONG_ENOUGH);
        assertThat(third.holder().isHolder(), is(true));
    }

    /** Guards against calls under a fencing number that the platform has refused. */
    @Test
    void refusedHolderReturnsWithHigherFencingNumberOnly() {
        Member first = member(0);
        advance(LONG_ENOUGH);
        DutyRight right = confirm(first).orElseThrow();
        first.holder().refused(right);
        assertThat(first.holder().isUsable(right), is(false));
        assertThat(confirm(first), is(Optional.empty()));
        advance(LONG_ENOUGH);
        assertThat(
                confirm(first).orElseThrow().fencingNumber(), greaterThan(right.fencingNumber()));
    }

    /** Guards against a record of another writer that keeps all processes from the duties. */
    @Test
    void unreadableRecordIsReplaced() {
        mStore.create(StoreDutyHolder.KEY, "\u0000nobody");
        Member first = member(0);
        advance(LONG_ENOUGH);
        assertThat(first.holder().isHolder(), is(true));
    }

    /** Guards against calls to the store that grow with the number of processes. */
    @Test
    void callsGrowWithLogarithmOfProcesses() {
        for (int rank = 0; rank < 490; rank++) {
            member(rank);
        }
        advance(Duration.ofMinutes(1));
        long before = calls();
        advance(Duration.ofSeconds(100));
        assertThat((calls() - before) / 100.0, lessThanOrEqualTo(10.0));
        assertThat(mMembers.get(0).holder().holder(), is(not(Optional.empty())));
    }

    private long calls() {
        return mMembers.stream()
                .map(member -> member.host().fakeStore().calls())
                .mapToLong(counter -> counter.reads() + counter.writes())
                .sum();
    }
}
