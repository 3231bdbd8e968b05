package org.sesamedeck.control;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.time.Duration;
import java.util.UUID;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.claim.ClaimSettings;
import org.sesamedeck.claim.DefaultClaimService;
import org.sesamedeck.control.engine.CommandExecutorFactory;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Settings;
import org.sesamedeck.daemon.DaemonSettings;
import org.sesamedeck.endpoint.command.CommandSettings;
import org.sesamedeck.endpoint.command.DefaultCommandExecutor;
import org.sesamedeck.endpoint.command.EngineCommandSender;
import org.sesamedeck.endpoint.command.HttpEngineCommandSender;
import org.sesamedeck.endpoint.command.UnfencedTakeover;
import org.sesamedeck.lease.DefaultLeaseManager;
import org.sesamedeck.lease.LeaseManager;
import org.sesamedeck.lease.LeaseSettings;
import org.sesamedeck.platform.AuditTrail;
import org.sesamedeck.platform.CallCounter;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.HostList;
import org.sesamedeck.platform.HttpHostList;
import org.sesamedeck.platform.HttpObjectStore;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoreAuditTrail;

/** Binds the platform client and the components on top of it: leases, commands and claims. */
public final class PlatformModule extends AbstractModule {
    // Shorter than the lease renewal interval, so that one slow call does not cost two renewals.
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ENGINE_TIMEOUT = Duration.ofSeconds(2);

    private final Settings mSettings;
    private final String mProcessToken = UUID.randomUUID().toString();

    private PlatformModule(Settings settings) {
        mSettings = settings;
    }

    /** Returns the module for the given settings. */
    public static PlatformModule of(Settings settings) {
        return new PlatformModule(settings);
    }

    @Override
    protected void configure() {
        bind(CallCounter.class).toInstance(CallCounter.create());
    }

    @Provides
    @Singleton
    ObjectStore objectStore(CallCounter calls) {
        return HttpObjectStore.create(
                mSettings.get(ControlSettings.PLATFORM), STORE_TIMEOUT, calls);
    }

    @Provides
    @Singleton
    HostList hostList(CallCounter calls) {
        return HttpHostList.create(mSettings.get(ControlSettings.PLATFORM), STORE_TIMEOUT, calls);
    }

    @Provides
    @Singleton
    AuditTrail auditTrail(ObjectStore store, ControlScheduler scheduler, Clock clock) {
        return StoreAuditTrail.create(store, scheduler, clock);
    }

    @Provides
    @Singleton
    LeaseManager leaseManager(ObjectStore store, ControlScheduler scheduler, Clock clock) {
        return DefaultLeaseManager.create(
                store,
                scheduler,
                clock,
                LeaseSettings.standard(),
                mSettings.get(DaemonSettings.NAME),
                mSettings.get(ControlSettings.LISTEN),
                mProcessToken);
    }

    @Provides
    @Singleton
    ClaimService claimService(ObjectStore store, ControlScheduler scheduler, Clock clock) {
        int shards = Math.toIntExact(mSettings.get(ControlSettings.SHARDS));
        return DefaultClaimService.create(
                store,
                scheduler,
                clock,
                ClaimSettings.of(shards, mSettings.get(ControlSettings.BATCH_INTERVAL)),
                mProcessToken);
    }

    @Provides
    @Singleton
    EngineCommandSender engineCommandSender() {
        return HttpEngineCommandSender.create(ENGINE_TIMEOUT);
    }

    @Provides
    @Singleton
    CommandExecutorFactory commandExecutorFactory(
            EngineCommandSender sender, ControlScheduler scheduler, Clock clock, AuditTrail audit) {
        UnfencedTakeover takeover =
                mSettings.get(ControlSettings.UNFENCED_TAKEOVER).equals("release-only")
                        ? UnfencedTakeover.RELEASE_ONLY
                        : UnfencedTakeover.CONNECTION_LIMIT;
        CommandSettings settings =
                CommandSettings.of(
                        takeover, mSettings.get(ControlSettings.COMMAND_CONNECTION_LIMIT));
        String node = mSettings.get(DaemonSettings.NAME);
        return lease ->
                DefaultCommandExecutor.create(
                        lease, sender, scheduler, clock, settings, audit, node);
    }
}
