package org.sesamedeck.emulator.engine;

import org.sesamedeck.emulator.response.ChatRequest;
import org.sesamedeck.emulator.response.ResponseText;

/** Scheduling state of one request in the engine. Confined to the event loop. */
final class Sequence {
    private final String mRequestId;
    private final ChatRequest mRequest;
    private final ResponseText mResponse;
    private final int mPriority;
    private final long mDeadlineNanos;
    private final long mArrivalNumber;
    private final int mFirstTokenIndex;
    private final int mPromptTokens;
    private SequenceState mState = SequenceState.QUEUED;
    private boolean mIsStarted;
    private boolean mHasImportedCache;
    private int mCachedTokens;
    private int mRemainingPrefillTokens;
    private int mGeneratedTokens;

    private Sequence(
            String requestId,
            ChatRequest request,
            int priority,
            long deadlineNanos,
            long arrivalNumber) {
        mRequestId = requestId;
        mRequest = request;
        mResponse = request.response();
        mPriority = priority;
        mDeadlineNanos = deadlineNanos;
        mArrivalNumber = arrivalNumber;
        mFirstTokenIndex = request.continueFrom().length() / ResponseText.TOKEN_BYTES;
        // Text that another engine has already generated is prefilled like a part of the prompt.
        mPromptTokens = request.promptTokens() + mFirstTokenIndex;
    }

    static Sequence of(
            String requestId,
            ChatRequest request,
            int priority,
            long deadlineNanos,
            long arrivalNumber) {
        return new Sequence(requestId, request, priority, deadlineNanos, arrivalNumber);
    }

    String requestId() {
        return mRequestId;
    }

    ChatRequest request() {
        return mRequest;
    }

    ResponseText response() {
        return mResponse;
    }

    int priority() {
        return mPriority;
    }

    long arrivalNumber() {
        return mArrivalNumber;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    SequenceState state() {
        return mState;
    }

    void setState(SequenceState state) {
        mState = state;
    }

    /** Returns whether the engine has started to process the sequence. */
    boolean isStarted() {
        return mIsStarted;
    }

    boolean isFinished() {
        return mState.compareTo(SequenceState.DONE) >= 0;
    }

    int promptTokens() {
        return mPromptTokens;
    }

    int cachedTokens() {
        return mCachedTokens;
    }

    /** Returns the maximum number of tokens that the sequence occupies in the KV cache. */
    int kvCacheTokens() {
        return mPromptTokens + tokensToGenerate();
    }

    /** Returns the number of tokens that this engine has to generate for the request. */
    int tokensToGenerate() {
        int remainingTokens = mResponse.tokens() - mFirstTokenIndex;
        return mRequest.isPrefillOnly() ? Math.min(1, remainingTokens) : remainingTokens;
    }

    void markCacheImported() {
        mHasImportedCache = true;
    }

    void startPrefill(int cachedTokens) {
        mState = SequenceState.PREFILL;
        mIsStarted = true;
        mCachedTokens = mHasImportedCache ? mPromptTokens : Math.min(cachedTokens, mPromptTokens);
        mRemainingPrefillTokens = Math.max(1, mPromptTokens - mCachedTokens);
    }

    int remainingPrefillTokens() {
        return mRemainingPrefillTokens;
    }

    void recordPrefill(int tokens) {
        mRemainingPrefillTokens -= tokens;
    }

    /** Generates one token and returns whether it is the last one. */
    boolean generateToken() {
        mGeneratedTokens++;
        return mGeneratedTokens >= tokensToGenerate();
    }

    /** Returns the number of tokens generated so far; each token is one event. */
    int generatedTokens() {
        return mGeneratedTokens;
    }

    /**
     * Returns the text of an event; event numbers start at 1. If the delivered text ends within a
     * token, the first event holds only the remaining characters of that token.
     */
    String eventText(int event) {
        String token = mResponse.token(mFirstTokenIndex + event - 1);
        int deliveredTokenCharacters = mRequest.continueFrom().length() % ResponseText.TOKEN_BYTES;
        return event == 1 ? token.substring(deliveredTokenCharacters) : token;
    }

    /** Returns the text that this engine has generated so far. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= mGeneratedTokens; event++) {
            text.append(eventText(event));
        }
        return text.toString();
    }
}
