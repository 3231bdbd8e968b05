package org.sesamedeck.emulator.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Exchange;
import org.sesamedeck.emulator.http.HttpServer;
import org.sesamedeck.emulator.http.Json;

/**
 * Emulated platform of a deployment, with the object API and the host list under {@code /v1}, and
 * call counters and fault injection under {@code /emulator}. Injected faults do not affect {@code
 * /emulator}.
 */
public final class PlatformEmulator implements AutoCloseable {
    /** Maximum size of an object value in UTF-8, in bytes. */
    public static final int MAX_VALUE_BYTES = 1 << 20;

    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String WATCH_PATH = "/v1/watch/";

    private final HttpServer mServer;
    private final ObjectTable mObjects = ObjectTable.create();
    private final PlatformFaults mFaults = PlatformFaults.none();
    private final CallCounters mCounters = CallCounters.create();
    private final WatchTable mWatches = WatchTable.of(mFaults::staleWatchMillis);
    private final HostTable mHosts;
    private final TokenBucket mReadLimit;
    private final TokenBucket mWriteLimit;
    private HostAddress mAddress;

    private PlatformEmulator(HttpServer server, Clock clock, PlatformLimits limits) {
        mServer = server;
        mHosts = HostTable.of(clock, limits.hostLag().toNanos());
        mReadLimit = TokenBucket.of(clock, limits.readsPerSecond());
        mWriteLimit = TokenBucket.of(clock, limits.writesPerSecond());
        mObjects.addListener(mWatches::onChange);
    }

    /** Starts a platform without objects and hosts; port 0 selects a free port. */
    public static PlatformEmulator start(HostAddress listen, Clock clock, PlatformLimits limits) {
        HttpServer server = HttpServer.create(clock);
        PlatformEmulator platform = new PlatformEmulator(server, clock, limits);
        platform.mAddress = server.listen(listen, platform::handle);
        return platform;
    }

    /** Returns the address on which the platform listens. */
    public HostAddress address() {
        return mAddress;
    }

    @Override
    public void close() {
        mServer.close();
    }

    static ObjectNode objectJson(String key, VersionedValue value) {
        int slash = key.indexOf('/');
        return Json.object()
                .put("kind", key.substring(0, slash))
                .put("name", key.substring(slash + 1))
                .put("version", value.version())
                .put("value", value.value());
    }

    private void handle(Exchange exchange) {
        if (exchange.path().startsWith("/emulator/")) {
            handleAdmin(exchange);
        } else if (mFaults.delayMillis() > 0) {
            exchange.eventLoop()
                    .schedule(() -> serve(exchange), mFaults.delayMillis(), TimeUnit.MILLISECONDS);
        } else {
            serve(exchange);
        }
    }

    private void handleAdmin(Exchange exchange) {
        String call = exchange.method() + " " + exchange.path();
        switch (call) {
            case "GET /emulator/calls":
                exchange.respond(200, mCounters.toJson(mWatches.count()));
                break;
            case "PUT /emulator/hosts":
                mHosts.set(Json.parse(exchange.body()));
                exchange.respondEmpty(204);
                break;
            case "GET /emulator/hosts":
                exchange.respond(200, mHosts.actual());
                break;
            case "PUT /emulator/faults":
                mFaults.set(Json.parse(exchange.body()));
                exchange.respond(200, mFaults.toJson());
                break;
            case "GET /emulator/faults":
                exchange.respond(200, mFaults.toJson());
                break;
            default:
                exchange.respondError(404, "NOT_FOUND", call);
                break;
        }
    }

