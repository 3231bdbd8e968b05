package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class RequestLogTest {
    private final RequestFixture mFixture = new RequestFixture(false).configure();
    private final RecordingPort mPort = new RecordingPort();

    /** Guards against an endpoint's end that no log line connects with a part of its requests. */
    @Test
    void logTellsPromptPartsAndWhetherAnAnswerHadBegun() {
        mFixture.start(RequestKind.STREAM, mPort);
        mPort.lastCall().listener().broken("connection closed");
        assertThat(
                field(Decision.ADMITTED, "promptParts"), is(Optional.of("[1:3000, f4241:1000]")));
        assertThat(field(Decision.BROKEN, "answerBegan"), is(Optional.of("false")));
    }

    private Optional<String> field(Decision decision, String name) {
        return mFixture.lastTrace().entries().stream()
                .filter(entry -> entry.decision() == decision)
                .flatMap(entry -> matching(entry, name))
                .map(field -> String.valueOf(field.value()))
                .findFirst();
    }

    private static Stream<LogEntry.Field> matching(LogEntry entry, String name) {
        return entry.fields().stream().filter(field -> field.name().equals(name));
    }
}
