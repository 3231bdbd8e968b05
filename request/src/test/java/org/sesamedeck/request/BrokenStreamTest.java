package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A stream that has begun and breaks off, after which the next endpoint gives no events. */
class BrokenStreamTest {
    private static final byte[] ERROR_TEXT = RequestFixture.bytes("HTTP/1.1 500 failed");

    private final RequestFixture mFixture = new RequestFixture(false).configure();
    private final RecordingPort mPort = new RecordingPort();

    static List<Consumer<CallListener>> failures() {
        return List.of(
                listener -> answer(listener, RequestFixture.head(500)),
                listener -> answer(listener, RequestFixture.head(404)),
                listener -> answer(listener, RequestFixture.unsigned(502)),
                listener -> answer(listener, RequestFixture.unsigned(200)),
                listener -> answer(listener, RequestFixture.notRun()),
                listener -> answer(listener, RequestFixture.head(200)),
                listener -> listener.broken("answer is not HTTP"),
                listener -> listener.connectionLost("connection closed"),
                listener -> listener.notSent("refused"));
    }

    private static void answer(CallListener listener, ResponseHead head) {
        listener.headReceived(head);
        listener.body(ERROR_TEXT);
        listener.ended();
    }

    /** Guards against an error's text within a stream, and against an end that looks complete. */
    @ParameterizedTest
    @MethodSource("failures")
    void failureAfterABreakNeverReachesTheStream(Consumer<CallListener> failure) {
        mFixture.start(RequestKind.RESUMABLE_STREAM, mPort);
        mPort.lastCall().listener().headReceived(RequestFixture.head(200));
        mPort.lastCall().listener().body(RequestFixture.event(1));
        mPort.lastCall().listener().connectionLost("connection closed");
        for (int call = 1; call < mPort.calls().size(); call++) {
            failure.accept(mPort.calls().get(call).listener());
        }
        mFixture.timers().advance(RequestFixture.TIMEOUT);
        assertThat(mPort.calls().size() > 1, is(true));
        String event = new String(RequestFixture.event(1), StandardCharsets.UTF_8);
        assertThat(mPort.streamedText(), is(event));
        assertThat(mPort.isAborted(), is(true));
        assertThat(mPort.isStreamEnded(), is(false));
        assertThat(mPort.errorResponse(), is(Optional.empty()));
        assertThat(mPort.response(), is(Optional.empty()));
        assertThat(mPort.outcomes(), is(1));
    }

    /** Guards against a resumed stream that is taken as complete because its endpoint ended. */
    @Test
    void resumedStreamThatEndsWithItsConnectionIsNotComplete() {
        mFixture.start(RequestKind.RESUMABLE_STREAM, mPort);
        mPort.lastCall().listener().headReceived(RequestFixture.head(200));
        mPort.lastCall().listener().body(RequestFixture.event(1));
        mPort.lastCall().listener().connectionLost("connection closed");
        assertThat(mPort.calls(), hasSize(2));
        mPort.lastCall().listener().headReceived(RequestFixture.endingWithConnection(200));
        mPort.lastCall().listener().ended();
        assertThat(mPort.isStreamEnded(), is(false));
    }

    /** Guards against a success without events that is taken as a complete stream. */
    @Test
    void streamWithoutEventsThatEndsWithItsConnectionIsNotComplete() {
        mFixture.start(RequestKind.STREAM, mPort);
        mPort.lastCall().listener().headReceived(RequestFixture.endingWithConnection(200));
        mPort.lastCall().listener().ended();
        assertThat(mPort.isStreamEnded(), is(false));
        assertThat(mPort.errorResponse().isPresent(), is(true));
    }
}
