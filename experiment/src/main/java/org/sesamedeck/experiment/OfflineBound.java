package org.sesamedeck.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes an upper bound of the goodput of a scheduler that knows the whole trace.
 *
 * <p>The bound relaxes the scheduling problem: every engine always has the matching role, role
 * changes cost nothing, no engine waits for work, no step mixes prefill and decode, latency goals
 * are met if the work of a window fits into it, and there is a single queue.
 *
 * <p>The trace is cut into windows of 30 s, each with 30 s of engine time for every engine that is
 * up. If more work arrives in a window, it may also use the idle engine time of the next window,
 * which stands for responses that run across the boundary. Engine time is divided among plans by
 * share and among the client accounts of a plan evenly, and unused parts are redistributed
 * (water-filling). The requests of a client account are served in proportion, since a scheduler
 * that served only the cheapest requests of an account would not serve that account.
 */
final class OfflineBound {
    private static final double WINDOW_SECONDS = 30;

    private OfflineBound() {}

    /** Returns the upper bound of good requests per second. */
    static double goodput(Trace trace) {
        int windows = (int) Math.ceil(trace.seconds() / WINDOW_SECONDS);
        List<List<TraceRequest>> arrivals = new ArrayList<>();
        for (int i = 0; i < windows; i++) {
            arrivals.add(new ArrayList<>());
        }
        for (TraceRequest request : trace.requests()) {
            arrivals.get((int) (request.arrivalNanos() / 1e9 / WINDOW_SECONDS)).add(request);
        }
        double good = 0;
        for (int window = 0; window < windows; window++) {
            double capacity = capacity(trace, window);
            double nextWindowIdle =
                    window + 1 == windows
                            ? capacity
                            : Math.max(
                                    0,
                                    capacity(trace, window + 1) - work(arrivals.get(window + 1)));
            good += countServed(trace, arrivals.get(window), capacity + nextWindowIdle);
        }
        return good / trace.seconds();
    }

    private static double capacity(Trace trace, int window) {
        double start = window * WINDOW_SECONDS;
        double end = start + WINDOW_SECONDS;
        double capacity = TraceKind.ENGINES * WINDOW_SECONDS;
        for (EngineCrash crash : trace.crashes()) {
            capacity -=
                    Math.max(
                            0,
                            Math.min(end, crash.recoverySeconds())
                                    - Math.max(start, crash.crashSeconds()));
        }
        return capacity;
    }

    private static double work(List<TraceRequest> requests) {
        return requests.stream().mapToDouble(TraceRequest::workSeconds).sum();
    }

    private static double countServed(Trace trace, List<TraceRequest> requests, double capacity) {
        if (work(requests) <= capacity) {
            return requests.size();
        }
        // By plan and client account: work in seconds of engine time, and number of requests.
        Map<String, Map<String, double[]>> demands = new TreeMap<>();
        for (TraceRequest request : requests) {
            double[] demand =
                    demands.computeIfAbsent(request.plan().name(), plan -> new TreeMap<>())
                            .computeIfAbsent(
                                    request.clientAccount(), clientAccount -> new double[2]);
            demand[0] += request.workSeconds();
            demand[1]++;
        }
        Map<String, Double> workByPlan = new HashMap<>();
        Map<String, Double> shareByPlan = new HashMap<>();
        trace.workload().plans().forEach(plan -> shareByPlan.put(plan.name(), plan.share()));
        demands.forEach(
                (plan, clientAccounts) ->
                        workByPlan.put(
                                plan,
                                clientAccounts.values().stream()
                                        .mapToDouble(each -> each[0])
                                        .sum()));
        Map<String, Double> grantedByPlan = waterFill(capacity, workByPlan, shareByPlan);
        double good = 0;
        for (Map.Entry<String, Map<String, double[]>> plan : demands.entrySet()) {
            Map<String, Double> workByClientAccount = new HashMap<>();
            Map<String, Double> equalWeights = new HashMap<>();
            plan.getValue()
                    .forEach(
                            (clientAccount, demand) -> {
                                workByClientAccount.put(clientAccount, demand[0]);
                                equalWeights.put(clientAccount, 1.0);
                            });
            Map<String, Double> grantedByClientAccount =
                    waterFill(grantedByPlan.get(plan.getKey()), workByClientAccount, equalWeights);
            for (Map.Entry<String, double[]> clientAccount : plan.getValue().entrySet()) {
                double[] demand = clientAccount.getValue();
                good +=
                        demand[1]
                                * Math.min(
                                        1,
                                        grantedByClientAccount.get(clientAccount.getKey())
                                                / demand[0]);
            }
        }
        return good;
    }

    /** Divides an amount by water-filling, in ascending order of demand over weight. */
    static Map<String, Double> waterFill(
            double amount, Map<String, Double> demands, Map<String, Double> weights) {
        List<String> order = new ArrayList<>(demands.keySet());
        order.sort(Comparator.comparingDouble((String key) -> demands.get(key) / weights.get(key)));
        double remainingWeight = order.stream().mapToDouble(weights::get).sum();
        double remaining = amount;
        Map<String, Double> result = new HashMap<>();
        for (String key : order) {
            double part =
                    Math.min(demands.get(key), remaining * weights.get(key) / remainingWeight);
            result.put(key, part);
            remaining -= part;
            remainingWeight -= weights.get(key);
        }
        return result;
    }
}
