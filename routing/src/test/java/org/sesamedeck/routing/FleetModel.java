package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ManualClock;

/**
 * Simulates several admission controllers in front of engines that process requests in order of
 * arrival.
 */
final class FleetModel {
    /** Engine time of 1000 prompt and 100 output tokens at the initial estimates. */
    static final double REQUEST_MICROS = 1000 * 50 + 100 * 220;

    private static final long STEP_MICROS = 1_000;
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(2);

    private final ManualClock mClock = ManualClock.create();
    private final List<DefaultAdmissionController> mControllers = new ArrayList<>();
    private final ArrayDeque<AdmissionTicket> mAtEngines = new ArrayDeque<>();
    private final Map<AdmissionTicket, String> mClientAccounts = new HashMap<>();
    private final Map<String, Long> mCompleted = new HashMap<>();
    private final Map<String, Long> mRefused = new HashMap<>();
    private final Map<String, Long> mAccepted = new HashMap<>();
    private final SplittableRandom mRandom;
    private final int mEngines;
    private double mAvailableMicros;
    private long mStep;

    FleetModel(int controllers, int engines, Configuration configuration, long seed) {
        mEngines = engines;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < controllers; i++) {
            DefaultAdmissionController controller =
                    DefaultAdmissionController.create(
                            mClock,
                            RoutingFixtures.view(engines, this::waitNanos),
                            EngineTimeEstimator.create(),
                            AdmissionSettings.defaults());
            controller.updateConfiguration(configuration);
            controller.updateTotals(new UsageSnapshot(1000, Map.of()), controllers);
            mControllers.add(controller);
        }
    }

    /** Traffic of one client account at one controller, as a fraction of the total capacity. */
    record Source(int controller, String plan, String clientAccount, double load) {}

    /**
     * Simulates the traffic and returns the number of requests completed meanwhile, by client
     * account.
     */
    Map<String, Long> run(Duration duration, List<Source> sources) {
        Map<String, Long> before = new HashMap<>(mCompleted);
        long steps = duration.toNanos() / 1_000 / STEP_MICROS;
        for (long i = 0; i < steps; i++) {
            for (Source source : sources) {
                double probability = source.load() * mEngines * STEP_MICROS / REQUEST_MICROS;
                while (probability > 0) {
                    if (mRandom.nextDouble() < probability) {
                        submit(source);
                    }
                    probability -= 1;
                }
            }
            step();
        }
        Map<String, Long> result = new HashMap<>();
        mCompleted.forEach((key, count) -> result.put(key, count - before.getOrDefault(key, 0L)));
        return result;
    }

    private long waitNanos() {
        return (long) (mAtEngines.size() * REQUEST_MICROS * 1e3 / mEngines);
    }

    private void submit(Source source) {
        CompletableFuture<AdmissionTicket> future =
                mControllers
                        .get(source.controller())
                        .submit(
                                RoutingFixtures.request(
                                        source.plan(),
                                        source.clientAccount(),
                                        mClock.nanoTime() + WAIT_LIMIT.toNanos()));
        future.whenComplete(
                (ticket, failure) -> {
                    if (failure != null) {
                        mRefused.merge(source.clientAccount(), 1L, Long::sum);
                    } else {
                        mAccepted.merge(source.clientAccount(), 1L, Long::sum);
                        mClientAccounts.put(ticket, source.clientAccount());
                        mAtEngines.add(ticket);
                    }
                });
    }

    private void step() {
        mClock.advance(Duration.ofNanos(STEP_MICROS * 1_000));
        mAvailableMicros += mEngines * STEP_MICROS;
        while (mAvailableMicros >= REQUEST_MICROS && !mAtEngines.isEmpty()) {
            mAvailableMicros -= REQUEST_MICROS;
            AdmissionTicket ticket = mAtEngines.poll();
            mCompleted.merge(mClientAccounts.remove(ticket), 1L, Long::sum);
            ticket.correct(1000, 100);
            ticket.close();
        }
        if (mAtEngines.isEmpty()) {
            mAvailableMicros = Math.min(mAvailableMicros, mEngines * STEP_MICROS);
        }
        mStep++;
        if (mStep % 10 == 0) {
            mControllers.forEach(DefaultAdmissionController::advance);
        }
        if (mStep % 1_000 == 0) {
            exchangeTotals();
        }
    }

    private void exchangeTotals() {
        Map<String, UsageSnapshot.PlanUsage> totals = new HashMap<>();
        for (DefaultAdmissionController controller : mControllers) {
            controller
                    .takeUsage()
                    .plans()
                    .forEach(
                            (plan, usage) ->
                                    totals.merge(
                                            plan,
                                            usage,
                                            (left, right) ->
                                                    new UsageSnapshot.PlanUsage(
                                                            left.usedMicros() + right.usedMicros(),
                                                            left.demandedMicros()
                                                                    + right.demandedMicros(),
                                                            left.inFlight() + right.inFlight(),
                                                            left.requests() + right.requests(),
                                                            left.tokens() + right.tokens())));
        }
        mControllers.forEach(
                controller ->
                        controller.updateTotals(
                                new UsageSnapshot(1000, totals), mControllers.size()));
    }

    long refused(String clientAccount) {
        return mRefused.getOrDefault(clientAccount, 0L);
    }

    long accepted(String clientAccount) {
        return mAccepted.getOrDefault(clientAccount, 0L);
    }

    int atEngines() {
        return mAtEngines.size();
    }
}
