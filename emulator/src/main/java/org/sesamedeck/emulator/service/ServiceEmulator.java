package org.sesamedeck.emulator.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.emulator.http.Exchange;
import org.sesamedeck.emulator.http.HttpServer;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ServiceResponse;

/** Emulated plain service (not an engine) that executes each call after a delay and records it. */
public final class ServiceEmulator implements AutoCloseable {
    private final String mName;
    private final HttpServer mServer;
    private final Duration mDelay;
    private final int mMaxConcurrentCalls;
    private final ServiceFaults mFaults = ServiceFaults.none();
    private final CallLedger mLedger;
    private HostAddress mAddress;
    private boolean mIsDraining;
    private int mRunningCalls;

    private ServiceEmulator(
            String name,
            HttpServer server,
            Duration delay,
            int maxConcurrentCalls,
            Optional<Path> ledgerFile) {
        mName = name;
        mServer = server;
        mDelay = delay;
        mMaxConcurrentCalls = maxConcurrentCalls;
        mLedger = CallLedger.create(ledgerFile);
    }

    /** Starts a service with an in-memory ledger; port 0 selects a free port. */
    public static ServiceEmulator start(
            String name, HostAddress listen, Clock clock, Duration delay, int maxConcurrentCalls) {
        return start(name, listen, clock, delay, maxConcurrentCalls, Optional.empty());
    }

    /** Starts a service whose ledger is stored in a file, if one is given. */
    public static ServiceEmulator start(
            String name,
            HostAddress listen,
            Clock clock,
            Duration delay,
            int maxConcurrentCalls,
            Optional<Path> ledgerFile) {
        HttpServer server = HttpServer.create(clock);
        ServiceEmulator service =
                new ServiceEmulator(name, server, delay, maxConcurrentCalls, ledgerFile);
        service.mAddress = server.listen(listen, service::handle);
        return service;
    }

    /** Returns the address on which the service listens. */
    public HostAddress address() {
        return mAddress;
    }

    @Override
    public void close() {
        mServer.close();
    }

    private void handle(Exchange exchange) {
        exchange.withHeader(
                "X-Load",
                "queued=0;running=" + mRunningCalls + ";prompt-tokens=0;kv=0;age-millis=0");
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /v1/load":
                exchange.respond(
                        200,
                        Json.object()
                                .put("queued", 0)
                                .put("running", mRunningCalls)
                                .put("ageMillis", 0));
                break;
            case "GET /v1/state":
                exchange.respond(
                        200, Json.object().put("name", mName).put("draining", mIsDraining));
                break;
            case "GET /emulator/ledger":
                exchange.respond(200, mLedger.toJson());
                break;
            case "PUT /emulator/drain":
                mIsDraining = Json.parse(exchange.body()).path("draining").asBoolean(true);
                exchange.respondEmpty(204);
                break;
            case "PUT /emulator/faults":
                mFaults.set(Json.parse(exchange.body()));
                exchange.respond(200, mFaults.toJson());
                break;
            default:
                handleCall(exchange);
                break;
        }
    }

    private void handleCall(Exchange exchange) {
        if (mIsDraining || mRunningCalls >= mMaxConcurrentCalls || mFaults.shouldRefuse()) {
            exchange.withHeader("Retry-After", 1)
                    .withHeader("X-Not-Executed", true)
                    .respondError(503, "NOT_EXECUTED", "the service takes no calls");
        } else if (mFaults.shouldCloseBeforeExecution()) {
            exchange.abort();
        } else {
            mRunningCalls++;
            exchange.eventLoop()
                    .schedule(() -> execute(exchange), mDelay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void execute(Exchange exchange) {
        mRunningCalls--;
        String operation = operation(exchange.body());
        mLedger.add(
                exchange.header("X-Request-Id").orElse(""),
                operation,
                exchange.method() + " " + exchange.uri());
        if (mFaults.shouldCloseAfterExecution()) {
            exchange.abort();
            return;
        }
        ObjectNode response =
                Json.object()
                        .put("service", mName)
                        .put("operation", operation)
                        .put(
                                "result",
                                ServiceResponse.result(
                                        exchange.method(), exchange.uri(), exchange.body()));
        exchange.respond(200, response);
    }

    /** Returns the identifier of the operation in a JSON body; empty if there is none. */
    private static String operation(String body) {
        if (!body.startsWith("{")) {
            return "";
        }
        try {
            return Json.parse(body).path("operation").asText("");
        } catch (IllegalArgumentException notJson) {
            return "";
        }
    }
}
