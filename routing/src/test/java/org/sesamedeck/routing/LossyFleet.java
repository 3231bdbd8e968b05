package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;

/**
 * Simulates processes that send requests, which cannot be repeated, to six endpoints some of which
 * lose what they receive. An endpoint processes one request after the other, and callers leave when
 * their patience ends. Processes learn the loads of each other 0.4 to 0.6 s late.
 */
final class LossyFleet {
    static final int ENDPOINTS = 6;
    static final int REQUESTS_PER_SECOND = 90;

    private static final long PROMPT_TOKENS = 2_000;
    private static final long RESET_MILLIS = 5;
    private static final Duration USUAL_PATIENCE = Duration.ofSeconds(2);
    private static final long TARGET_MILLIS = 450;
    private static final long EXCHANGE_MILLIS = 200;
    static final int EXCHANGE_DELAY_ROUNDS = 2;

    /** What the requests are sent to. */
    enum Kind {
        /** Plain endpoints, whose responses take as long as the requests. */
        PLAIN,
        /** Engines that process prompts apart. */
        ENGINE
    }

    /** How an endpoint loses requests. */
    enum Fault {
        /** Resets the connection of each request. */
        RESET,
        /** Accepts requests and does not respond any more. */
        SILENCE
    }

    private final ManualClock mClock = ManualClock.create();
    private final SplittableRandom mRandom;
    private final Kind mKind;
    private final long mWorkMillis;
    private final boolean mAvoidsLosses;
    private final List<DefaultRouter> mRouters = new ArrayList<>();
    private final ArrayDeque<List<List<EndpointLoad>>> mLoads = new ArrayDeque<>();
    private final PriorityQueue<Call> mCalls = new PriorityQueue<>();
    private final Map<String, Long> mFreeAtMillis = new HashMap<>();
    private final Map<String, Integer> mAnsweredBy = new HashMap<>();
    private Set<String> mFaulty = Set.of();
    private Fault mFault = Fault.RESET;
    private long mPatienceMillis = USUAL_PATIENCE.toMillis();
    private int mAnswered;
    private int mOnTime;
    private int mSentToFaulty;

    /** A call that ends at a given time. */
    private record Call(long sentMillis, long endMillis, Assignment assignment)
            implements Comparable<Call> {
        String endpoint() {
            return assignment.endpoint().name();
        }

        @Override
        public int compareTo(Call other) {
            return Long.compare(endMillis, other.endMillis);
        }
    }

