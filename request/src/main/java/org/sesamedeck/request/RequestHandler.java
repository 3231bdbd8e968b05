package org.sesamedeck.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.AccountShares;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.RetryBudget;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.quarantine.PartQuarantine;

/**
 * Starts the lifecycle of each request under the configuration in force and holds the state that
 * requests share. Confined to one thread, as are the requests that it starts.
 */
public final class RequestHandler {
    /**
     * Most urgent priority of a {@link RequestProfile}. The priorities of routes count the other
     * way: 0 is the most urgent.
     */
    private static final int MAX_PROFILE_PRIORITY = 9;

    private final Clock mClock;
    private final Timers mTimers;
    private final Router mRouter;
    private final DecisionLog mLog;
    private final RequestSettings mSettings;
    private final PhaseObserver mPhaseObserver;
    private final PartQuarantine mQuarantine;
    private final UsageObserver mUsageObserver;
    private final PhaseSplitPolicy mPhaseSplit;
    private final EnginePriorities mEnginePriorities = new EnginePriorities();
    private final Map<String, RetryBudget> mRetryBudgets = new HashMap<>();
    private Optional<ServingConfiguration> mConfiguration = Optional.empty();
    private final ResponseLengths mResponseLengths = new ResponseLengths();
    private final Map<String, RequestQueue> mRequestQueues = new HashMap<>();
    private final Map<String, ServicePressure> mPressures = new HashMap<>();
    private final ResponseMemory mResponseMemory;
    private double mRetryBurst;
    private final Set<RequestLifecycle> mActiveRequests = new LinkedHashSet<>();
    private final AccountShares mAccountShares;
    private boolean mIsStopping;

    private RequestHandler(
            Clock clock,
            Timers timers,
            Router router,
            DecisionLog log,
            RequestSettings settings,
            PhaseObserver phaseObserver,
            PartQuarantine quarantine,
            UsageObserver usageObserver) {
        mClock = clock;
        mTimers = timers;
        mRouter = router;
        mLog = log;
        mSettings = settings;
        mRetryBurst = settings.retryBurst();
        mResponseMemory = ResponseMemory.of(settings.responseMemoryBytes());
        mPhaseObserver = phaseObserver;
        mQuarantine = quarantine;
        mUsageObserver = usageObserver;
        mAccountShares = AccountShares.create(clock);
        mPhaseSplit = PhaseSplitPolicy.of(router, settings);
    }

    /** Returns a handler that refuses all requests until it has a configuration. */
    public static RequestHandler create(
            Clock clock,
            Timers timers,
            Router router,
            DecisionLog log,
            RequestSettings settings,
            PhaseObserver phaseObserver,
            PartQuarantine quarantine,
            UsageObserver usageObserver) {
        return new RequestHandler(
                clock, timers, router, log, settings, phaseObserver, quarantine, usageObserver);
    }

    /**
     * Puts a configuration in force unless the version in force is at least as high. Requests that
     * wait for an endpoint and whose key it no longer holds are refused.
     *
     * @return whether the configuration was put in force
     */
    public boolean configure(ServingConfiguration configuration) {
        long inForce = mConfiguration.map(ServingConfiguration::version).orElse(Long.MIN_VALUE);
        if (configuration.version() <= inForce) {
            return false;
        }
        mConfiguration = Optional.of(configuration);
        List.copyOf(mActiveRequests).forEach(RequestLifecycle::configurationChanged);
        Map<String, Long> memory = new HashMap<>();
        for (ServiceDescription service : configuration.services()) {
            service.engineMemory().ifPresent(tokens -> memory.put(service.name(), tokens));
        }
        mRouter.updateEngineMemory(memory);
        return true;
    }

    /** Returns the configuration in force. */
    public Optional<ServingConfiguration> configuration() {
        return mConfiguration;
    }

    /** Changes the number of retries that the budget of each service may accumulate. */
    public void limitRetryBurst(double retryBurst) {
        mRetryBurst = retryBurst;
        mRetryBudgets.values().forEach(budget -> budget.setBurst(retryBurst));
    }

    /** Ends the requests in progress whose prompt has a quarantined part and no answer yet. */
    public void quarantineChanged() {
        List.copyOf(mActiveRequests).forEach(RequestLifecycle::quarantineChanged);
    }

    /** Refuses all later requests; requests in progress continue. */
    public void stopAccepting() {
        mIsStopping = true;
    }

    /** Ends all requests as at their deadlines: each caller is told whether its request may run. */
    public void endAll() {
        List.copyOf(mActiveRequests).forEach(RequestLifecycle::expire);
    }

    /** Returns whether new requests are accepted. */
    public boolean isAccepting() {
        return !mIsStopping;
    }

