package org.sesamedeck.emulator.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;

/**
 * Continuous batching: each step generates one token for every decoding sequence and processes at
 * most one chunk of prompt tokens. The results become visible after the simulated duration of the
 * step. Confined to the event loop.
 */
final class BatchScheduler {
    // Timers fire up to a few milliseconds late. To avoid accumulating that delay, a step starts
    // at the computed end of the previous step, but at most this long before the current time.
    private static final long MAX_CATCH_UP_NANOS = 20_000_000L;

    private final EngineSettings mSettings;
    private final Clock mClock;
    private final ScheduledExecutorService mEventLoop;
    private final PrefixCache mCache;
    private final SequenceListener mListener;
    private final PriorityQueue<Sequence> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingInt((Sequence sequence) -> -sequence.priority())
                            .thenComparingLong(Sequence::arrivalNumber));
    private final List<Sequence> mRunning = new ArrayList<>();
    private EngineRole mRole;
    private double mSlowFactor = 1;
    private boolean mIsAdmitting = true;
    private boolean mIsStepInProgress;
    private boolean mFollowsPreviousStep;
    private long mStepEndNanos;
    private int mUsedKvCacheTokens;
    private Runnable mQuiescedTask;

    private BatchScheduler(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService eventLoop,
            PrefixCache cache,
            SequenceListener listener) {
        mSettings = settings;
        mClock = clock;
        mEventLoop = eventLoop;
        mCache = cache;
        mListener = listener;
        mRole = settings.role();
    }

    static BatchScheduler of(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService eventLoop,
            PrefixCache cache,
            SequenceListener listener) {
        return new BatchScheduler(settings, clock, eventLoop, cache, listener);
    }

    EngineRole role() {
        return mRole;
    }

    int queued() {
        return mQueue.size();
    }

    int running() {
        return mRunning.size();
    }

    long pendingPromptTokens() {
        long tokens = 0;
        for (Sequence sequence : mQueue) {
            tokens += sequence.promptTokens();
        }
        for (Sequence sequence : mRunning) {
            tokens += Math.max(0, sequence.remainingPrefillTokens());
        }
        return tokens;
    }

    double kvCacheUsage() {
        return (double) mUsedKvCacheTokens / mSettings.kvTokens();
    }

    void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    void submit(Sequence sequence) {
        mQueue.add(sequence);
        startStep();
    }

    void cancel(Sequence sequence) {
        if (sequence.isFinished()) {
            return;
        }
        mQueue.remove(sequence);
        finish(sequence, SequenceState.CANCELLED);
    }

    /** Refuses all queued sequences and runs the task once no sequence is running any more. */
    void quiesce(Runnable task) {
        mIsAdmitting = false;
        mQuiescedTask = task;
        while (!mQueue.isEmpty()) {
            finish(mQueue.poll(), SequenceState.REFUSED);
        }
        checkQuiesced();
    }

    /** Admits sequences again, in the given role. */
    void resumeAdmission(EngineRole role) {
        mRole = role;
        mIsAdmitting = true;
        startStep();
    }

    private void checkQuiesced() {
        if (mQuiescedTask != null && mRunning.isEmpty()) {
            Runnable task = mQuiescedTask;
            mQuiescedTask = null;
            task.run();
        }
    }

    /**
     * Moves queued sequences to the batch while the batch and the KV cache have room; refuses those
     * whose deadline has passed.
     */
    private void admit() {
        long now = mClock.nanoTime();
        int batchSize = mRole.batchSize(mSettings);
        while (mIsAdmitting && !mQueue.isEmpty() && mRunning.size() < batchSize) {
            Sequence next = mQueue.peek();
            if (next.deadlineNanos() - now < 0) {
                finish(mQueue.poll(), SequenceState.REFUSED);
                continue;
            }
            // A sequence that exceeds the capacity of the KV cache runs alone.
            boolean fits = mUsedKvCacheTokens + next.kvCacheTokens() <= mSettings.kvTokens();
            if (!fits && !mRunning.isEmpty()) {
                return;
            }
            mQueue.poll();
            mRunning.add(next);
            mUsedKvCacheTokens += next.kvCacheTokens();
            next.startPrefill(
                    mCache.cachedTokens(
                            PrefixCache.blockHashes(
                                    next.request().model(), next.request().prompt())));
        }
    }

    /** Admits queued sequences and starts a step, unless a step is in progress. */
    private void startStep() {
        if (mIsStepInProgress) {
            return;
        }
        admit();
        if (mRunning.isEmpty()) {
            mFollowsPreviousStep = false;
            checkQuiesced();
            return;
        }
        int maxPromptTokens = mSettings.promptChunkTokens();
        int promptTokens = 0;
        List<Sequence> decoding = new ArrayList<>();
        List<Sequence> prefilling = new ArrayList<>();
        List<Integer> chunkTokens = new ArrayList<>();
        for (Sequence sequence : mRunning) {
            if (sequence.state() == SequenceState.DECODE) {
                decoding.add(sequence);
            } else if (promptTokens < maxPromptTokens) {
                int chunk =
                        Math.min(maxPromptTokens - promptTokens, sequence.remainingPrefillTokens());
                prefilling.add(sequence);
                chunkTokens.add(chunk);
                promptTokens += chunk;
            }
        }
        long now = mClock.nanoTime();
        long start = mFollowsPreviousStep ? Math.max(mStepEndNanos, now - MAX_CATCH_UP_NANOS) : now;
        mFollowsPreviousStep = true;
        long cost = mRole.stepNanos(mSettings, promptTokens, decoding.size());
        mStepEndNanos = start + Math.round(cost * mSlowFactor);
        mIsStepInProgress = true;
        mEventLoop.schedule(
                () -> finishStep(decoding, prefilling, chunkTokens),
                Math.max(0, mStepEndNanos - now),
                TimeUnit.NANOSECONDS);
    }

    private void finishStep(
            List<Sequence> decoding, List<Sequence> prefilling, List<Integer> chunkTokens) {
        mIsStepInProgress = false;
        for (Sequence sequence : decoding) {
            generateToken(sequence);
        }
        for (int i = 0; i < prefilling.size(); i++) {
            Sequence sequence = prefilling.get(i);
            sequence.recordPrefill(chunkTokens.get(i));
            if (sequence.remainingPrefillTokens() <= 0 && !sequence.isFinished()) {
                mCache.store(
                        PrefixCache.blockHashes(
                                sequence.request().model(), sequence.request().prompt()));
                sequence.setState(SequenceState.DECODE);
                generateToken(sequence);
            }
        }
        startStep();
    }

    private void generateToken(Sequence sequence) {
        if (sequence.isFinished()) {
            return;
        }
        if (sequence.tokensToGenerate() == 0 || sequence.generateToken()) {
            finish(sequence, SequenceState.DONE);
        } else {
            mListener.onProgress(sequence);
        }
    }

    private void finish(Sequence sequence, SequenceState state) {
        if (mRunning.remove(sequence)) {
            mUsedKvCacheTokens -= sequence.kvCacheTokens();
        }
        sequence.setState(state);
        mListener.onProgress(sequence);
        checkQuiesced();
    }
}
