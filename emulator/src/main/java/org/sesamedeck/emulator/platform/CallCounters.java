package org.sesamedeck.emulator.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.sesamedeck.emulator.http.Json;

/** Counts the calls to the platform API. Confined to the event loop. */
final class CallCounters {
    private final Map<String, Long> mByCall = new TreeMap<>();
    private long mReads;
    private long mWrites;
    private long mRateLimited;

    private CallCounters() {}

    static CallCounters create() {
        return new CallCounters();
    }

    void count(boolean isWrite, String call) {
        if (isWrite) {
            mWrites++;
        } else {
            mReads++;
        }
        mByCall.merge(call, 1L, Long::sum);
    }

    void countRateLimited() {
        mRateLimited++;
    }

    ObjectNode toJson(int waitingWatches) {
        ObjectNode json =
                Json.object()
                        .put("reads", mReads)
                        .put("writes", mWrites)
                        .put("rateLimited", mRateLimited)
                        .put("waitingWatches", waitingWatches);
        ObjectNode calls = json.putObject("calls");
        mByCall.forEach(calls::put);
        return json;
    }
}