    /** Returns the number of requests that have not ended. */
    public int activeRequests() {
        return mActiveRequests.size();
    }

    /** Returns whether the configuration in force names client accounts. */
    public boolean requiresKeys() {
        return mConfiguration
                .map(configuration -> configuration.accounts().areRequired())
                .orElse(false);
    }

    /**
     * Returns whether the request can be refused before its body has arrived, since its route needs
     * a key of a client account and it carries none that the configuration in force knows.
     */
    public boolean isUnauthenticated(CallerRequest request) {
        return mConfiguration
                .flatMap(configuration -> configuration.route(request.host(), request.path()))
                .map(route -> !RequestAccess.of(this, request, route).isAllowed())
                .orElse(false);
    }

    /**
     * Refuses a request for which {@link #isUnauthenticated} was true when its head arrived. It is
     * not decided again, as the request may lack its body.
     */
    public void refuseUnauthenticated(CallerRequest request, RequestPort port) {
        refuse(
                request,
                port,
                ResultCode.UNAUTHENTICATED,
                "the request carries no known key of a client account");
    }

    /** Starts a request, whose response or refusal is sent through the port. */
    public RequestLifecycle start(CallerRequest request, RequestPort port) {
        if (mIsStopping) {
            return refuse(request, port, ResultCode.STOPPING, "this process is stopping");
        }
        if (mConfiguration.isEmpty()) {
            return refuse(
                    request, port, ResultCode.UNAVAILABLE, "no configuration has been read yet");
        }
        ServingConfiguration configuration = mConfiguration.get();
        Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(
                    request,
                    port,
                    ResultCode.NOT_FOUND,
                    "no route for host "
                            + request.host()
                            + " and this path in configuration version "
                            + configuration.version());
        }
        RequestAccess access = RequestAccess.of(this, request, route.get());
        if (!access.isAllowed()) {
            return refuse(request, port, ResultCode.UNAUTHENTICATED, access.refusalCause());
        }
        String service = route.get().pickService(request.identifier().hashCode());
        RequestProfile profile = profile(request, route.get(), access, service, isEngine(service));
        mEnginePriorities.record(route.get(), request.promptTokens());
        retryBudget(service).recordRequest();
        AcceptedRequest accepted =
                new AcceptedRequest(
                        route.get(),
                        access,
                        new RequestUsage(mUsageObserver, access),
                        service,
                        profile,
                        configuration.version());
        RequestLifecycle lifecycle =
                RequestLifecycle.of(this, request, Optional.of(accepted), port);
        mActiveRequests.add(lifecycle);
        lifecycle.start();
        return lifecycle;
    }

    /**
     * Explains what would happen to a request that arrived now. Sends nothing and changes no later
     * decision.
     */
    public RequestExplanation explain(CallerRequest request) {
        if (mIsStopping) {
            return RequestExplanation.refused(ResultCode.STOPPING, "this process is stopping");
        }
        if (mConfiguration.isEmpty()) {
            return RequestExplanation.refused(
                    ResultCode.UNAVAILABLE, "no configuration has been read yet");
        }
        Optional<Route> route = mConfiguration.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            return RequestExplanation.refused(
                    ResultCode.NOT_FOUND, "no route for this host and path");
        }
        RequestAccess access = RequestAccess.of(this, request, route.get());
        String service = route.get().pickService(request.identifier().hashCode());
        RequestProfile profile = profile(request, route.get(), access, service, isEngine(service));
        return new RequestExplainer(this, request, route.get(), access, service, profile).explain();
    }

    private boolean isEngine(String service) {
        return mConfiguration
                .flatMap(configuration -> configuration.service(service))
                .map(ServiceDescription::isEngine)
                .orElse(false);
    }

    private RequestLifecycle refuse(
            CallerRequest request, RequestPort port, ResultCode code, String message) {
        RequestLifecycle lifecycle = RequestLifecycle.of(this, request, Optional.empty(), port);
        Optional<Duration> retryAfter = code.isRetryable() ? defaultRetryAfter() : Optional.empty();
        lifecycle.refuse(code, message, retryAfter);
        return lifecycle;
    }

    /**
     * Returns the properties that the router uses. Plan, client account and deadline are left
     * empty, since only admission control uses them.
     */
    private RequestProfile profile(
            CallerRequest request,
            Route route,
            RequestAccess access,
            String service,
            boolean isEngine) {
        String target = isEngine ? targetOf(service, request.model().orElse("")) : service;
        return new RequestProfile(
                "",
                "",
                target,
                isEngine,
                MAX_PROFILE_PRIORITY
                        - Math.min(MAX_PROFILE_PRIORITY, Math.max(0, access.priority())),
                request.promptTokens(),
                isEngine ? Math.round(mResponseLengths.expected(route.name())) : 0,
                isEngine ? PromptBlocks.hashes(target, request.promptParts()) : new long[0],
                isEngine ? PromptBlocks.sharedBlocks(request.promptParts()) : 0,
                Set.of(),
                0);
    }

    /** Returns the routing target name of a service's model. */
    public static String targetOf(String service, String model) {
        return service + '/' + model;
    }

    /** Returns the routing target names of the models of a service's engine. */
    public static Set<String> targetsOf(String service, List<String> models) {
        Set<String> targets = new HashSet<>();
        models.forEach(model -> targets.add(targetOf(service, model)));
        return Set.copyOf(targets);
    }

    /** Returns the retry-after delay for refusals that are not based on an expected queue wait. */
    Optional<Duration> defaultRetryAfter() {
        return Optional.of(mSettings.retryAfter());
    }

    /**
     * Returns the retry-after delay for a request that no endpoint takes: it does not end before
     * the first endpoint is usable, if that is known. A request that is too large for any endpoint
     * has none.
     */
    Optional<Duration> retryAfter(AcceptedRequest accepted, CallerRequest request) {
        if (mRouter.isOversized(accepted.profile())) {
            return Optional.empty();
        }
        return mRouter.timeUntilUsable(accepted.profile())
                .filter(wait -> wait.compareTo(mSettings.retryAfter()) > 0)
                .map(wait -> RetryAfterDelay.notBefore(wait, request.identifier()))
                .or(
                        () ->
                                Optional.of(
                                        RetryAfterDelay.of(
                                                mSettings.retryAfter(),
                                                Duration.ZERO,
                                                request.identifier())));
    }

    /** Returns the retry-after delay for a request that waited for decode capacity in vain. */
    Optional<Duration> overloadRetryAfter(AcceptedRequest request, String identifier) {
        return requestQueue(request.service())
                .retryAfter(request.access().rank(), mSettings.retryAfter(), identifier);
    }

    /**
     * Returns the refusal of a request that comes after those of other accounts while the endpoints
     * of its service are full: it would take the place of one of them, or be rejected.
     */
    Optional<ErrorResponse> refusalOfSetBack(AcceptedRequest accepted, CallerRequest request) {
        boolean isRefused =
                pressure(accepted.service()).isFull() && accepted.access().rank().isSetBack();
        return isRefused
                ? Optional.of(
                        new ErrorResponse(
                                ResultCode.OVERLOADED,
                                "endpoints have room only for accounts within their share",
                                overloadRetryAfter(accepted, request.identifier())))
                : Optional.empty();
    }

    /** Returns whether endpoints of the service reject requests. */
    ServicePressure pressure(String service) {
        return mPressures.computeIfAbsent(service, name -> new ServicePressure(mClock));
    }

    /** Records the work of a call that is sent now as used by the account of its request. */
    void workSent(AcceptedRequest request, RequestPhase phase) {
        boolean isPromptProcessed = phase == RequestPhase.DECODE;
        double work = isPromptProcessed ? 0 : 1 + request.profile().promptTokens();
        request.access()
                .account()
                .ifPresent(account -> mAccountShares.record(account.name(), work));
    }

    RetryBudget retryBudget(String service) {
        return mRetryBudgets.computeIfAbsent(
                service, name -> RetryBudget.of(mSettings.retryRatio(), mRetryBurst));
    }

    void ended(RequestLifecycle lifecycle, RequestTrace trace) {
        mActiveRequests.remove(lifecycle);
        mLog.requestEnded(trace);
    }

    /** Logs a decision that concerns no single request. */
    void record(LogEntry entry) {
        mLog.record(entry);
    }

    PartQuarantine quarantine() {
        return mQuarantine;
    }

    /** Learns from a stream that was delivered completely. */
    void streamCompleted(Route route, String service, StreamDelivery stream) {
        mResponseLengths.record(route.name(), stream.events());
        stream.meanTokenInterval(mClock.nanoTime())
                .ifPresent(
                        tokenInterval ->
                                mPhaseObserver.streamCompleted(
                                        service, tokenInterval, route.tokenIntervalTarget()));
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

    ResponseMemory responseMemory() {
        return mResponseMemory;
    }

    RequestQueue requestQueue(String service) {
        return mRequestQueues.computeIfAbsent(service, name -> new RequestQueue(mClock, mTimers));
    }

    PhaseObserver phaseObserver() {
        return mPhaseObserver;
    }

    UsageObserver usageObserver() {
        return mUsageObserver;
    }

    /** Returns what measures the usage of client accounts. */
    public AccountShares accountShares() {
        return mAccountShares;
    }

    EnginePriorities enginePriorities() {
        return mEnginePriorities;
    }

    PhaseSplitPolicy phaseSplit() {
        return mPhaseSplit;
    }
}
