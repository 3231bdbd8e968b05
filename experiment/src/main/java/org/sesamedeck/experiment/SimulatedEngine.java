package org.sesamedeck.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.LoadReport;

/**
 * Simulates the steps of an inference engine with continuous batching, chunked prefill and request
 * priorities.
 */
final class SimulatedEngine {
    private final EventQueue mEvents;
    private final String mName;
    private final TreeSet<EngineJob> mPrefillQueue =
            new TreeSet<>(
                    Comparator.comparingInt(EngineJob::priority)
                            .reversed()
                            .thenComparingLong(EngineJob::sequence));
    private final ArrayDeque<EngineJob> mDecodeQueue = new ArrayDeque<>();
    private List<EngineJob> mRunning = new ArrayList<>();
    private final Map<String, Double> mWorkByPlan = new TreeMap<>();
    private EndpointRole mRole;
    private boolean mIsStepping;
    private boolean mIsDown;

    /** Incremented by each crash, so that a step that was in progress has no effect. */
    private int mGeneration;

    private long mSequence;

    SimulatedEngine(EventQueue events, String name, EndpointRole role) {
        mEvents = events;
        mName = name;
        mRole = role;
    }

    String name() {
        return mName;
    }

    EndpointRole role() {
        return mRole;
    }

    void setRole(EndpointRole role) {
        mRole = role;
    }

    boolean isDown() {
        return mIsDown;
    }

    /** Returns whether the engine accepted the job; an engine that is down rejects it. */
    boolean submit(EngineJob job) {
        if (mIsDown) {
            return false;
        }
        if (job.remainingPromptTokens() > 0) {
            job.setSequence(mSequence++);
            mPrefillQueue.add(job);
        } else {
            mDecodeQueue.add(job);
        }
        step();
        return true;
    }

    /** Crashes the engine and returns the jobs that it lost. */
    List<EngineJob> crash() {
        mIsDown = true;
        mIsStepping = false;
        mGeneration++;
        return removeAllJobs();
    }

    void restart() {
        mIsDown = false;
    }

    /** Removes and returns the running and queued decode jobs, to be continued on other engines. */
    List<EngineJob> removeDecodeJobs() {
        List<EngineJob> removed = new ArrayList<>(mRunning);
        removed.addAll(mDecodeQueue);
        mRunning = new ArrayList<>();
        mDecodeQueue.clear();
        return removed;
    }

    private List<EngineJob> removeAllJobs() {
        List<EngineJob> removed = removeDecodeJobs();
        removed.addAll(mPrefillQueue);
        mPrefillQueue.clear();
        return removed;
    }

    boolean isEmpty() {
        return mPrefillQueue.isEmpty() && mDecodeQueue.isEmpty() && mRunning.isEmpty();
    }

    int requests() {
        return mPrefillQueue.size() + mDecodeQueue.size() + mRunning.size();
    }

    int running() {
        return mRunning.size();
    }

    long queuedPromptTokens() {
        long tokens = 0;
        for (EngineJob job : mPrefillQueue) {
            tokens += job.remainingPromptTokens();
        }
        return tokens;
    }

    LoadReport report() {
        return new LoadReport(
                mPrefillQueue.size() + mDecodeQueue.size(),
                mRunning.size(),
                queuedPromptTokens(),
                (double) mRunning.size() / EngineCostModel.MAX_BATCH_SEQUENCES,
                mEvents.nowNanos());
    }

    /** Returns the engine time that each plan used since the last call, in seconds. */
    Map<String, Double> takeWorkByPlan() {
        Map<String, Double> work = new TreeMap<>(mWorkByPlan);
        mWorkByPlan.clear();
        return work;
    }

