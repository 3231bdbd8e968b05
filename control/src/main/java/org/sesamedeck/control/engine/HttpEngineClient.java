package org.sesamedeck.control.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.LoadReport;

/** Polls engines over HTTP with GET /v1/state and GET /v1/load. */
public final class HttpEngineClient implements EngineClient, AutoCloseable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Clock mClock;
    private final ExecutorService mExecutor;
    private final HttpClient mClient;

    private HttpEngineClient(Clock clock) {
        mClock = clock;
        mExecutor = Executors.newFixedThreadPool(2, task -> new Thread(task, "engine-poll"));
        mClient =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(REQUEST_TIMEOUT)
                        .executor(mExecutor)
                        .build();
    }

    /** Returns a client with its own pool of two threads. */
    public static HttpEngineClient create(Clock clock) {
        return new HttpEngineClient(clock);
    }

    @Override
    public CompletableFuture<EnginePollResult> poll(HostEntry engine) {
        CompletableFuture<JsonNode> state = get(engine, "/v1/state");
        CompletableFuture<Optional<LoadReport>> load =
                get(engine, "/v1/load")
                        .thenApply(node -> Optional.of(toLoad(node)))
                        .exceptionally(failure -> Optional.empty());
        return state.thenCombine(
                load, (node, report) -> new EnginePollResult(toState(engine.name(), node), report));
    }

    private CompletableFuture<JsonNode> get(HostEntry engine, String path) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(engine.address().toHttpBase() + path))
                        .timeout(REQUEST_TIMEOUT)
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle(
                        (response, failure) -> {
                            if (failure != null || response.statusCode() != 200) {
                                throw SesamedeckException.of(
                                        ResultCode.UNAVAILABLE,
                                        "GET "
                                                + path
                                                + " of "
                                                + engine.name()
                                                + (failure == null
                                                        ? ": status " + response.statusCode()
                                                        : " failed"),
                                        failure);
                            }
                            return parse(engine, path, response.body());
                        });
    }

    private static JsonNode parse(HostEntry engine, String path, byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException malformed) {
            throw SesamedeckException.of(
                    ResultCode.UNAVAILABLE,
                    "GET " + path + " of " + engine.name() + " returned a body that is not JSON",
                    malformed);
        }
    }

    static EngineState toState(String name, JsonNode node) {
        Set<String> models = new TreeSet<>();
        for (JsonNode model : node.path("models")) {
            models.add(model.isTextual() ? model.asText() : model.path("name").asText());
        }
        return new EngineState(
                name,
                toRole(node.path("role").asText()),
                models,
                node.path("draining").asBoolean(),
                isChanging(node.path("commandInProgress")));
    }

    private static boolean isChanging(JsonNode command) {
        // Engines send a flag, the identifier of the command or an object that describes it.
        return command.isBoolean()
                ? command.asBoolean()
                : command.isObject() || !command.asText("").isEmpty();
    }

    private static EndpointRole toRole(String text) {
        try {
            return EndpointRole.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException unknown) {
            return EndpointRole.MIXED;
        }
    }

    private LoadReport toLoad(JsonNode node) {
        long age = Duration.ofMillis(node.path("ageMillis").asLong()).toNanos();
        return new LoadReport(
                node.path("queued").asInt(),
                node.path("running").asInt(),
                node.path("promptTokens").asLong(),
                node.path("kv").asDouble(),
                mClock.nanoTime() - age);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
