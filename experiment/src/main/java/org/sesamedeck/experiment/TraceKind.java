package org.sesamedeck.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.sesamedeck.core.Plan;

/**
 * Kinds of traces. Arrivals are drawn second by second from the demand and work mix at that time.
 */
enum TraceKind {
    STEADY("constant demand of 70% of 8 engines, half of it prefill"),
    SWINGING("prefill swings between 25% and 75% of the work within 3 minutes, demand 72%"),
    FLIP("prefill falls from 70% to 20% (qoima: 32%) of the work at 300 s, demand 75%"),
    RUNAWAY("one client account sends another 90% of 8 engines from 200 s to 400 s, demand 60%"),
    LOSS_IN_FLIP("as flip, and an engine crashes at 305 s for 120 s, demand 70%"),
    LATE_REPORTS("as steady, with load reports 2 s late"),
    CONTENDED("every plan demands twice its share, with a slow swing of the mix");

    static final double DURATION_SECONDS = 600;
    static final int ENTRIES = 8;
    static final int ENGINES = 8;

    private static final double CHECK_FRACTION = 0.05;
    private static final int CLIENT_ACCOUNTS_PER_PLAN = 5;

    private final String mDescription;

    TraceKind(String description) {
        mDescription = description;
    }

    String description() {
        return mDescription;
    }

    static TraceKind of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns whether the fraction of prefill work changes considerably during the trace. */
    boolean isMixShifting() {
        return this == SWINGING || this == FLIP || this == LOSS_IN_FLIP;
    }

    Trace draw(Workload workload, long seed) {
        RandomGenerator random =
                RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 31 + ordinal());
        double phase = random.nextDouble();
        double period = 150 + 60 * random.nextDouble();
        List<TraceRequest> requests = new ArrayList<>();
        double noise = 0;
        for (int second = 0; second < DURATION_SECONDS; second++) {
            noise = 0.9 * noise + 0.03 * random.nextGaussian();
            double prefillFraction =
                    Math.max(0.1, Math.min(0.9, prefillFractionAt(second, phase, period) + noise));
            addSecond(workload, random, second, prefillFraction, requests);
        }
        requests.sort((left, right) -> Long.compare(left.arrivalNanos(), right.arrivalNanos()));
        List<EngineCrash> crashes =
                this == LOSS_IN_FLIP
                        ? List.of(new EngineCrash(random.nextInt(ENGINES), 305, 425))
                        : List.of();
        return new Trace(
                this,
                workload,
                seed,
                DURATION_SECONDS,
                requests,
                crashes,
                this == LATE_REPORTS ? 2_000 : 100);
    }

    /** Returns the mean fraction of the work that is prefill. */
    private double prefillFractionAt(double second, double phase, double period) {
        return switch (this) {
            case STEADY, RUNAWAY, LATE_REPORTS -> 0.5;
            case SWINGING ->
                    0.5 + 0.25 * Math.tanh(2 * Math.sin(2 * Math.PI * (second / period + phase)));
            case FLIP, LOSS_IN_FLIP -> second < 300 ? 0.7 : 0.2;
            case CONTENDED -> 0.5 + 0.1 * Math.sin(2 * Math.PI * (second / 300 + phase));
        };
    }

    /** Returns the demand of a plan in engines. */
    private double demandOf(Plan plan) {
        double share = plan.share() / 100 * ENGINES;
        return switch (this) {
            case STEADY, LATE_REPORTS, LOSS_IN_FLIP -> 0.7 * share;
            case SWINGING -> 0.72 * share;
            case FLIP -> 0.75 * share;
            case RUNAWAY -> 0.6 * share;
            case CONTENDED -> 2 * share;
        };
    }

    private void addSecond(
            Workload workload,
            RandomGenerator random,
            int second,
            double prefillFraction,
            List<TraceRequest> requests) {
        for (Plan plan : workload.plans()) {
            addArrivals(
                    workload, random, second, prefillFraction, plan, "", demandOf(plan), requests);
        }
        if (this == RUNAWAY && second >= 200 && second < 400) {
            addArrivals(
                    workload,
                    random,
                    second,
                    prefillFraction,
                    workload.plans().get(0),
                    "runaway",
                    0.9 * ENGINES,
                    requests);
        }
    }

    /**
     * Adds the arrivals of a second. One-step checks take a fixed fraction of the work; the rates
     * of logs and summaries solve the two linear equations for the prefill and decode work.
     */
    private static void addArrivals(
            Workload workload,
            RandomGenerator random,
            int second,
            double prefillFraction,
            Plan plan,
            String clientAccount,
            double engines,
            List<TraceRequest> requests) {
        RequestClass log = workload.log();
        RequestClass summary = workload.summary();
        RequestClass check = workload.check();
        double remainingEngines = engines * (1 - CHECK_FRACTION);
        double logPrefill = EngineCostModel.workSeconds(Math.round(log.meanPromptTokens()), 0);
        double logDecode = EngineCostModel.workSeconds(0, Math.round(log.meanOutputTokens()));
        double summaryPrefill =
                EngineCostModel.workSeconds(Math.round(summary.meanPromptTokens()), 0);
        double summaryDecode =
                EngineCostModel.workSeconds(0, Math.round(summary.meanOutputTokens()));
        double determinant = logPrefill * summaryDecode - summaryPrefill * logDecode;
        double logRate =
                (remainingEngines * prefillFraction * summaryDecode
                                - summaryPrefill * remainingEngines * (1 - prefillFraction))
                        / determinant;
        double summaryRate =
                (logPrefill * remainingEngines * (1 - prefillFraction)
                                - logDecode * remainingEngines * prefillFraction)
                        / determinant;
        double checkRate =
                engines
                        * CHECK_FRACTION
                        / EngineCostModel.workSeconds(
                                Math.round(check.meanPromptTokens()),
                                Math.round(check.meanOutputTokens()));
        addPoissonArrivals(log, logRate, random, second, plan, clientAccount, requests);
        addPoissonArrivals(summary, summaryRate, random, second, plan, clientAccount, requests);
        addPoissonArrivals(check, checkRate, random, second, plan, clientAccount, requests);
    }

    private static void addPoissonArrivals(
            RequestClass requestClass,
            double ratePerSecond,
            RandomGenerator random,
            int second,
            Plan plan,
            String clientAccount,
            List<TraceRequest> requests) {
        if (ratePerSecond <= 0) {
            return;
        }
        double time = random.nextExponential() / ratePerSecond;
        while (time < 1) {
            requests.add(
                    new TraceRequest(
                            (long) ((second + time) * 1e9),
                            random.nextInt(ENTRIES),
                            plan,
                            clientAccount.isEmpty()
                                    ? plan.name() + "-" + random.nextInt(CLIENT_ACCOUNTS_PER_PLAN)
                                    : clientAccount,
                            requestClass,
                            requestClass.drawPromptTokens(random),
                            requestClass.drawOutputTokens(random)));
            time += random.nextExponential() / ratePerSecond;
        }
    }
}
