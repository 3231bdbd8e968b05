package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sesamedeck.emulator.http.Json;

/**
 * Fault injection settings, replaced as a whole from JSON: the next {@code cutNext} connections
 * that have carried {@code cutAfterEvents} events of a stream are closed, the next {@code
 * refuseNext} requests are refused as not executed, and {@code slowFactor} multiplies the duration
 * of each step. An absent field resets its setting to the default. Confined to the event loop.
 */
final class EngineFaults {
    private long mCutNext;
    private int mCutAfterEvents = 1;
    private long mRefuseNext;
    private double mSlowFactor = 1;

    private EngineFaults() {}

    static EngineFaults none() {
        return new EngineFaults();
    }

    void set(JsonNode settings) {
        mCutNext = settings.path("cutNext").asLong(0);
        mCutAfterEvents = settings.path("cutAfterEvents").asInt(1);
        mRefuseNext = settings.path("refuseNext").asLong(0);
        mSlowFactor = settings.path("slowFactor").asDouble(1);
    }

    ObjectNode toJson() {
        return Json.object()
                .put("cutNext", mCutNext)
                .put("cutAfterEvents", mCutAfterEvents)
                .put("refuseNext", mRefuseNext)
                .put("slowFactor", mSlowFactor);
    }

    double slowFactor() {
        return mSlowFactor;
    }

    /** Decides whether to refuse a request; a refusal counts toward {@code refuseNext}. */
    boolean shouldRefuse() {
        if (mRefuseNext > 0) {
            mRefuseNext--;
            return true;
        }
        return false;
    }

    /**
     * Decides whether to close a connection that has carried this many events of a stream; a
     * closure counts toward {@code cutNext}.
     */
    boolean shouldCutConnection(int sentEvents) {
        if (mCutNext > 0 && sentEvents >= mCutAfterEvents) {
            mCutNext--;
            return true;
        }
        return false;
    }
}
