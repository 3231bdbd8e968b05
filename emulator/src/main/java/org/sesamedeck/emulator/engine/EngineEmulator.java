package org.sesamedeck.emulator.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Exchange;
import org.sesamedeck.emulator.http.HttpServer;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ChatRequest;
import org.sesamedeck.emulator.response.KvCacheSource;

/**
 * Emulated LLM inference engine with an HTTP interface for completions, resumable streams, load
 * reports, cache events, commands and KV cache transfer.
 */
public final class EngineEmulator implements AutoCloseable {
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String STREAMS_PATH = "/v1/streams/";
    private static final String KV_CACHE_PATH = "/v1/kv/";
    private static final long DEFAULT_DEADLINE_MILLIS = TimeUnit.DAYS.toMillis(1);

    private final EngineSettings mSettings;
    private final Clock mClock;
    private final HttpServer mServer;
    private final ScheduledExecutorService mEventLoop;
    private final CacheEventLog mCacheEventLog;
    private final BatchScheduler mScheduler;
    private final LoadReporter mLoadReporter;
    private final CommandProcessor mCommandProcessor;
    private final EngineFaults mFaults = EngineFaults.none();
    private final RunLedger mLedger = RunLedger.create();
    private final KvCacheStore mKvCaches = KvCacheStore.create();
    private final Map<String, EngineStream> mStreams = new HashMap<>();
    private HostAddress mAddress;
    private long mLastArrivalNumber;

    private EngineEmulator(EngineSettings settings, Clock clock, HttpServer server) {
        mSettings = settings;
        mClock = clock;
        mServer = server;
        mEventLoop = server.eventLoop();
        mCacheEventLog = CacheEventLog.of(clock, settings);
        PrefixCache cache = PrefixCache.of(settings.cacheBlocks(), mCacheEventLog);
        mScheduler = BatchScheduler.of(settings, clock, mEventLoop, cache, this::onProgress);
        mLoadReporter =
                LoadReporter.start(mScheduler, clock, settings.loadLag().toNanos(), mEventLoop);
        mCommandProcessor = CommandProcessor.of(settings, clock, mEventLoop, mScheduler, cache);
    }

    /** Starts an engine. */
    public static EngineEmulator start(EngineSettings settings, Clock clock) {
        HttpServer server = HttpServer.create(clock, settings.commandConnectionLimit());
        EngineEmulator engine = new EngineEmulator(settings, clock, server);
        engine.mAddress = server.listen(settings.listen(), engine::handle);
        return engine;
    }

    /** Returns the address on which the engine listens. */
    public HostAddress address() {
        return mAddress;
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Responds with status 503 and a header that guarantees that the request was not executed. */
    static void refuseAsNotExecuted(Exchange exchange, String reason) {
        exchange.withHeader("Retry-After", 1)
                .withHeader("X-Not-Executed", true)
                .respondError(503, "NOT_EXECUTED", reason);
    }

    private void handle(Exchange exchange) {
        exchange.withHeader("X-Load", mLoadReporter.header());
        exchange.withHeader("X-Draining", mCommandProcessor.isDraining());
        String call = exchange.method() + " " + exchange.path();
        switch (call) {
            case "POST " + COMPLETIONS_PATH:
                handleCompletion(exchange);
                break;
            case "GET /v1/load":
                exchange.respond(200, mLoadReporter.toJson());
                break;
            case "GET /v1/state":
                exchange.respond(200, mCommandProcessor.state());
                break;
            case "GET /v1/cache-events":
                exchange.respond(200, mCacheEventLog.eventsAfter(exchange.queryNumber("after", 0)));
                break;
            case "POST /v1/commands":
                mCommandProcessor.handle(exchange);
                break;
            case "GET /emulator/commands":
                exchange.respond(200, mCommandProcessor.history());
                break;
            case "GET /emulator/ledger":
                exchange.respond(200, mLedger.toJson());
                break;
            case "PUT /emulator/faults":
                mFaults.set(Json.parse(exchange.body()));
                mScheduler.setSlowFactor(mFaults.slowFactor());
                exchange.respond(200, mFaults.toJson());
                break;
            default:
                handleResource(exchange, call);
                break;
        }
    }

    private void handleResource(Exchange exchange, String call) {
        String name =
                exchange.pathAfter(STREAMS_PATH)
                        .or(() -> exchange.pathAfter(KV_CACHE_PATH))
                        .orElse("");
        if (name.isEmpty()) {
            exchange.respondError(404, "NOT_FOUND", call);
        } else if (call.startsWith("GET " + STREAMS_PATH)) {
            resume(exchange, name);
        } else if (call.startsWith("DELETE " + STREAMS_PATH)) {
            cancel(exchange, name);
        } else if (call.startsWith("GET " + KV_CACHE_PATH)) {
            mKvCaches
                    .find(name)
                    .ifPresentOrElse(
                            entry -> exchange.respond(200, entry),
                            () -> exchange.respondError(404, "NOT_FOUND", call));
        } else if (call.startsWith("PUT " + KV_CACHE_PATH)) {
            mKvCaches.addImported(name, Json.parse(exchange.body()));
            exchange.respondEmpty(204);
        } else {
            exchange.respondError(405, "BAD_REQUEST", call);
        }
    }

    private void handleCompletion(Exchange exchange) {
        mLedger.countAttempt();
        ChatRequest request = ChatRequest.parse(Json.parse(exchange.body()));
        String requestId =
                exchange.header("X-Request-Id")
                        .orElseThrow(() -> new IllegalArgumentException("no X-Request-Id"));
        EngineStream existing = mStreams.get(requestId);
        if (existing != null) {
            attachToExisting(exchange, request, existing);
            return;
        }
        if (!mCommandProcessor.hasModel(request.model())) {
            exchange.withHeader("X-Not-Executed", true)
                    .respondError(404, "NOT_FOUND", "model " + request.model() + " is not loaded");
            return;
        }
        if (!request.response().startsWith(request.continueFrom())) {
            exchange.withHeader("X-Not-Executed", true)
                    .respondError(
                            400, "BAD_REQUEST", "continue_from is not the start of the answer");
            return;
        }
        if (mCommandProcessor.isDraining()
                || mCommandProcessor.isChangingRole()
                || mFaults.shouldRefuse()) {
            refuseAsNotExecuted(exchange, "the engine takes no requests");
            return;
        }
        if (mScheduler.queued() >= mSettings.queueLimit()) {
            refuseAsNotExecuted(exchange, "the queue is full");
            return;
        }
        startRequest(exchange, requestId, request);
    }

    /** Attaches a repeated request to the stream of the first one instead of running it again. */
    private void attachToExisting(Exchange exchange, ChatRequest request, EngineStream existing) {
        ChatRequest first = existing.sequence().request();
        if (!first.isEquivalentTo(request)) {
            exchange.respondError(422, "KEY_REUSED", "another request has this X-Request-Id");
        } else {
            existing.attach(exchange, 0);
        }
    }

    private void startRequest(Exchange exchange, String requestId, ChatRequest request) {
        long deadlineMillis =
                exchange.header("X-Deadline-Millis")
                        .map(Long::parseLong)
                        .orElse(DEFAULT_DEADLINE_MILLIS);
        int priority = exchange.header("X-Priority").map(Integer::parseInt).orElse(5);
        Sequence sequence =
                Sequence.of(
                        requestId,
                        request,
                        priority,
                        mClock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis),
                        ++mLastArrivalNumber);
        EngineStream stream =
                EngineStream.of(
                        sequence, mFaults, mLoadReporter::header, () -> onAbandoned(requestId));
        mStreams.put(requestId, stream);
        stream.attach(exchange, 0);
        boolean isCacheImported =
                mKvCaches
                        .find(requestId)
                        .filter(entry -> KvCacheStore.matches(entry, sequence))
                        .isPresent();
        if (isCacheImported) {
            sequence.markCacheImported();
            submit(sequence);
        } else if (request.kvSource().isPresent()) {
            fetchCache(sequence, request.kvSource().get());
        } else {
            submit(sequence);
        }
    }

