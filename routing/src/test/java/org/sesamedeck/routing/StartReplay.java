package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.sesamedeck.core.HashMixer;
import org.sesamedeck.core.ManualClock;

/**
 * Replays prompts of several kinds and accounts against engines that process them by urgency,
 * started by processes that see the backlog late. Callers leave when their patience ends, and
 * return once after a refusal. Times are in milliseconds.
 */
final class StartReplay {
    private static final int STEP = 5;
    private static final int DURATION = 20_000;
    private static final double WORK_SPREAD = 0.8;
    private static final int SLOTS = 12;
    private static final int ABUSIVE_REPEATS = 3;

    /** A kind of request; its part is that of all requests. */
    record Kind(int urgency, double part, double work, int target, int patience) {}

    /** Multiplies the usual rate of a kind, an account and a process over time. */
    interface Shape {
        double factor(int millis, int kind, int account, int process);
    }

    /** How often requests were offered, answered on time and answered at all. */
    static final class Outcome {
        int mOffered;
        int mOnTime;
        int mServed;

        double served() {
            return mOffered == 0 ? 1 : (double) mServed / mOffered;
        }

        double onTime() {
            return mOffered == 0 ? 1 : (double) mOnTime / mOffered;
        }
    }

    private static final class Job {
        private int mKind;
        private int mAccount;
        private int mProcess;
        private double mWork;
        private int mFirstAttempt;
        private int mAttempt;
        private int mRepeats;
        private boolean mIsAbusive;
        private boolean mIsFirst;
        private long mSequence;
    }

    private final ManualClock mClock = ManualClock.create();
    private final SplittableRandom mRandom;
    private final List<Kind> mKinds;
    private final int mEngines;
    private final int mProcesses;
    private final int mLag;
    private final boolean mIsControlled;
    private final List<StartPolicy> mPolicies = new ArrayList<>();
    private final List<AccountShares> mShares = new ArrayList<>();
    private final List<PriorityQueue<Job>> mQueues = new ArrayList<>();
    private final List<ArrayDeque<Job>> mSlots = new ArrayList<>();
    private final double[][] mWaitingHistory = new double[DURATION / STEP][];
    private final double[][] mOwnHistory = new double[DURATION / STEP][];
    private final double[] mWaiting;
    private final double[] mOwnWaiting;
    private final double[] mBusyUntil;
    private final Job[] mRunning;
    private final PriorityQueue<Job> mComebacks =
            new PriorityQueue<>(Comparator.comparingInt(job -> job.mAttempt));
    private final Map<String, Outcome> mOutcomes = new HashMap<>();
    private double mAbusiveFraction;
    private boolean mExchangesUsage = true;
    private long mSequence;

    StartReplay(
            List<Kind> kinds,
            int engines,
            int processes,
            int lag,
            boolean isControlled,
            long seed) {
        mKinds = kinds;
        mEngines = engines;
        mProcesses = processes;
        mLag = lag;
        mIsControlled = isControlled;
        mRandom = new SplittableRandom(seed);
        mWaiting = new double[engines];
        mBusyUntil = new double[engines];
        mRunning = new Job[engines];
        mOwnWaiting = new double[processes];
        for (int i = 0; i < engines; i++) {
            mSlots.add(new ArrayDeque<>());
            mQueues.add(
                    new PriorityQueue<>(
                            Comparator.<Job>comparingInt(
                                            job ->
                                                    job.mIsFirst
                                                            ? 0
                                                            : mKinds.get(job.mKind).urgency())
                                    .thenComparingLong(job -> job.mSequence)));
        }
        for (int i = 0; i < processes; i++) {
            mShares.add(AccountShares.create(mClock));
            mPolicies.add(StartPolicy.create(mShares.get(i)));
        }
    }

    StartReplay withAbusiveFraction(double fraction) {
        mAbusiveFraction = fraction;
        return this;
    }

