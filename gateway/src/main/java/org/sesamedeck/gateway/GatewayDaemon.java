package org.sesamedeck.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.DescriptorLimit;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.Settings;
import org.sesamedeck.gateway.duty.DutyService;
import org.sesamedeck.gateway.scaling.ServerScaler;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestHandler;
import org.sesamedeck.request.RequestSettings;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.request.UsageObserver;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.ExclusionCounts;
import org.sesamedeck.routing.quarantine.PartQuarantine;

/**
 * The gateway process. One thread serves callers and endpoints and another follows the store, so
 * that neither waits for the other. Configurations and endpoints are passed from the second to the
 * first as immutable objects.
 */
public final class GatewayDaemon {
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /**
     * Only this fraction of the shared retry slack is used, since processes discover each other at
     * different times and may divide the slack by too small a count meanwhile.
     */
    private static final double RETRY_SLACK_FRACTION = 0.7;

    private final Clock mClock;
    private final Settings mSettings;
    private final PlatformAdapter mPlatform;
    private final MeteredDecisionLog mLog;
    private final JsonDecisionLog mJsonLog;
    private final EventLoop mTrafficLoop;
    private final EventLoop mControlLoop;
    private final DefaultRouter mRouter;
    private final PartQuarantine mQuarantine;
    private final RequestHandler mRequestHandler;
    private final EndpointClient mEndpointClient;
    private final CallerServer mCallerServer;
    private final StatusServer mStatusServer;
    private final EndpointDirectory mEndpointDirectory;
    private final RoleAdvisor mRoleAdvisor;
    private final RoleCoordinator mRoleCoordinator;
    private final Optional<ServerScaler> mServerScaler;
    private final PeerExchange mPeerExchange;
    private final Optional<DutyService> mDuties;
    private List<EndpointDescription> mKnownEndpoints = List.of();
    private volatile boolean mIsConfigured;
    private volatile boolean mHasEndpoints;
    private volatile boolean mIsStopping;
    private volatile long mConfigurationVersion;
    private boolean mWasReady;
    private long mCallersLimited;

    /** Creates the platform adapter, which needs the event loop of the store client. */
    public interface AdapterFactory {
        /** Returns the adapter of the platform. */
        PlatformAdapter create(EventLoop controlLoop);
    }

    private GatewayDaemon(
            Clock clock, Settings settings, AdapterFactory adapters, JsonDecisionLog jsonLog) {
        mClock = clock;
        mSettings = settings;
        mJsonLog = jsonLog;
        mLog = MeteredDecisionLog.over(jsonLog);
        mTrafficLoop = newEventLoop();
        mControlLoop = newEventLoop();
        mPlatform = adapters.create(mControlLoop);
        String name = settings.get(GatewaySettings.NAME);
        long incarnation = new SecureRandom().nextLong();
        mRouter =
                DefaultRouter.create(
                        clock, RouterSettingsReader.read(settings), name, name.hashCode());
        mRouter.outflows().ifPresent(outflows -> outflows.setListener(new OutflowLog(clock, mLog)));
        mRoleAdvisor = new RoleAdvisor(clock, mLog, this::roleDesired);
        mRoleCoordinator =
                RoleCoordinator.create(
                        clock,
                        mPlatform.objects(),
                        new GuardedCommandClient(mPlatform.engineCommandClient(), mRouter::accepts),
                        mLog,
                        name,
                        incarnation);
        mQuarantine =
                PartQuarantine.create(
                        clock, name, new QuarantineLog(clock, mLog, this::quarantineChanged));
        mPeerExchange =
                new PeerExchange(
                        mControlLoop,
                        clock,
                        mRouter,
                        mQuarantine,
                        name,
                        settings.get(GatewaySettings.PEERS),
                        incarnation,
                        this::processCountChanged);
        mDuties =
                mPlatform.duties().isEmpty()
                        ? Optional.empty()
                        : Optional.of(duties(name, incarnation));
        mServerScaler =
                mDuties.filter(duties -> mPlatform.duties().contains(Duty.SERVERS))
                        .map(this::serverScaler);
        mRequestHandler =
                RequestHandler.create(
                        clock,
                        EventLoopTimers.of(mTrafficLoop),
                        mRouter,
                        mLog,
                        requestSettings(settings),
                        mRoleAdvisor,
                        mQuarantine,
                        mDuties.map(DutyService::usageObserver).orElse(UsageObserver.NONE));
        mPeerExchange.setAccountShares(mRequestHandler.accountShares());
        HeaderCodec headerCodec = mPlatform.headerCodec();
        mEndpointClient = EndpointClient.create(mTrafficLoop, clock, headerCodec);
        mCallerServer =
                CallerServer.create(
                        mTrafficLoop,
                        clock,
                        headerCodec,
                        mRequestHandler,
                        mEndpointClient,
                        callerLimits(settings));
        mStatusServer =
                StatusServer.create(
                        mControlLoop,
                        mPlatform.readinessPath(),
                        this::isReady,
                        this::metrics,
                        request ->
                                CompletableFuture.supplyAsync(
                                        () -> mRequestHandler.explain(request), mTrafficLoop));
        mEndpointDirectory =
                EndpointDirectory.create(
                        clock, EventLoopTimers.of(mControlLoop), mLog, this::endpointsChanged);
    }

