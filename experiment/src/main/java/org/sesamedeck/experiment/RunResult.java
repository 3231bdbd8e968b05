package org.sesamedeck.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.core.Plan;
import org.sesamedeck.routing.EndpointRole;

/**
 * Result of one run.
 *
 * @param goodput good requests per second
 * @param offlineBound upper bound of the goodput, in requests per second
 * @param roleChanges role changes begun
 * @param shareError largest relative difference between a plan's fraction of the work and its share
 *     in any window of 30 s; only meaningful when every plan has demand
 * @param queueRatio largest ratio of an engine's requests to the mean of its role in any window of
 *     10 s in which no engine is down, changes its role or has had its role for at most 5 s
 * @param refused requests refused
 * @param lateFirstTokens responses whose first token missed its goal
 * @param slowTokens responses whose token interval missed its goal
 * @param failed accepted requests that failed
 * @param unresolved accepted requests that neither completed nor failed
 * @param otherGoodFraction fraction of good requests of all client accounts but the runaway one
 */
record RunResult(
        double goodput,
        double offlineBound,
        int roleChanges,
        double shareError,
        double queueRatio,
        int refused,
        int lateFirstTokens,
        int slowTokens,
        int failed,
        int unresolved,
        double otherGoodFraction) {
    private static final int SHARE_WINDOW_SECONDS = 30;
    private static final int QUEUE_WINDOW_SECONDS = 10;
    private static final int WARM_UP_SECONDS = 20;

    static RunResult of(Trace trace, RunMetrics metrics, double offlineBound) {
        return new RunResult(
                metrics.goodput(),
                offlineBound,
                metrics.roleChanges(),
                shareError(trace, metrics.samples()),
                queueRatio(trace, metrics.samples()),
                metrics.refused(),
                metrics.lateFirstTokens(),
                metrics.slowTokens(),
                metrics.failed(),
                metrics.unresolved(),
                metrics.goodFraction(false));
    }

    private static double shareError(Trace trace, List<RunMetrics.Sample> samples) {
        double totalShare = trace.workload().plans().stream().mapToDouble(Plan::share).sum();
        double maximum = 0;
        int end = (int) trace.seconds();
        for (int start = WARM_UP_SECONDS; start + SHARE_WINDOW_SECONDS <= end; start += 5) {
            Map<String, Double> work = new HashMap<>();
            for (int i = start; i < start + SHARE_WINDOW_SECONDS; i++) {
                samples.get(i)
                        .workByPlan()
                        .forEach((plan, done) -> work.merge(plan, done, Double::sum));
            }
            double totalWork = work.values().stream().mapToDouble(Double::doubleValue).sum();
            for (Plan plan : trace.workload().plans()) {
                double fraction = work.getOrDefault(plan.name(), 0.0) / totalWork;
                maximum = Math.max(maximum, Math.abs(fraction / (plan.share() / totalShare) - 1));
            }
        }
        return maximum;
    }

    private static double queueRatio(Trace trace, List<RunMetrics.Sample> samples) {
        double maximum = 0;
        int end = (int) trace.seconds();
        for (int start = WARM_UP_SECONDS;
                start + QUEUE_WINDOW_SECONDS <= end;
                start += QUEUE_WINDOW_SECONDS) {
            List<RunMetrics.Sample> window = samples.subList(start, start + QUEUE_WINDOW_SECONDS);
            if (window.stream().allMatch(RunMetrics.Sample::isSettled)) {
                for (EndpointRole role : EndpointRole.values()) {
                    maximum = Math.max(maximum, maxToMeanRatio(window, role));
                }
            }
        }
        return maximum;
    }

    /**
     * Returns the largest ratio of an engine's requests to the mean of its role; 0 if the engines
     * of the role have less than one request each on average.
     */
    private static double maxToMeanRatio(List<RunMetrics.Sample> window, EndpointRole role) {
        double sum = 0;
        double largest = 0;
        int engines = 0;
        for (int engine = 0; engine < TraceKind.ENGINES; engine++) {
            double requests = 0;
            for (RunMetrics.Sample sample : window) {
                if (sample.roles()[engine] != role) {
                    requests = -1;
                    break;
                }
                requests += sample.requestsByEngine()[engine];
            }
            if (requests >= 0) {
                engines++;
                sum += requests;
                largest = Math.max(largest, requests);
            }
        }
        double mean = sum / Math.max(1, engines);
        return mean < window.size() ? 0 : largest / mean;
    }
}
