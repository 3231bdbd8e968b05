package org.sesamedeck.emulator.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Json;

/** HTTP client for emulators and admin ports. Thread-safe. */
public final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    private AdminClient() {}

    /** Returns a client. */
    public static AdminClient create() {
        return new AdminClient();
    }

    /** Sends a request and returns the response, whatever its status. */
    public HttpResponse<String> send(
            String method, HostAddress address, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(address.toHttpBase() + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a PUT request; fails unless the status is 2xx. */
    public void put(HostAddress address, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpResponse<String> response = send("PUT", address, path, body, headers);
        if (response.statusCode() / 100 != 2) {
            throw new IOException(
                    "PUT "
                            + address
                            + path
                            + " returned "
                            + response.statusCode()
                            + " "
                            + response.body());
        }
    }

    /** Returns the body of a GET response with status 200; empty in every other case. */
    public Optional<String> text(HostAddress address, String path) throws InterruptedException {
        try {
            HttpResponse<String> response = send("GET", address, path, "");
            return response.statusCode() == 200 ? Optional.of(response.body()) : Optional.empty();
        } catch (IOException unreachable) {
            return Optional.empty();
        }
    }

    /** Returns the JSON body of a GET response; fails unless the status is 200. */
    public JsonNode json(HostAddress address, String path)
            throws IOException, InterruptedException {
        HttpResponse<String> response = send("GET", address, path, "");
        if (response.statusCode() != 200) {
            throw new IOException("GET " + address + path + " returned " + response.statusCode());
        }
        return Json.parse(response.body());
    }
}
