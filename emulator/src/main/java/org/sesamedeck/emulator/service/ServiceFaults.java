package org.sesamedeck.emulator.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sesamedeck.emulator.http.Json;

/**
 * Fault injection settings, replaced as a whole from JSON. Each is the number of subsequent calls
 * that it affects and counts down with each of them: {@code closeBeforeNext} (connection closed
 * without executing the call), {@code closeAfterNext} (call executed, then connection closed),
 * {@code refuseNext} (503 with X-Not-Executed). Confined to the event loop.
 */
final class ServiceFaults {
    private long mCloseBeforeNext;
    private long mCloseAfterNext;
    private long mRefuseNext;

    private ServiceFaults() {}

    static ServiceFaults none() {
        return new ServiceFaults();
    }

    void set(JsonNode settings) {
        mCloseBeforeNext = settings.path("closeBeforeNext").asLong(0);
        mCloseAfterNext = settings.path("closeAfterNext").asLong(0);
        mRefuseNext = settings.path("refuseNext").asLong(0);
    }

    ObjectNode toJson() {
        return Json.object()
                .put("closeBeforeNext", mCloseBeforeNext)
                .put("closeAfterNext", mCloseAfterNext)
                .put("refuseNext", mRefuseNext);
    }

    boolean shouldCloseBeforeExecution() {
        return mCloseBeforeNext > 0 && mCloseBeforeNext-- > 0;
    }

    boolean shouldCloseAfterExecution() {
        return mCloseAfterNext > 0 && mCloseAfterNext-- > 0;
    }

    boolean shouldRefuse() {
        return mRefuseNext > 0 && mRefuseNext-- > 0;
    }
}
