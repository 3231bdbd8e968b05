package org.sesamedeck.experiment;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;

/** Runs one kind of trace with one workload over several seeds and holds the results. */
final class RunSet {
    private static final int MAX_THREADS =
            Math.max(1, Math.min(6, Runtime.getRuntime().availableProcessors() / 2));

    private final TraceKind mKind;
    private final Workload mWorkload;
    private final Map<Policy, List<RunResult>> mResults = new EnumMap<>(Policy.class);
    private final Map<Policy, RunMetrics> mFirstSeedMetrics = new EnumMap<>(Policy.class);
    private final Trace mFirstSeedTrace;

    private RunSet(TraceKind kind, Workload workload) {
        mKind = kind;
        mWorkload = workload;
        mFirstSeedTrace = kind.draw(workload, 1);
        for (Policy policy : Policy.values()) {
            mResults.put(policy, new ArrayList<>());
        }
    }

    private record SeedRun(Map<Policy, RunResult> results, Map<Policy, RunMetrics> metrics) {}

    /** Runs every policy with the seeds from 1 to the given number. */
    static RunSet run(TraceKind kind, Workload workload, int seeds) {
        RunSet set = new RunSet(kind, workload);
        ExecutorService executor = Executors.newFixedThreadPool(MAX_THREADS);
        try {
            List<Future<SeedRun>> runs = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                long number = seed;
                runs.add(executor.submit(() -> runSeed(kind, workload, number)));
            }
            for (int i = 0; i < runs.size(); i++) {
                SeedRun seedRun = runs.get(i).get();
                seedRun.results().forEach((policy, result) -> set.mResults.get(policy).add(result));
                if (i == 0) {
                    set.mFirstSeedMetrics.putAll(seedRun.metrics());
                }
            }
        } catch (InterruptedException | java.util.concurrent.ExecutionException failure) {
            throw new IllegalStateException(
                    "cannot run trace " + kind + " of " + workload, failure);
        } finally {
            executor.shutdownNow();
        }
        return set;
    }

    private static SeedRun runSeed(TraceKind kind, Workload workload, long seed) {
        Trace trace = kind.draw(workload, seed);
        double offlineBound = OfflineBound.goodput(trace);
        Map<Policy, RunResult> results = new EnumMap<>(Policy.class);
        Map<Policy, RunMetrics> metrics = new EnumMap<>(Policy.class);
        for (Policy policy : Policy.values()) {
            RunMetrics run = ClusterSimulation.run(trace, policy);
            results.put(policy, RunResult.of(trace, run, offlineBound));
            if (seed == 1) {
                metrics.put(policy, run);
            }
        }
        return new SeedRun(results, metrics);
    }

    TraceKind kind() {
        return mKind;
    }

    Workload workload() {
        return mWorkload;
    }

    Trace firstSeedTrace() {
        return mFirstSeedTrace;
    }

    /** Returns the metrics of the policy with seed 1. */
    RunMetrics firstSeedMetrics(Policy policy) {
        return mFirstSeedMetrics.get(policy);
    }

    /** Returns the statistics of a value over all seeds. */
    SeedStatistics statistics(Policy policy, ToDoubleFunction<RunResult> value) {
        return SeedStatistics.of(mResults.get(policy).stream().mapToDouble(value).toArray());
    }

    /**
     * Returns the statistics of the ratio of the policy's goodput to a baseline's for each seed.
     */
    SeedStatistics goodputRatio(Policy policy, Policy baseline) {
        double[] ratios = new double[mResults.get(policy).size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] =
                    mResults.get(policy).get(i).goodput()
                            / Math.max(1e-9, mResults.get(baseline).get(i).goodput());
        }
        return SeedStatistics.of(ratios);
    }
}
