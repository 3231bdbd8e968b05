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

class RequestRunTest {
    private final RequestFixture mFixture = new RequestFixture(false).configure();
    private final RecordingPort mPort = new RecordingPort();

    /** Guards against a second run after an answer was lost on its way. */
    @Test
    void requestThatMayHaveRunIsNotSentAgain() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against giving up although the endpoint states that nothing ran. */
    @Test
    void requestThatWasNotRunIsSentToAnotherEndpoint() {
        mFixture.start(RequestKind.ONCE, mPort);
        rejectLast();
        assertThat(mPort.calls(), hasSize(2));
        assertThat(
                mPort.calls().get(1).endpoint().name(),
                not(mPort.calls().get(0).endpoint().name()));
    }

    /** Guards against endless sending when every endpoint refuses, and against a false answer. */
    @Test
    void requestThatNobodyRunsIsRefusedAsNotRun() {
        mFixture.start(RequestKind.ONCE, mPort);
        while (mPort.ends() == 0) {
            rejectLast();
        }
        assertThat(mPort.calls(), hasSize(RetryPolicy.MAX_REJECTIONS + 1));
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.OVERLOADED)));
        assertThat(mPort.refusal().flatMap(Refusal::retryAfter).isPresent(), is(true));
    }

    /** Guards against counting an endpoint that cannot be reached as a run. */
    @Test
    void unreachableEndpointCostsNoAttempt() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().listener().notSent("connection refused");
        mPort.lastCall().listener().notSent("connection refused");
        assertThat(mPort.calls(), hasSize(3));
        answerLast(200);
        assertThat(mPort.answer().map(AnswerHead::status), is(Optional.of(200)));
    }

    /** Guards against passing a failure on although another endpoint may do better. */
    @Test
    void repeatableRequestIsSentAgainAfterAFailure() {
        mFixture.start(RequestKind.REPEATABLE, mPort);
        answerLast(500);
        assertThat(mPort.calls(), hasSize(2));
        answerLast(500);
        assertThat(mPort.calls(), hasSize(2));
        assertThat(mPort.answer().map(AnswerHead::status), is(Optional.of(500)));
    }

    /** Guards against a status that promises "not run" for a request that ran. */
    @Test
    void unavailableWithoutStatementIsNoRefusal() {
        mFixture.start(RequestKind.ONCE, mPort);
        answerLast(503);
        assertThat(mPort.answer(), is(Optional.empty()));
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against relaying bytes that no endpoint signed. */
    @Test
    void unsignedSuccessIsNotRelayed() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().listener().answered(RequestFixture.unsigned(200));
        mPort.lastCall().listener().body(RequestFixture.bytes("spoiled"));
        mPort.lastCall().listener().ended();
        assertThat(mPort.answer(), is(Optional.empty()));
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against lost, doubled and half events when a stream changes its endpoint. */
    @Test
    void brokenStreamGoesOnAfterItsLastWholeEvent() {
        mFixture.start(RequestKind.RESUMABLE_STREAM, mPort);
        beginStream(1, 2);
        mPort.lastCall().listener().body(RequestFixture.bytes("id: 3\ndata: tok"));
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.lastCall().options().lastEvent(), is(OptionalLong.of(2)));
        beginStream(2, 3, 4);
        mPort.lastCall().listener().ended();
        assertThat(mPort.streamed(), equalTo(events(1, 2, 3, 4)));
        assertThat(mPort.isStreamEnded(), is(true));
    }

    /** Guards against a second run of a stream that may not be resumed. */
    @Test
    void brokenStreamWithoutResumptionIsCutVisibly() {
        mFixture.start(RequestKind.STREAM, mPort);
        beginStream(1);
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(mPort.isAborted(), is(true));
        assertThat(mPort.isStreamEnded(), is(false));
    }

    /** Guards against a stream that ends within an event and looks complete. */
    @Test
    void streamThatEndsWithinAnEventIsNotComplete() {
        mFixture.start(RequestKind.STREAM, mPort);
        beginStream(1);
        mPort.lastCall().listener().body(RequestFixture.bytes("id: 2\nda"));
        mPort.lastCall().listener().ended();
        assertThat(mPort.isStreamEnded(), is(false));
        assertThat(mPort.isAborted(), is(true));
    }

    /** Guards against work for a caller that has gone. */
    @Test
    void callerThatLeavesCancelsTheCall() {
        RequestRun run = mFixture.start(RequestKind.RESUMABLE_STREAM, mPort);
        beginStream(1);
        run.callerLeft();
        assertThat(mPort.lastCall().isCancelled(), is(true));
        mPort.lastCall().listener().broken("closed");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(mFixture.timers().waiting(), is(0));
        assertThat(mFixture.lastTrace().outcome(), is(RequestOutcome.CALLER_LEFT));
    }

    /** Guards against a late final answer, and against calling a sent request not run. */
    @Test
    void unansweredRequestFailsAtItsTimeout() {
        mFixture.start(RequestKind.ONCE, mPort);
        mFixture.timers().advance(RequestFixture.TIMEOUT);
        assertThat(
                mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.DEADLINE_EXCEEDED)));
        assertThat(mPort.lastCall().isCancelled(), is(true));
    }

    /** Guards against an unknown outcome for a request of which no byte has left. */
    @Test
    void requestThatWasNeverSentIsRefusedAtItsTimeout() {
        mFixture.start(RequestKind.ONCE, mPort);
        mPort.lastCall().setConnected(false);
        mFixture.timers().advance(RequestFixture.TIMEOUT);
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.OVERLOADED)));
    }

    /** Guards against an endpoint that works longer than its caller waits. */
    @Test
    void endpointIsToldTheTimeThatIsLeft() {
        mFixture.start(RequestKind.REPEATABLE, mPort);
        mFixture.timers().advance(Duration.ofSeconds(2));
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.lastCall().options().timeLeft(), is(Duration.ofSeconds(3)));
    }

    /** Guards against 404 before a configuration is known. */
    @Test
    void withoutConfigurationEverythingIsRefusedAsNotRun() {
        new RequestFixture(false).start(RequestKind.ONCE, mPort);
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.UNAVAILABLE)));
    }

    /** Guards against serving what no route allows. */
    @Test
    void pathWithoutRouteIsNotFound() {
        mFixture.start("/nowhere/", OptionalLong.empty(), mPort);
        assertThat(mPort.refusal().map(Refusal::code), is(Optional.of(ResultCode.NOT_FOUND)));
        assertThat(mPort.calls(), empty());
    }

    /** Guards against a configuration that goes back. */
    @Test
    void lowerVersionIsNotTaken() {
        assertThat(mFixture.engine().configure(RequestFixture.configuration(3)), is(true));
        assertThat(mFixture.engine().configure(RequestFixture.configuration(2)), is(false));
    }

    /** Guards against processing a prompt twice because the first engine for its answer refuses. */
    @Test
    void processedPromptIsUsedAtAnotherEngineAfterARefusal() {
        RequestFixture fixture = new RequestFixture(true).configure();
        fixture.start(RequestKind.STREAM, mPort);
        assertThat(mPort.lastCall().options().phase(), is(RequestPhase.PREFILL));
        processPrompt();
        rejectLast();
        assertThat(mPort.calls(), hasSize(3));
        assertThat(
                mPort.lastCall().options().processedPrompt().map(ProcessedPrompt::handle),
                is(Optional.of("handle")));
        assertThat(mPort.released(), empty());
    }

    /** Guards against memory kept at an engine for a caller that has gone. */
    @Test
    void processedPromptIsReleasedWhenItIsNotUsed() {
        RequestFixture fixture = new RequestFixture(true).configure();
        RequestRun run = fixture.start(RequestKind.STREAM, mPort);
        processPrompt();
        run.callerLeft();
        assertThat(mPort.released(), hasSize(1));
    }

    private void processPrompt() {
        mPort.lastCall().listener().answered(RequestFixture.head(200));
        mPort.lastCall().listener().body(RequestFixture.bytes("handle"));
        mPort.lastCall().listener().ended();
    }

    private void rejectLast() {
        CallListener listener = mPort.lastCall().listener();
        listener.answered(RequestFixture.notRun());
        listener.ended();
    }

    private void answerLast(int status) {
        CallListener listener = mPort.lastCall().listener();
        listener.answered(RequestFixture.head(status));
        listener.body(RequestFixture.bytes("body"));
        listener.ended();
    }

    private void beginStream(long... identifiers) {
        CallListener listener = mPort.lastCall().listener();
        listener.answered(RequestFixture.head(200));
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
