package org.sesamedeck.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.LoadExchange;
import org.sesamedeck.routing.OutgoingLoad;

/**
 * Replays requests of several kinds and accounts that compete for endpoints with bounded queues.
 * Processes rank them and learn about each other by {@link LoadExchange}; they see the queues late.
 * Callers leave when their patience ends and return after a refusal. Times are in milliseconds.
 */
final class OverloadReplay {
    static final int DURATION = 16_000;

    private static final int STEP = 5;
    private static final double WORK_SPREAD = 0.8;
    private static final int IMPATIENT_REPEATS = 3;
    private static final int SESSIONS_PER_ACCOUNT = 12;
    private static final int TOKENS_PER_MILLI = 100;

    /** Requests are counted from here on, when the processes know each other. */
    private static final int WARM_UP = 3_000;

    /** A kind of request; its part is that of all requests. */
    record Kind(int priority, double part, double work, int patience) {
        Route route(int index) {
            return new Route(
                    "kind " + index,
                    "deck",
                    "/" + index + "/",
                    RequestKind.STREAM,
                    Duration.ofMillis(patience),
                    Duration.ofMillis(patience),
                    Duration.ofMillis(patience),
                    priority,
                    2,
                    List.of(new ServiceShare("models", 1)));
        }
    }

    /** Endpoints: how many, how many requests each works on at once, and how many wait there. */
    record Endpoints(int count, int slots, int queue, boolean areEngines) {}

    /** Multiplies the usual rate of a kind, an account and a process over time. */
    interface Shape {
        double factor(int millis, int kind, int account, int process);
    }

    /** How often requests of a group were offered and served. */
    static final class Outcome {
        int mOffered;
        int mServed;

        double served() {
            return mOffered == 0 ? 1 : (double) mServed / mOffered;
        }
    }

    /** When a session asked, and whether it was ever served. */
    private static final class Session {
        int mAsked;
        int mFirst = -1;
        int mLast;
        boolean mIsServed;
    }

    private static final class Job {
        int mKind;
        int mAccount;
        int mSession;
        int mProcess;
        double mWork;
        int mFirstAttempt;
        int mAttempt;
        int mRepeats;
        boolean mIsImpatient;
        boolean mIsSetBack;
        int mPriority;
        long mSequence;
    }

    private static final class Endpoint {
        final PriorityQueue<Job> mQueue =
                new PriorityQueue<>(
                        Comparator.<Job>comparingInt(job -> job.mPriority)
                                .thenComparingLong(job -> job.mSequence));
        final double[] mBusyUntil;
        final Job[] mRunning;
        double mWaiting;

        Endpoint(int slots) {
            mBusyUntil = new double[slots];
            mRunning = new Job[slots];
        }
    }

    private final ManualClock mClock = ManualClock.create();
    private final SplittableRandom mRandom;
    private final List<Kind> mKinds;
    private final List<Route> mRoutes = new ArrayList<>();
    private final Endpoints mEndpointKind;
    private final int mLag;
    private final boolean mIsRanked;
    private final List<AccountShares> mShares = new ArrayList<>();
    private final List<ServicePressure> mPressures = new ArrayList<>();
    private final List<EnginePriorities> mPriorities = new ArrayList<>();
    private final Map<String, LoadExchange> mExchanges = new HashMap<>();
    private final List<String> mNames = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final double[][] mWaitingHistory = new double[DURATION / STEP][];
    private final PriorityQueue<Job> mReturns =
            new PriorityQueue<>(Comparator.comparingInt((Job job) -> job.mAttempt));
    private final Map<String, Outcome> mOutcomes = new HashMap<>();
    private final Map<Integer, Session> mSessions = new HashMap<>();
    private double mImpatientFraction;
    private long mSequence;