    /**
     * Creates a fleet without faults.
     *
     * @param workMillis time that an endpoint needs for a request
     * @param avoidsLosses whether requests are kept away from suspected endpoints
     */
    LossyFleet(Kind kind, int processes, long workMillis, boolean avoidsLosses, long seed) {
        mRandom = new SplittableRandom(seed);
        mKind = kind;
        mWorkMillis = workMillis;
        mAvoidsLosses = avoidsLosses;
        List<EndpointDescription> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(description(i));
        }
        RouterSettings settings =
                RouterSettings.defaults("east").withSpeed(workMillis * 1e6 / PROMPT_TOKENS, 35e6);
        for (int i = 0; i < processes; i++) {
            DefaultRouter router = DefaultRouter.create(mClock, settings, "process-" + i, i);
            router.updateProcesses(processes);
            router.updateEndpoints(endpoints);
            mRouters.add(router);
        }
    }

    /** Sets the time after which callers leave. */
    LossyFleet withPatience(Duration patience) {
        mPatienceMillis = patience.toMillis();
        return this;
    }

    private EndpointDescription description(int endpoint) {
        boolean isEngine = mKind == Kind.ENGINE;
        return new EndpointDescription(
                name(endpoint),
                HostAddress.of("10.0.0.1", 80 + endpoint),
                "service",
                "east-a",
                "east",
                isEngine,
                false,
                false,
                EndpointRole.MIXED,
                isEngine ? Set.of("service") : Set.of());
    }

    /** Returns the names of the first endpoints. */
    static Set<String> first(int count) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            names.add(name(i));
        }
        return names;
    }

    private static String name(int endpoint) {
        return "endpoint-" + endpoint;
    }

    /** Lets only these endpoints lose requests from now on. */
    void setFaulty(Set<String> endpoints, Fault fault) {
        mFaulty = endpoints;
        mFault = fault;
    }

    /** Lets all endpoints answer from now on. */
    void repair() {
        mFaulty = Set.of();
    }

    /** Sends and answers requests for some time. */
    void run(Duration duration) {
        for (long i = 0; i < duration.toMillis(); i++) {
            mClock.advance(Duration.ofMillis(1));
            long now = now();
            if (now % EXCHANGE_MILLIS == 0) {
                exchangeLoads();
            }
            while (!mCalls.isEmpty() && mCalls.peek().endMillis <= now) {
                end(mCalls.poll());
            }
            if (mRandom.nextDouble() < REQUESTS_PER_SECOND / 1e3) {
                send(mRouters.get(mRandom.nextInt(mRouters.size())));
            }
        }
    }

    private long now() {
        return Duration.ofNanos(mClock.nanoTime()).toMillis();
    }

    private RequestProfile profile() {
        boolean isPrompt = mKind == Kind.ENGINE;
        return new RequestProfile(
                "",
                "",
                "service",
                isPrompt,
                5,
                isPrompt ? PROMPT_TOKENS : 0,
                isPrompt ? 1 : 0,
                new long[0],
                0,
                Set.of(),
                0);
    }

    private RequestPhase phase() {
        return mKind == Kind.ENGINE ? RequestPhase.PREFILL : RequestPhase.WHOLE;
    }

    /** Returns the endpoints that a request at one of the processes avoids. */
    Set<String> suspected(int process) {
        return suspected(mRouters.get(process));
    }

    private Set<String> suspected(DefaultRouter router) {
        return router.suspected(profile(), phase());
    }

    /** Returns the endpoints that a request avoids at any of the processes. */
    Set<String> suspectedAnywhere() {
        Set<String> suspected = new HashSet<>();
        mRouters.forEach(router -> suspected.addAll(suspected(router)));
        return suspected;
    }

    private Assignment choose(DefaultRouter router) {
        return LossAvoidance.choose(
                        mAvoidsLosses ? suspected(router) : Set.of(),
                        avoided -> router.choosePhase(profile(), phase(), Set.of(), avoided))
                .orElseThrow();
    }

    private void send(DefaultRouter router) {
        Assignment assignment = choose(router);
        String endpoint = assignment.endpoint().name();
        long now = now();
        boolean isFaulty = mFaulty.contains(endpoint);
        mSentToFaulty += isFaulty ? 1 : 0;
        long end = now + RESET_MILLIS;
        if (!isFaulty || mFault == Fault.SILENCE) {
            end = Math.max(now, mFreeAtMillis.getOrDefault(endpoint, 0L)) + mWorkMillis;
            mFreeAtMillis.put(endpoint, end);
        }
        mCalls.add(new Call(now, Math.min(end, now + mPatienceMillis), assignment));
    }

    private void end(Call call) {
        long leaves = call.sentMillis + mPatienceMillis;
        if (call.endMillis >= leaves) {
            call.assignment.close();
        } else if (!mFaulty.contains(call.endpoint())) {
            answer(call);
        } else if (mFault == Fault.SILENCE) {
            mCalls.add(new Call(call.sentMillis, leaves, call.assignment));
        } else {
            lose(call.assignment);
        }
    }

    private void answer(Call call) {
        mAnswered++;
        mAnsweredBy.merge(call.endpoint(), 1, Integer::sum);
        mOnTime += call.endMillis - call.sentMillis <= TARGET_MILLIS ? 1 : 0;
        call.assignment.firstToken();
        call.assignment.succeeded(0, 0);
        call.assignment.close();
    }

    private static void lose(Assignment assignment) {
        assignment.lost();
        assignment.close();
    }

    /**
     * Has one process send a request whose connection is reset.
     *
     * @param excluded endpoints that it is not sent to
     * @return the endpoint that it was sent to
     */
    String loseRequest(int process, Set<String> excluded) {
        Assignment assignment =
                mRouters.get(process).choosePhase(profile(), phase(), excluded).orElseThrow();
        lose(assignment);
        return assignment.endpoint().name();
    }

    /** Delivers the loads of all other processes as they were some rounds ago. */
    void exchangeLoads() {
        mLoads.addLast(mRouters.stream().map(DefaultRouter::ownLoad).toList());
        if (mLoads.size() <= EXCHANGE_DELAY_ROUNDS) {
            return;
        }
        List<List<EndpointLoad>> known = mLoads.removeFirst();
        for (int i = 0; i < mRouters.size(); i++) {
            Map<String, EndpointLoad> others = new HashMap<>();
            for (int j = 0; j < known.size(); j++) {
                if (i != j) {
                    known.get(j).forEach(load -> add(others, load));
                }
            }
            mRouters.get(i).updatePeerLoad(others);
        }
    }

    private static void add(Map<String, EndpointLoad> loads, EndpointLoad load) {
        loads.merge(load.endpoint(), load, EndpointLoad::plus);
    }

    /** Counts only what follows. */
    void resetCounts() {
        mAnswered = 0;
        mAnsweredBy.clear();
        mOnTime = 0;
        mSentToFaulty = 0;
    }

    /** Returns how many requests were sent to endpoints that were faulty then. */
    int sentToFaulty() {
        return mSentToFaulty;
    }

    /** Returns how many requests an endpoint has answered. */
    int answeredBy(String endpoint) {
        return mAnsweredBy.getOrDefault(endpoint, 0);
    }

    /** Returns the fraction of the answered requests that were answered within the target. */
    double onTime() {
        return (double) mOnTime / mAnswered;
    }
}
