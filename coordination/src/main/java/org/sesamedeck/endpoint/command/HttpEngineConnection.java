package org.sesamedeck.endpoint.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** Sends one command over one connected socket. */
final class HttpEngineConnection implements EngineConnection {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final DefaultBHttpClientConnection mConnection;
    private final HostAddress mEngine;
    private final Executor mThreads;

    private HttpEngineConnection(
            DefaultBHttpClientConnection connection, HostAddress engine, Executor threads) {
        mConnection = connection;
        mEngine = engine;
        mThreads = threads;
    }

    static EngineConnection of(
            DefaultBHttpClientConnection connection, HostAddress engine, Executor threads) {
        return new HttpEngineConnection(connection, engine, threads);
    }

    @Override
    public CompletableFuture<CommandReply> send(EngineCommand command) {
        CompletableFuture<CommandReply> result = new CompletableFuture<>();
        try {
            mThreads.execute(
                    () -> {
                        try {
                            result.complete(exchange(command));
                        } catch (SesamedeckException exception) {
                            result.completeExceptionally(exception);
                        } catch (IOException | HttpException | RuntimeException failure) {
                            result.completeExceptionally(outcomeUnknown(command, failure));
                        }
                    });
        } catch (RejectedExecutionException closed) {
            result.completeExceptionally(outcomeUnknown(command, closed));
        }
        return result;
    }

    private CommandReply exchange(EngineCommand command) throws IOException, HttpException {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/v1/commands");
        byte[] body = MAPPER.writeValueAsBytes(command);
        request.setHeader("Host", mEngine.toString());
        request.setHeader("Connection", "close");
        request.setHeader("Content-Type", "application/json");
        request.setHeader("Content-Length", body.length);
        request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        mConnection.sendRequestHeader(request);
        mConnection.sendRequestEntity(request);
        mConnection.flush();
        ClassicHttpResponse response = mConnection.receiveResponseHeader();
        return toReply(command, response.getCode());
    }

    private CommandReply toReply(EngineCommand command, int status) {
        switch (status) {
            case HttpStatus.SC_ACCEPTED:
                return CommandReply.ACCEPTED;
            case HttpStatus.SC_OK:
                return CommandReply.ALREADY_DONE;
            case HttpStatus.SC_CONFLICT:
                return CommandReply.CONFLICT;
            case HttpStatus.SC_REQUEST_TIMEOUT:
            case HttpStatus.SC_TOO_MANY_REQUESTS:
            case HttpStatus.SC_SERVICE_UNAVAILABLE:
                throw SesamedeckException.of(
                        ResultCode.UNAVAILABLE,
                        "engine "
                                + mEngine
                                + " did not accept command "
                                + command.id()
                                + ": status "
                                + status);
            default:
                if (status >= 400 && status < 500) {
                    return CommandReply.REFUSED;
                }
                throw SesamedeckException.of(
                        ResultCode.OUTCOME_UNKNOWN,
                        "engine "
                                + mEngine
                                + " responded with status "
                                + status
                                + " to command "
                                + command.id());
        }
    }

    private SesamedeckException outcomeUnknown(EngineCommand command, Exception failure) {
        return SesamedeckException.of(
                ResultCode.OUTCOME_UNKNOWN,
                "command " + command.id() + " to engine " + mEngine + " failed: " + failure,
                failure);
    }

    @Override
    public void close() {
        mConnection.close(CloseMode.IMMEDIATE);
    }
}
