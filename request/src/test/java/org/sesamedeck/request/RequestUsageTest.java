package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests which requests count as begun for the usage of their client accounts. */
class RequestUsageTest {
    private static final String KEY = "key-of-library";

    private final RequestFixture mFixture = new RequestFixture(false);
    private final RecordingPort mPort = new RecordingPort();

    private void start(RequestKind kind) {
        ClientAccount library = new ClientAccount("library", OptionalInt.empty());
        mFixture.handler()
                .configure(
                        RequestFixture.configuration(
                                1, ClientAccounts.of(Map.of(KEY, library)), false));
        mFixture.startWithKey(kind, KEY, mPort);
    }

    private CallListener call() {
        return mPort.lastCall().listener();
    }

    private static RequestKind streamKind() {
        return RequestKind.RESUMABLE_STREAM;
    }

    /** Guards against counting streams that wait at an engine, or each of their events. */
    @Test
    void streamBeginsWithItsFirstEvent() {
        start(streamKind());
        call().headReceived(RequestFixture.head(200));
        assertThat(mFixture.begun(), empty());
        call().body(RequestFixture.event(1));
        call().body(RequestFixture.event(2));
        assertThat(mFixture.begun(), contains("library"));
    }

    /** Guards against counting a request once for each endpoint that ran it. */
    @Test
    void resumedStreamIsCountedOnce() {
        start(streamKind());
        call().headReceived(RequestFixture.head(200));
        call().body(RequestFixture.event(1));
        call().connectionLost("reset");
        call().headReceived(RequestFixture.head(200));
        call().body(RequestFixture.event(2));
        assertThat(mFixture.begun(), contains("library"));
    }

    /** Guards against counting requests that endpoints turned away. */
    @Test
    void rejectedRequestIsNotCounted() {
        start(RequestKind.ONCE);
        call().headReceived(RequestFixture.notRun());
        call().ended();
        assertThat(mFixture.begun(), empty());
    }

    /** Guards against leaving out requests that an endpoint ran and failed. */
    @Test
    void failedRequestIsCounted() {
        start(RequestKind.ONCE);
        call().headReceived(RequestFixture.head(500));
        call().ended();
        assertThat(mFixture.begun(), contains("library"));
    }

    /** Guards against leaving out requests that ran and whose answer was lost. */
    @Test
    void requestWithLostAnswerIsCounted() {
        start(RequestKind.ONCE);
        call().connectionLost("reset");
        assertThat(mFixture.begun(), contains("library"));
    }

    /** Guards against counting requests that never reached an endpoint. */
    @Test
    void requestThatWasNotSentIsNotCounted() {
        start(RequestKind.ONCE);
        call().notSent("refused");
        assertThat(mFixture.begun(), empty());
    }
}
