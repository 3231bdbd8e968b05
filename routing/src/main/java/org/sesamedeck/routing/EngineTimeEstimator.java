package org.sesamedeck.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates prompt tokens, output tokens and engine time of requests, and learns from the usage
 * that engines report. Thread-safe.
 *
 * <p>Engine time is the time that a request occupies an engine, in microseconds: prompt tokens at
 * the prefill cost plus output tokens at the decode cost of a full batch.
 */
public final class EngineTimeEstimator {
    private static final double LEARNING_RATE = 0.05;
    private static final double INITIAL_BYTES_PER_TOKEN = 4.0;
    private static final double TOKENS_PER_TOOL = 60;
    private static final double INITIAL_OUTPUT_TOKENS = 200;
    private static final double INITIAL_PROMPT_MICROS = 50;
    private static final double INITIAL_OUTPUT_MICROS = 220;
    private static final double PLAIN_REQUEST_MICROS = 10_000;
    private static final int MAX_TARGETS = 10_000;

    private final Map<String, TargetEstimate> mTargets = new ConcurrentHashMap<>();

    private EngineTimeEstimator() {}

    /** Returns an estimator that has learned nothing yet. */
    public static EngineTimeEstimator create() {
        return new EngineTimeEstimator();
    }

    /**
     * Estimates the tokens of a prompt.
     *
     * @param promptBytes bytes of the messages
     * @param toolDefinitions number of tool definitions, for each of which a fixed number of tokens
     *     is added
     */
    public long estimatePromptTokens(String target, long promptBytes, int toolDefinitions) {
        double ratio = estimateFor(target).bytesPerToken();
        return Math.max(1, Math.round(promptBytes / ratio + toolDefinitions * TOKENS_PER_TOOL));
    }

    /** Estimates the tokens of a response, at most the caller's limit when that is positive. */
    public long estimateOutputTokens(String target, long callerLimit) {
        long expected = Math.round(estimateFor(target).outputTokens());
        return Math.max(1, callerLimit > 0 ? Math.min(callerLimit, expected) : expected);
    }

    /**
     * Learns from the usage that an engine reported.
     *
     * @param estimatedPromptTokens the earlier result of {@link #estimatePromptTokens}
     */
    public void recordUsage(
            String target,
            long promptBytes,
            long estimatedPromptTokens,
            long promptTokens,
            long outputTokens) {
        if (promptTokens > 0) {
            estimateFor(target)
                    .learn(promptBytes, estimatedPromptTokens, promptTokens, outputTokens);
        }
    }

    /**
     * Learns the engine time of prompt and output tokens, in microseconds per token; a value that
     * is not positive is ignored.
     */
    public void recordCost(String target, double promptMicros, double outputMicros) {
        estimateFor(target).learnCost(promptMicros, outputMicros);
    }

    /** Returns the engine time of a request in microseconds. */
    public double engineMicros(String target, long promptTokens, long outputTokens) {
        TargetEstimate estimate = estimateFor(target);
        return promptTokens * estimate.promptMicros() + outputTokens * estimate.outputMicros();
    }

    /** Returns the engine time of a request in microseconds, also for plain services. */
    public double engineMicros(RequestProfile profile) {
        if (!profile.isModelRequest()) {
            return PLAIN_REQUEST_MICROS;
        }
        return Math.max(
                1,
                engineMicros(
                        profile.target(), profile.promptTokens(), profile.expectedOutputTokens()));
    }

    /** Returns the engine time of a prompt in microseconds. */
    public double promptMicros(RequestProfile profile) {
        if (!profile.isModelRequest()) {
            return PLAIN_REQUEST_MICROS;
        }
        return Math.max(1, profile.promptTokens() * estimateFor(profile.target()).promptMicros());
    }

    /** Returns the mean relative error of prompt estimates, 0 when they are exact. */
    public double promptEstimationError(String target) {
        return estimateFor(target).promptError();
    }

    private TargetEstimate estimateFor(String target) {
        TargetEstimate known = mTargets.get(target);
        if (known != null) {
            return known;
        }
        if (mTargets.size() >= MAX_TARGETS) {
            return new TargetEstimate();
        }
        return mTargets.computeIfAbsent(target, name -> new TargetEstimate());
    }

    /** Running means for one target. */
    private static final class TargetEstimate {
        private volatile double mBytesPerToken = INITIAL_BYTES_PER_TOKEN;
        private volatile double mOutputTokens = INITIAL_OUTPUT_TOKENS;
        private volatile double mPromptError;
        private volatile double mPromptMicros = INITIAL_PROMPT_MICROS;
        private volatile double mOutputMicros = INITIAL_OUTPUT_MICROS;

        synchronized void learn(long bytes, long estimated, long prompt, long output) {
            if (bytes > 0) {
                mBytesPerToken += LEARNING_RATE * ((double) bytes / prompt - mBytesPerToken);
            }
            double error = Math.abs(estimated - prompt) / (double) prompt;
            mPromptError += LEARNING_RATE * (error - mPromptError);
            if (output > 0) {
                mOutputTokens += LEARNING_RATE * (output - mOutputTokens);
            }
        }

        synchronized void learnCost(double promptMicros, double outputMicros) {
            if (promptMicros > 0) {
                // An unnoticed wait can make a sample too high, never too low, so high samples have
                // less weight.
                double rate = promptMicros < mPromptMicros ? LEARNING_RATE : LEARNING_RATE / 10;
                mPromptMicros += rate * (promptMicros - mPromptMicros);
            }
            if (outputMicros > 0) {
                mOutputMicros += LEARNING_RATE * (outputMicros - mOutputMicros);
            }
        }

        double bytesPerToken() {
            return Math.max(0.5, mBytesPerToken);
        }

        double outputTokens() {
            return mOutputTokens;
        }

        double promptError() {
            return mPromptError;
        }

        double promptMicros() {
            return mPromptMicros;
        }

        double outputMicros() {
            return mOutputMicros;
        }
    }
}
