package org.sesamedeck.emulator.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.http.Exchange;
import org.sesamedeck.emulator.http.HttpServer;
import org.sesamedeck.emulator.http.Json;
import org.sesamedeck.emulator.response.ChatRequest;
import org.sesamedeck.emulator.response.ResponseText;
import org.sesamedeck.emulator.response.ServiceResponse;

/** Responds like an entry, with the given faults in order, one for each request. */
final class StubEntry implements AutoCloseable {
    /** Fault of one response. */
    enum Fault {
        NONE,
        END_EARLY,
        REPEAT_EVENT,
        REPEAT_END,
        FOREIGN_RESPONSE,
        BREAK_AFTER_THREE,
        BREAK_BEFORE_RESPONSE,
        STREAM_LOST,
        OVERLOADED,
        OUTCOME_UNKNOWN,
        NOT_ENTITLED
    }

    private final HttpServer mServer = HttpServer.create(SystemClock.create());
    private final HostAddress mAddress;
    private final Deque<Fault> mFaults = new ArrayDeque<>();
    private final Queue<String> mRetryHeaders = new ConcurrentLinkedQueue<>();

    private StubEntry() {
        mAddress = mServer.listen(HostAddress.of("127.0.0.1", 0), this::handleRequest);
    }

    static StubEntry start(Fault... faults) {
        StubEntry entry = new StubEntry();
        entry.mServer.eventLoop().execute(() -> entry.mFaults.addAll(java.util.List.of(faults)));
        return entry;
    }

    HostAddress address() {
        return mAddress;
    }

    /** Returns "Idempotency-Key Last-Event-ID" of each request, oldest first; "-" if absent. */
    Queue<String> retryHeaders() {
        return mRetryHeaders;
    }

    @Override
    public void close() {
        mServer.close();
    }

    private void handleRequest(Exchange exchange) {
        mRetryHeaders.add(
                exchange.header("Idempotency-Key").orElse("-")
                        + " "
                        + exchange.header("Last-Event-ID").orElse("-"));
        Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.poll();
        switch (fault) {
            case STREAM_LOST:
                refuse(exchange, 410, "STREAM_LOST", true);
                break;
            case OVERLOADED:
                refuse(exchange, 503, "OVERLOADED", true);
                break;
            case OUTCOME_UNKNOWN:
                refuse(exchange, 502, "OUTCOME_UNKNOWN", false);
                break;
            case NOT_ENTITLED:
                refuse(exchange, 403, "NOT_ENTITLED", false);
                break;
            case BREAK_BEFORE_RESPONSE:
                exchange.abort();
                break;
            default:
                respond(exchange, fault);
                break;
        }
    }

    private static void refuse(Exchange exchange, int status, String name, boolean isRetryable) {
        ObjectNode body = Json.object();
        body.putObject("error").put("name", name).put("retryable", isRetryable);
        exchange.respond(status, body);
    }

    private static void respond(Exchange exchange, Fault fault) {
        if (exchange.path().startsWith("/services/")) {
            String path = exchange.path().substring("/services/cookbook-app".length());
            String result = ServiceResponse.result("POST", path, exchange.body());
            String fullBody = Json.object().put("result", result).toString();
            boolean isTruncated = fault == Fault.END_EARLY;
            exchange.respond(
                    200,
                    "application/json",
                    isTruncated ? fullBody.substring(0, fullBody.length() / 2) : fullBody);
            return;
        }
        ChatRequest request = ChatRequest.parse(Json.parse(exchange.body()));
        String prompt = request.prompt() + (fault == Fault.FOREIGN_RESPONSE ? "other" : "");
        ResponseText response = ResponseText.of(request.model(), prompt, request.outputTokens());
        int first = exchange.header("Last-Event-ID").map(Integer::parseInt).orElse(0);
        exchange.startStream(200, "text/event-stream");
        int last = fault == Fault.END_EARLY ? response.tokens() - 1 : response.tokens();
        for (int i = first; i < last; i++) {
            exchange.write(event(i + 1, response.token(i)));
            if (fault == Fault.BREAK_AFTER_THREE && i == first + 2) {
                exchange.abort();
                return;
            }
            if (fault == Fault.REPEAT_EVENT && i == first) {
                exchange.write(event(i + 1, response.token(i)));
            }
        }
        exchange.write("data: [DONE]\n\n");
        if (fault == Fault.REPEAT_END) {
            exchange.write("data: [DONE]\n\n");
        }
        exchange.endStream();
    }

    private static String event(int number, String text) {
        ObjectNode data = Json.object();
        data.putArray("choices").addObject().putObject("delta").put("content", text);
        return "id: " + number + "\ndata: " + data + "\n\n";
    }
}
