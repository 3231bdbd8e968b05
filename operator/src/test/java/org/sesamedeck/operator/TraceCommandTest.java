package org.sesamedeck.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sesamedeck.core.SystemClock;
import picocli.CommandLine;

class TraceCommandTest {
    private static final String LATER =
            "{\"time\":\"2026-12-04T09:00:02Z\",\"node\":\"b\",\"event\":\"REFUSED\","
                    + "\"request\":\"r1\",\"code\":2002,\"cause\":\"status 503\"}";
    private static final String EARLIER =
            "  12.5 b {\"time\":\"2026-12-04T09:00:01Z\",\"node\":\"b\",\"event\":\"REJECTED\","
                    + "\"request\":\"r1\",\"endpoint\":\"i-1\",\"cause\":\"status 503\"}";
    private static final String OTHER =
            "{\"time\":\"2026-12-04T09:00:01Z\",\"node\":\"a\",\"event\":\"ANSWERED\","
                    + "\"request\":\"r2\",\"status\":200}";
    private static final String DROPPED =
            "{\"time\":\"2026-12-04T09:00:01Z\",\"node\":\"a\",\"event\":\"LINES_DROPPED\","
                    + "\"lines\":17}";

    @TempDir private Path mFolder;

    private final StringWriter mOutput = new StringWriter();

    private int run(String... arguments) {
        CommandLine command =
                OperatorMain.commandLine(
                        address -> {
                            throw new IllegalStateException("trace needs no platform");
                        },
                        SystemClock.create());
        return command.setOut(new PrintWriter(mOutput)).execute(arguments);
    }

    private String log(String name, String... lines) throws IOException {
        Path file = mFolder.resolve(name);
        Files.write(file, List.of(lines));
        return file.toString();
    }

    /** Guards against unsorted lines, lines of other requests and lines behind a prefix. */
    @Test
    void linesOfOneRequestAreSortedAndExplained() throws IOException {
        String first = log("b.log", "not json", LATER, EARLIER);
        String second = log("a.log", OTHER, DROPPED);
        assertThat(run("trace", "r1", first, second), is(0));
        String text = mOutput.toString();
        assertThat(text.indexOf("REJECTED") < text.indexOf("REFUSED"), is(true));
        assertThat(text, containsString("Refused with 2002"));
        assertThat(text, containsString("endpoint i-1"));
        assertThat(text, containsString("logs of 2 processes"));
        assertThat(text, containsString("17 lines were dropped"));
    }

    /** Guards against empty output for a request without log lines. */
    @Test
    void requestWithoutLogLinesIsReported() throws IOException {
        assertThat(run("trace", "r9", log("a.log", OTHER)), is(1));
        assertThat(mOutput.toString(), containsString("not sampled"));
    }

    /** Guards against JSON output without the fields that programs read. */
    @Test
    void jsonHasTheDecisions() throws IOException {
        assertThat(run("trace", "--output", "json", "r1", log("b.log", LATER)), is(0));
        assertThat(mOutput.toString(), containsString("\"cause\""));
    }
}
