package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.Execution;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.AdmissionTicket;
import org.sesamedeck.routing.EngineTimeEstimator;
import org.sesamedeck.routing.RequestProfile;

/**
 * Delivers the events of a relay to the caller and, at the end, corrects the admission ticket and
 * completes the claim. Used by the thread that serves the request.
 */
final class ChatDelivery {
    private static final byte[] KEEP_ALIVE = ": waiting\n\n".getBytes(StandardCharsets.UTF_8);

    /** A disconnected caller is detected by a failed write within about this time. */
    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(1);

    private final RelayContext mContext;
    private final EngineTimeEstimator mEstimator;
    private final OpenRequest mOpenRequest;
    private final ChatRequest mRequest;
    private final RequestProfile mProfile;
    private final ChatRelay mRelay;
    private Optional<AdmissionTicket> mTicket = Optional.empty();
    private Optional<ClaimGuard> mGuard = Optional.empty();
    private Optional<RelayEvent> mFirstEvent = Optional.empty();
    private long mLastEventNanos;

    private ChatDelivery(
            RelayContext context,
            EngineTimeEstimator estimator,
            OpenRequest openRequest,
            ChatRequest request,
            RequestProfile profile,
            ChatRelay relay) {
        mContext = context;
        mEstimator = estimator;
        mOpenRequest = openRequest;
        mRequest = request;
        mProfile = profile;
        mRelay = relay;
    }

    static ChatDelivery of(
            RelayContext context,
            EngineTimeEstimator estimator,
            OpenRequest openRequest,
            ChatRequest request,
            RequestProfile profile,
            ChatRelay relay) {
        return new ChatDelivery(context, estimator, openRequest, request, profile, relay);
    }

    void setTicket(AdmissionTicket ticket) {
        mTicket = Optional.of(ticket);
    }

    void setGuard(ClaimGuard guard) {
        mGuard = Optional.of(guard);
    }

    /**
     * Waits up to 1 s for the first event, so that an early failure still sets the HTTP status.
     *
     * @throws CallerException when the request failed within that time
     */
    void awaitFirstEvent() {
        mFirstEvent = next();
    }

    /** Collects the full response. */
    ObjectNode collect() {
        while (true) {
            Optional<RelayEvent> event = next();
            if (event.isPresent() && event.get().isLast()) {
                return mRelay.response().toResponse();
            }
        }
    }

    /** Writes the stream; a failure after its start is sent as its last event. */
    void writeTo(OutputStream output) throws IOException {
        mContext.metrics().streamOpened();
        try {
            relayTo(output);
        } catch (CallerException failure) {
            mOpenRequest.setCode(failure.code());
            output.write(
                    ("data: " + ErrorBody.of(failure, mOpenRequest.id()) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException connectionFailure) {
            mOpenRequest.setCallerDisconnected();
            throw connectionFailure;
        } finally {
            mContext.metrics().streamClosed();
        }
    }

    private void relayTo(OutputStream output) throws IOException {
        Optional<RelayEvent> event = mFirstEvent.isPresent() ? mFirstEvent : next();
        while (true) {
            if (event.isPresent()) {
                output.write(
                        ("id: " + event.get().token() + "\ndata: " + event.get().data() + "\n\n")
                                .getBytes(StandardCharsets.UTF_8));
            } else {
                output.write(KEEP_ALIVE);
            }
            boolean isLast = event.isPresent() && event.get().isLast();
            // Buffered events are flushed together, because each flush costs a system call.
            if (isLast || !mRelay.hasBufferedEvent()) {
                output.flush();
            }
            if (isLast) {
                return;
            }
            event = next();
        }
    }

    private Optional<RelayEvent> next() {
        try {
            Optional<RelayEvent> event = mRelay.next(KEEP_ALIVE_INTERVAL);
            event.ifPresent(this::recordEvent);
            return event;
        } catch (RuntimeException failure) {
            CallerException callerException = CallerException.from(failure);
            endClaim(callerException);
            throw callerException;
        }
    }

    private void endClaim(CallerException failure) {
        if (failure.code() == ResultCode.BAD_REQUEST && failure.execution() != Execution.NO) {
            // The engine has responded, so a repeated request gets the same response.
            byte[] body = ErrorBody.of(failure, mOpenRequest.id()).getBytes(StandardCharsets.UTF_8);
            mGuard.ifPresent(
                    guard ->
                            guard.recordOutcome(
                                    failure.code().httpStatus(), "application/json", body, false));
        } else {
            mGuard.ifPresent(guard -> guard.failed(failure));
        }
    }

    private void recordEvent(RelayEvent event) {
        long nowNanos = mContext.clock().nanoTime();
        if (mLastEventNanos == 0) {
            mTicket.ifPresent(AdmissionTicket::started);
            mContext.metrics().recordFirstToken(nowNanos - mOpenRequest.startNanos());
        } else {
            mContext.metrics().recordTokenInterval(nowNanos - mLastEventNanos);
        }
        mLastEventNanos = nowNanos;
        if (event.isLast()) {
            finish();
        }
    }

    private void finish() {
        ResponseAccumulator response = mRelay.response();
        long prompt = response.promptTokens();
        long output = response.outputTokens();
        mContext.metrics().recordPromptEstimate(mProfile.promptTokens(), prompt);
        mEstimator.recordUsage(
                mRequest.model(), mRequest.messageBytes(), mProfile.promptTokens(), prompt, output);
        mTicket.filter(ticket -> prompt > 0).ifPresent(ticket -> ticket.correct(prompt, output));
        mGuard.ifPresent(
                guard ->
                        guard.recordOutcome(
                                200,
                                "application/json",
                                response.toResponse().toString().getBytes(StandardCharsets.UTF_8),
                                false));
    }
}
