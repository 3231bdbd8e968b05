package org.sesamedeck.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.core5.http.HttpStatus;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** The host list over HTTP. Rows of unknown kinds are ignored. */
public final class HttpHostList implements HostList, AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CALL = "read of the host list";

    private final String mUri;
    private final PlatformClient mClient;
    private final CallCounter mCalls;

    private HttpHostList(String uri, PlatformClient client, CallCounter calls) {
        mUri = uri;
        mClient = client;
        mCalls = calls;
    }

    /** Returns a reader of the host list at the given address. */
    public static HttpHostList create(HostAddress address, Duration timeout, CallCounter calls) {
        return new HttpHostList(
                address.toHttpBase() + "/v1/hosts", PlatformClient.create(timeout), calls);
    }

    @Override
    public CompletableFuture<List<HostEntry>> read() {
        mCalls.count(CallKind.HOSTS);
        CompletableFuture<List<HostEntry>> result = new CompletableFuture<>();
        mClient.execute(SimpleRequestBuilder.get(mUri).build(), Duration.ZERO)
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                result.completeExceptionally(
                                        PlatformErrors.ofFailure(CALL, false, failure));
                                return;
                            }
                            try {
                                result.complete(parse(response));
                            } catch (SesamedeckException coded) {
                                result.completeExceptionally(coded);
                            } catch (IOException | IllegalArgumentException invalid) {
                                result.completeExceptionally(
                                        SesamedeckException.of(
                                                ResultCode.STORE_UNAVAILABLE,
                                                CALL + " returned a malformed response: " + invalid,
                                                invalid));
                            }
                        });
        return result;
    }

    private static List<HostEntry> parse(SimpleHttpResponse response) throws IOException {
        if (response.getCode() != HttpStatus.SC_OK) {
            throw PlatformErrors.ofStatus(CALL, false, response);
        }
        List<HostEntry> hosts = new ArrayList<>();
        for (JsonNode row : MAPPER.readTree(response.getBodyBytes())) {
            String kind = row.path("kind").asText().toUpperCase(Locale.ROOT);
            for (HostKind known : HostKind.values()) {
                if (known.name().equals(kind)) {
                    hosts.add(toEntry(row, known));
                }
            }
        }
        return hosts;
    }

    private static HostEntry toEntry(JsonNode row, HostKind kind) {
        int port = row.path("port").asInt();
        if (row.path("name").asText().isEmpty() || port < 1 || port > 65_535) {
            throw new IllegalArgumentException("host without name or port: " + row);
        }
        return new HostEntry(
                row.path("name").asText(),
                HostAddress.of(row.path("address").asText(), port),
                kind,
                row.path("service").asText(""),
                row.path("failureDomain").asText(""),
                row.path("region").asText(""),
                "leaving".equals(row.path("state").asText()));
    }

    @Override
    public void close() {
        mClient.close();
    }
}
