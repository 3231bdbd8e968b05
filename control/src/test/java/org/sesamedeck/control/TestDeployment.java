package org.sesamedeck.control;

import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.util.Modules;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.claim.ClaimSettings;
import org.sesamedeck.claim.DefaultClaimService;
import org.sesamedeck.control.engine.EngineClient;
import org.sesamedeck.control.engine.EnginePollResult;
import org.sesamedeck.control.engine.EngineState;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.Settings;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.daemon.DaemonSettings;
import org.sesamedeck.node.CandidateLists;
import org.sesamedeck.platform.ExecutorControlScheduler;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.platform.HostList;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.routing.LoadReport;

/** Runs several control processes in one JVM, over loopback, on an in-memory store. */
final class TestDeployment implements AutoCloseable {
    private final ScheduledExecutorService mExecutor = Executors.newScheduledThreadPool(1);
    private final FakeObjectStore mStore =
            FakeObjectStore.create(ExecutorControlScheduler.of(mExecutor), SystemClock.create());
    private final Map<String, HostEntry> mHosts = new ConcurrentHashMap<>();
    private final Map<String, EngineState> mEngines = new ConcurrentHashMap<>();
    private final List<HostAddress> mAddresses = new ArrayList<>();
    private final Function<String, AbstractModule> mBindings;
    private final List<ControlDaemon> mDaemons = new ArrayList<>();

    TestDeployment(int nodes) {
        this(nodes, node -> new AbstractModule() {});
    }

    /** Starts nodes, each with the bindings for its name in place of the default ones. */
    TestDeployment(int nodes, Function<String, AbstractModule> bindings) {
        mBindings = bindings;
        for (int i = 0; i < nodes; i++) {
            mAddresses.add(HostAddress.of("127.0.0.1", freePort()));
            addHost("node-" + i, HostKind.NODE, mAddresses.get(i), false);
        }
        for (int i = 0; i < nodes; i++) {
            start("node-" + i, mAddresses.get(i));
        }
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    void addHost(String name, HostKind kind, HostAddress address, boolean isLeaving) {
        String service = kind == HostKind.ENGINE ? "tasting-models" : "";
        mHosts.put(
                name, new HostEntry(name, address, kind, service, "tunis-a", "tunis", isLeaving));
    }

    void setEngineState(EngineState state) {
        mEngines.put(state.name(), state);
    }

    HostAddress address(int node) {
        return mAddresses.get(node);
    }

    ControlDaemon daemon(int node) {
        return mDaemons.get(node);
    }

    /** Writes a candidate configuration as an operator does. */
    void proposeConfiguration(int share) {
        ObjectKey key = ObjectKey.of("configuration", "lists");
        String value =
                new CandidateLists(
                                "[plan kitchens]\nshare = " + share + "\n",
                                "[plan kitchens]\nmodels = house-judge\n",
                                "operator",
                                "")
                        .toJson();
        mStore.get(key)
                .thenCompose(
                        object ->
                                object.isPresent()
                                        ? mStore.update(key, object.get().version(), value)
                                        : mStore.create(key, value))
                .join();
    }

    /** Acquires all claim shards with another claim service, without notice to the nodes. */
    void acquireShardsAsOtherProcess(int shards) {
        ClaimService otherProcess =
                DefaultClaimService.create(
                        mStore.anotherClient(),
                        ExecutorControlScheduler.of(mExecutor),
                        SystemClock.create(),
                        ClaimSettings.of(shards, Duration.ofMillis(5)),
                        "thief");
        for (int shard = 0; shard < shards; shard++) {
            int shardToAcquire = shard;
            CompletableFuture.supplyAsync(
                            () -> otherProcess.acquireShard(shardToAcquire), mExecutor)
                    .thenCompose(acquisition -> acquisition)
                    .join();
        }
    }

    private void start(String name, HostAddress address) {
        StringBuilder text =
                new StringBuilder("[node]\nfailure-domain = tunis-a\nregion = tunis\n");
        text.append("name = " + name + "\nlisten = " + address + "\n[http]\nadmin-listen = ");
        text.append("127.0.0.1:1\n[platform]\naddress = 127.0.0.1:1\n[peers]\nseeds = ");
        text.append(mAddresses.get(0) + "\n[engines]\ngroups = 2\n[claims]\nshards = 4\n");
        List<Setting<?>> schema = new ArrayList<>(DaemonSettings.all());
        schema.addAll(ControlSettings.all());
        Settings settings = Settings.parse(name, text.toString(), schema);
        FakeObjectStore store = mStore.anotherClient();
        AbstractModule stubs =
                new AbstractModule() {
                    @Override
                    protected void configure() {
                        bind(ObjectStore.class).toInstance(store);
                        bind(HostList.class)
                                .toInstance(
                                        () ->
                                                CompletableFuture.completedFuture(
                                                        List.copyOf(mHosts.values())));
                        bind(EngineClient.class).toInstance(TestDeployment.this::poll);
                    }
                };
        Injector injector =
                Guice.createInjector(
                        Modules.override(ControlModule.of(settings), PlatformModule.of(settings))
                                .with(stubs, mBindings.apply(name)));
        ControlDaemon daemon = injector.getInstance(ControlDaemon.class);
        daemon.start();
        mDaemons.add(daemon);
    }

    private CompletableFuture<EnginePollResult> poll(HostEntry engine) {
        EngineState state = mEngines.get(engine.name());
        LoadReport load = new LoadReport(0, 1, 0, 0, SystemClock.create().nanoTime());
        return state == null
                ? CompletableFuture.failedFuture(
                        SesamedeckException.of(ResultCode.UNAVAILABLE, engine.name()))
                : CompletableFuture.completedFuture(new EnginePollResult(state, Optional.of(load)));
    }

    @Override
    public void close() {
        mDaemons.forEach(ControlDaemon::release);
        mExecutor.shutdownNow();
    }
}
