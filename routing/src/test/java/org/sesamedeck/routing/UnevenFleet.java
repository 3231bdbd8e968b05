package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;

/**
 * Simulates routers of several processes in front of endpoints of three lasting speeds whose hosts
 * are slowed down by other work for moments. Processes learn the load of the others late.
 */
final class UnevenFleet {
    private static final double[] SPEEDS = {0.7, 0.7, 1.7};
    private static final double SLOW_HOST_PART = 0.15;
    private static final double SLOW_HOST_PACE = 2.5;
    private static final long PACE_INTERVAL_MILLIS = 600;
    private static final long EXCHANGE_MILLIS = 200;

    /** Age of the load of other processes when it arrives. */
    private static final int EXCHANGE_DELAY_ROUNDS = 2;

    /** Deadline of a request in targets. */
    private static final double DEADLINE_TARGETS = 5;

    private static final double SWING = 0.55;
    private static final double SWING_MILLIS = 17_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ManualClock mClock = ManualClock.create();
    private final SplittableRandom mRandom;
    private final Workload mWorkload;
    private final List<DefaultRouter> mRouters = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final PriorityQueue<Completion> mCompletions = new PriorityQueue<>();
    private final ArrayDeque<List<List<EndpointLoad>>> mLoads = new ArrayDeque<>();
    private long mMillis;
    private double mCapacity;
    private boolean mAppliesSigns = true;
    private int mRequests;
    private int mOnTime;
    private int mServed;
    private int mRefusals;

    /** The kind of service. */
    enum Workload {
        /** A plain service with slots. */
        PLAIN(6, 6, 250),
        /** Prefill engines, which process one prompt after the other. */
        PREFILL(13, 1, 600);

        private final int mEndpoints;
        private final int mSlots;
        private final long mTargetMillis;

        Workload(int endpoints, int slots, long targetMillis) {
            mEndpoints = endpoints;
            mSlots = slots;
            mTargetMillis = targetMillis;
        }
    }

    /** A request at an endpoint. */
    private record Request(
            Assignment assignment, DefaultRouter router, double workMillis, double arrivedMillis) {}

    private record Completion(double millis, Endpoint endpoint, Request request)
            implements Comparable<Completion> {
        @Override
        public int compareTo(Completion other) {
            return Double.compare(millis, other.millis);
        }
    }

    /** An endpoint with a queue in order of arrival. */
    private static final class Endpoint {
        private final double mSpeed;
        private final ArrayDeque<Request> mQueue = new ArrayDeque<>();
        private double mPace = 1;
        private int mRunning;
        private double mHeldUntilMillis;

        Endpoint(double speed) {
            mSpeed = speed;
        }
    }

    UnevenFleet(Workload workload, int processes, SpeedEstimateChoice speeds, long seed) {
        mWorkload = workload;
        mRandom = new SplittableRandom(seed);
        List<EndpointDescription> descriptions = new ArrayList<>();
        for (int i = 0; i < workload.mEndpoints; i++) {
            Endpoint endpoint = new Endpoint(SPEEDS[i % SPEEDS.length]);
            mEndpoints.add(endpoint);
            mCapacity += workload.mSlots / endpoint.mSpeed;
            descriptions.add(description("endpoint-" + i));
        }
        for (int i = 0; i < processes; i++) {
            DefaultRouter router =
                    DefaultRouter.create(
                            mClock,
                            RouterSettings.defaults("east").withSpeed(20_000, 35e6),
                            speeds.factory(mClock),
                            "process-" + i,
                            seed * 1_000 + i);
            router.updateProcesses(processes);
            router.updateEndpoints(descriptions);
            mRouters.add(router);
        }
    }

    /** Chooses how the routers estimate speed. */
    interface SpeedEstimateChoice {
        SpeedEstimate.Factory factory(ManualClock clock);
    }

    private EndpointDescription description(String name) {
        boolean isEngine = mWorkload == Workload.PREFILL;
        return new EndpointDescription(
                name,
                HostAddress.of("10.0.0.1", 80),
                "service",
                "east-a",
                "east",
                isEngine,
                false,
                false,
                EndpointRole.MIXED,
                isEngine ? Set.of("service") : Set.of());
    }

    /**
     * Lets endpoints refuse all requests for some time and ask every process for no requests until
     * its end.
     *
     * @param appliesSigns whether the routers learn what was asked for, besides the refusal
     */
    void hold(int count, long millis, boolean appliesSigns) {
        mAppliesSigns = appliesSigns;
        for (int i = 0; i < count; i++) {
            mEndpoints.get(i).mHeldUntilMillis = mMillis + millis;
        }
    }

    /**
     * Runs at the given part of the capacity, with its swings, and returns the part of the requests
     * that were answered within the target.
     */
    double run(double load, long millis) {
        mRequests = 0;
        mOnTime = 0;
        mServed = 0;
        mRefusals = 0;
        long end = mMillis + millis;
        while (mMillis < end) {
            mMillis++;
            mClock.advance(Duration.ofMillis(1));
            if (mMillis % PACE_INTERVAL_MILLIS == 0) {
                mEndpoints.forEach(
                        endpoint ->
                                endpoint.mPace =
                                        mRandom.nextDouble() < SLOW_HOST_PART ? SLOW_HOST_PACE : 1);
            }
            if (mMillis % EXCHANGE_MILLIS == 0) {
                exchangeLoads();
            }
            while (!mCompletions.isEmpty() && mCompletions.peek().millis <= mMillis) {
                complete(mCompletions.poll());
            }
            double swing = 1 + SWING * Math.sin(2 * Math.PI * mMillis / SWING_MILLIS);
            double meanPace = 1 + SLOW_HOST_PART * (SLOW_HOST_PACE - 1);
            double rate = load * swing * mCapacity / meanPace / meanWorkMillis();
            for (double left = rate; mRandom.nextDouble() < left; left--) {
                arrive();
            }
        }
        return (double) mOnTime / mRequests;
    }