    /** Lets each process judge accounts by what it has started itself. */
    StartReplay withoutUsageExchange() {
        mExchangesUsage = false;
        return this;
    }

    /** Returns the outcome of a group, such as "kind 0", "account 3", "long 0" or "patient". */
    Outcome outcome(String group) {
        return mOutcomes.computeIfAbsent(group, name -> new Outcome());
    }

    /** Replays the load, given as a fraction of what the engines can process. */
    StartReplay run(double load, double[] accountParts, Shape shape) {
        double mean = 0;
        for (Kind kind : mKinds) {
            mean += kind.part() * kind.work();
        }
        double perStep = load * mEngines * STEP / mean;
        double scale = perStep / averageFactor(accountParts, shape);
        for (int now = 0; now < DURATION; now += STEP) {
            step(now);
            for (int process = 0; process < mProcesses; process++) {
                arrive(now, process, scale / mProcesses, accountParts, shape);
            }
            if (mExchangesUsage && now % 200 == 0) {
                exchangeUsage();
            }
            mClock.advance(Duration.ofMillis(STEP));
        }
        return this;
    }

    private double averageFactor(double[] accountParts, Shape shape) {
        double sum = 0;
        int samples = 0;
        for (int now = 0; now < DURATION; now += 100) {
            samples++;
            for (int kind = 0; kind < mKinds.size(); kind++) {
                for (int account = 0; account < accountParts.length; account++) {
                    sum +=
                            mKinds.get(kind).part()
                                    * mKinds.get(kind).work()
                                    * accountParts[account]
                                    * shape.factor(now, kind, account, samples % mProcesses);
                }
            }
        }
        double mean = mKinds.stream().mapToDouble(kind -> kind.part() * kind.work()).sum();
        return sum / samples / mean;
    }

