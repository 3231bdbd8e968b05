package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.Plan;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Admits requests in the order of weighted fair queueing on engine time.
 *
 * <p>Requests wait here, not at the endpoints, because only here can the order follow the shares.
 * So endpoints get just enough work to stay busy: a window of prompt time and a number of requests
 * in progress for each endpoint. This process uses the fraction of both that corresponds to its
 * part of the fleet's demand. A plan that uses less than its share leaves the remainder to the
 * others; it regains its share with its next queued request, since no work has to be withdrawn from
 * a queue at an endpoint.
 *
 * <p>A request is refused before it is accepted when its plan is over a limit, when the expected
 * wait in its client account's queue exceeds its deadline, or when the queue is full and the
 * request is chosen to be shed. The wait is that of the client account's own queue, so a runaway
 * client account is refused long before the others of its plan.
 */
public final class DefaultAdmissionController implements AdmissionController {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);
    private static final double OVER_SHARE_RANK = 1_000;

    /** A plan is over its share above this relative usage; smaller excesses are noise. */
    private static final double OVER_SHARE_THRESHOLD = 1.05;

    /**
     * A request expires this fraction of the expected wait at the endpoints before its deadline, as
     * it would start too late. The full wait gives slightly more goodput, but plans with short
     * latency goals then lose so many queued requests that they miss their shares.
     */
    private static final double EXPECTED_WAIT_FRACTION = 0.5;

    /** Minimum capacity of a process with little demand, as a fraction of an even split. */
    private static final double MIN_FRACTION = 0.25;

    private final Object mLock = new Object();
    private final Clock mClock;
    private final CapacityView mView;
    private final EngineTimeEstimator mEstimator;
    private final AdmissionSettings mSettings;
    private final Map<String, PlanAccount> mAccounts = new HashMap<>();
    private final Map<String, PoolState> mPools = new HashMap<>();
    private final ShareLedger mLedger = ShareLedger.create();
    private int mEntryProcesses = 1;
    private double mDemandFraction = 1;
    private final FleetDemandEstimator mFleetDemand = new FleetDemandEstimator();
    private long mSequence;
    private long mUsageTakenAtNanos;

    private DefaultAdmissionController(
            Clock clock,
            CapacityView view,
            EngineTimeEstimator estimator,
            AdmissionSettings settings) {
        mClock = clock;
        mView = view;
        mEstimator = estimator;
        mSettings = settings;
        mUsageTakenAtNanos = clock.nanoTime();
    }

    /**
     * Returns a controller without plans; it refuses every request until a configuration is set.
     *
     * @param view the endpoints, usually a {@link DefaultRouter}
     */
    public static DefaultAdmissionController create(
            Clock clock,
            CapacityView view,
            EngineTimeEstimator estimator,
            AdmissionSettings settings) {
        return new DefaultAdmissionController(clock, view, estimator, settings);
    }

    @Override
    public CompletableFuture<AdmissionTicket> submit(RequestProfile profile) {
        List<Runnable> completions = new ArrayList<>();
        WaitingRequest request;
        synchronized (mLock) {
            long now = mClock.nanoTime();
            PoolState pool = poolOf(mView.poolOf(profile.target()));
            request = new WaitingRequest(profile, pool, mSequence++);
            Optional<SesamedeckException> refusal = chargeOrRefuse(request, now);
            if (refusal.isPresent()) {
                return CompletableFuture.failedFuture(refusal.get());
            }
            enqueue(request);
            shedExcess(pool, completions);
            admitQueued(pool, now, completions);
        }
        completions.forEach(Runnable::run);
        CompletableFuture<AdmissionTicket> future = request.future();
        if (!future.isDone()) {
            future.whenComplete(
                    (ticket, failure) -> {
                        if (future.isCancelled()) {
                            withdraw(request);
                        }
                    });
        }
        return future;
    }

    private Optional<SesamedeckException> chargeOrRefuse(WaitingRequest request, long now) {
        RequestProfile profile = request.profile();
        PlanAccount account = mAccounts.get(profile.plan());
        if (account == null) {
            return refusal(
                    ResultCode.NOT_ENTITLED,
                    "plan " + profile.plan() + " is not in the configuration in force");
        }
        double cost = mEstimator.engineMicros(profile);
        account.recordDemand(cost);
        request.pool().recordDemand(cost);
        if (profile.deadlineNanos() - now <= 0) {
            return refusal(ResultCode.DEADLINE_EXCEEDED, "the deadline passed before admission");
        }
        PoolState pool = request.pool();
        pool.refresh(mView, now);
        FairQueue<WaitingRequest> queue = pool.queue();
        double costAhead = queue.costAhead(profile.plan(), profile.clientAccount());
        double rate =
                pool.rateMicros(mDemandFraction, now)
                        * Math.max(1e-3, queue.activeShare(profile.plan()));
        long waitNanos = !pool.isUsable() ? 0 : (long) (costAhead / rate * 1e9);
        if (waitNanos > profile.deadlineNanos() - now) {
            return Optional.of(
                    SesamedeckException.retryAfter(
                            ResultCode.OVERLOADED,
                            "customer "
                                    + profile.clientAccount()
                                    + " of plan "
                                    + profile.plan()
                                    + " would wait "
                                    + Duration.ofNanos(waitNanos).toMillis()
                                    + " ms, longer than its deadline",
                            retryAfter(Duration.ofNanos(waitNanos))));
        }
        Duration limitWait =
                account.chargeLimits(profile.promptTokens() + profile.expectedOutputTokens(), now);
        if (!limitWait.isZero()) {
            return Optional.of(
                    SesamedeckException.retryAfter(
                            ResultCode.OVER_PLAN_LIMIT,
                            "plan " + profile.plan() + " is over its limit",
                            retryAfter(limitWait)));
        }
        return Optional.empty();
    }

    private static Optional<SesamedeckException> refusal(ResultCode code, String message) {
        return Optional.of(SesamedeckException.of(code, message));
    }

    private static Duration retryAfter(Duration wait) {
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    private void enqueue(WaitingRequest request) {
        RequestProfile profile = request.profile();
        request.setEntry(
                request.pool()
                        .queue()
                        .add(
                                profile.plan(),
                                profile.clientAccount(),
                                profile.priority(),
                                mEstimator.engineMicros(profile),
                                request));
        request.pool().byDeadline().add(request);
        mAccounts.get(profile.plan()).addWaiting(1);
    }

    /** Removes a request from the queue. Returns whether it was still queued. */
    private boolean dequeue(WaitingRequest request) {
        if (!request.pool().byDeadline().remove(request)) {
            return false;
        }
        request.pool().queue().remove(request.entry());
        PlanAccount account = mAccounts.get(request.profile().plan());
        if (account != null) {
            account.addWaiting(-1);
        }
        return true;
    }

    private void withdraw(WaitingRequest request) {
        synchronized (mLock) {
            dequeue(request);
        }
    }

    private void shedExcess(PoolState pool, List<Runnable> completions) {
        while (pool.queue().size() > mSettings.maxWaiting()) {
            Optional<FairQueue.Entry<WaitingRequest>> candidate =
                    pool.queue().sheddingCandidate(this::sheddingRank);
            if (candidate.isEmpty()) {
                return;
            }
            WaitingRequest request = candidate.get().item();
            dequeue(request);
            completions.add(
                    () ->
                            request.future()
                                    .completeExceptionally(
                                            SesamedeckException.retryAfter(
                                                    ResultCode.OVERLOADED,
                                                    "the queue of "
                                                            + pool.name()
                                                            + " is full; plan "
                                                            + request.profile().plan()
                                                            + " is shed first",
                                                    MIN_RETRY_AFTER)));
        }
    }

    /** Ranks plans over their share first, then by lowest priority, then by relative usage. */
    private double sheddingRank(String plan) {
        PlanAccount account = mAccounts.get(plan);
        int priority = account == null ? 0 : account.plan().priority();
        double relativeUsage = mLedger.relativeUsage(plan);
        double rank = -priority + Math.min(relativeUsage, OVER_SHARE_RANK) / OVER_SHARE_RANK;
        return relativeUsage > OVER_SHARE_THRESHOLD ? rank + OVER_SHARE_RANK : rank;
    }

    private void admitQueued(PoolState pool, long now, List<Runnable> completions) {
        pool.refresh(mView, now);
        pool.expireUnstarted(now);
        expire(pool, now, completions);
        while (pool.queue().size() > 0 && pool.hasCapacity(mSettings, mDemandFraction)) {
            WaitingRequest request = pool.queue().poll().orElseThrow().item();
            pool.byDeadline().remove(request);
            admit(request, now, completions);
        }
    }

    private void expire(PoolState pool, long now, List<Runnable> completions) {
        while (!pool.byDeadline().isEmpty()
                && pool.byDeadline().first().deadlineNanos() - now
                        <= pool.expectedWaitNanos() * EXPECTED_WAIT_FRACTION) {
            WaitingRequest request = pool.byDeadline().first();
            dequeue(request);
            boolean isUnavailable = !pool.isUsable();
            completions.add(
                    () ->
                            request.future()
                                    .completeExceptionally(
                                            isUnavailable
                                                    ? SesamedeckException.retryAfter(
                                                            ResultCode.UNAVAILABLE,
                                                            "no endpoint of "
                                                                    + pool.name()
                                                                    + " is usable",
                                                            MIN_RETRY_AFTER)
                                                    : SesamedeckException.of(
                                                            ResultCode.DEADLINE_EXCEEDED,
                                                            "the deadline passed in the queue of "
                                                                    + pool.name())));
        }
    }

    private void admit(WaitingRequest request, long now, List<Runnable> completions) {
        RequestProfile profile = request.profile();
        PlanAccount account = mAccounts.get(profile.plan());
        PoolState pool = request.pool();
        double cost = request.entry().cost();
        double promptMicros = profile.isModelRequest() ? mEstimator.promptMicros(profile) : 0;
        // Twice the prompt's time, because the engine serves other prompts and responses meanwhile.
        long release = now + pool.expectedWaitNanos() + (long) (2_000 * promptMicros);
        AdmittedTicket ticket =
                new AdmittedTicket(this, request, account, cost, promptMicros, release);
        account.addWaiting(-1);
        account.admitted(cost, profile.promptTokens() + profile.expectedOutputTokens());
        pool.admitted(ticket, cost, now);
        completions.add(
                () -> {
                    if (!request.future().complete(ticket)) {
                        ticket.correct(0, 0);
                        ticket.close();
                    }
                });
    }

    void correct(AdmittedTicket ticket, long promptTokens, long outputTokens) {
        RequestProfile profile = ticket.profile();
        if (!profile.isModelRequest()) {
            return;
        }
        synchronized (mLock) {
            double micros = mEstimator.engineMicros(profile.target(), promptTokens, outputTokens);
            double difference = ticket.updateCharge(micros);
            ticket.account()
                    .corrected(difference, ticket.updateChargedTokens(promptTokens + outputTokens));
            ticket.pool().queue().correct(profile.plan(), profile.clientAccount(), difference);
        }
    }

    void started(AdmittedTicket ticket) {
        List<Runnable> completions = new ArrayList<>();
        synchronized (mLock) {
            ticket.pool().started(ticket);
            admitQueued(ticket.pool(), mClock.nanoTime(), completions);
        }
        completions.forEach(Runnable::run);
    }

    void close(AdmittedTicket ticket) {
        List<Runnable> completions = new ArrayList<>();
        synchronized (mLock) {
            if (!ticket.markClosed()) {
                return;
            }
            ticket.account().closed();
            ticket.pool().closed(ticket);
            admitQueued(ticket.pool(), mClock.nanoTime(), completions);
        }
        completions.forEach(Runnable::run);
    }

    @Override
    public void advance() {
        List<Runnable> completions = new ArrayList<>();
        synchronized (mLock) {
            long now = mClock.nanoTime();
            for (PoolState pool : mPools.values()) {
                admitQueued(pool, now, completions);
            }
        }
        completions.forEach(Runnable::run);
    }

    @Override
    public void updateConfiguration(Configuration configuration) {
        List<Runnable> completions = new ArrayList<>();
        synchronized (mLock) {
            long now = mClock.nanoTime();
            Map<String, Double> shares = new HashMap<>();
            for (Plan plan : configuration.plans().values()) {
                shares.put(plan.name(), plan.share());
                PlanAccount known = mAccounts.get(plan.name());
                if (known == null) {
                    mAccounts.put(plan.name(), new PlanAccount(plan, 1.0 / mEntryProcesses, now));
                } else {
                    known.setPlan(plan, now);
                }
            }
            mLedger.updateShares(shares);
            for (PoolState pool : mPools.values()) {
                refuseRemovedPlans(pool, configuration, completions);
            }
            mAccounts.keySet().retainAll(configuration.plans().keySet());
            updateWeights();
        }
        completions.forEach(Runnable::run);
    }

    private void refuseRemovedPlans(
            PoolState pool, Configuration configuration, List<Runnable> completions) {
        for (WaitingRequest request : List.copyOf(pool.byDeadline())) {
            if (!configuration.plans().containsKey(request.profile().plan())) {
                dequeue(request);
                completions.add(
                        () ->
                                request.future()
                                        .completeExceptionally(
                                                SesamedeckException.of(
                                                        ResultCode.NOT_ENTITLED,
                                                        "plan "
                                                                + request.profile().plan()
                                                                + " was removed")));
            }
        }
    }

    private PoolState poolOf(String name) {
        PoolState known = mPools.get(name);
        if (known == null) {
            known = new PoolState(name);
            mPools.put(name, known);
            updateWeights();
        }
        return known;
    }

    private void updateWeights() {
        for (PoolState pool : mPools.values()) {
            mAccounts.forEach(
                    (name, account) ->
                            pool.queue()
                                    .setWeight(
                                            name,
                                            account.plan().share() * mLedger.correction(name)));
        }
    }

    @Override
    public void updateTotals(UsageSnapshot totals, int entries) {
        synchronized (mLock) {
            long now = mClock.nanoTime();
            mEntryProcesses = Math.max(1, entries);
            mLedger.record(totals);
            double own = 0;
            double fleet = 0;
            for (Map.Entry<String, PlanAccount> account : mAccounts.entrySet()) {
                UsageSnapshot.PlanUsage usage = totals.plans().get(account.getKey());
                account.getValue()
                        .updateFleetDemand(
                                usage == null ? 0 : usage.demandedMicros(),
                                totals.intervalMillis() / 1000.0,
                                mEntryProcesses,
                                now);
                own += account.getValue().ownDemand();
                fleet += account.getValue().fleetDemand();
            }
            mFleetDemand.update(totals, mPools.values());
            double even = 1.0 / mEntryProcesses;
            mDemandFraction =
                    fleet <= 0 ? even : Math.max(even * MIN_FRACTION, Math.min(1, own / fleet));
            updateWeights();
        }
    }

    @Override
    public UsageSnapshot takeUsage() {
        synchronized (mLock) {
            long now = mClock.nanoTime();
            long millis = Math.max(1, (now - mUsageTakenAtNanos) / 1_000_000L);
            mUsageTakenAtNanos = now;
            Map<String, UsageSnapshot.PlanUsage> plans = new HashMap<>();
            mAccounts.forEach((name, account) -> plans.put(name, account.takeUsage()));
            return new UsageSnapshot(millis, plans);
        }
    }
}
