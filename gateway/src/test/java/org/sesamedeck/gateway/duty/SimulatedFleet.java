package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.sesamedeck.gateway.Duty;
import org.sesamedeck.gateway.RecordingLog;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;

/** Hosts that perform the duties on simulated time, with the requests that really began. */
final class SimulatedFleet {
    static final DutyTiming TIMING = new DutyTiming(Duration.ofSeconds(3));
    static final UsageSchedule SCHEDULE =
            new UsageSchedule(Duration.ofSeconds(5), Duration.ofSeconds(10), 10);

    private static final Duration DATAGRAM_TIME = Duration.ofMillis(12);
    private static final Duration STORE_TIME = Duration.ofMillis(8);

    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore =
            FakeObjectStore.create(mScheduler, mScheduler.clock()).ignoringUnchangedWrites();
    private final SimulatedDutyPlatform mPlatform;
    private final List<Member> mMembers = new ArrayList<>();
    private final TreeMap<Long, TreeMap<String, Long>> mTruth = new TreeMap<>();
    private final Random mRandom;
    private double mDatagramLoss;
    private long mDatagrams;
    private long mDatagramBytes;

    /** A host with its duties and the listener for its datagrams. */
    static final class Member implements DutyTransport {
        private final SimulatedFleet mFleet;
        private final String mName;
        private final SimulatedHost mHost;
        private final DutyService mDuties;
        private Listener mListener;

        private Member(SimulatedFleet fleet, String name, long incarnation) {
            mFleet = fleet;
            mName = name;
            FakeObjectStore client = fleet.mStore.anotherClient();
            client.setDelay(STORE_TIME);
            mHost = new SimulatedHost(fleet.mScheduler, client);
            mDuties =
                    DutyService.create(
                            new DutyService.Environment(
                                    mHost.clock(),
                                    mHost,
                                    mHost.store(),
                                    this,
                                    new RecordingLog(),
                                    EnumSet.of(Duty.USAGE),
                                    name,
                                    incarnation),
                            TIMING,
                            SCHEDULE,
                            (isUsable, timeout) -> fleet.mPlatform.client(mHost, isUsable));
        }

        SimulatedHost host() {
            return mHost;
        }

        DutyService duties() {
            return mDuties;
        }

        String name() {
            return mName;
        }

        @Override
        public void setDutyListener(Listener listener) {
            mListener = listener;
        }

        @Override
        public void sendDutyMessage(byte[] bytes, Collection<String> recipients) {
            recipients.forEach(recipient -> mFleet.deliver(bytes, recipient));
        }
    }

    SimulatedFleet(int hosts, boolean checksFences, long seed) {
        mRandom = new Random(seed);
        mPlatform = new SimulatedDutyPlatform(mScheduler, TIMING.lease(), checksFences);
        for (int i = 0; i < hosts; i++) {
            add("host-" + i);
        }
    }

    /** Adds a host, or a further run of the process on one that was killed. */
    Member add(String name) {
        mMembers.removeIf(member -> member.name().equals(name));
        Member member = new Member(this, name, mRandom.nextLong());
        mMembers.add(member);
        List<String> names = mMembers.stream().map(Member::name).sorted().toList();
        mMembers.forEach(other -> other.mHost.run(() -> other.mListener.processesChanged(names)));
        member.mDuties.start();
        return member;
    }

    private void deliver(byte[] bytes, String recipient) {
        mDatagrams++;
        mDatagramBytes += bytes.length;
        if (mRandom.nextDouble() < mDatagramLoss) {
            return;
        }
        mScheduler.schedule(
                DATAGRAM_TIME,
                () ->
                        mMembers.stream()
                                .filter(member -> member.name().equals(recipient))
                                .forEach(
                                        member ->
                                                member.mHost.run(
                                                        () -> member.mListener.received(bytes))));
    }

    void setDatagramLoss(double loss) {
        mDatagramLoss = loss;
    }

    long datagrams() {
        return mDatagrams;
    }

    long datagramBytes() {
        return mDatagramBytes;
    }

    SimulatedDutyPlatform platform() {
        return mPlatform;
    }

    ManualScheduler scheduler() {
        return mScheduler;
    }

    List<Member> members() {
        return mMembers;
    }

    Member member(String name) {
        return mMembers.stream().filter(it -> it.name().equals(name)).findFirst().orElseThrow();
    }

    /** Returns the holder; there must be one. */
    Member holder() {
        return findHolder().orElseThrow();
    }

    /** Returns a running process that takes itself for the holder. */
    Optional<Member> findHolder() {
        return mMembers.stream()
                .filter(member -> member.host().isRunning())
                .filter(member -> member.duties().holder().isHolder())
                .findFirst();
    }

    void advance(Duration time) {
        mScheduler.advance(time);
    }

    /** Advances with one request a tick at a random running host, of one of some accounts. */
    void serve(Duration time, Duration tick, int accounts) {
        long end = mScheduler.clock().nanoTime() + time.toNanos();
        while (mScheduler.clock().nanoTime() < end) {
            List<Member> running =
                    mMembers.stream().filter(member -> member.host().isRunning()).toList();
            if (!running.isEmpty()) {
                began(
                        running.get(mRandom.nextInt(running.size())),
                        "account-" + mRandom.nextInt(accounts));
            }
            mScheduler.advance(tick);
        }
    }

    private void began(Member member, String account) {
        long window = mScheduler.clock().now().toEpochMilli() / SCHEDULE.window().toMillis();
        mTruth.computeIfAbsent(window, number -> new TreeMap<>()).merge(account, 1L, Long::sum);
        member.duties().usageObserver().requestBegan(account);
    }

    /** Returns the requests that really began, by window and account. */
    Map<Long, TreeMap<String, Long>> truth() {
        return new HashMap<>(mTruth);
    }

    long storeWrites() {
        return mMembers.stream().mapToLong(it -> it.host().fakeStore().calls().writes()).sum();
    }

    long storeReads() {
        return mMembers.stream().mapToLong(it -> it.host().fakeStore().calls().reads()).sum();
    }
}
