package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class LibraryLogHandlerTest {
    private final ManualClock mClock = ManualClock.create();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    private String publish(Level level) {
        try (JsonDecisionLog log = JsonDecisionLog.create(mClock, "node", mOutput)) {
            LogRecord record = new LogRecord(level, "cannot use {0}");
            record.setParameters(new Object[] {"eth0"});
            record.setLoggerName("io.library");
            record.setThrown(new IOException("closed"));
            LibraryLogHandler.of(mClock, log).publish(record);
        }
        return mOutput.toString(StandardCharsets.UTF_8);
    }

    /** Guards against library messages in a form that tools for JSON lines cannot parse. */
    @Test
    void warningsAreWrittenAsJsonLines() {
        String line = publish(Level.WARNING);
        assertThat(line, containsString("\"event\":\"LIBRARY_MESSAGE\""));
        assertThat(line, containsString("\"message\":\"cannot use eth0\""));
        assertThat(line, containsString("\"cause\":\"java.io.IOException: closed\""));
    }

    /** Guards against flooding the log with library messages below warning level. */
    @Test
    void messagesBelowWarningAreDropped() {
        assertThat(publish(Level.INFO), is(""));
    }
}
