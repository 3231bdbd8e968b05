package org.sesamedeck.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.core5.http.HttpStatus;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.SettingTypes;

/**
 * The host list over HTTP. Rows of unknown kinds are ignored, and so are rows without a usable name
 * or address, which another writer may leave: they must not hide the other rows.
 */
public final class HttpHostList implements HostList, AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(HttpHostList.class.getName());
    private static final TolerantJsonReader READER = TolerantJsonReader.ofRows(new ObjectMapper());

    /** Characters of an unusable value that a log line shows. */
    private static final int MAX_LOGGED_LENGTH = 100;

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
        for (JsonNode row : READER.read(response.getBodyBytes())) {
            String kind = row.path("kind").asText().toUpperCase(Locale.ROOT);
            for (HostKind known : HostKind.values()) {
                if (known.name().equals(kind)) {
                    toEntry(row, known).ifPresent(hosts::add);
                }
            }
        }
        return hosts;
    }

    private static Optional<HostEntry> toEntry(JsonNode row, HostKind kind) {
        String name = row.path("name").asText();
        String address = row.path("address").asText() + ":" + row.path("port").asText();
        Optional<HostAddress> parsed = SettingTypes.address().parse(address);
        if (name.isEmpty() || parsed.isEmpty()) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "host list: the row of \"{0}\" with address \"{1}\" cannot be used",
                    abbreviated(name),
                    abbreviated(address));
            return Optional.empty();
        }
        return Optional.of(
                new HostEntry(
                        name,
                        parsed.get(),
                        kind,
                        row.path("service").asText(""),
                        row.path("failureDomain").asText(""),
                        row.path("region").asText(""),
                        "leaving".equals(row.path("state").asText())));
    }

    private static String abbreviated(String text) {
        return text.length() <= MAX_LOGGED_LENGTH ? text : text.substring(0, MAX_LOGGED_LENGTH);
    }

    @Override
    public void close() {
        mClient.close();
    }
}
