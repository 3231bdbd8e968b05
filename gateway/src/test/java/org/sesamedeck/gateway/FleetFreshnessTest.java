package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.routing.FleetProgress;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.LoadScope;
import org.sesamedeck.routing.StoreProgress;

/** A fleet in which few processes follow the store with short waits is as fresh as each alone. */
class FleetFreshnessTest {
    private static final Duration SETTLING_TIME = Duration.ofSeconds(4);
    private static final Duration BOUND = Duration.ofSeconds(4);
    private static final Duration TELL_INTERVAL = Duration.ofMillis(200);

    /** Three hops, each of which waits for a round of messages. */
    private static final Duration TELL_DELAY = Duration.ofMillis(600);

    private static final Duration HOP_TIME = Duration.ofMillis(20);
    private static final int PROCESSES = 18;
    private static final int SHORT_WAITS = 3;

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final SimulatedStore<String> mStore = new SimulatedStore<>(mScheduler);
    private final List<Process> mProcesses = new ArrayList<>();
    private final Random mRandom = new Random(1);
    private final Set<Long> mSentRevisions = new HashSet<>();
    private double mLossRatio;
    private boolean mIsSharing;

    /** A process that follows the store and hears from the others. */
    private final class Process implements FeedFollower.Listener<String> {
        private final FleetProgress mProgress = FleetProgress.create(mScheduler.clock());
        private final Set<String> mKnown = new HashSet<>();
        private final int mNumber;
        private final ChangeSharing mSharing;
        private FeedFollower<String> mFollower;
        private boolean mIsConnected = true;
        private int mOutages;
        private Duration mLinkDelay = Duration.ZERO;

        Process(int number) {
            mNumber = number;
            mSharing =
                    new ChangeSharing(
                            String.valueOf(number),
                            this::recipients,
                            new Random(number),
                            this::sendChanges);
        }

        /** The processes with short waits relay to all others. */
        private List<String> recipients(String sender) {
            boolean isOwn = sender.equals(String.valueOf(mNumber));
            return isOwn ? mProcesses.stream().map(Process::name).toList() : List.of();
        }

        private String name() {
            return String.valueOf(mNumber);
        }

        private void sendChanges(byte[] bytes, Collection<String> recipients) {
            mSentRevisions.add(SharedChangesCodec.decode(bytes).orElseThrow().revision());
            for (Process other : mProcesses) {
                boolean isLost = !mIsConnected || mRandom.nextDouble() < mLossRatio;
                if (other != this && recipients.contains(other.name()) && !isLost) {
                    mScheduler.schedule(HOP_TIME, () -> other.receiveChanges(bytes));
                }
            }
        }

        private void receiveChanges(byte[] bytes) {
            if (mIsConnected) {
                SharedChangesCodec.decode(bytes).ifPresent(mSharing::receive);
            }
        }

        private FleetWatchSchedule schedule() {
            FleetWatchSchedule schedule =
                    new FleetWatchSchedule(
                            mStore.kind(),
                            WatchPace.within(SETTLING_TIME, BOUND),
                            mProgress,
                            () -> false,
                            () -> mNumber < SHORT_WAITS);
            if (mIsSharing) {
                schedule.enableSharing(mSharing, BOUND);
            }
            return schedule;
        }

        void start() {
            mFollower =
                    FeedFollower.create(
                            mStore,
                            mScheduler.clock(),
                            new ManualTimers(mScheduler),
                            new RecordingLog(),
                            this,
                            schedule(),
                            mNumber);
            mFollower.start();
            tell();
        }

        private void tell() {
            List<StoreProgress> told = mProgress.toTell();
            long sentMillis = mScheduler.clock().nanoTime() / 1_000_000 + 1;
            mScheduler.schedule(
                    TELL_DELAY, () -> deliver(message(olderByTheDelay(told), sentMillis)));
            mScheduler.schedule(TELL_INTERVAL, this::tell);
        }

        /** Relays count the time for which they hold a confirmation until their next round. */
        private List<StoreProgress> olderByTheDelay(List<StoreProgress> told) {
            return told.stream()
                    .map(
                            progress ->
                                    new StoreProgress(
                                            progress.kind(),
                                            progress.changedRevision(),
                                            progress.confirmedAgeNanos() + TELL_DELAY.toNanos()))
                    .toList();
        }

        private LoadMessage message(List<StoreProgress> told, long sentMillis) {
            return new LoadMessage(
                    name(),
                    1,
                    sentMillis,
                    LoadScope.FLEET,
                    List.of(),
                    List.of(),
                    told,
                    Optional.empty(),
                    1,
                    sentMillis);
        }

        private void deliver(LoadMessage message) {
            mProcesses.stream()
                    .filter(other -> other != this && mIsConnected && other.mIsConnected)
                    .forEach(other -> other.receiveAfterLinkDelay(message));
        }

        private void receiveAfterLinkDelay(LoadMessage message) {
            if (mLinkDelay.isZero()) {
                mProgress.receive(message);
            } else {
                mScheduler.schedule(mLinkDelay, () -> mProgress.receive(message));
            }
        }