    /**
     * Imports the KV cache of the prompt and submits the sequence. If the cache cannot be fetched
     * or does not match, the prompt is prefilled here.
     */
    private void fetchCache(Sequence sequence, KvCacheSource source) {
        mServer.fetch(source.address(), KV_CACHE_PATH + source.requestId())
                .thenAcceptAsync(
                        entry -> {
                            if (entry.filter(found -> KvCacheStore.matches(found, sequence))
                                    .isEmpty()) {
                                submit(sequence);
                                return;
                            }
                            sequence.markCacheImported();
                            double seconds =
                                    sequence.promptTokens() / mSettings.kvTokensPerSecond();
                            mEventLoop.schedule(
                                    () -> submit(sequence),
                                    Math.round(seconds * 1e9),
                                    TimeUnit.NANOSECONDS);
                        },
                        mEventLoop);
    }

    /** Submits a sequence unless it is finished; refuses it during a role change. */
    private void submit(Sequence sequence) {
        if (sequence.isFinished()) {
            return;
        }
        if (mCommandProcessor.isChangingRole()) {
            sequence.setState(SequenceState.REFUSED);
            onProgress(sequence);
            return;
        }
        mScheduler.submit(sequence);
    }

    private void resume(Exchange exchange, String requestId) {
        EngineStream stream = mStreams.get(requestId);
        if (stream == null) {
            exchange.respondError(404, "NOT_FOUND", "no stream " + requestId);
        } else {
            stream.attach(exchange, Math.toIntExact(exchange.queryNumber("after", 0)));
        }
    }

    private void cancel(Exchange exchange, String requestId) {
        EngineStream stream = mStreams.get(requestId);
        if (stream == null) {
            exchange.respondError(404, "NOT_FOUND", "no stream " + requestId);
            return;
        }
        mScheduler.cancel(stream.sequence());
        mStreams.remove(requestId);
        exchange.respondEmpty(204);
    }

    private void onProgress(Sequence sequence) {
        if (sequence.generatedTokens() == 1 && !sequence.isFinished() || sequence.isFinished()) {
            record(sequence);
        }
        EngineStream stream = mStreams.get(sequence.requestId());
        if (sequence.state() == SequenceState.REFUSED) {
            mStreams.remove(sequence.requestId());
        }
        if (stream != null) {
            stream.update();
        }
    }

    private void record(Sequence sequence) {
        if (!sequence.isStarted()) {
            return;
        }
        mLedger.add(sequence);
        if (sequence.isFinished()) {
            mLedger.recordFinish(sequence);
            if (sequence.request().isPrefillOnly()) {
                mKvCaches.addComputed(sequence);
            }
        }
    }

    /** Cancels and removes a stream that stays without readers for the retention time. */
    private void onAbandoned(String requestId) {
        EngineStream stream = mStreams.get(requestId);
        if (stream == null) {
            return;
        }
        long abandonments = stream.abandonments();
        mEventLoop.schedule(
                () -> {
                    if (!stream.hasReaders()
                            && stream.abandonments() == abandonments
                            && mStreams.remove(requestId, stream)) {
                        mScheduler.cancel(stream.sequence());
                    }
                },
                mSettings.streamRetention().toNanos(),
                TimeUnit.NANOSECONDS);
    }
}
