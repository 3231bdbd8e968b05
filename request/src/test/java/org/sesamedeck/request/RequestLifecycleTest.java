package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.RequestPhase;

class RequestLifecycleTest {
    private final RequestFixture mFixture = new RequestFixture(false).configure();
    private final RecordingPort mPort = new RecordingPort();

    /** Guards against a second run after a response was lost in transit. */
    @Test
    void requestThatMayHaveRunIsNotRetried() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against a missing retry although the endpoint states that the request did not run. */
    @Test
    void rejectedRequestIsRetriedAtAnotherEndpoint() {
        mFixture.start(RequestKind.ONCE, mPort);
        rejectLastCall();
        assertThat(mPort.calls(), hasSize(2));
        assertThat(
                mPort.calls().get(1).endpoint().name(),
                not(mPort.calls().get(0).endpoint().name()));
    }

    /**
     * Guards against unlimited retries when all endpoints reject, and against reporting an unknown
     * outcome for a request that no endpoint ran.
     */
    @Test
    void requestRejectedByAllTriedEndpointsIsRefusedAsNotRun() {
        mFixture.start(RequestKind.ONCE, mPort);
        while (mPort.outcomes() == 0) {
            rejectLastCall();
        }
        assertThat(mPort.calls(), hasSize(RetryPolicy.MAX_REJECTIONS + 1));
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.OVERLOADED)));
        assertThat(mPort.errorResponse().flatMap(ErrorResponse::retryAfter).isPresent(), is(true));
    }

    /** Guards against counting an unreachable endpoint as a run. */
    @Test
    void unreachableEndpointDoesNotCountAsAttempt() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().listener().notSent("connection refused");
        mPort.lastCall().listener().notSent("connection refused");
        assertThat(mPort.calls(), hasSize(3));
        completeLastCall(200);
        assertThat(mPort.response().map(ResponseHead::status), is(Optional.of(200)));
    }

    /** Guards against relaying a failure although a retry at another endpoint may succeed. */
    @Test
    void repeatableRequestIsRetriedAfterServerError() {
        mFixture.start(RequestKind.REPEATABLE, mPort);
        completeLastCall(500);
        assertThat(mPort.calls(), hasSize(2));
        completeLastCall(500);
        assertThat(mPort.calls(), hasSize(2));
        assertThat(mPort.response().map(ResponseHead::status), is(Optional.of(500)));
    }

    /** Guards against a status that tells the caller "not run" for a request that ran. */
    @Test
    void unavailableWithoutNotRunMarkerIsUnknownOutcome() {
        mFixture.start(RequestKind.ONCE, mPort);
        completeLastCall(503);
        assertThat(mPort.response(), is(Optional.empty()));
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against relaying a response without an endpoint's signature. */
    @Test
    void unsignedSuccessIsNotRelayed() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().listener().headReceived(RequestFixture.unsigned(200));
        mPort.lastCall().listener().body(RequestFixture.bytes("spoiled"));
        mPort.lastCall().listener().ended();
        assertThat(mPort.response(), is(Optional.empty()));
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against lost, duplicate and partial events when a stream resumes elsewhere. */
    @Test
    void brokenStreamResumesAfterLastCompleteEvent() {
        mFixture.start(RequestKind.RESUMABLE_STREAM, mPort);
        beginStream(1, 2);
        mPort.lastCall().listener().body(RequestFixture.bytes("id: 3\ndata: tok"));
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.lastCall().options().lastEvent(), is(OptionalLong.of(2)));
        beginStream(2, 3, 4);
        mPort.lastCall().listener().ended();
        assertThat(mPort.streamedText(), equalTo(events(1, 2, 3, 4)));
        assertThat(mPort.isStreamEnded(), is(true));
    }

    /** Guards against a second run of a stream that must not be resumed. */
    @Test
    void brokenNonResumableStreamIsAborted() {
        mFixture.start(RequestKind.STREAM, mPort);
        beginStream(1);
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(mPort.isAborted(), is(true));
        assertThat(mPort.isStreamEnded(), is(false));
    }

    /** Guards against a stream that ends within an event and appears complete. */
    @Test
    void streamEndingWithinEventIsAborted() {
        mFixture.start(RequestKind.STREAM, mPort);
        beginStream(1);
        mPort.lastCall().listener().body(RequestFixture.bytes("id: 2\nda"));
        mPort.lastCall().listener().ended();
        assertThat(mPort.isStreamEnded(), is(false));
        assertThat(mPort.isAborted(), is(true));
    }

    /** Guards against further work for a caller that has disconnected. */
    @Test
    void callerDisconnectCancelsTheCall() {
        RequestLifecycle lifecycle = mFixture.start(RequestKind.RESUMABLE_STREAM, mPort);
        beginStream(1);
        lifecycle.callerLeft();
        assertThat(mPort.lastCall().isCancelled(), is(true));
        mPort.lastCall().listener().broken("closed");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(mFixture.timers().pendingCount(), is(0));
        assertThat(mFixture.lastTrace().outcome(), is(RequestOutcome.CALLER_LEFT));
    }

    /**
     * Guards against a caller that is answered only after its timeout, and against reporting "not
     * run" for a request that was sent.
     */
    @Test
    void requestWithoutResponseFailsAtItsTimeout() {
        mFixture.start(RequestKind.ONCE, mPort);
        mFixture.timers().advance(RequestFixture.TIMEOUT);
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.DEADLINE_EXCEEDED)));
        assertThat(mPort.lastCall().isCancelled(), is(true));
    }

    /** Guards against reporting an unknown outcome for a request of which no byte was sent. */
    @Test
    void unsentRequestIsRefusedAtItsTimeout() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().setConnected(false);
        mFixture.timers().advance(RequestFixture.TIMEOUT);
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.OVERLOADED)));
    }

    /** Guards against an endpoint that keeps processing after its caller's timeout. */
    @Test
    void retryCarriesRemainingTime() {
        mFixture.start(RequestKind.REPEATABLE, mPort);
        mFixture.timers().advance(Duration.ofSeconds(2));
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.lastCall().options().remainingTime(), is(Duration.ofSeconds(3)));
    }

    /** Guards against a 404 response before a configuration is known. */
    @Test
    void withoutConfigurationEverythingIsRefusedAsNotRun() {
        new RequestFixture(false).start(RequestKind.ONCE, mPort);
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.UNAVAILABLE)));
    }

    /** Guards against sending a request that matches no route to an endpoint. */
    @Test
    void pathWithoutRouteIsNotFound() {
        mFixture.start("/nowhere/", OptionalLong.empty(), mPort);
        assertThat(
                mPort.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.NOT_FOUND)));
        assertThat(mPort.calls(), empty());
    }

    /** Guards against a return to an earlier configuration version. */
    @Test
    void lowerConfigurationVersionIsRejected() {
        assertThat(mFixture.handler().configure(RequestFixture.configuration(3)), is(true));
        assertThat(mFixture.handler().configure(RequestFixture.configuration(2)), is(false));
    }

    /** Guards against a second prefill because the first decode engine rejects the request. */
    @Test
    void processedPromptIsReusedAfterDecodeRejection() {
        RequestFixture fixture = new RequestFixture(true).configure();
        fixture.start(RequestKind.STREAM, mPort);
        assertThat(mPort.lastCall().options().phase(), is(RequestPhase.PREFILL));
        processPrompt();
        rejectLastCall();
        assertThat(mPort.calls(), hasSize(3));
        assertThat(
                mPort.lastCall().options().processedPrompt().map(ProcessedPrompt::handle),
                is(Optional.of("handle")));
        assertThat(mPort.released(), empty());
    }

    /** Guards against KV cache held at an engine for a caller that has disconnected. */
    @Test
    void unusedProcessedPromptIsReleased() {
        RequestFixture fixture = new RequestFixture(true).configure();
        RequestLifecycle lifecycle = fixture.start(RequestKind.STREAM, mPort);
        processPrompt();
        lifecycle.callerLeft();
        assertThat(mPort.released(), hasSize(1));
    }

    private void processPrompt() {
        mPort.lastCall().listener().headReceived(RequestFixture.head(200));
        mPort.lastCall().listener().body(RequestFixture.bytes("handle"));
        mPort.lastCall().listener().ended();
    }

    private void rejectLastCall() {
        CallListener listener = mPort.lastCall().listener();
        listener.headReceived(RequestFixture.notRun());
        listener.ended();
    }

    private void completeLastCall(int status) {
        CallListener listener = mPort.lastCall().listener();
        listener.headReceived(RequestFixture.head(status));
        listener.body(RequestFixture.bytes("body"));
        listener.ended();
    }

    private void beginStream(long... identifiers) {
        CallListener listener = mPort.lastCall().listener();
        listener.headReceived(RequestFixture.head(200));
        for (long identifier : identifiers) {
            listener.body(RequestFixture.event(identifier));
        }
    }

    private static String events(long... identifiers) {
        StringBuilder text = new StringBuilder();
        for (long identifier : identifiers) {
            text.append(new String(RequestFixture.event(identifier)));
        }
        return text.toString();
    }
}