        void kill() {
            mFollower.close();
            mIsConnected = false;
        }

        @Override
        public void listed(List<Feed.Item<String>> items) {
            mKnown.clear();
            changed(items);
        }

        @Override
        public void changed(List<Feed.Item<String>> items) {
            for (Feed.Item<String> item : items) {
                if (item.isDeleted()) {
                    mKnown.remove(item.name());
                } else {
                    mKnown.add(item.name());
                }
            }
        }

        @Override
        public void storeUnavailable() {
            mOutages++;
        }

        @Override
        public void storeRecovered() {}
    }

    private void startFleet(int phase) {
        mStore.put("first", "value");
        for (int number = 0; number < PROCESSES; number++) {
            mProcesses.add(new Process(number));
        }
        mProcesses.forEach(Process::start);
        mScheduler.advance(Duration.ofSeconds(20).plusMillis(phase));
    }

    private void assertAllKnow(List<Process> processes, String name) {
        assertThat(
                processes.stream().map(process -> process.mKnown.contains(name)).toList(),
                everyItem(is(true)));
    }

    /** Guards against changes that stay hidden behind long waits on connections gone silent. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400})
    void changeIsKnownInTimeAfterAllConnectionsWentSilent(int phase) {
        startFleet(phase);
        mStore.silenceConnections();
        mScheduler.advance(Duration.ofMillis(300));
        mStore.put("new", "value");
        mScheduler.advance(SETTLING_TIME.minusMillis(300));
        assertAllKnow(mProcesses, "new");
    }

    /** Guards against the same when the processes with short waits are lost at that moment. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400})
    void changeIsKnownInTimeWithoutTheProcessesWithShortWaits(int phase) {
        startFleet(phase);
        List<Process> lost = mProcesses.subList(0, SHORT_WAITS);
        lost.forEach(Process::kill);
        mStore.silenceConnections();
        mScheduler.advance(Duration.ofMillis(300));
        mStore.put("new", "value");
        mScheduler.advance(SETTLING_TIME.minusMillis(300));
        assertAllKnow(mProcesses.subList(SHORT_WAITS, PROCESSES), "new");
    }

    /** Guards against calls that replace each other before a slow store has answered them. */
    @Test
    void changeIsKnownWhenTheStoreIsSlow() {
        startFleet(0);
        mStore.silenceSomeConnections();
        mStore.setResponseTime(Duration.ofMillis(600));
        mStore.put("new", "value");
        mScheduler.advance(SETTLING_TIME.plusSeconds(2));
        assertAllKnow(mProcesses, "new");
    }

    /** Guards against a process that relies on peers from which it has been cut off. */
    @Test
    void processThatHearsNothingFollowsTheStoreOnItsOwn() {
        startFleet(0);
        Process cutOff = mProcesses.get(PROCESSES - 1);
        cutOff.mIsConnected = false;
        mScheduler.advance(SETTLING_TIME);
        mStore.silenceConnections();
        mStore.put("new", "value");
        mScheduler.advance(SETTLING_TIME);
        assertAllKnow(List.of(cutOff), "new");
    }

    /** Guards against calls that grow with the fleet while nothing changes. */
    @Test
    void quietFleetCallsTheStoreForFewProcesses() {
        startFleet(0);
        int before = mStore.calls();
        mScheduler.advance(Duration.ofSeconds(100));
        int calls = mStore.calls() - before;
        int callsAlone = (int) (PROCESSES * 100 / 2.74);
        assertThat(calls, lessThan(callsAlone / 2));
    }

    /** Guards against a change that costs a call of each process. */
    @Test
    void changesAreReadByFewProcesses() {
        mIsSharing = true;
        startFleet(0);
        int before = mStore.calls();
        for (int change = 0; change < 40; change++) {
            mStore.put("new-" + change, "value");
            mScheduler.advance(Duration.ofMillis(700));
            assertAllKnow(mProcesses, "new-" + change);
        }
        assertThat(mStore.calls() - before, lessThan(40 * 2 * SHORT_WAITS));
    }

