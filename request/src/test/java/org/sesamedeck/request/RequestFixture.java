package org.sesamedeck.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointLoad;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EndpointSigns;
import org.sesamedeck.routing.EngineTraits;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.QuarantineListener;

/** A request handler with four servers, four engines and one route of each kind. */
final class RequestFixture {
    static final String HOST = "deck.example";

    /** Greater than one for all kinds, so that only its kind prevents a request's second run. */
    static final int MAX_ATTEMPTS = 2;

    static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Identifiers above this belong to the last parts of prompts. */
    private static final long OWN_PARTS_START = 1_000_000;

    private final ManualClock mClock = ManualClock.create();
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final DefaultRouter mRouter;
    private final RequestHandler mHandler;
    private final List<RequestTrace> mTraces = new ArrayList<>();
    private final List<String> mBegun = new ArrayList<>();
    private final Map<String, EndpointLoad> mPeerLoads = new HashMap<>();
    private int mRequests;

    RequestFixture(boolean splitsPhases) {
        this(splitsPhases, new EngineTraits(true, false, 64, 0));
    }

    /**
     * Returns a fixture whose three decode engines have capacity for two responses each: the token
     * interval limit of 1 ns leaves them only the minimum capacity.
     */
    static RequestFixture withDecodeCapacityLimit() {
        return new RequestFixture(false, new EngineTraits(true, false, 64, 1));
    }

    private RequestFixture(boolean splitsPhases, EngineTraits traits) {
        mRouter =
                DefaultRouter.create(
                        mClock, RouterSettings.defaults("east").withTraits(traits), "node", 7);
        DecisionLog log =
                new DecisionLog() {
                    @Override
                    public void record(LogEntry entry) {}

                    @Override
                    public void requestEnded(RequestTrace trace) {
                        mTraces.add(trace);
                    }
                };
        PhaseObserver phases =
                new PhaseObserver() {
                    @Override
                    public void promptProcessed(String service, int tokens, Duration duration) {}

                    @Override
                    public void streamCompleted(
                            String service, Duration tokenInterval, Duration target) {}
                };
        mHandler =
                RequestHandler.create(
                        mClock,
                        mTimers,
                        mRouter,
                        log,
                        new RequestSettings(
                                0.1,
                                10,
                                splitsPhases,
                                Duration.ofMillis(10),
                                Duration.ofMillis(250),
                                1 << 20),
                        phases,
                        PartQuarantine.create(mClock, "node", QuarantineListener.ignoring()),
                        mBegun::add);
        mRouter.updateEndpoints(endpoints());
    }

    private static List<EndpointDescription> endpoints() {
        List<EndpointDescription> endpoints = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            endpoints.add(endpoint("server-" + i, "books", false, EndpointRole.MIXED, i));
            EndpointRole role = i == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE;
            endpoints.add(endpoint("engine-" + i, "models", true, role, 10 + i));
        }
        return endpoints;
    }

    private static EndpointDescription endpoint(
            String name, String service, boolean isEngine, EndpointRole role, int number) {
        return new EndpointDescription(
                name,
                HostAddress.of("10.0.0." + (number + 1), 80),
                service,
                "east-a",
                "east",
                isEngine,
                false,
                false,
                role,
                isEngine ? RequestHandler.targetsOf(service, List.of("m")) : Set.of());
    }

    /** Puts a configuration with one route of each kind in force. */
    RequestFixture configure() {
        mHandler.configure(configuration(1));
        return this;
    }

    static ServingConfiguration configuration(long version) {
        return configuration(version, ClientAccounts.none(), false);
    }

    static ServingConfiguration configuration(
            long version, ClientAccounts accounts, boolean isPublic) {
        List<Route> routes = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            String service = kind.isStream() ? "models" : "books";
            routes.add(
                    new Route(
                            "route-" + kind,
                            HOST,
                            path(kind),
                            kind,
                            TIMEOUT,
                            Duration.ofMillis(500),
                            Duration.ofMillis(300),
                            1,
                            MAX_ATTEMPTS,
                            isPublic,
                            List.of(new ServiceShare(service, 1))));
        }
        return ServingConfiguration.of(
                version,
                routes,
                List.of(
                        new ServiceDescription("books", false, 100),
                        new ServiceDescription("models", true, 100)),
                TrafficLimits.initial(),
                accounts);
    }

    static String path(RequestKind kind) {
        return "/" + kind.name().toLowerCase(Locale.ROOT) + "/";
    }

    RequestLifecycle start(RequestKind kind, RecordingPort port) {
        return start(path(kind) + "x", OptionalLong.empty(), port);
    }

    RequestLifecycle start(String path, OptionalLong lastEvent, RecordingPort port) {
        return start(path, lastEvent, List.of(new PromptPart(1, 3_000)), port);
    }

    /** Starts a request whose prompt begins with the given parts and ends with one of its own. */
    RequestLifecycle start(
            String path, OptionalLong lastEvent, List<PromptPart> sharedParts, RecordingPort port) {
        return start(path, Optional.empty(), lastEvent, sharedParts, port);
    }

    /** Starts a request that carries the key of a client account. */
    RequestLifecycle startWithKey(RequestKind kind, String key, RecordingPort port) {
        return start(
                path(kind) + "x",
                Optional.of(key),
                OptionalLong.empty(),
                List.of(new PromptPart(1, 3_000)),
                port);
    }

    private RequestLifecycle start(
            String path,
            Optional<String> key,
            OptionalLong lastEvent,
            List<PromptPart> sharedParts,
            RecordingPort port) {
        mRequests++;
        List<PromptPart> parts = new ArrayList<>(sharedParts);
        parts.add(new PromptPart(OWN_PARTS_START + mRequests, 1_000));
        return mHandler.start(
                new CallerRequest(
                        "request-" + mRequests,
                        HOST,
                        path,
                        key,
                        Optional.of(Duration.ofSeconds(10)),
                        Optional.of("m"),
                        4_000,
                        100,
                        parts,
                        lastEvent),
                port);
    }

    /** Sets the load of peer processes at one endpoint and passes all their loads to the router. */
    void setPeerLoad(EndpointLoad load) {
        mPeerLoads.put(load.endpoint(), load);
        mRouter.updatePeerLoad(mPeerLoads);
    }

    RequestHandler handler() {
        return mHandler;
    }

    ManualTimers timers() {
        return mTimers;
    }

    RequestTrace lastTrace() {
        return mTraces.get(mTraces.size() - 1);
    }

    /** Returns the accounts whose requests began to run, once for each request. */
    List<String> begun() {
        return mBegun;
    }

    static ResponseHead head(int status) {
        return new ResponseHead(status, false, false, true, false, EndpointSigns.none(), "head");
    }

    static ResponseHead endingWithConnection(int status) {
        return new ResponseHead(status, false, false, true, true, EndpointSigns.none(), "head");
    }

    static ResponseHead unsigned(int status) {
        return new ResponseHead(status, false, false, false, false, EndpointSigns.none(), "head");
    }

    static ResponseHead notRun() {
        return new ResponseHead(503, true, false, false, false, EndpointSigns.none(), "head");
    }

    static byte[] event(long identifier) {
        return ("id: " + identifier + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
