package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.sesamedeck.emulator.http.Json;

/** Record of the requests that ran on the engine, read by tests. Confined to the event loop. */
final class RunLedger {
    // Limits the memory use: a finished run takes about 300 bytes without its prompt.
    private static final int MAX_FINISHED_RUNS = 20_000;

    private final Set<Sequence> mRunning = new LinkedHashSet<>();
    private final Deque<ObjectNode> mFinished = new ArrayDeque<>();
    private long mTotal;
    private long mAttempts;

    private RunLedger() {}

    static RunLedger create() {
        return new RunLedger();
    }

    /** Counts a received request, whether it runs or is refused. */
    void countAttempt() {
        mAttempts++;
    }

    void add(Sequence sequence) {
        if (mRunning.add(sequence)) {
            mTotal++;
        }
    }

    void recordFinish(Sequence sequence) {
        if (mRunning.remove(sequence)) {
            mFinished.add(toJson(sequence));
            if (mFinished.size() > MAX_FINISHED_RUNS) {
                mFinished.poll();
            }
        }
    }

    /**
     * Returns the numbers of runs and attempts, and as {@code runs} the last finished runs in the
     * order in which they finished, then the running ones.
     */
    ObjectNode toJson() {
        ObjectNode json = Json.object().put("total", mTotal).put("attempts", mAttempts);
        ArrayNode runs = json.putArray("runs");
        mFinished.forEach(runs::add);
        mRunning.forEach(sequence -> runs.add(toJson(sequence)));
        return json;
    }

    private static ObjectNode toJson(Sequence run) {
        ObjectNode entry =
                Json.object()
                        .put("requestId", run.requestId())
                        .put("seed", Long.toHexString(run.response().seed()))
                        .put("promptTokens", run.promptTokens())
                        .put("cachedTokens", run.cachedTokens())
                        .put("generated", run.generatedTokens())
                        .put("deliveredBefore", run.request().continueFrom().length())
                        .put("prefillOnly", run.request().isPrefillOnly())
                        .put("state", run.state().name());
        run.request().operation().ifPresent(value -> entry.put("operation", value));
        return entry;
    }
}
