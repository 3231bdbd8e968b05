package org.sesamedeck.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Settings;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestEngine;
import org.sesamedeck.request.RequestSettings;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EngineTraits;
import org.sesamedeck.routing.RouterSettings;

/**
 * The gateway process: one thread for callers and endpoints, one for what is followed in the store,
 * so that neither waits for the other. Configurations and endpoints pass from the second to the
 * first as immutable objects.
 */
public final class GatewayDaemon {
    private static final Duration IDLE_CHECK = Duration.ofSeconds(1);

    /** Part of the common slack that is used; processes learn of each other at different times. */
    private static final double SLACK_USED = 0.7;

    /** Bytes of a prompt token on the wire. */
    private static final double BYTES_PER_TOKEN = 1;

    private final Clock mClock;
    private final Settings mSettings;
    private final PlatformAdapter mPlatform;
    private final MeteredDecisionLog mLog;
    private final JsonDecisionLog mOutput;
    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final DefaultRouter mRouter;
    private final RequestEngine mEngine;
    private final EndpointClient mEndpoints;
    private final CallerServer mCallers;
    private final StatusServer mStatus;
    private final EndpointDirectory mDirectory;
    private final RoleAdvisor mAdvisor;
    private final RoleCoordinator mRoles;
    private final PeerExchange mPeers;
    private List<EndpointDescription> mKnownEndpoints = List.of();
    private volatile boolean mIsConfigured;
    private volatile boolean mHasEndpoints;
    private volatile boolean mIsStopping;
    private volatile long mConfigurationVersion;
    private boolean mWasReady;

    /** Builds the adapter, which needs the loop on which the store is called. */
    public interface AdapterFactory {
        /** Returns the adapter of the platform. */
        PlatformAdapter create(EventLoop controlLoop);
    }

    private GatewayDaemon(
            Clock clock, Settings settings, AdapterFactory adapters, JsonDecisionLog output) {
        mClock = clock;
        mSettings = settings;
        mOutput = output;
        mLog = MeteredDecisionLog.over(output);
        mTraffic = loop();
        mControl = loop();
        mPlatform = adapters.create(mControl);
        String name = settings.get(GatewaySettings.NAME);
        mRouter = DefaultRouter.create(clock, routerSettings(settings), name, name.hashCode());
        mAdvisor = new RoleAdvisor(clock, mLog, this::roleWished);
        mRoles =
                RoleCoordinator.create(
                        clock, mPlatform.objects(), mPlatform.engineOrders(), mLog, name);
        mPeers =
                new PeerExchange(
                        mControl,
                        clock,
                        mRouter,
                        name,
                        settings.get(GatewaySettings.PEERS),
                        new SecureRandom().nextLong(),
                        this::processesCounted);
        mEngine =
                RequestEngine.create(
                        clock,
                        EventLoopTimers.of(mTraffic),
                        mRouter,
                        mLog,
                        requestSettings(settings),
                        mAdvisor);
        CallerFormat format = mPlatform.callerFormat();
        mEndpoints = EndpointClient.create(mTraffic, clock, format);
        mCallers = CallerServer.create(mTraffic, format, mEngine, mEndpoints);
        mStatus =
                StatusServer.create(
                        mControl, mPlatform.readinessPath(), this::isReady, this::metrics);
        mDirectory =
                EndpointDirectory.create(
                        clock, EventLoopTimers.of(mControl), mLog, this::endpointsChanged);
    }

    private static EventLoop loop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    private static RouterSettings routerSettings(Settings settings) {
        return RouterSettings.defaults(settings.get(GatewaySettings.REGION))
                .withTraits(
                        new EngineTraits(
                                true,
                                settings.get(GatewaySettings.FETCH_CACHES),
                                settings.get(GatewaySettings.BATCH_SCALE),
                                settings.get(GatewaySettings.PACE_LIMIT).toNanos()))
                .withBytesPerToken(BYTES_PER_TOKEN)
                .withSpeed(
                        settings.get(GatewaySettings.PROMPT_TOKEN_TIME).toNanos(),
                        settings.get(GatewaySettings.OUTPUT_TOKEN_TIME).toNanos());
    }

    private static RequestSettings requestSettings(Settings settings) {
        return new RequestSettings(
                settings.get(GatewaySettings.RETRY_RATIO),
                settings.get(GatewaySettings.RETRY_BURST),
                settings.get(GatewaySettings.SPLIT_PHASES),
                settings.get(GatewaySettings.TRANSFER_TIME),
                settings.get(GatewaySettings.RETRY_AFTER));
    }

    /** Returns a daemon that has not started. */
    public static GatewayDaemon create(
            Clock clock, Settings settings, AdapterFactory adapters, JsonDecisionLog output) {
        return new GatewayDaemon(clock, settings, adapters, output);
    }

