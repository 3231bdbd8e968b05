package org.sesamedeck.control;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.control.engine.DefaultServiceRolePlanner;
import org.sesamedeck.control.engine.EngineClient;
import org.sesamedeck.control.engine.HttpEngineClient;
import org.sesamedeck.control.engine.ServiceRolePlanner;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Settings;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.daemon.DaemonSettings;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.Member;
import org.sesamedeck.node.MessagePeerTransport;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostList;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.routing.RolePlannerSettings;
import org.sesamedeck.wire.MessageTransport;

/** Binds the components of the control process that do not depend on the platform client. */
public final class ControlModule extends AbstractModule {
    private static final int TRANSPORT_THREADS = 2;

    private final Settings mSettings;

    private ControlModule(Settings settings) {
        mSettings = settings;
    }

    /** Returns the module for the given settings. */
    public static ControlModule of(Settings settings) {
        return new ControlModule(settings);
    }

    @Override
    protected void configure() {
        bind(Settings.class).toInstance(mSettings);
        bind(Clock.class).toInstance(SystemClock.create());
        bind(ControlComponents.class).in(Singleton.class);
    }

    @Provides
    @Singleton
    ControlThread controlThread() {
        return ControlThread.create();
    }

    @Provides
    ControlScheduler controlScheduler(ControlThread thread) {
        return thread;
    }

    @Provides
    @Singleton
    ServiceRolePlanner serviceRolePlanner(Clock clock) {
        return DefaultServiceRolePlanner.create(
                clock,
                RolePlannerSettings.defaults(mSettings.get(ControlSettings.ROLE_CHANGE_WEIGHT)));
    }

    @Provides
    @Singleton
    MessageTransport messageTransport() {
        return MessageTransport.create(TRANSPORT_THREADS);
    }

    @Provides
    @Singleton
    PeerTransport peerTransport(
            Clock clock, MessageTransport transport, ControlScheduler scheduler) {
        return MessagePeerTransport.create(
                clock,
                new Random(),
                transport,
                scheduler,
                (connection, message) -> CompletableFuture.completedFuture(Optional.empty()));
    }

    @Provides
    @Singleton
    EngineClient engineClient(Clock clock) {
        return HttpEngineClient.create(clock);
    }

    @Provides
    @Singleton
    CoordinationNode coordinationNode(
            Clock clock,
            ControlScheduler scheduler,
            PeerTransport transport,
            ObjectStore store,
            HostList hostList) {
        Member self =
                Member.of(
                        mSettings.get(DaemonSettings.NAME),
                        mSettings.get(ControlSettings.LISTEN),
                        mSettings.get(DaemonSettings.FAILURE_DOMAIN),
                        mSettings.get(DaemonSettings.REGION));
        List<HostAddress> seeds = mSettings.get(ControlSettings.SEEDS);
        return CoordinationNode.create(
                clock, new Random(), scheduler, transport, store, hostList, self, seeds);
    }
}
