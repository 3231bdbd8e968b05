package org.sesamedeck.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.gateway.DutyClient;
import org.sesamedeck.gateway.DutyResult;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.gateway.ServerOrder;
import org.sesamedeck.gateway.UsageReport;
import org.sesamedeck.platform.ManualScheduler;

/** The platform's API of duties on simulated time. It notes each broken rule of the duties. */
final class SimulatedDutyPlatform {
    private static final Duration TRANSIT = Duration.ofMillis(5);
    private static final Duration TIMEOUT = Duration.ofMillis(1_200);

    /** A late call reaches the platform after newer ones, without its caller being asked again. */
    private static final Duration LATE = Duration.ofSeconds(6);

    /** What happens to one call. */
    enum Fate {
        ANSWERED,
        /** The call does not arrive. */
        LOST_BEFORE_EFFECT,
        /** The call is executed and its answer is lost. */
        LOST_AFTER_EFFECT,
        /** The call arrives in time and is executed seconds later; there is no answer. */
        LATE_EFFECT,
        RATE_LIMITED,
        UNAVAILABLE
    }

    private record Arrival(String holder, long fencingNumber, long nanos) {}

    private final ManualScheduler mScheduler;
    private final Duration mLease;
    private final boolean mChecksFences;
    private final Map<Long, SortedMap<String, Long>> mReports = new HashMap<>();
    private final Map<Long, Long> mReportedMillis = new HashMap<>();
    private final Map<Long, Set<String>> mHoldersByFence = new HashMap<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<String> mBroken = new ArrayList<>();
    private IntFunction<Fate> mFates = call -> Fate.ANSWERED;
    private int mCalls;

    SimulatedDutyPlatform(ManualScheduler scheduler, Duration lease, boolean checksFences) {
        mScheduler = scheduler;
        mLease = lease;
        mChecksFences = checksFences;
    }

    /** Sets the function from the number of a call to what happens to it. */
    void setFates(IntFunction<Fate> fates) {
        mFates = fates;
    }

    /** Returns the rules that were broken. */
    List<String> broken() {
        return mBroken;
    }

    /** Returns the accepted reports by window. */
    Map<Long, SortedMap<String, Long>> reports() {
        return mReports;
    }

    /** Returns when the first report of each window was accepted, in milliseconds. */
    Map<Long, Long> reportedMillis() {
        return mReportedMillis;
    }

    int calls() {
        return mCalls;
    }

    /** Returns the names of the holders in the order in which they began to call. */
    List<String> holders() {
        List<String> holders = new ArrayList<>();
        for (Arrival arrival : mArrivals) {
            if (holders.isEmpty() || !holders.get(holders.size() - 1).equals(arrival.holder())) {
                holders.add(arrival.holder());
            }
        }
        return holders;
    }

    /** Returns the client of one host. */
    DutyClient client(SimulatedHost host, java.util.function.Predicate<DutyRight> isUsable) {
        return new DutyClient() {
            @Override
            public CompletableFuture<DutyResult> reportUsage(UsageReport report, DutyRight right) {
                return host.deliver(
                        () ->
                                isUsable.test(right)
                                        ? call(report, right)
                                        : failed(ResultCode.STORE_UNAVAILABLE));
            }

            @Override
            public CompletableFuture<DutyResult> orderServers(ServerOrder order, DutyRight right) {
                throw new UnsupportedOperationException();
            }
        };
    }

    private static CompletableFuture<DutyResult> failed(ResultCode code) {
        return CompletableFuture.failedFuture(SesamedeckException.of(code, "no answer"));
    }

    private CompletableFuture<DutyResult> call(UsageReport report, DutyRight right) {
        Fate fate = mFates.apply(mCalls++);
        CompletableFuture<DutyResult> result = new CompletableFuture<>();
        mScheduler.schedule(TRANSIT, () -> arrived(report, right, fate, result));
        mScheduler.schedule(
                TIMEOUT,
                () ->
                        result.completeExceptionally(
                                SesamedeckException.of(ResultCode.OUTCOME_UNKNOWN, "no answer")));
        return result;
    }

    private void arrived(
            UsageReport report, DutyRight right, Fate fate, CompletableFuture<DutyResult> result) {
        if (fate == Fate.LOST_BEFORE_EFFECT) {
            return;
        }
        judgeArrival(right);
        switch (fate) {
            case RATE_LIMITED -> result.complete(DutyResult.RATE_LIMITED);
            case UNAVAILABLE -> result.complete(DutyResult.UNAVAILABLE);
            case LATE_EFFECT -> mScheduler.schedule(LATE, () -> execute(report, right));
            case LOST_AFTER_EFFECT -> execute(report, right);
            default -> {
                DutyResult executed = execute(report, right);
                mScheduler.schedule(TRANSIT, () -> result.complete(executed));
            }
        }
    }

    private void judgeArrival(DutyRight right) {
        long now = mScheduler.clock().nanoTime();
        Set<String> holders =
                mHoldersByFence.computeIfAbsent(right.fencingNumber(), fence -> new HashSet<>());
        holders.add(right.holder());
        if (holders.size() > 1) {
            mBroken.add("holders " + holders + " with fencing number " + right.fencingNumber());
        }
        boolean isLower =
                mArrivals.stream()
                        .anyMatch(arrival -> arrival.fencingNumber() > right.fencingNumber());
        if (isLower && !mChecksFences) {
            mBroken.add("lower fencing number of " + right);
        }
        for (int i = 0; i < mArrivals.size(); i++) {
            Arrival first = mArrivals.get(i);
            boolean isOtherBetween =
                    mArrivals.subList(i, mArrivals.size()).stream()
                            .anyMatch(arrival -> !arrival.holder().equals(right.holder()));
            if (first.holder().equals(right.holder())
                    && isOtherBetween
                    && now - first.nanos() < mLease.toNanos()) {
                mBroken.add("holders in turn within the lease: " + right.holder());
            }
        }
        mArrivals.add(new Arrival(right.holder(), right.fencingNumber(), now));
    }

    private DutyResult execute(UsageReport report, DutyRight right) {
        boolean isOutdated =
                mArrivals.stream()
                        .anyMatch(arrival -> arrival.fencingNumber() > right.fencingNumber());
        if (mChecksFences && isOutdated) {
            return DutyResult.CONFLICT;
        }
        SortedMap<String, Long> before = mReports.putIfAbsent(report.window(), report.counts());
        if (before != null && !before.equals(report.counts())) {
            mBroken.add("two reports for window " + report.window());
        }
        mReportedMillis.putIfAbsent(report.window(), mScheduler.clock().now().toEpochMilli());
        return DutyResult.ACCEPTED;
    }
}
