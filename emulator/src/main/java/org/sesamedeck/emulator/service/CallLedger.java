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
 * Record of the executed calls by request and by operation. If a file is given, a call is written
 * to it before the response is sent, so that the ledger survives a kill of the process. Confined to
 * the event loop.
 */
final class CallLedger {
    private static final int MAX_RETAINED_RUNS = 50_000;

    private final Deque<Run> mRuns = new ArrayDeque<>();
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
                JsonNode run = Json.parse(line);
                retain(
                        new Run(
                                run.path("requestId").asText(),
                                run.path("operation").asText(),
                                run.path("call").asText()));
            }
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot read the ledger " + file, failure);
        }
    }

    private static ObjectNode toJson(Run run) {
        return Json.object()
                .put("requestId", run.requestId())
                .put("operation", run.operation())
                .put("call", run.call());
    }

    void add(String requestId, String operation, String call) {
        Run run = new Run(requestId, operation, call);
        if (mFile.isPresent()) {
            try {
                Files.writeString(
                        mFile.get(),
                        toJson(run) + "\n",
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            } catch (IOException failure) {
                throw new UncheckedIOException("cannot write the ledger " + mFile.get(), failure);
            }
        }
        retain(run);
    }

    private void retain(Run run) {
        mTotal++;
        mRuns.add(run);
        if (mRuns.size() > MAX_RETAINED_RUNS) {
            mRuns.poll();
        }
    }

    /** Returns the runs, oldest first, and the number of runs of each operation. */
    ObjectNode toJson() {
        ObjectNode json = Json.object().put("total", mTotal);
        ArrayNode runs = json.putArray("runs");
        Map<String, Integer> operations = new LinkedHashMap<>();
        for (Run run : mRuns) {
            runs.add(toJson(run));
            if (!run.operation().isEmpty()) {
                operations.merge(run.operation(), 1, Integer::sum);
            }
        }
        ObjectNode counts = json.putObject("operations");
        operations.forEach(counts::put);
        return json;
    }

    private record Run(String requestId, String operation, String call) {}
}