    /** Listens and begins to follow the store. */
    public void start() throws InterruptedException {
        mLog.record(
                entry(Decision.STARTED)
                        .with("failureDomain", mSettings.get(GatewaySettings.FAILURE_DOMAIN))
                        .with("region", mSettings.get(GatewaySettings.REGION))
                        .with("callers", mSettings.get(GatewaySettings.CALLERS)));
        mStatus.listen(mSettings.get(GatewaySettings.STATUS));
        mCallers.listen(mSettings.get(GatewaySettings.CALLERS));
        long seed = mSettings.get(GatewaySettings.NAME).hashCode();
        EventLoopTimers timers = EventLoopTimers.of(mControl);
        ConfigurationListener listener =
                new ConfigurationListener(mClock, mLog, this::configurationRead);
        mPeers.start();
        PeerRegistration registration =
                new PeerRegistration(
                        mPlatform.objects(),
                        timers,
                        mSettings.get(GatewaySettings.NAME),
                        mSettings.get(GatewaySettings.PEERS));
        mControl.execute(
                () -> {
                    follow(mPlatform.configurations(), listener, FeedFollower.PROMPT, seed);
                    follow(mPlatform.endpoints(), mDirectory, FeedFollower.PROMPT, ~seed);
                    registration.start();
                    follow(mPlatform.peers(), mPeers, FeedFollower.LEISURELY, seed + 1);
                });
        mTraffic.scheduleAtFixedRate(
                mAdvisor::check,
                IDLE_CHECK.toMillis(),
                IDLE_CHECK.toMillis(),
                TimeUnit.MILLISECONDS);
        mTraffic.scheduleAtFixedRate(
                mEndpoints::closeExpired,
                IDLE_CHECK.toMillis(),
                IDLE_CHECK.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private <T> void follow(
            Feed<T> feed, FeedFollower.Listener<T> listener, Duration wait, long seed) {
        EventLoopTimers timers = EventLoopTimers.of(mControl);
        FeedFollower.create(feed, mClock, timers, mLog, listener, wait, seed).start();
    }

    private void configurationRead(ServingConfiguration configuration) {
        mTraffic.execute(
                () -> {
                    if (!mEngine.configure(configuration)) {
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
        mTraffic.execute(
                () -> {
                    mRouter.updateEndpoints(endpoints);
                    mKnownEndpoints = endpoints;
                    mHasEndpoints = true;
                    reportReady();
                });
    }

    /** Called on the traffic thread; the coordinator lives on the other one. */
    private void roleWished(String service, EndpointRole role) {
        List<EndpointDescription> engines =
                mKnownEndpoints.stream()
                        .filter(endpoint -> endpoint.isEngine())
                        .filter(endpoint -> endpoint.service().equals(service))
                        .toList();
        mControl.execute(() -> mRoles.wish(service, role, engines));
    }

    /** The bound on repeats is one for all processes; each takes an equal part of most of it. */
    private void processesCounted(int processes) {
        double part = mSettings.get(GatewaySettings.RETRY_SLACK) * SLACK_USED / processes;
        double saved = Math.max(mSettings.get(GatewaySettings.RETRY_BURST), part);
        mTraffic.execute(() -> mEngine.limitSavedRetries(saved));
    }

    private void reportReady() {
        if (isReady() && !mWasReady) {
            mWasReady = true;
            mLog.record(entry(Decision.READY).with("version", mConfigurationVersion));
        }
    }

    /** Returns whether this process takes callers. */
    public boolean isReady() {
        return mIsConfigured && mHasEndpoints && !mIsStopping;
    }

    private String metrics() {
        MetricsText text = MetricsText.create();
        mLog.write(text);
        text.value("sesamedeck_configuration_version", mConfigurationVersion);
        text.value("sesamedeck_requests_active", mEngine.activeRequests());
        text.value("sesamedeck_caller_connections", mCallers.connections());
        text.value("sesamedeck_endpoint_connections_total", mEndpoints.connectionsOpened());
        text.value("sesamedeck_log_requests_sampled_out_total", mOutput.sampledOut());
        return text.toString();
    }

    /** Records that settings were read again. */
    public void reloaded(String result) {
        mLog.record(entry(Decision.RELOADED).with("result", result));
    }

    /**
     * Stops without breaking requests off: it is no longer ready, answers what comes in while the
     * balancer learns that, then refuses new requests and waits for the others. Calls the action
     * when nothing is left or the grace period is nearly over.
     */
    public void stop(Runnable stopped) {
        if (mIsStopping) {
            return;
        }
        mIsStopping = true;
        mLog.record(entry(Decision.STOPPING).with("active", mEngine.activeRequests()));
        mTraffic.execute(
                () ->
                        ShutdownSteps.of(
                                        mClock,
                                        EventLoopTimers.of(mTraffic),
                                        mEngine,
                                        mCallers,
                                        mSettings.get(GatewaySettings.GRACE))
                                .start(() -> end(stopped)));
    }

    private void end(Runnable stopped) {
        mLog.record(entry(Decision.STOPPED).with("active", mEngine.activeRequests()));
        mCallers.close();
        mOutput.close();
        stopped.run();
    }

    private LogEntry entry(Decision decision) {
        return LogEntry.of(decision, mClock.nanoTime());
    }
}
