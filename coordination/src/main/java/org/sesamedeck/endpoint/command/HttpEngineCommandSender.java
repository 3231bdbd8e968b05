package org.sesamedeck.endpoint.command;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnectionFactory;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Calls engines over HTTP/1.1 with one socket per call. The socket is connected in {@link #open}
 * and the HTTP layer is bound to it, so that neither a connection pool nor a retry can move a
 * command to a connection that was opened later. Thread-safe; blocking calls run on a separate
 * thread pool.
 */
public final class HttpEngineCommandSender implements EngineCommandSender {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int MAX_THREADS = 16;

    private final ExecutorService mThreads;
    private final Duration mTimeout;

    private HttpEngineCommandSender(ExecutorService threads, Duration timeout) {
        mThreads = threads;
        mTimeout = timeout;
    }

    /**
     * Returns a sender with up to 16 threads.
     *
     * @param timeout timeout of connecting and of each read from the connection
     */
    public static HttpEngineCommandSender create(Duration timeout) {
        ThreadPoolExecutor threads =
                new ThreadPoolExecutor(
                        MAX_THREADS,
                        MAX_THREADS,
                        10,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        task -> {
                            Thread thread = new Thread(task, "engine-command");
                            thread.setDaemon(true);
                            return thread;
                        });
        threads.allowCoreThreadTimeOut(true);
        return new HttpEngineCommandSender(threads, timeout);
    }

    @Override
    public CompletableFuture<EngineConnection> open(HostAddress engine) {
        return run(
                () -> HttpEngineConnection.of(connect(engine), engine, mThreads),
                "connection to engine " + engine);
    }

    @Override
    public CompletableFuture<EngineStateResponse> readState(HostAddress engine) {
        return run(
                () -> {
                    try (DefaultBHttpClientConnection connection = connect(engine)) {
                        BasicClassicHttpRequest request =
                                new BasicClassicHttpRequest("GET", "/v1/state");
                        request.setHeader("Host", engine.toString());
                        request.setHeader("Connection", "close");
                        connection.sendRequestHeader(request);
                        connection.flush();
                        ClassicHttpResponse response = connection.receiveResponseHeader();
                        connection.receiveResponseEntity(response);
                        if (response.getCode() != HttpStatus.SC_OK) {
                            throw new IOException("response has status " + response.getCode());
                        }
                        return MAPPER.readValue(
                                EntityUtils.toByteArray(response.getEntity()),
                                EngineStateResponse.class);
                    }
                },
                "state of engine " + engine);
    }

    private DefaultBHttpClientConnection connect(HostAddress engine) throws IOException {
        int millis = Math.toIntExact(mTimeout.toMillis());
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(millis);
            socket.connect(engine.toSocketAddress(), millis);
            return DefaultBHttpClientConnectionFactory.builder().build().createConnection(socket);
        } catch (IOException | RuntimeException failure) {
            socket.close();
            throw failure;
        }
    }

    private <T> CompletableFuture<T> run(BlockingCall<T> call, String operation) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            mThreads.execute(
                    () -> {
                        try {
                            result.complete(call.run());
                        } catch (IOException | HttpException | RuntimeException failure) {
                            result.completeExceptionally(
                                    SesamedeckException.of(
                                            ResultCode.UNAVAILABLE,
                                            operation + " failed: " + failure,
                                            failure));
                        }
                    });
        } catch (RejectedExecutionException closed) {
            result.completeExceptionally(
                    SesamedeckException.of(
                            ResultCode.UNAVAILABLE,
                            operation + " failed: sender is closed",
                            closed));
        }
        return result;
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
    }

    /** A call that blocks its thread. */
    private interface BlockingCall<T> {
        T run() throws IOException, HttpException;
    }
}