    private void arrive(int now, int process, double rate, double[] accountParts, Shape shape) {
        for (int kind = 0; kind < mKinds.size(); kind++) {
            for (int account = 0; account < accountParts.length; account++) {
                double expected =
                        rate
                                * mKinds.get(kind).part()
                                * accountParts[account]
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
        job.mProcess = process;
        double spread =
                Math.exp(WORK_SPREAD * mRandom.nextGaussian() - WORK_SPREAD * WORK_SPREAD / 2);
        job.mWork = mKinds.get(kind).work() * spread;
        job.mFirstAttempt = now;
        job.mAttempt = now;
        job.mIsAbusive = mRandom.nextDouble() < mAbusiveFraction;
        job.mSequence = ++mSequence;
        groups(job).forEach(group -> outcome(group).mOffered++);
        return job;
    }

    private List<String> groups(Job job) {
        List<String> groups = new ArrayList<>();
        groups.add("all");
        groups.add("kind " + job.mKind);
        groups.add("account " + job.mAccount);
        groups.add(job.mIsAbusive ? "abusive" : "patient");
        if (job.mKind == mKinds.size() - 1) {
            groups.add("least urgent of account " + job.mAccount);
        }
        if (job.mWork > 2 * mKinds.get(job.mKind).work()) {
            groups.add("long " + job.mKind);
        }
        return groups;
    }

    private void offer(Job job, int now) {
        if (!mIsControlled) {
            send(job, now);
            return;
        }
        Kind kind = mKinds.get(job.mKind);
        StartTerms terms =
                new StartTerms(
                        kind.urgency(),
                        "account " + job.mAccount,
                        kind.target() * 1e6,
                        HashMixer.mix(job.mSequence));
        StartPolicy.Verdict verdict = policy(job).decide(terms, backlogNanos(job.mProcess));
        if (verdict == StartPolicy.Verdict.REFUSE) {
            refuse(job, now);
        } else {
            job.mIsFirst = verdict == StartPolicy.Verdict.START_FIRST;
            send(job, now);
        }
    }

    private StartPolicy policy(Job job) {
        return mPolicies.get(job.mProcess);
    }

    /** The backlog as it was a while ago, with this process's own part as it is now. */
    private double backlogNanos(int process) {
        int step = (int) (mClock.nanoTime() / 1_000_000 / STEP) - mLag / STEP;
        double waiting = mOwnWaiting[process];
        if (step >= 0) {
            waiting -= mOwnHistory[step][process];
            for (double engine : mWaitingHistory[step]) {
                waiting += engine;
            }
        }
        return Math.max(0, waiting) / mEngines * 1e6;
    }

    private void send(Job job, int now) {
        int step = Math.max(0, (now - mLag) / STEP);
        int best = mRandom.nextInt(mEngines);
        for (int i = 0; i < 3; i++) {
            int other = mRandom.nextInt(mEngines);
            double[] seen = mWaitingHistory[step] == null ? mWaiting : mWaitingHistory[step];
            best = seen[other] < seen[best] ? other : best;
        }
        mQueues.get(best).add(job);
        mShares.get(job.mProcess).record("account " + job.mAccount, job.mWork * 1e6);
        mWaiting[best] += job.mWork;
        mOwnWaiting[job.mProcess] += job.mWork;
    }

    private void refuse(Job job, int now) {
        int limit = job.mIsAbusive ? ABUSIVE_REPEATS : 1;
        if (job.mRepeats >= limit) {
            return;
        }
        double backlog = Math.max(250, Math.min(2_500, backlogNanos(job.mProcess) / 1e6));
        double delay = backlog * (0.75 + 0.5 * mRandom.nextDouble());
        job.mRepeats++;
        job.mAttempt = now + (job.mIsAbusive ? STEP : (int) delay);
        job.mProcess = mRandom.nextInt(mProcesses);
        mComebacks.add(job);
    }

    private void step(int now) {
        for (int engine = 0; engine < mEngines; engine++) {
            process(engine, now);
        }
        mWaitingHistory[now / STEP] = mWaiting.clone();
        mOwnHistory[now / STEP] = mOwnWaiting.clone();
        while (!mComebacks.isEmpty() && mComebacks.peek().mAttempt <= now) {
            offer(mComebacks.poll(), now);
        }
    }

    private void process(int engine, int now) {
        while (mBusyUntil[engine] <= now) {
            if (mRunning[engine] != null) {
                finish(mRunning[engine], engine);
                mRunning[engine] = null;
            }
            while (mSlots.get(engine).size() < SLOTS && !mQueues.get(engine).isEmpty()) {
                mSlots.get(engine).add(mQueues.get(engine).poll());
            }
            Job next = mSlots.get(engine).poll();
            if (next == null) {
                return;
            }
            if (now > next.mAttempt + mKinds.get(next.mKind).patience()) {
                leave(next, engine);
            } else {
                mRunning[engine] = next;
                mBusyUntil[engine] = Math.max(now, mBusyUntil[engine]) + next.mWork;
            }
        }
    }

    private void finish(Job job, int engine) {
        leave(job, engine);
        double end = mBusyUntil[engine];
        Kind kind = mKinds.get(job.mKind);
        for (String group : groups(job)) {
            Outcome outcome = outcome(group);
            outcome.mServed += end <= job.mAttempt + kind.patience() ? 1 : 0;
            outcome.mOnTime += end <= job.mFirstAttempt + kind.target() ? 1 : 0;
        }
    }

    private void leave(Job job, int engine) {
        mWaiting[engine] -= job.mWork;
        mOwnWaiting[job.mProcess] -= job.mWork;
    }

    private void exchangeUsage() {
        List<List<AccountUsage>> own = new ArrayList<>();
        mShares.forEach(shares -> own.add(shares.own(32)));
        for (int i = 0; i < mProcesses; i++) {
            List<AccountUsage> others = new ArrayList<>();
            for (int j = 0; j < mProcesses; j++) {
                if (i != j) {
                    others.addAll(own.get(j));
                }
            }
            mShares.get(i).updatePeers(others);
        }
    }
}
