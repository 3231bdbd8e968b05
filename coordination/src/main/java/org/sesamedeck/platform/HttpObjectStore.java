package org.sesamedeck.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * The object API over HTTP. Thread-safe; futures complete on the client's I/O thread, so their
 * continuations must not block.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ContentType TEXT =
            ContentType.create("text/plain", StandardCharsets.UTF_8);

    private final String mBase;
    private final PlatformClient mClient;
    private final CallCounter mCalls;

    private HttpObjectStore(String base, PlatformClient client, CallCounter calls) {
        mBase = base;
        mClient = client;
        mCalls = calls;
    }

    /**
     * Returns a client of the object API at the given address.
     *
     * @param timeout for connecting and for a response; a watch adds its wait to the latter
     */
    public static HttpObjectStore create(HostAddress address, Duration timeout, CallCounter calls) {
        return new HttpObjectStore(address.toHttpBase(), PlatformClient.create(timeout), calls);
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(ObjectKey key) {
        return execute(
                CallKind.GET,
                SimpleRequestBuilder.get(objectUri(key)).build(),
                Duration.ZERO,
                response ->
                        response.getCode() == HttpStatus.SC_NOT_FOUND
                                ? Optional.empty()
                                : Optional.of(toObject(parseSuccess(CallKind.GET, key, response))));
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String kind) {
        ObjectKey key = ObjectKey.of(kind, "");
        return execute(
                CallKind.LIST,
                SimpleRequestBuilder.get(mBase + "/v1/objects/" + encode(kind)).build(),
                Duration.ZERO,
                response -> {
                    List<StoredObject> objects = new ArrayList<>();
                    for (JsonNode object : parseSuccess(CallKind.LIST, key, response)) {
                        objects.add(toObject(object));
                    }
                    return objects;
                });
    }

    @Override
    public CompletableFuture<Long> create(ObjectKey key, String value) {
        SimpleHttpRequest request =
                SimpleRequestBuilder.put(objectUri(key))
                        .setHeader("If-None-Match", "*")
                        .setBody(value, TEXT)
                        .build();
        return write(CallKind.CREATE, key, request);
    }

    @Override
    public CompletableFuture<Long> update(ObjectKey key, long expectedVersion, String value) {
        SimpleHttpRequest request =
                SimpleRequestBuilder.put(objectUri(key))
                        .setHeader("If-Match", Long.toString(expectedVersion))
                        .setBody(value, TEXT)
                        .build();
        return write(CallKind.UPDATE, key, request);
    }

    @Override
    public CompletableFuture<Void> delete(ObjectKey key, long expectedVersion) {
        SimpleHttpRequest request =
                SimpleRequestBuilder.delete(objectUri(key))
                        .setHeader("If-Match", Long.toString(expectedVersion))
                        .build();
        return execute(
                CallKind.DELETE,
                request,
                Duration.ZERO,
                response -> {
                    if (response.getCode() != HttpStatus.SC_NO_CONTENT) {
                        requireSuccess(CallKind.DELETE, key, response);
                    }
                    return null;
                });
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> watch(
            ObjectKey key, long afterVersion, Duration wait) {
        String uri =
                String.format(
                        "%s/v1/watch/%s/%s?after=%d&wait=%s",
                        mBase,
                        encode(key.kind()),
                        encode(key.name()),
                        afterVersion,
                        Math.max(1, (wait.toMillis() + 999) / 1000));
        return execute(
                CallKind.WATCH,
                SimpleRequestBuilder.get(uri).build(),
                wait.plusSeconds(1),
                response ->
                        response.getCode() == HttpStatus.SC_NO_CONTENT
                                        || response.getCode() == HttpStatus.SC_NOT_FOUND
                                ? Optional.empty()
                                : Optional.of(
                                        toObject(parseSuccess(CallKind.WATCH, key, response))));
    }

    @Override
    public void close() {
        mClient.close();
    }

    private CompletableFuture<Long> write(CallKind kind, ObjectKey key, SimpleHttpRequest request) {
        return execute(
                kind,
                request,
                Duration.ZERO,
                response -> {
                    requireSuccess(kind, key, response);
                    JsonNode version = parse(response).path("version");
                    if (!version.isIntegralNumber()) {
                        throw new IllegalArgumentException("response without a version");
                    }
                    return version.longValue();
                });
    }

    private <T> CompletableFuture<T> execute(
            CallKind kind,
            SimpleHttpRequest request,
            Duration extraWait,
            ResponseReader<T> reader) {
        mCalls.count(kind);
        String call = kind + " " + request.getRequestUri();
        boolean isWrite =
                kind == CallKind.CREATE || kind == CallKind.UPDATE || kind == CallKind.DELETE;
        CompletableFuture<T> result = new CompletableFuture<>();
        mClient.execute(request, extraWait)
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                result.completeExceptionally(
                                        PlatformErrors.ofFailure(call, isWrite, failure));
                                return;
                            }
                            try {
                                result.complete(reader.read(response));
                            } catch (SesamedeckException coded) {
                                result.completeExceptionally(coded);
                            } catch (JsonProcessingException | IllegalArgumentException invalid) {
                                // A write with a malformed response may have taken effect.
                                result.completeExceptionally(
                                        SesamedeckException.of(
                                                isWrite
                                                        ? ResultCode.STORE_OUTCOME_UNKNOWN
                                                        : ResultCode.STORE_UNAVAILABLE,
                                                call + " returned a malformed response: " + invalid,
                                                invalid));
                            }
                        });
        return result;
    }

    private static JsonNode parseSuccess(CallKind kind, ObjectKey key, SimpleHttpResponse response)
            throws JsonProcessingException {
        requireSuccess(kind, key, response);
        return parse(response);
    }

    private static void requireSuccess(CallKind kind, ObjectKey key, SimpleHttpResponse response) {
        if (response.getCode() != HttpStatus.SC_OK && response.getCode() != HttpStatus.SC_CREATED) {
            boolean isWrite =
                    kind != CallKind.GET && kind != CallKind.LIST && kind != CallKind.WATCH;
            throw PlatformErrors.ofStatus(kind + " " + key, isWrite, response);
        }
    }

    private static JsonNode parse(SimpleHttpResponse response) throws JsonProcessingException {
        byte[] body = response.getBodyBytes();
        return MAPPER.readTree(body == null ? "" : new String(body, StandardCharsets.UTF_8));
    }

    private static StoredObject toObject(JsonNode object) {
        JsonNode value = object.path("value");
        if (!object.path("version").isIntegralNumber() || !value.isTextual()) {
            throw new IllegalArgumentException("object without version or value");
        }
        return new StoredObject(
                ObjectKey.of(object.path("kind").asText(), object.path("name").asText()),
                object.path("version").longValue(),
                value.textValue());
    }

    private String objectUri(ObjectKey key) {
        return mBase + "/v1/objects/" + encode(key.kind()) + "/" + encode(key.name());
    }

    private static String encode(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Turns a response into the result of a call. */
    private interface ResponseReader<T> {
        T read(SimpleHttpResponse response) throws JsonProcessingException;
    }
}
