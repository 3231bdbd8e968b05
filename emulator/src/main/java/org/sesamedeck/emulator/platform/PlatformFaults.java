package org.sesamedeck.emulator.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import org.sesamedeck.emulator.http.Json;

/**
 * Fault injection settings, replaced as a whole from JSON. An absent field disables its fault.
 * Confined to the event loop.
 *
 * <ul>
 *   <li>{@code unavailable}: every call is refused with status 503.
 *   <li>{@code delayMillis}: delay before a call is served.
 *   <li>{@code loseAnswersFraction}: fraction of the successful writes whose response is lost.
 *   <li>{@code loseAnswersNext}: number of subsequent successful writes whose response is lost.
 *   <li>{@code staleWatchMillis}: delay of a watch response, which may be outdated by then.
 * </ul>
 */
final class PlatformFaults {
    private static final long RANDOM_SEED = 4001;

    private final Random mRandom = new Random(RANDOM_SEED);
    private boolean mIsUnavailable;
    private long mDelayMillis;
    private double mLoseResponsesFraction;
    private long mLoseResponsesNext;
    private long mStaleWatchMillis;

    private PlatformFaults() {}

    static PlatformFaults none() {
        return new PlatformFaults();
    }

    void set(JsonNode settings) {
        mIsUnavailable = settings.path("unavailable").asBoolean(false);
        mDelayMillis = settings.path("delayMillis").asLong(0);
        mLoseResponsesFraction = settings.path("loseAnswersFraction").asDouble(0);
        mLoseResponsesNext = settings.path("loseAnswersNext").asLong(0);
        mStaleWatchMillis = settings.path("staleWatchMillis").asLong(0);
    }

    ObjectNode toJson() {
        return Json.object()
                .put("unavailable", mIsUnavailable)
                .put("delayMillis", mDelayMillis)
                .put("loseAnswersFraction", mLoseResponsesFraction)
                .put("loseAnswersNext", mLoseResponsesNext)
                .put("staleWatchMillis", mStaleWatchMillis);
    }

    boolean isUnavailable() {
        return mIsUnavailable;
    }

    long delayMillis() {
        return mDelayMillis;
    }

    long staleWatchMillis() {
        return mStaleWatchMillis;
    }

    /**
     * Decides whether to lose the response to a write that took effect; counts down {@code
     * loseAnswersNext}.
     */
    boolean shouldLoseResponse() {
        if (mLoseResponsesNext > 0) {
            mLoseResponsesNext--;
            return true;
        }
        return mLoseResponsesFraction > 0 && mRandom.nextDouble() < mLoseResponsesFraction;
    }
}