    /** Guards against changes that reach a process too late after their datagrams were lost. */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.3, 1})
    void lostChangesAreReadFromTheStore(double lossRatio) {
        mIsSharing = true;
        startFleet(0);
        mLossRatio = lossRatio;
        for (int change = 0; change < 40; change++) {
            mStore.put("new-" + change, "value");
            mScheduler.advance(Duration.ofMillis(700));
        }
        mScheduler.advance(Duration.ofMillis(2_000));
        assertAllKnow(mProcesses, "new-39");
        assertAllKnow(mProcesses, "new-0");
    }

    /** Guards against a process that relies on others from which it has been cut off. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400})
    void processThatIsToldNothingReadsWithinTheBound(int phase) {
        mIsSharing = true;
        startFleet(phase);
        Process cutOff = mProcesses.get(PROCESSES - 1);
        cutOff.mIsConnected = false;
        mStore.put("new", "value");
        mScheduler.advance(BOUND);
        assertAllKnow(List.of(cutOff), "new");
    }

    /** Guards against a revision above that of the changes, which would hide all later ones. */
    @Test
    void changesWithAFalseRevisionAreNeitherTakenOverNorPassedOn() {
        mIsSharing = true;
        mStore.put("old", "value");
        startFleet(0);
        byte[] source = SimulatedStore.source(0, 1);
        byte[] bytes =
                SharedChangesCodec.encode(
                        new SharedChanges("0", mStore.kind(), 1, 1_000_000, source));
        mProcesses.forEach(process -> process.receiveChanges(bytes));
        mStore.put("new", "value");
        mScheduler.advance(BOUND);
        assertAllKnow(mProcesses, "new");
        assertThat(mSentRevisions, not(hasItem(1_000_000L)));
    }

    /** Guards against confirmations that look fresh after a choked link has held them up. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 800, 1_200, 1_600, 2_000, 3_000, 10_000})
    void processBehindAChokedLinkReadsWithinTheBound(int chokedMillis) {
        mIsSharing = true;
        startFleet(0);
        Process choked = mProcesses.get(PROCESSES - 1);
        choked.mLinkDelay = Duration.ofMillis(100);
        mScheduler.advance(Duration.ofSeconds(10));
        choked.mLinkDelay = Duration.ofSeconds(3);
        mScheduler.advance(Duration.ofMillis(chokedMillis));
        mLossRatio = 1;
        mStore.put("new", "value");
        mScheduler.advance(BOUND);
        assertAllKnow(List.of(choked), "new");
    }

    /** Guards against the same when its connections have gone silent, too. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400})
    void sharedChangeIsKnownInTimeWithoutTheProcessesThatRead(int phase) {
        mIsSharing = true;
        startFleet(phase);
        List<Process> lost = mProcesses.subList(0, SHORT_WAITS);
        lost.forEach(Process::kill);
        mStore.silenceConnections();
        mScheduler.advance(Duration.ofMillis(300));
        mStore.put("new", "value");
        mScheduler.advance(SETTLING_TIME.minusMillis(300));
        assertAllKnow(mProcesses.subList(SHORT_WAITS, PROCESSES), "new");
    }

    /** Guards against an outage that a process without calls does not notice, or notices late. */
    @ParameterizedTest
    @ValueSource(ints = {3_000, 3_500, 4_500, 8_000})
    void outageIsNoticedByProcessesThatAreToldByOthers(int millis) {
        mIsSharing = true;
        startFleet(0);
        mStore.setRefusing(true);
        mScheduler.advance(Duration.ofMillis(millis));
        mStore.setRefusing(false);
        mScheduler.advance(Duration.ofMillis(2_000));
        assertThat(mProcesses.stream().map(process -> process.mOutages).toList(), everyItem(is(1)));
    }

    /** Guards against changes that the reading processes see only as a new list. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changeInLostHistoryIsKnownInTime(boolean isRemoval) {
        mIsSharing = true;
        mStore.put("old", "value");
        startFleet(0);
        if (isRemoval) {
            mStore.remove("old");
        } else {
            mStore.put("new", "value");
        }
        mStore.forgetHistory();
        mScheduler.advance(BOUND);
        assertThat(
                mProcesses.stream().map(process -> process.mKnown.contains("old")).toList(),
                everyItem(is(!isRemoval)));
        assertThat(
                mProcesses.stream().map(process -> process.mKnown.contains("new")).toList(),
                everyItem(is(!isRemoval)));
    }

    /** Guards against a call of each process when history is lost and nothing has changed. */
    @Test
    void lostHistoryWithoutChangesIsReadByFewProcesses() {
        mIsSharing = true;
        startFleet(0);
        mStore.put("new", "value");
        mScheduler.advance(Duration.ofSeconds(2));
        int before = mStore.calls();
        for (int i = 0; i < 5; i++) {
            mStore.changeOtherKind();
            mStore.forgetHistory();
            mScheduler.advance(Duration.ofSeconds(2));
        }
        assertThat(mStore.calls() - before, lessThan(10 * 3 * SHORT_WAITS));
    }

    /** Guards against confirmations of processes that have not seen what changed before. */
    @ParameterizedTest
    @ValueSource(ints = {100, 300, 600, 1_000, 1_500})
    void changeWhileAllReadingProcessesRestartIsKnownInTime(int downMillis) {
        mIsSharing = true;
        mStore.put("old", "value");
        startFleet(0);
        mProcesses.subList(0, SHORT_WAITS).forEach(Process::kill);
        mStore.remove("old");
        mScheduler.advance(Duration.ofMillis(downMillis));
        for (int number = 0; number < SHORT_WAITS; number++) {
            mProcesses.set(number, new Process(number));
            mProcesses.get(number).start();
        }
        mScheduler.advance(BOUND.minusMillis(downMillis));
        assertThat(
                mProcesses.stream().map(process -> process.mKnown.contains("old")).toList(),
                everyItem(is(false)));
    }
}