    private void serve(Exchange exchange) {
        String method = exchange.method();
        boolean isWrite = method.equals("PUT") || method.equals("DELETE");
        mCounters.count(isWrite, callName(exchange));
        if (mFaults.isUnavailable()) {
            exchange.withHeader("Retry-After", 1)
                    .respondError(503, "UNAVAILABLE", "platform outage");
            return;
        }
        boolean isAllowed = isWrite ? mWriteLimit.tryTake(0) : mReadLimit.tryTake(mWatches.count());
        if (!isAllowed) {
            mCounters.countRateLimited();
            exchange.withHeader("Retry-After", 1)
                    .respondError(429, "RATE_LIMITED", callName(exchange));
            return;
        }
        if (exchange.path().equals("/v1/hosts") && method.equals("GET")) {
            exchange.respond(200, mHosts.visible());
        } else if (exchange.path().startsWith(OBJECTS_PATH)) {
            String key = exchange.path().substring(OBJECTS_PATH.length());
            if (key.indexOf('/') > 0) {
                serveObject(exchange, key);
            } else {
                serveList(exchange, key);
            }
        } else if (exchange.path().startsWith(WATCH_PATH) && method.equals("GET")) {
            String key = exchange.path().substring(WATCH_PATH.length());
            if (key.indexOf('/') <= 0) {
                throw new IllegalArgumentException("a watch names /{kind}/{name}");
            }
            mWatches.watch(
                    exchange,
                    key,
                    mObjects.get(key),
                    exchange.queryNumber("after", 0),
                    exchange.queryNumber("wait", 30));
        } else {
            exchange.respondError(404, "NOT_FOUND", exchange.path());
        }
    }

    /** Returns the name under which a call is counted, for example "PUT objects/lease". */
    private static String callName(Exchange exchange) {
        String[] parts = exchange.path().split("/");
        String kind = parts.length > 3 ? "/" + parts[3] : "";
        return exchange.method() + " " + (parts.length > 2 ? parts[2] : "") + kind;
    }

    private void serveList(Exchange exchange, String kind) {
        if (!exchange.method().equals("GET")) {
            exchange.respondError(405, "BAD_REQUEST", exchange.method() + " of a kind");
            return;
        }
        ArrayNode list = Json.array();
        mObjects.list(kind + "/").forEach((key, value) -> list.add(objectJson(key, value)));
        exchange.respond(200, list);
    }

    private void serveObject(Exchange exchange, String key) {
        switch (exchange.method()) {
            case "GET":
                mObjects.get(key)
                        .ifPresentOrElse(
                                value -> exchange.respond(200, objectJson(key, value)),
                                () -> exchange.respondError(404, "NOT_FOUND", key));
                break;
            case "PUT":
                put(exchange, key);
                break;
            case "DELETE":
                respondToWrite(exchange, key, "", mObjects.delete(key, expectedVersion(exchange)));
                break;
            default:
                exchange.respondError(405, "BAD_REQUEST", exchange.method());
                break;
        }
    }

    private void put(Exchange exchange, String key) {
        String value = exchange.body();
        if (value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
            exchange.respondError(413, "VALUE_TOO_LARGE", key + " is above 1 MB");
            return;
        }
        boolean isCreation = exchange.header("If-None-Match").filter("*"::equals).isPresent();
        long version =
                isCreation
                        ? mObjects.create(key, value)
                        : mObjects.update(key, expectedVersion(exchange), value);
        respondToWrite(exchange, key, value, version);
    }

    private static long expectedVersion(Exchange exchange) {
        String text =
                exchange.header("If-Match")
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "a write needs If-Match or If-None-Match: *"));
        return Long.parseLong(text.replace("\"", "").trim());
    }

    private void respondToWrite(Exchange exchange, String key, String value, long version) {
        if (version == ObjectTable.CONFLICT) {
            exchange.respondError(412, "VERSION_CONFLICT", key);
        } else if (version == ObjectTable.ABSENT) {
            exchange.respondError(404, "NOT_FOUND", key);
        } else if (mFaults.shouldLoseResponse()) {
            exchange.abort();
        } else {
            exchange.respond(200, objectJson(key, new VersionedValue(version, value)));
        }
    }
}
