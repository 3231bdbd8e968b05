package org.sesamedeck.experiment;

/** A request, or one phase of it, on a simulated engine. */
final class EngineJob {
    private final SimulatedRequest mRequest;
    private final boolean mIsPrefillOnly;
    private int mRemainingPromptTokens;
    private int mRemainingOutputTokens;
    private long mSequence;

    private EngineJob(
            SimulatedRequest request,
            boolean isPrefillOnly,
            int remainingPromptTokens,
            int remainingOutputTokens) {
        mRequest = request;
        mIsPrefillOnly = isPrefillOnly;
        mRemainingPromptTokens = remainingPromptTokens;
        mRemainingOutputTokens = remainingOutputTokens;
    }

    /**
     * Creates a job for the prompt and the response, or for the prompt and the first token only.
     */
    static EngineJob fromPrompt(
            SimulatedRequest request, boolean isPrefillOnly, int promptTokens, int outputTokens) {
        return new EngineJob(request, isPrefillOnly, promptTokens, outputTokens);
    }

    /** Creates a job that continues a response from an imported KV cache. */
    static EngineJob fromKvCache(SimulatedRequest request, int outputTokens) {
        return new EngineJob(request, false, 0, outputTokens);
    }

    SimulatedRequest request() {
        return mRequest;
    }

    int priority() {
        return mRequest.traceRequest().plan().priority();
    }

    long sequence() {
        return mSequence;
    }

    void setSequence(long sequence) {
        mSequence = sequence;
    }

    boolean isPrefillOnly() {
        return mIsPrefillOnly;
    }

    int remainingPromptTokens() {
        return mRemainingPromptTokens;
    }

    void processPrompt(int tokens) {
        mRemainingPromptTokens -= tokens;
    }

    int remainingOutputTokens() {
        return mRemainingOutputTokens;
    }

    /** Produces one token and returns whether the response is complete. */
    boolean produceToken() {
        mRemainingOutputTokens--;
        return mRemainingOutputTokens <= 0;
    }
}