    private ServerScaler serverScaler(DutyService duties) {
        return ServerScaler.create(
                mClock,
                mRouter,
                duties.holder(),
                duties.client(),
                mRoleCoordinator::requestRole,
                mLog);
    }

    private DutyService duties(String name, long incarnation) {
        DutyService.Environment environment =
                new DutyService.Environment(
                        mClock,
                        EventLoopTimers.of(mControlLoop),
                        mPlatform.objects(),
                        mPeerExchange,
                        mLog,
                        mPlatform.duties(),
                        name,
                        incarnation);
        return DutyService.create(environment, mSettings, mPlatform::dutyClient);
    }

    private static EventLoop newEventLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    private static RequestSettings requestSettings(Settings settings) {
        return new RequestSettings(
                settings.get(GatewaySettings.RETRY_RATIO),
                settings.get(GatewaySettings.RETRY_BURST),
                settings.get(GatewaySettings.SPLIT_PHASES),
                settings.get(GatewaySettings.TRANSFER_TIME),
                settings.get(GatewaySettings.RETRY_AFTER),
                responseMemory(settings));
    }

    private static long responseMemory(Settings settings) {
        return CallerLimits.responseMemory(
                settings.get(GatewaySettings.RESPONSE_MEMORY), Runtime.getRuntime().maxMemory());
    }

    private static CallerLimits callerLimits(Settings settings) {
        int descriptors = (int) (long) settings.get(GatewaySettings.DESCRIPTORS);
        return CallerLimits.of(
                settings.get(GatewaySettings.CALLER_MEMORY),
                Runtime.getRuntime().maxMemory(),
                responseMemory(settings),
                descriptors > 0 ? descriptors : DescriptorLimit.ofThisProcess());
    }

    /** Returns a daemon that has not started. */
    public static GatewayDaemon create(
            Clock clock, Settings settings, AdapterFactory adapters, JsonDecisionLog jsonLog) {
        return new GatewayDaemon(clock, settings, adapters, jsonLog);
    }

