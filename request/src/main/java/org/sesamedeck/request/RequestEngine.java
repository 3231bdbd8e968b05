package org.sesamedeck.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.RetryBudget;
import org.sesamedeck.routing.Router;

/**
 * Starts the life of each request under the configuration in force. Confined to one thread, as are
 * the requests that it starts.
 */
public final class RequestEngine {
    private static final int MAX_PRIORITY = 9;

    private final Clock mClock;
    private final Timers mTimers;
    private final Router mRouter;
    private final DecisionLog mLog;
    private final RequestSettings mSettings;
    private final PhaseObserver mPhases;
    private final PhaseSplitPolicy mPhaseSplit;
    private final Map<String, RetryBudget> mBudgets = new HashMap<>();
    private Optional<ServingConfiguration> mConfiguration = Optional.empty();
    private final AnswerLengths mLengths = new AnswerLengths();
    private final Map<String, WaitingLine> mWaiting = new HashMap<>();
    private double mSavedRetries;
    private int mActive;
    private boolean mIsStopping;

    private RequestEngine(
            Clock clock,
            Timers timers,
            Router router,
            DecisionLog log,
            RequestSettings settings,
            PhaseObserver phases) {
        mClock = clock;
        mTimers = timers;
        mRouter = router;
        mLog = log;
        mSettings = settings;
        mSavedRetries = settings.savedRetries();
        mPhases = phases;
        mPhaseSplit = PhaseSplitPolicy.of(router, settings);
    }

    /** Returns an engine that refuses everything until it has a configuration. */
    public static RequestEngine create(
            Clock clock,
            Timers timers,
            Router router,
            DecisionLog log,
            RequestSettings settings,
            PhaseObserver phases) {
        return new RequestEngine(clock, timers, router, log, settings, phases);
    }

    /**
     * Takes a configuration unless a version at least as high is in force.
     *
     * @return whether it was taken
     */
    public boolean configure(ServingConfiguration configuration) {
        long inForce = mConfiguration.map(ServingConfiguration::version).orElse(Long.MIN_VALUE);
        if (configuration.version() <= inForce) {
            return false;
        }
        mConfiguration = Optional.of(configuration);
        return true;
    }

    /** Returns the configuration in force. */
    public Optional<ServingConfiguration> configuration() {
        return mConfiguration;
    }

    /** Changes how many retries this process may save for each service. */
    public void limitSavedRetries(double savedRetries) {
        mSavedRetries = savedRetries;
        mBudgets.values().forEach(budget -> budget.limitSaved(savedRetries));
    }

    /** Refuses requests from now on; those in progress go on. */
    public void stopAccepting() {
        mIsStopping = true;
    }

    /** Returns whether requests are still taken. */
    public boolean isAccepting() {
        return !mIsStopping;
    }

    /** Returns the number of requests that have not ended. */
    public int activeRequests() {
        return mActive;
    }

    /** Starts a request; the port is told of its end. */
    public RequestRun start(CallerRequest request, RequestPort port) {
        mActive++;
        if (mIsStopping) {
            return refused(request, port, ResultCode.STOPPING, "this process is stopping");
        }
        if (mConfiguration.isEmpty()) {
            return refused(
                    request, port, ResultCode.UNAVAILABLE, "no configuration has been read yet");
        }
        ServingConfiguration configuration = mConfiguration.get();
        Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refused(
                    request,
                    port,
                    ResultCode.NOT_FOUND,
                    "no route for host "
                            + request.host()
                            + " and this path in configuration version "
                            + configuration.version());
        }
        String service = route.get().pickService(request.identifier().hashCode());
        boolean isEngine =
                configuration.service(service).map(ServiceDescription::isEngine).orElse(false);
        RequestProfile profile = profile(request, route.get(), service, isEngine);
        budgetOf(service).recordRequest();
        RequestRun run =
                new RequestRun(
                        this,
                        request,
                        route.get(),
                        service,
                        profile,
                        configuration.version(),
                        port);
        run.start();
        return run;
    }

    private RequestRun refused(
            CallerRequest request, RequestPort port, ResultCode code, String message) {
        RequestRun run = RequestRun.withoutRoute(this, request, port);
        Optional<Duration> retryAfter = code.isRetryable() ? usualReturn() : Optional.empty();
        run.refuse(code, message, retryAfter);
        return run;
    }

    private RequestProfile profile(
            CallerRequest request, Route route, String service, boolean isEngine) {
        String target = isEngine ? targetOf(service, request.model().orElse("")) : service;
        return new RequestProfile(
                "",
                "",
                target,
                isEngine,
                MAX_PRIORITY - Math.min(MAX_PRIORITY, Math.max(0, route.priority())),
                request.promptTokens(),
                isEngine ? Math.round(mLengths.expected(route.name())) : 0,
                isEngine ? PromptBlocks.hashes(target, request.promptParts()) : new long[0],
                isEngine ? PromptBlocks.sharedBlocks(request.promptParts()) : 0,
                Set.of(),
                0);
    }

    /** Returns the name under which the router knows a model of a service. */
    public static String targetOf(String service, String model) {
        return service + '/' + model;
    }

    /** Returns the names under which the router knows the models of a service's engine. */
    public static Set<String> targetsOf(String service, List<String> models) {
        Set<String> targets = new HashSet<>();
        models.forEach(model -> targets.add(targetOf(service, model)));
        return Set.copyOf(targets);
    }

    /** Returns when a refused caller should come back if nothing better is known. */
    Optional<Duration> usualReturn() {
        return Optional.of(mSettings.retryAfter());
    }

    RetryBudget budgetOf(String service) {
        return mBudgets.computeIfAbsent(
                service, name -> RetryBudget.of(mSettings.retryRatio(), mSavedRetries));
    }

    void ended(RequestTrace trace) {
        mActive--;
        mLog.requestEnded(trace);
    }

    Clock clock() {
        return mClock;
    }

    Timers timers() {
        return mTimers;
    }

    Router router() {
        return mRouter;
    }

    RequestSettings settings() {
        return mSettings;
    }

    AnswerLengths lengths() {
        return mLengths;
    }

    WaitingLine waitingLine(String service) {
        return mWaiting.computeIfAbsent(service, name -> new WaitingLine(mClock, mTimers));
    }

    PhaseObserver phases() {
        return mPhases;
    }

    PhaseSplitPolicy phaseSplit() {
        return mPhaseSplit;
    }
}