    /** Returns the part of the last run's requests that were answered before their deadline. */
    double served() {
        return (double) mServed / mRequests;
    }

    /** Returns how many requests of the last run reached endpoints that had asked for none. */
    int refusals() {
        return mRefusals;
    }

    private double meanWorkMillis() {
        return mWorkload == Workload.PLAIN ? 43 : 3_700 * 0.007;
    }

    private void arrive() {
        mRequests++;
        DefaultRouter router = mRouters.get(mRandom.nextInt(mRouters.size()));
        double kind = mRandom.nextDouble();
        int tokens = kind < 0.18 ? 12_000 : kind < 0.47 ? 826 : 2_370;
        double work =
                mWorkload == Workload.PLAIN
                        ? 43 * Math.exp(0.5 * gaussian() - 0.125)
                        : tokens * 0.007;
        RequestProfile profile =
                new RequestProfile(
                        "",
                        "",
                        "service",
                        mWorkload == Workload.PREFILL,
                        5,
                        tokens,
                        0,
                        new long[0],
                        Set.of(),
                        0);
        attempt(router, profile, work, new ArrayList<>());
    }

    /** Sends a request; an endpoint that holds off refuses it, and another one is tried once. */
    private void attempt(
            DefaultRouter router, RequestProfile profile, double work, List<String> refused) {
        Optional<Assignment> assignment = router.choose(profile, Set.copyOf(refused));
        if (assignment.isEmpty()) {
            return;
        }
        String name = assignment.get().endpoint().name();
        Endpoint endpoint = mEndpoints.get(Integer.parseInt(name.substring(9)));
        if (endpoint.mHeldUntilMillis > mMillis) {
            double left = endpoint.mHeldUntilMillis - mMillis;
            EndpointSigns signs =
                    new EndpointSigns(
                            false,
                            Optional.of(Duration.ofNanos((long) (left * NANOS_PER_MILLI))),
                            Optional.empty());
            mRefusals++;
            if (mAppliesSigns) {
                router.applySigns(assignment.get().endpoint(), signs);
            }
            assignment.get().failed(Optional.of(Duration.ofMillis(40)));
            assignment.get().close();
            refused.add(name);
            if (refused.size() < 2) {
                attempt(router, profile, work, refused);
            }
            return;
        }
        endpoint.mQueue.add(new Request(assignment.get(), router, work, mMillis));
        startNext(endpoint);
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()))
                * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }

    private void startNext(Endpoint endpoint) {
        while (endpoint.mRunning < mWorkload.mSlots && !endpoint.mQueue.isEmpty()) {
            Request request = endpoint.mQueue.poll();
            endpoint.mRunning++;
            double time = request.workMillis * endpoint.mSpeed * endpoint.mPace;
            mCompletions.add(new Completion(mMillis + time, endpoint, request));
        }
    }

    private void complete(Completion completion) {
        Endpoint endpoint = completion.endpoint;
        Request request = completion.request;
        endpoint.mRunning--;
        startNext(endpoint);
        LoadReport report =
                new LoadReport(
                        endpoint.mQueue.size(),
                        endpoint.mRunning,
                        endpoint.mQueue.size() * 3_000L,
                        0,
                        OptionalInt.of(mWorkload.mSlots),
                        OptionalDouble.of(endpoint.mPace),
                        mClock.nanoTime());
        request.router.reportLoad(request.assignment.endpoint().name(), report);
        request.assignment.firstToken();
        request.assignment.succeeded(0, 0);
        request.assignment.close();
        double latency = completion.millis - request.arrivedMillis;
        mOnTime += latency <= mWorkload.mTargetMillis ? 1 : 0;
        mServed += latency <= DEADLINE_TARGETS * mWorkload.mTargetMillis ? 1 : 0;
    }

    /** Gives each process the load that the others had some rounds ago. */
    private void exchangeLoads() {
        mLoads.add(mRouters.stream().map(DefaultRouter::ownLoad).toList());
        if (mLoads.size() <= EXCHANGE_DELAY_ROUNDS) {
            return;
        }
        List<List<EndpointLoad>> loads = mLoads.poll();
        Map<String, EndpointLoad> totals = new HashMap<>();
        loads.forEach(own -> own.forEach(load -> merge(totals, load)));
        for (int i = 0; i < mRouters.size(); i++) {
            Map<String, EndpointLoad> others = new HashMap<>(totals);
            for (EndpointLoad own : loads.get(i)) {
                merge(
                        others,
                        new EndpointLoad(own.endpoint(), -own.waitingNanos(), -own.running()));
            }
            mRouters.get(i).updatePeerLoad(others);
        }
    }

    private static void merge(Map<String, EndpointLoad> loads, EndpointLoad load) {
        loads.merge(load.endpoint(), load, EndpointLoad::plus);
    }
}
