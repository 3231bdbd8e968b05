package org.sesamedeck.experiment;

import java.util.Set;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.AdmissionSettings;
import org.sesamedeck.routing.DefaultAdmissionController;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EngineTimeEstimator;
import org.sesamedeck.routing.LoadReport;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.RetryBudget;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.RouterSettings;

/**
 * Models an entry process with the router and admission controller of the system, or with those of
 * the naive baseline.
 */
final class SimulatedEntry {
    static final String REGION = "tunis";
    private static final double MAX_PROMPT_ESTIMATE_ERROR = 0.1;

    private final ClusterSimulation mSimulation;
    private final Router mRouter;
    private final AdmissionController mAdmission;
    private final RetryBudget mRetryBudget = RetryBudget.create();

    private SimulatedEntry(
            ClusterSimulation simulation, Router router, AdmissionController admission) {
        mSimulation = simulation;
        mRouter = router;
        mAdmission = admission;
    }

    static SimulatedEntry create(
            ClusterSimulation simulation, Policy policy, int index, long seed) {
        if (policy == Policy.NAIVE) {
            return new SimulatedEntry(
                    simulation, RoundRobinRouter.create(index), AdmitAllController.create());
        }
        EngineTimeEstimator estimator = EngineTimeEstimator.create();
        DefaultRouter router =
                DefaultRouter.create(
                        simulation.events().clock(),
                        RouterSettings.defaults(REGION),
                        estimator,
                        "entry-" + index,
                        seed * 64 + index);
        return new SimulatedEntry(
                simulation,
                router,
                DefaultAdmissionController.create(
                        simulation.events().clock(),
                        router,
                        estimator,
                        AdmissionSettings.defaults()));
    }

    Router router() {
        return mRouter;
    }

    AdmissionController admission() {
        return mAdmission;
    }

    boolean tryRetry() {
        return mRetryBudget.tryRetry();
    }

    /**
     * Returns the estimates that an entry process has of a request, and counts the request for the
     * retry budget. The number of prompt tokens is up to 10% off; the number of output tokens is
     * the mean of the request class.
     */
    RequestProfile profile(TraceRequest request) {
        mRetryBudget.recordRequest();
        double error =
                MAX_PROMPT_ESTIMATE_ERROR * (2 * ((request.arrivalNanos() % 1_000) / 999.0) - 1);
        long estimatedPromptTokens = Math.max(1, Math.round(request.promptTokens() * (1 + error)));
        long prefillNanos =
                (long) (request.promptTokens() * EngineCostModel.PREFILL_MICROS_PER_TOKEN * 1e3);
        return new RequestProfile(
                request.plan().name(),
                request.clientAccount(),
                Workload.MODEL,
                true,
                request.plan().priority(),
                estimatedPromptTokens,
                Math.round(request.requestClass().meanOutputTokens()),
                new long[0],
                Set.of(),
                request.arrivalNanos()
                        + Math.max(0, request.plan().firstTokenGoal().toNanos() - prefillNanos));
    }

    /** Passes the engine's current load report to the router after the delay of the trace. */
    void deliverReport(String engine) {
        LoadReport report = mSimulation.engine(engine).report();
        mSimulation
                .events()
                .scheduleAfter(
                        mSimulation.trace().reportDelayMillis() / 1e3,
                        () -> mRouter.reportLoad(engine, report));
    }
}
