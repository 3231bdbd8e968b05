package org.sesamedeck.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Json;

/** HTTP client of a caller. After a failed attempt the next one opens a new connection. */
final class CallerClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    /** Result of an attempt as the caller sees it; the status is -1 if the connection failed. */
    record Response(int status, String body, String failure) {
        boolean isConnectionRefused() {
            return status < 0 && failure.startsWith(ConnectException.class.getName());
        }

        JsonNode error() {
            try {
                return Json.parse(body).path("error");
            } catch (IllegalArgumentException notJson) {
                return Json.object();
            }
        }

        /** Returns whether the response says that the request was not executed. */
        boolean isNotExecuted() {
            return status != 200 && error().path("executed").asText().equals("no");
        }
    }

    /**
     * Sends a POST request and reads the full response; its status is -1 if the connection fails.
     */
    Response post(
            HostAddress entry,
            String path,
            String key,
            String body,
            Duration timeout,
            Map<String, String> headers)
            throws InterruptedException {
        try {
            HttpResponse<String> response =
                    mClient.send(
                            request(entry, path, key, body, headers).timeout(timeout).build(),
                            HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body(), "");
        } catch (IOException failure) {
            return new Response(-1, "", failure.toString());
        }
    }

    /** Sends a POST request and returns its response as a stream. */
    HttpResponse<InputStream> open(
            HostAddress entry, String path, String key, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        return mClient.send(
                request(entry, path, key, body, headers).build(),
                HttpResponse.BodyHandlers.ofInputStream());
    }

    static BufferedReader reader(InputStream input) {
        return new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    }

    private static HttpRequest.Builder request(
            HostAddress entry, String path, String key, String body, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(entry.toHttpBase() + path))
                        .header("Content-Type", "application/json")
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return request;
    }
}