    private void step() {
        if (mIsStepping || mIsDown) {
            return;
        }
        while (!mDecodeQueue.isEmpty() && mRunning.size() < EngineCostModel.MAX_BATCH_SEQUENCES) {
            mRunning.add(mDecodeQueue.poll());
        }
        int batch = mRunning.size();
        List<EngineJob> prefillJobs = new ArrayList<>();
        List<Integer> chunkTokens = new ArrayList<>();
        int chunk = fillChunk(chunkLimit(batch), prefillJobs, chunkTokens);
        if (batch == 0 && chunk == 0) {
            return;
        }
        double millis =
                EngineCostModel.STEP_OVERHEAD_MILLIS
                        + EngineCostModel.DECODE_MILLIS_PER_SEQUENCE * batch
                        + EngineCostModel.PREFILL_MILLIS_PER_TOKEN * chunk;
        if (batch > 0 && chunk > 0) {
            millis *= EngineCostModel.MIXED_STEP_SLOWDOWN;
        }
        double nominalMillis =
                EngineCostModel.DECODE_MILLIS_PER_SEQUENCE * batch
                        + EngineCostModel.PREFILL_MILLIS_PER_TOKEN * chunk;
        double secondsPerNominalMilli = millis / nominalMillis / 1e3;
        mIsStepping = true;
        int generation = mGeneration;
        List<EngineJob> decodeJobs = mRunning;
        mEvents.scheduleAfter(
                millis / 1e3,
                () -> {
                    if (generation == mGeneration) {
                        mIsStepping = false;
                        finishStep(decodeJobs, prefillJobs, chunkTokens, secondsPerNominalMilli);
                        step();
                    }
                });
    }

    private int chunkLimit(int batch) {
        if (batch == 0 || mRole == EndpointRole.PREFILL) {
            return EngineCostModel.MAX_CHUNK_TOKENS;
        }
        if (mRole == EndpointRole.DECODE) {
            return EngineCostModel.MIN_CHUNK_TOKENS;
        }
        double remainingMillis =
                EngineCostModel.MIXED_STEP_TARGET_MILLIS / EngineCostModel.MIXED_STEP_SLOWDOWN
                        - EngineCostModel.STEP_OVERHEAD_MILLIS
                        - EngineCostModel.DECODE_MILLIS_PER_SEQUENCE * batch;
        return Math.max(
                EngineCostModel.MIN_CHUNK_TOKENS,
                Math.min(
                        EngineCostModel.MAX_CHUNK_TOKENS,
                        (int) (remainingMillis / EngineCostModel.PREFILL_MILLIS_PER_TOKEN)));
    }

    private int fillChunk(int limit, List<EngineJob> prefillJobs, List<Integer> chunkTokens) {
        int chunk = 0;
        for (EngineJob job : mPrefillQueue) {
            if (chunk >= limit) {
                break;
            }
            int part = Math.min(limit - chunk, job.remainingPromptTokens());
            prefillJobs.add(job);
            chunkTokens.add(part);
            chunk += part;
        }
        return chunk;
    }

    /**
     * Advances the jobs of a step. Each is charged its part of the step's duration: the nominal
     * milliseconds of its tokens times {@code secondsPerNominalMilli}.
     */
    private void finishStep(
            List<EngineJob> decodeJobs,
            List<EngineJob> prefillJobs,
            List<Integer> chunkTokens,
            double secondsPerNominalMilli) {
        List<EngineJob> completed = new ArrayList<>();
        // False if removeDecodeJobs() removed the decode jobs during the step.
        if (decodeJobs == mRunning) {
            List<EngineJob> remaining = new ArrayList<>(decodeJobs.size());
            for (EngineJob job : decodeJobs) {
                addWork(job, secondsPerNominalMilli * EngineCostModel.DECODE_MILLIS_PER_SEQUENCE);
                if (job.produceToken()) {
                    completed.add(job);
                } else {
                    remaining.add(job);
                }
            }
            mRunning = remaining;
        }
        List<EngineJob> started = new ArrayList<>();
        for (int i = 0; i < prefillJobs.size(); i++) {
            EngineJob job = prefillJobs.get(i);
            job.processPrompt(chunkTokens.get(i));
            addWork(
                    job,
                    secondsPerNominalMilli
                            * chunkTokens.get(i)
                            * EngineCostModel.PREFILL_MILLIS_PER_TOKEN);
            if (job.remainingPromptTokens() == 0) {
                mPrefillQueue.remove(job);
                boolean isComplete = job.produceToken();
                started.add(job);
                if (isComplete) {
                    completed.add(job);
                } else if (!job.isPrefillOnly()) {
                    mDecodeQueue.add(job);
                }
            }
        }
        for (EngineJob job : started) {
            job.request().firstToken(job);
        }
        for (EngineJob job : completed) {
            job.request().completed(job);
        }
    }

    private void addWork(EngineJob job, double seconds) {
        mWorkByPlan.merge(job.request().traceRequest().plan().name(), seconds, Double::sum);
    }
}
