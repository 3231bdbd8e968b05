package org.sesamedeck.operator;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Reads status pages over HTTP. */
final class HttpStatusPageReader implements StatusPageReader {
    private final Duration mTimeout;

    HttpStatusPageReader(Duration timeout) {
        mTimeout = timeout;
    }

    @Override
    public Page read(HostAddress gateway, String pathAndQuery) {
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(mTimeout)
                        .build();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(gateway.toHttpBase() + pathAndQuery))
                        .timeout(mTimeout)
                        .build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Page(response.statusCode(), response.body());
        } catch (IOException failure) {
            throw unavailable(gateway, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw unavailable(gateway, interrupted);
        }
    }

    private static SesamedeckException unavailable(HostAddress gateway, Exception cause) {
        return SesamedeckException.of(
                ResultCode.UNAVAILABLE, "no response of the gateway at " + gateway, cause);
    }
}
