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
import org.sesamedeck.routing.EndpointSigns;
import org.sesamedeck.routing.RequestPhase;

/** Requests whose endpoints state that they leave or want no requests for some time. */
class EndpointSignsTest {
    private static final EndpointSigns LEAVING =
            new EndpointSigns(true, Optional.empty(), Optional.empty());
    private static final EndpointSigns HOLD =
            new EndpointSigns(false, Optional.of(Duration.ofSeconds(3)), Optional.empty());

    private RequestFixture mFixture = new RequestFixture(false).configure();

    private static ResponseHead head(int status, boolean notRun, EndpointSigns signs) {
        return new ResponseHead(status, notRun, false, !notRun, false, signs, "head");
    }

    private RecordingPort start(RequestKind kind) {
        RecordingPort port = new RecordingPort();
        mFixture.start(kind, port);
        return port;
    }

    private static void answer(RecordingPort port, ResponseHead head) {
        CallListener listener = port.lastCall().listener();
        listener.headReceived(head);
        listener.ended();
    }

    private void assertNotCalled(RequestKind kind, String endpoint) {
        for (int i = 0; i < 40; i++) {
            RecordingPort port = start(kind);
            while (port.outcomes() == 0) {
                assertThat(port.lastCall().endpoint().name(), is(not(endpoint)));
                answer(port, RequestFixture.notRun());
            }
        }
    }

    /** Guards against requests to an endpoint whose successful answer states that it leaves. */
    @Test
    void answerExcludesALeavingEndpoint() {
        RecordingPort port = start(RequestKind.ONCE);
        String endpoint = port.lastCall().endpoint().name();
        answer(port, head(200, false, LEAVING));
        assertThat(port.response().map(ResponseHead::status), is(Optional.of(200)));
        assertNotCalled(RequestKind.ONCE, endpoint);
    }

    /** Guards against a stream that resumes at the endpoint that states in its head to leave. */
    @Test
    void resumedStreamAvoidsALeavingEndpoint() {
        RecordingPort port = start(RequestKind.RESUMABLE_STREAM);
        String endpoint = port.lastCall().endpoint().name();
        port.lastCall().listener().headReceived(head(200, false, LEAVING));
        port.lastCall().listener().body(RequestFixture.event(1));
        port.lastCall().listener().broken("reset");
        assertThat(port.calls(), hasSize(2));
        assertThat(port.lastCall().endpoint().name(), is(not(endpoint)));
        assertNotCalled(RequestKind.RESUMABLE_STREAM, endpoint);
    }

    /** Guards against further prompts at an engine that leaves as its answer to a prompt says. */
    @Test
    void promptAnswerExcludesALeavingEngine() {
        mFixture = new RequestFixture(true).configure();
        RecordingPort port = new RecordingPort();
        mFixture.start(
                RequestFixture.path(RequestKind.RESUMABLE_STREAM) + "x",
                OptionalLong.empty(),
                port);
        assertThat(port.lastCall().options().phase(), is(RequestPhase.PREFILL));
        String engine = port.lastCall().endpoint().name();
        port.lastCall().listener().headReceived(head(200, false, LEAVING));
        port.lastCall().listener().body(RequestFixture.bytes("handle"));
        port.lastCall().listener().ended();
        assertThat(port.lastCall().options().phase(), is(RequestPhase.DECODE));
        assertNotCalled(RequestKind.RESUMABLE_STREAM, engine);
    }

    /** Guards against sending a request on a connection that was being established meanwhile. */
    @Test
    void requestThatIsNotSentYetIsSentElsewhere() {
        RecordingPort first = start(RequestKind.ONCE);
        String endpoint = first.lastCall().endpoint().name();
        RecordingPort waiting = start(RequestKind.ONCE);
        while (!waiting.lastCall().endpoint().name().equals(endpoint)) {
            waiting = start(RequestKind.ONCE);
        }
        assertThat(waiting.lastCall().listener().maySend(), is(true));
        answer(first, head(200, false, LEAVING));
        assertThat(waiting.lastCall().listener().maySend(), is(false));
        waiting.lastCall().listener().notSent("the endpoint wants no requests");
        assertThat(waiting.lastCall().endpoint().name(), is(not(endpoint)));
        assertThat(waiting.lastCall().listener().maySend(), is(true));
    }

    /** Guards against requests during a hold, whether the refused request has run or not. */
    @Test
    void holdAppliesWhetherTheRequestHasRunOrNot() {
        for (boolean notRun : new boolean[] {true, false}) {
            mFixture = new RequestFixture(false).configure();
            RecordingPort port = start(RequestKind.ONCE);
            String endpoint = port.lastCall().endpoint().name();
            answer(port, head(503, notRun, HOLD));
            assertNotCalled(RequestKind.ONCE, endpoint);
        }
    }

    /** Guards against callers that wait, or return too early, while all endpoints hold off. */
    @Test
    void callersAreToldWhenTheFirstEndpointReturns() {
        for (RequestKind kind : RequestKind.values()) {
            mFixture = RequestFixture.withDecodeCapacityLimit().configure();
            for (int i = 0; i < 20; i++) {
                RecordingPort port = start(kind);
                while (port.outcomes() == 0 && !port.calls().isEmpty()) {
                    answer(port, head(503, true, HOLD));
                }
            }
            RecordingPort refused = start(kind);
            assertThat(refused.calls(), is(empty()));
            ErrorResponse error = refused.errorResponse().orElseThrow();
            assertThat(error.code(), equalTo(ResultCode.OVERLOADED));
            Duration delay = error.retryAfter().orElseThrow();
            assertThat(delay.compareTo(Duration.ofSeconds(3)) >= 0, is(true));
            assertThat(delay.compareTo(Duration.ofSeconds(5)) <= 0, is(true));
        }
    }
}
