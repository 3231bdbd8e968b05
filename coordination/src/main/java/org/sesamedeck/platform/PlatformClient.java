package org.sesamedeck.platform;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/** The HTTP client of the platform: one I/O thread, no retries, no redirects. */
final class PlatformClient implements AutoCloseable {
    /** A pending watch holds a connection; at most 36 of them are open in the whole system. */
    private static final int MAX_CONNECTIONS = 64;

    private final CloseableHttpAsyncClient mClient;
    private final Duration mTimeout;

    private PlatformClient(CloseableHttpAsyncClient client, Duration timeout) {
        mClient = client;
        mTimeout = timeout;
    }

    static PlatformClient create(Duration timeout) {
        ConnectionConfig connections =
                ConnectionConfig.custom().setConnectTimeout(toTimeout(timeout)).build();
        // A repeated write would be indistinguishable from the first one, so the HTTP client must
        // not retry by itself.
        CloseableHttpAsyncClient client =
                HttpAsyncClients.custom()
                        .setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(1).build())
                        .setConnectionManager(
                                PoolingAsyncClientConnectionManagerBuilder.create()
                                        .setDefaultConnectionConfig(connections)
                                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                                        .setMaxConnTotal(MAX_CONNECTIONS)
                                        .build())
                        .disableAutomaticRetries()
                        .disableRedirectHandling()
                        .disableCookieManagement()
                        .disableAuthCaching()
                        .build();
        client.start();
        return new PlatformClient(client, timeout);
    }

    /** Executes a request; the future fails with the client's own exception. */
    CompletableFuture<SimpleHttpResponse> execute(SimpleHttpRequest request, Duration extraWait) {
        request.setConfig(
                RequestConfig.custom()
                        .setConnectionRequestTimeout(toTimeout(mTimeout))
                        .setResponseTimeout(toTimeout(mTimeout.plus(extraWait)))
                        .build());
        CompletableFuture<SimpleHttpResponse> result = new CompletableFuture<>();
        mClient.execute(
                request,
                new FutureCallback<SimpleHttpResponse>() {
                    @Override
                    public void completed(SimpleHttpResponse response) {
                        result.complete(response);
                    }

                    @Override
                    public void failed(Exception failure) {
                        result.completeExceptionally(failure);
                    }

                    @Override
                    public void cancelled() {
                        result.completeExceptionally(
                                new java.io.InterruptedIOException(
                                        String.format(
                                                Locale.ROOT,
                                                "request to %s cancelled",
                                                request.getRequestUri())));
                    }
                });
        return result;
    }

    private static Timeout toTimeout(Duration duration) {
        return Timeout.ofMilliseconds(duration.toMillis());
    }

    @Override
    public void close() {
        mClient.close(CloseMode.IMMEDIATE);
    }
}