    /** Starts the servers and begins to follow the store. */
    public void start() throws InterruptedException {
        mLog.record(
                entry(Decision.STARTED)
                        .with("failureDomain", mSettings.get(GatewaySettings.FAILURE_DOMAIN))
                        .with("region", mSettings.get(GatewaySettings.REGION))
                        .with("callers", mSettings.get(GatewaySettings.CALLERS)));
        mStatusServer.listen(mSettings.get(GatewaySettings.STATUS));
        mCallerServer.listen(mSettings.get(GatewaySettings.CALLERS));
        long seed = mSettings.get(GatewaySettings.NAME).hashCode();
        EventLoopTimers timers = EventLoopTimers.of(mControlLoop);
        ConfigurationListener listener =
                new ConfigurationListener(mClock, mLog, this::configurationReceived);
        mPeerExchange.start();
        PeerRegistration registration =
                new PeerRegistration(
                        mPlatform.objects(),
                        timers,
                        mSettings.get(GatewaySettings.NAME),
                        mSettings.get(GatewaySettings.PEERS));
        mControlLoop.execute(
                () -> {
                    follow(
                            mPlatform.configurations(),
                            listener,
                            mPeerExchange.watchSchedule(
                                    mPlatform.configurations().kind(),
                                    pace(GatewaySettings.CONFIGURATION_BOUND)),
                            seed);
                    follow(
                            mPlatform.endpoints(),
                            mEndpointDirectory,
                            mPeerExchange.sharingWatchSchedule(
                                    mPlatform.endpoints().kind(),
                                    pace(GatewaySettings.LEAVING_BOUND),
                                    mSettings.get(GatewaySettings.LEAVING_BOUND)),
                            ~seed);
                    registration.start();
                    follow(
                            mPlatform.peers(),
                            mPeerExchange,
                            WatchSchedule.alone(WatchPace.SLOW),
                            seed + 1);
                    mDuties.ifPresent(DutyService::start);
                    mServerScaler.ifPresent(this::startScaling);
                });
        mTrafficLoop.scheduleAtFixedRate(
                this::checkEachSecond,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        mTrafficLoop.scheduleAtFixedRate(
                mEndpointClient::closeExpired,
                CHECK_INTERVAL.toMillis(),
                CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void startScaling(ServerScaler scaler) {
        scaler.setHeardProcesses(mPeerExchange::heardProcesses);
        long sampleMillis = ServerScaler.SAMPLE_INTERVAL.toMillis();
        long planMillis = ServerScaler.PLAN_INTERVAL.toMillis();
        mControlLoop.scheduleAtFixedRate(
                scaler::sample, sampleMillis, sampleMillis, TimeUnit.MILLISECONDS);
        mControlLoop.scheduleAtFixedRate(
                scaler::plan, planMillis, planMillis, TimeUnit.MILLISECONDS);
    }

    private WatchPace pace(Setting<Duration> bound) {
        return WatchPace.within(mSettings.get(GatewaySettings.SETTLING_TIME), mSettings.get(bound));
    }

    private void checkEachSecond() {
        mRoleAdvisor.check();
        long limited = mCallerServer.callersReclaimed() + mCallerServer.connectionsRefused();
        if (limited > mCallersLimited) {
            mLog.record(
                    entry(Decision.CALLERS_LIMITED)
                            .with("ended", limited - mCallersLimited)
                            .with("memory", mCallerServer.memoryUsed())
                            .with("connections", mCallerServer.connections()));
            mCallersLimited = limited;
        }
    }

    private <T> void follow(
            Feed<T> feed, FeedFollower.Listener<T> listener, WatchSchedule schedule, long seed) {
        EventLoopTimers timers = EventLoopTimers.of(mControlLoop);
        FeedFollower.create(feed, mClock, timers, mLog, listener, schedule, seed).start();
    }

    private void configurationReceived(ServingConfiguration configuration) {
        mServerScaler.ifPresent(scaler -> scaler.configure(configuration));
        mTrafficLoop.execute(
                () -> {
                    if (!mRequestHandler.configure(configuration)) {
                        return;
                    }
                    mConfigurationVersion = configuration.version();
                    mLog.record(
                            entry(Decision.CONFIGURATION_TAKEN)
                                    .with("version", configuration.version())
                                    .with("routes", configuration.routeCount()));
                    mIsConfigured = true;
                    reportReady();
                });
    }

    private void endpointsChanged(List<EndpointDescription> endpoints) {
        mServerScaler.ifPresent(scaler -> scaler.updateEndpoints(endpoints));
        mTrafficLoop.execute(
                () -> {
                    mRouter.updateEndpoints(endpoints);
                    mKnownEndpoints = endpoints;
                    mHasEndpoints = true;
                    reportReady();
                });
    }

    private void quarantineChanged() {
        mTrafficLoop.execute(() -> mRequestHandler.quarantineChanged());
    }

    /** Called on the traffic thread; the role coordinator is confined to the control thread. */
    private void roleDesired(String service, EndpointRole role) {
        List<EndpointDescription> engines =
                mKnownEndpoints.stream()
                        .filter(endpoint -> endpoint.isEngine())
                        .filter(endpoint -> endpoint.service().equals(service))
                        .map(
                                endpoint ->
                                        mRouter.accepts(endpoint) ? endpoint : endpoint.asLeaving())
                        .toList();
        mControlLoop.execute(
                () -> {
                    // The plan for ordered servers decides their roles, too.
                    if (!mServerScaler.map(scaler -> scaler.manages(service)).orElse(false)) {
                        mRoleCoordinator.requestRole(service, role, engines);
                    }
                });
    }

    /** The retry slack is shared by all processes; each uses an equal share of most of it. */
    private void processCountChanged(int processCount) {
        double share =
                mSettings.get(GatewaySettings.RETRY_SLACK) * RETRY_SLACK_FRACTION / processCount;
        double retryBurst = Math.max(mSettings.get(GatewaySettings.RETRY_BURST), share);
        mServerScaler.ifPresent(scaler -> scaler.updateProcesses(processCount));
        mTrafficLoop.execute(() -> mRequestHandler.limitRetryBurst(retryBurst));
    }

    private void reportReady() {
        if (isReady() && !mWasReady) {
            mWasReady = true;
            mLog.record(entry(Decision.READY).with("version", mConfigurationVersion));
        }
    }

    /** Returns whether this process is ready to serve callers. */
    public boolean isReady() {
        return mIsConfigured && mHasEndpoints && !mIsStopping;
    }

    private String metrics() {
        MetricsText text = MetricsText.create();
        mLog.write(text);
        text.value("sesamedeck_configuration_version", mConfigurationVersion);
        text.value("sesamedeck_requests_active", mRequestHandler.activeRequests());
        text.value("sesamedeck_caller_connections", mCallerServer.connections());
        text.value("sesamedeck_caller_memory_bytes", mCallerServer.memoryUsed());
        text.value(
                "sesamedeck_caller_connections_refused_total", mCallerServer.connectionsRefused());
        text.value("sesamedeck_callers_reclaimed_total", mCallerServer.callersReclaimed());
        text.value("sesamedeck_endpoint_connections_total", mEndpointClient.connectionsOpened());
        ExclusionCounts excluded = mRouter.exclusionCounts();
        text.value("sesamedeck_endpoints_stated_leaving", excluded.leaving());
        text.value("sesamedeck_endpoints_held_off", excluded.held());
        text.value("sesamedeck_endpoints_suspected", excluded.suspected());
        text.value("sesamedeck_quarantined_parts", mQuarantine.quarantinedParts().size());
        AccountMetrics.write(text, mRequestHandler.accountShares());
        mServerScaler.ifPresent(scaler -> scaler.write(text));
        mRouter.outflows().ifPresent(outflows -> OutflowLog.write(text, outflows));
        mPeerExchange.write(text);
        text.value("sesamedeck_log_requests_sampled_out_total", mJsonLog.sampledOut());
        mDuties.ifPresent(duties -> duties.write(text));
        return text.toString();
    }

    /** Records the result of re-reading the settings. */
    public void reloaded(String result) {
        mLog.record(entry(Decision.RELOADED).with("result", result));
    }

    /**
     * Shuts down gracefully. The process reports that it is not ready and keeps accepting requests
     * until the load balancer has noticed; then it refuses new requests and waits for those in
     * progress. Runs the action when no request and no connection of a caller is left, or when the
     * grace period is nearly over.
     */
    public void stop(Runnable onStopped) {
        if (mIsStopping) {
            return;
        }
        mIsStopping = true;
        mLog.record(entry(Decision.STOPPING).with("active", mRequestHandler.activeRequests()));
        mControlLoop.execute(() -> mDuties.ifPresent(DutyService::stop));
        mTrafficLoop.execute(
                () ->
                        GracefulShutdown.of(
                                        mClock,
                                        EventLoopTimers.of(mTrafficLoop),
                                        mRequestHandler,
                                        mCallerServer,
                                        mSettings.get(GatewaySettings.GRACE))
                                .start(() -> finishShutdown(onStopped)));
    }

    private void finishShutdown(Runnable onStopped) {
        mLog.record(entry(Decision.STOPPED).with("active", mRequestHandler.activeRequests()));
        mCallerServer.close();
        mControlLoop.execute(
                () -> {
                    mDuties.ifPresent(DutyService::flush);
                    mJsonLog.close();
                    onStopped.run();
                });
    }

    private LogEntry entry(Decision decision) {
        return LogEntry.of(decision, mClock.nanoTime());
    }
}
