package org.sesamedeck.emulator.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.emulator.http.Json;

/**
 * Record of the executed calls with their request and operation. If a file is given, a call is
 * written to it before the response is sent, so that the ledger survives a kill of the process.
 * Confined to the event loop.
 */
final class CallLedger {
    private static final int MAX_RETAINED_CALLS = 50_000;

    private final Deque<ExecutedCall> mCalls = new ArrayDeque<>();
    private final Optional<Path> mFile;
    private long mTotal;

    private CallLedger(Optional<Path> file) {
        mFile = file;
    }

    /** Returns a ledger that starts with the calls recorded in the file, if it exists. */
    static CallLedger create(Optional<Path> file) {
        CallLedger ledger = new CallLedger(file);
        file.filter(Files::exists).ifPresent(ledger::read);
        return ledger;
    }

    private void read(Path file) {
        try {
            for (String line : Files.readAllLines(file)) {
                JsonNode executedCall = Json.parse(line);
                retain(
                        new ExecutedCall(
                                executedCall.path("requestId").asText(),
                                executedCall.path("operation").asText(),
                                executedCall.path("call").asText()));
            }
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot read the ledger " + file, failure);
        }
    }

    private static ObjectNode toJson(ExecutedCall executedCall) {
        return Json.object()
                .put("requestId", executedCall.requestId())
                .put("operation", executedCall.operation())
                .put("call", executedCall.call());
    }

    void add(String requestId, String operation, String call) {
        ExecutedCall executedCall = new ExecutedCall(requestId, operation, call);
        if (mFile.isPresent()) {
            try {
                Files.writeString(
                        mFile.get(),
                        toJson(executedCall) + "\n",
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            } catch (IOException failure) {
                throw new UncheckedIOException("cannot write the ledger " + mFile.get(), failure);
            }
        }
        retain(executedCall);
    }

    private void retain(ExecutedCall executedCall) {
        mTotal++;
        mCalls.add(executedCall);
        if (mCalls.size() > MAX_RETAINED_CALLS) {
            mCalls.poll();
        }
    }

    /**
     * Returns the total number of calls, the retained calls, oldest first, and their number for
     * each operation.
     */
    ObjectNode toJson() {
        ObjectNode json = Json.object().put("total", mTotal);
        ArrayNode runs = json.putArray("runs");
        Map<String, Integer> operations = new LinkedHashMap<>();
        for (ExecutedCall executedCall : mCalls) {
            runs.add(toJson(executedCall));
            if (!executedCall.operation().isEmpty()) {
                operations.merge(executedCall.operation(), 1, Integer::sum);
            }
        }
        ObjectNode counts = json.putObject("operations");
        operations.forEach(counts::put);
        return json;
    }

    private record ExecutedCall(String requestId, String operation, String call) {}
}
