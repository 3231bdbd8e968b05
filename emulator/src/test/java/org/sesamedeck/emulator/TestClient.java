package org.sesamedeck.emulator;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;

/** HTTP client of one emulator, for tests. */
public final class TestClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final HostAddress mAddress;

    private TestClient(HostAddress address) {
        mAddress = address;
    }

    /** Returns a client of the emulator at an address. */
    public static TestClient of(HostAddress address) {
        return new TestClient(address);
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(mAddress.toHttpBase() + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }

    /** Sends a request and waits for the full response. */
    public HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return mClient.send(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without waiting for the response. */
    public CompletableFuture<HttpResponse<String>> sendAsync(
            String method, String path, String body, String... headers) {
        return mClient.sendAsync(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }
}