    /**
     * Creates a replay.
     *
     * @param isRanked whether requests of accounts over their share are set back
     */
    OverloadReplay(
            List<Kind> kinds, Endpoints endpoints, int processes, boolean isRanked, long seed) {
        mKinds = kinds;
        for (Kind kind : kinds) {
            mRoutes.add(kind.route(mRoutes.size()));
        }
        mEndpointKind = endpoints;
        mLag = processes <= 16 ? 100 : 500;
        mIsRanked = isRanked;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < endpoints.count(); i++) {
            mEndpoints.add(new Endpoint(endpoints.slots()));
        }
        for (int i = 0; i < processes; i++) {
            mShares.add(AccountShares.create(mClock));
            mPressures.add(new ServicePressure(mClock));
            mPriorities.add(new EnginePriorities());
            mNames.add(String.format("process-%03d", i));
            mExchanges.put(mNames.get(i), LoadExchange.create(mClock, mNames.get(i), 1));
        }
        mExchanges.values().forEach(exchange -> exchange.updateProcesses(mNames));
    }

    /** Lets a part of the callers repeat at once, three times. */
    OverloadReplay withImpatientFraction(double fraction) {
        mImpatientFraction = fraction;
        return this;
    }

    /** Returns the outcome of a group, such as "kind 0", "account 3", "long 0" or "patient". */
    Outcome outcome(String group) {
        return mOutcomes.computeIfAbsent(group, name -> new Outcome());
    }

    /**
     * Returns the part of the sessions that asked often, over a long time, and were never served.
     */
    double sessionsNeverServed() {
        List<Session> asking =
                mSessions.values().stream()
                        .filter(it -> it.mAsked >= 4 && it.mLast - it.mFirst >= 8_000)
                        .toList();
        double never = asking.stream().filter(session -> !session.mIsServed).count();
        return asking.isEmpty() ? 0 : never / asking.size();
    }

    /** Replays the load, given as a fraction of what the endpoints can process without bursts. */
    OverloadReplay run(double load, double[] accountParts, Shape shape) {
        double mean = mKinds.stream().mapToDouble(kind -> kind.part() * kind.work()).sum();
        int slots = mEndpointKind.count() * mEndpointKind.slots();
        double perProcess = load * slots * STEP / mean / mNames.size();
        for (int now = 0; now < DURATION; now += STEP) {
            step(now);
            for (int process = 0; process < mNames.size(); process++) {
                arrive(now, process, perProcess, accountParts, shape);
            }
            if (now % 200 == 0) {
                exchange();
            }
            mClock.advance(Duration.ofMillis(STEP));
        }
        return this;
    }

    private void arrive(int now, int process, double rate, double[] parts, Shape shape) {
        for (int kind = 0; kind < mKinds.size(); kind++) {
            for (int account = 0; account < parts.length; account++) {
                double expected =
                        rate
                                * mKinds.get(kind).part()
                                * parts[account]
                                * shape.factor(now, kind, account, process);
                if (mRandom.nextDouble() < expected) {
                    offer(newJob(now, kind, account, process), now);
                }
            }
        }
    }

    private Job newJob(int now, int kind, int account, int process) {
        Job job = new Job();
        job.mKind = kind;
        job.mAccount = account;
        job.mSession = account * SESSIONS_PER_ACCOUNT + mRandom.nextInt(SESSIONS_PER_ACCOUNT);
        job.mProcess = process;
        double spread =
                Math.exp(WORK_SPREAD * mRandom.nextGaussian() - WORK_SPREAD * WORK_SPREAD / 2);
        job.mWork = mKinds.get(kind).work() * spread;
        job.mFirstAttempt = now;
        job.mAttempt = now;
        job.mIsImpatient = mRandom.nextDouble() < mImpatientFraction;
        groups(job).forEach(group -> outcome(group).mOffered++);
        Session session = mSessions.computeIfAbsent(job.mSession, key -> new Session());
        session.mAsked++;
        session.mFirst = session.mFirst < 0 ? now : session.mFirst;
        session.mLast = now;
        return job;
    }

    private List<String> groups(Job job) {
        if (job.mFirstAttempt < WARM_UP) {
            return List.of();
        }
        List<String> groups = new ArrayList<>();
        groups.add("all");
        groups.add("kind " + job.mKind);
        groups.add("account " + job.mAccount);
        groups.add(job.mIsImpatient ? "impatient" : "patient");
        if (job.mWork > 2 * mKinds.get(job.mKind).work()) {
            groups.add("long " + job.mKind);
        }
        return groups;
    }

    private void offer(Job job, int now) {
        String account = "account " + job.mAccount;
        AccountShares shares = mShares.get(job.mProcess);
        EnginePriorities priorities = mPriorities.get(job.mProcess);
        Route route = mRoutes.get(job.mKind);
        long tokens = Math.round(job.mWork * TOKENS_PER_MILLI);
        priorities.record(route, tokens);
        job.mIsSetBack = mIsRanked && shares.setsBack(account);
        job.mSequence = ++mSequence;
        job.mPriority =
                mEndpointKind.areEngines()
                        ? priorities.of(
                                route, new QueueRank(route.priority(), job.mIsSetBack), tokens)
                        : 0;
        boolean isSent =
                (!job.mIsSetBack || !mPressures.get(job.mProcess).isFull())
                        && (send(job, now) || send(job, now));
        if (isSent) {
            shares.record(account, tokens);
        } else {
            unserved(job);
            refused(job, now);
        }
    }

    private boolean send(Job job, int now) {
        double[] seen = mWaitingHistory[Math.max(0, (now - mLag) / STEP)];
        int first = mRandom.nextInt(mEndpoints.size());
        int second = mRandom.nextInt(mEndpoints.size());
        int best = seen[second] < seen[first] ? second : first;
        Endpoint endpoint = mEndpoints.get(best);
        boolean isFull = endpoint.mQueue.size() >= mEndpointKind.queue();
        mPressures.get(job.mProcess).record(isFull);
        if (isFull) {
            return false;
        }
        endpoint.mQueue.add(job);
        endpoint.mWaiting += job.mWork;
        return true;
    }

    private void refused(Job job, int now) {
        int limit = job.mIsImpatient ? IMPATIENT_REPEATS : 1;
        if (job.mRepeats < limit) {
            String identifier = job.mSequence + "." + job.mRepeats;
            Duration delay = RetryAfterDelay.of(Duration.ofMillis(250), Duration.ZERO, identifier);
            job.mRepeats++;
            job.mAttempt = now + (job.mIsImpatient ? STEP : (int) delay.toMillis());
            job.mProcess = mRandom.nextInt(mNames.size());
            mReturns.add(job);
        }
    }

    private void unserved(Job job) {
        if (job.mIsSetBack) {
            mShares.get(job.mProcess).recordUnserved("account " + job.mAccount);
        }
    }

    private void step(int now) {
        double[] waiting = new double[mEndpoints.size()];
        for (int i = 0; i < waiting.length; i++) {
            process(mEndpoints.get(i), now);
            waiting[i] = mEndpoints.get(i).mWaiting;
        }
        mWaitingHistory[now / STEP] = waiting;
        while (!mReturns.isEmpty() && mReturns.peek().mAttempt <= now) {
            offer(mReturns.poll(), now);
        }
    }

    private void process(Endpoint endpoint, int now) {
        endpoint.mQueue.removeIf(
                job -> {
                    boolean hasLeft = now > job.mAttempt + mKinds.get(job.mKind).patience();
                    if (hasLeft) {
                        endpoint.mWaiting -= job.mWork;
                        unserved(job);
                    }
                    return hasLeft;
                });
        for (int slot = 0; slot < endpoint.mBusyUntil.length; slot++) {
            while (endpoint.mBusyUntil[slot] <= now) {
                Job done = endpoint.mRunning[slot];
                Job next = endpoint.mQueue.poll();
                if (done != null) {
                    finished(endpoint, done, endpoint.mBusyUntil[slot]);
                }
                endpoint.mRunning[slot] = next;
                if (next == null) {
                    break;
                }
                double start = Math.max(now - STEP, endpoint.mBusyUntil[slot]);
                endpoint.mBusyUntil[slot] = start + next.mWork;
            }
        }
    }

    private void finished(Endpoint endpoint, Job job, double end) {
        endpoint.mWaiting -= job.mWork;
        if (end > job.mAttempt + mKinds.get(job.mKind).patience()) {
            unserved(job);
            return;
        }
        mSessions.get(job.mSession).mIsServed = true;
        groups(job).forEach(group -> outcome(group).mServed++);
    }

    private void exchange() {
        for (int i = 0; i < mNames.size(); i++) {
            LoadExchange exchange = mExchanges.get(mNames.get(i));
            exchange.updateOwnUsage(mShares.get(i).own());
            for (OutgoingLoad load : exchange.round(List.of(), List.of())) {
                load.recipients().forEach(name -> mExchanges.get(name).receive(load.message()));
            }
        }
        for (int i = 0; i < mNames.size(); i++) {
            mShares.get(i).updatePeers(mExchanges.get(mNames.get(i)).peerUsage());
        }
    }
}
