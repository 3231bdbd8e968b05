package org.sesamedeck.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class ExplainCommandTest {
    private static final String EXPLANATION =
            "{\"outcome\":\"QUEUED\",\"cause\":\"it waits for decode capacity\",\"route\":\"ask\","
                    + "\"service\":\"models\",\"phase\":\"WHOLE\",\"queue\":{\"ahead\":4,"
                    + "\"inProgress\":9.0,\"limit\":9.0},\"chosen\":\"i-1\",\"candidates\":["
                    + "{\"endpoint\":\"i-1\",\"failureDomain\":\"a\",\"role\":\"MIXED\","
                    + "\"expectedWaitMillis\":3.04,\"costMillis\":80.0,\"rankingCostMillis\":81.0,"
                    + "\"loadAgeMillis\":200.0},"
                    + "{\"endpoint\":\"i-2\",\"failureDomain\":\"b\",\"role\":\"MIXED\","
                    + "\"expectedWaitMillis\":0.0,\"exclusion\":\"HELD\"}],\"candidatesOmitted\":7}";

    private final StringWriter mOutput = new StringWriter();
    private final List<String> mPages = new ArrayList<>();

    private int run(int status, String text, String... options) {
        List<String> arguments =
                new ArrayList<>(
                        List.of("--gateway", "10.0.0.1:9000", "--host", "deck", "--path", "/a b"));
        arguments.addAll(List.of(options));
        StatusPageReader pages =
                (gateway, page) -> {
                    mPages.add(gateway + page);
                    return new StatusPageReader.Page(status, text);
                };
        return new CommandLine(new ExplainCommand(pages))
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setOut(new PrintWriter(mOutput))
                .setExecutionExceptionHandler(
                        (failure, command, result) -> {
                            mOutput.append(failure.getMessage());
                            return ExitStatus.FAILED.number();
                        })
                .execute(arguments.toArray(String[]::new));
    }

    /** Guards against a table without the figures or the reason of a candidate. */
    @Test
    void tableShowsOutcomeAndCandidates() {
        assertThat(run(200, EXPLANATION), is(0));
        String text = mOutput.toString();
        assertThat(text, containsString("QUEUED: it waits for decode capacity"));
        assertThat(text.replaceAll(" +", " "), containsString("i-1 a MIXED 3.0 80.0 81.0 200.0 -"));
        assertThat(text.replaceAll(" +", " "), containsString("i-2 b MIXED 0.0 - - - HELD"));
        assertThat(text, containsString("7 more endpoints are not shown"));
    }

    /** Guards against options that are not passed on, or not escaped. */
    @Test
    void optionsBecomeTheQuery() {
        run(200, EXPLANATION, "--model", "m&x", "--prompt-tokens", "7", "--output", "json");
        assertThat(
                mPages,
                is(
                        List.of(
                                "10.0.0.1:9000/explain?host=deck&path=%2Fa+b&model=m%26x"
                                        + "&prompt-tokens=7")));
        assertThat(mOutput.toString(), containsString("\"candidatesOmitted\" : 7"));
        assertThat(mOutput.toString(), not(containsString("ENDPOINT")));
    }

    /** Guards against a refused question that looks like an empty explanation. */
    @Test
    void refusedQuestionFailsWithItsReason() {
        assertThat(run(400, "parameter \"path\" is missing\n"), is(1));
        assertThat(mOutput.toString(), containsString("400: parameter \"path\" is missing"));
    }
}
