package org.sesamedeck.endpoint;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.ChainElement;
import org.apache.hc.client5.http.impl.DefaultClientConnectionReuseStrategy;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** {@link EndpointClient} based on the asynchronous Apache HTTP client with few I/O threads. */
public final class HttpEndpointClient implements EndpointClient {
    private static final int IO_THREADS = 2;
    private static final int MAX_CONNECTIONS = 8192;

    /** With this window, 1,000 open streams buffer at most 16 MB of undelivered responses. */
    private static final int WINDOW_BYTES = 16 * 1024;

    private static final int BUFFER_BYTES = 4 * 1024;

    /** The client has no limits of its own; a faulty endpoint may send a head without end. */
    private static final int MAX_HEAD_LINE_BYTES = 64 * 1024;

    private static final int MAX_HEADERS = 1_000;
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);
    private static final Timeout DISCARDED_RESPONSE_TIMEOUT = Timeout.ofSeconds(5);

    /**
     * Endpoints close idle connections, and the outcome of a request sent on a closed one would be
     * unknown. Each connection is therefore validated before reuse.
     */
    private static final TimeValue VALIDATE_AFTER_INACTIVITY = TimeValue.ZERO_MILLISECONDS;

    private static final TimeValue IDLE_TIMEOUT = TimeValue.ofSeconds(10);

    private final CloseableHttpAsyncClient mClient;

    private HttpEndpointClient(CloseableHttpAsyncClient client) {
        mClient = client;
    }

    /** Returns a started client. */
    public static HttpEndpointClient create() {
        CloseableHttpAsyncClient client =
                HttpAsyncClients.custom()
                        .setIOReactorConfig(
                                IOReactorConfig.custom()
                                        .setIoThreadCount(IO_THREADS)
                                        .setTcpNoDelay(true)
                                        .build())
                        .setHttp1Config(
                                Http1Config.custom()
                                        .setInitialWindowSize(WINDOW_BYTES)
                                        .setBufferSize(BUFFER_BYTES)
                                        .setMaxLineLength(MAX_HEAD_LINE_BYTES)
                                        .setMaxHeaderCount(MAX_HEADERS)
                                        .build())
                        .setConnectionManager(
                                PoolingAsyncClientConnectionManagerBuilder.create()
                                        .setMaxConnTotal(MAX_CONNECTIONS)
                                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                                        .setDefaultConnectionConfig(
                                                ConnectionConfig.custom()
                                                        .setConnectTimeout(CONNECT_TIMEOUT)
                                                        .setValidateAfterInactivity(
                                                                VALIDATE_AFTER_INACTIVITY)
                                                        .build())
                                        .build())
                        .setDefaultRequestConfig(
                                RequestConfig.custom()
                                        .setConnectionRequestTimeout(CONNECT_TIMEOUT)
                                        .setProtocolUpgradeEnabled(false)
                                        .build())
                        .addExecInterceptorBefore(
                                ChainElement.MAIN_TRANSPORT.name(),
                                "mark-sent",
                                (request, entity, scope, chain, callback) -> {
                                    HttpExchange.markSent(scope.clientContext);
                                    chain.proceed(request, entity, scope, callback);
                                })
                        .setConnectionReuseStrategy(HttpEndpointClient::mayReuseConnection)
                        .disableAutomaticRetries()
                        .disableRedirectHandling()
                        .disableCookieManagement()
                        .disableAuthCaching()
                        .evictExpiredConnections()
                        .evictIdleConnections(IDLE_TIMEOUT)
                        .setUserAgent("sesamedeck-entry")
                        .build();
        client.start();
        return new HttpEndpointClient(client);
    }

    /**
     * A faulty endpoint may write a refusal twice, and the copy would be taken for the response to
     * the next request, so a connection is not reused after one.
     */
    private static boolean mayReuseConnection(
            HttpRequest request, HttpResponse response, HttpContext context) {
        return response.getCode() < HttpStatus.SC_CLIENT_ERROR
                && DefaultClientConnectionReuseStrategy.INSTANCE.keepAlive(
                        request, response, context);
    }

    @Override
    public EndpointExchange send(EndpointRequest request) {
        HttpExchange exchange = HttpExchange.of(request);
        exchange.start(mClient, null);
        return exchange;
    }

    @Override
    public void sendAndDiscard(EndpointRequest request) {
        HttpExchange exchange = HttpExchange.of(request);
        exchange.discardBody();
        exchange.start(
                mClient,
                RequestConfig.custom().setResponseTimeout(DISCARDED_RESPONSE_TIMEOUT).build());
    }

    @Override
    public void close() {
        mClient.initiateShutdown();
        try {
            mClient.awaitShutdown(TimeValue.of(1, TimeUnit.SECONDS));
            mClient.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException failure) {
            System.getLogger(HttpEndpointClient.class.getName())
                    .log(System.Logger.Level.DEBUG, "closing the endpoint client failed", failure);
        }
    }
}
