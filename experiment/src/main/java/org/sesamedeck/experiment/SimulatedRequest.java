package org.sesamedeck.experiment;

import java.util.Set;
import org.sesamedeck.routing.AdmissionTicket;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;

/** Follows one request through its lifecycle in a simulation. */
final class SimulatedRequest {
    private static final double ROUTING_RETRY_DELAY_SECONDS = 0.05;
    private static final int MAX_ROUTING_RETRIES = 40;
    private static final int MAX_ATTEMPTS = 3;

    /** Fixed part of the time to import a KV cache; each prompt token adds to it. */
    private static final double KV_TRANSFER_BASE_SECONDS = 0.005;

    private static final double KV_TRANSFER_SECONDS_PER_TOKEN = 1e-6;

    private final ClusterSimulation mSimulation;
    private final SimulatedEntry mEntry;
    private final TraceRequest mTraceRequest;
    private RequestProfile mProfile;
    private AdmissionTicket mTicket;
    private Assignment mAssignment;
    private int mAttempts = 1;
    private int mRoutingRetries;
    private long mFirstTokenNanos = -1;
    private int mDeliveredTokens;

    SimulatedRequest(
            ClusterSimulation simulation, SimulatedEntry entry, TraceRequest traceRequest) {
        mSimulation = simulation;
        mEntry = entry;
        mTraceRequest = traceRequest;
    }

    TraceRequest traceRequest() {
        return mTraceRequest;
    }

    void start() {
        mProfile = mEntry.profile(mTraceRequest);
        mEntry.admission()
                .submit(mProfile)
                .whenComplete(
                        (ticket, failure) -> {
                            if (failure != null) {
                                mSimulation.metrics().refused(mTraceRequest);
                            } else {
                                mTicket = ticket;
                                mSimulation.metrics().accepted(mTraceRequest);
                                sendPrefill();
                            }
                        });
    }

    private void sendPrefill() {
        mEntry.router()
                .choosePhase(mProfile, RequestPhase.PREFILL, Set.of())
                .ifPresentOrElse(
                        assignment -> {
                            mAssignment = assignment;
                            boolean isPrefillOnly =
                                    assignment.endpoint().role() == EndpointRole.PREFILL;
                            send(
                                    EngineJob.fromPrompt(
                                            this,
                                            isPrefillOnly,
                                            mTraceRequest.promptTokens() + mDeliveredTokens,
                                            mTraceRequest.outputTokens() - mDeliveredTokens));
                        },
                        () -> retryRouting(this::sendPrefill));
    }

    private void sendDecode() {
        mEntry.router()
                .choosePhase(mProfile, RequestPhase.DECODE, Set.of())
                .ifPresentOrElse(
                        assignment -> {
                            mAssignment = assignment;
                            send(
                                    EngineJob.fromKvCache(
                                            this, mTraceRequest.outputTokens() - mDeliveredTokens));
                        },
                        () -> retryRouting(this::sendDecode));
    }

    private void retryRouting(Runnable attempt) {
        if (++mRoutingRetries > MAX_ROUTING_RETRIES) {
            fail();
        } else {
            mSimulation.events().scheduleAfter(ROUTING_RETRY_DELAY_SECONDS, attempt);
        }
    }

    private void send(EngineJob job) {
        SimulatedEngine engine = mSimulation.engine(mAssignment.endpoint().name());
        if (!engine.submit(job)) {
            retry();
        }
    }

    private void retry() {
        mAssignment.failed(java.util.Optional.empty());
        mAssignment.close();
        if (++mAttempts > MAX_ATTEMPTS || !mEntry.tryRetry()) {
            fail();
        } else {
            sendPrefill();
        }
    }

    private void fail() {
        mTicket.close();
        mSimulation.metrics().failed(mTraceRequest);
    }

    /**
     * Called when an engine has processed the prompt and produced the first token of its response.
     */
    void firstToken(EngineJob job) {
        if (mFirstTokenNanos < 0) {
            mFirstTokenNanos = mSimulation.events().nowNanos();
        }
        mAssignment.firstToken();
        mTicket.started();
        // After the prefill, the KV cache is transferred and a decode engine continues the
        // response.
        if (job.isPrefillOnly() && job.remainingOutputTokens() > 0) {
            mDeliveredTokens = mTraceRequest.outputTokens() - job.remainingOutputTokens();
            mEntry.deliverReport(mAssignment.endpoint().name());
            mAssignment.succeeded(mTraceRequest.promptTokens(), 1);
            mAssignment.close();
            mSimulation.events().scheduleAfter(kvTransferSeconds(), this::sendDecode);
        }
    }

    private double kvTransferSeconds() {
        return KV_TRANSFER_BASE_SECONDS
                + mTraceRequest.promptTokens() * KV_TRANSFER_SECONDS_PER_TOKEN;
    }

    /** Called when the response is complete. */
    void completed(EngineJob job) {
        long now = mSimulation.events().nowNanos();
        mEntry.deliverReport(mAssignment.endpoint().name());
        mAssignment.succeeded(mTraceRequest.promptTokens(), mTraceRequest.outputTokens());
        mAssignment.close();
        mTicket.correct(mTraceRequest.promptTokens(), mTraceRequest.outputTokens());
        mTicket.close();
        double tokenIntervalNanos =
                mTraceRequest.outputTokens() <= 1
                        ? 0
                        : (now - mFirstTokenNanos) / (double) (mTraceRequest.outputTokens() - 1);
        mSimulation.metrics().completed(mTraceRequest, mFirstTokenNanos, tokenIntervalNanos);
    }

    /**
     * Called when the engine crashed. Another engine continues the response after the tokens that
     * were delivered.
     */
    void engineCrashed(EngineJob job) {
        mDeliveredTokens = mTraceRequest.outputTokens() - job.remainingOutputTokens();
        retry();
    }

    /** Called when a planned role change migrates the response with its KV cache. */
    void migrated(EngineJob job) {
        mDeliveredTokens = mTraceRequest.outputTokens() - job.remainingOutputTokens();
        mAssignment.succeeded(mTraceRequest.promptTokens(), 0);
        mAssignment.close();
        mSimulation.events().scheduleAfter(kvTransferSeconds(), this::sendDecode);
    }
}
