package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class CrashingPromptPartTest {
    private static final PromptPart COMMON = new PromptPart(1, 3_000);
    private static final PromptPart SUBJECT = new PromptPart(2, 600);
    private static final PromptPart CRASHING = new PromptPart(3, 200);
    private static final Duration INTERVAL = Duration.ofMillis(800);

    private final RequestFixture mFixture = new RequestFixture(false).configure();

    /** Guards against engines that end one after the other under requests with one prompt part. */
    @Test
    void partUnderWhichFiveEnginesEndedIsNotSentAgain() {
        for (int end = 0; end < 5; end++) {
            endEngine();
            mFixture.timers().advance(INTERVAL);
            assertThat(isAnswered(List.of(COMMON, SUBJECT)), is(true));
        }
        mFixture.timers().advance(Duration.ofSeconds(4));
        int sent = 0;
        for (int request = 0; request < 10; request++) {
            sent += startCrashing().calls().size();
            mFixture.timers().advance(INTERVAL);
        }
        assertThat(sent, lessThanOrEqualTo(3));
        assertThat(isAnswered(List.of(COMMON, SUBJECT)), is(true));
    }

    private void endEngine() {
        RecordingPort port = startCrashing();
        while (port.outcomes() == 0) {
            port.lastCall().listener().connectionLost("connection closed");
        }
    }

    private RecordingPort startCrashing() {
        RecordingPort port = new RecordingPort();
        start(List.of(COMMON, SUBJECT, CRASHING), port);
        return port;
    }

    private boolean isAnswered(List<PromptPart> parts) {
        RecordingPort port = new RecordingPort();
        start(parts, port);
        if (port.calls().isEmpty()) {
            return false;
        }
        port.lastCall().listener().headReceived(RequestFixture.head(200));
        port.lastCall().listener().body(RequestFixture.event(1));
        port.lastCall().listener().ended();
        return port.isStreamEnded();
    }

    private void start(List<PromptPart> parts, RecordingPort port) {
        mFixture.start(RequestFixture.path(RequestKind.STREAM), OptionalLong.empty(), parts, port);
    }
}
