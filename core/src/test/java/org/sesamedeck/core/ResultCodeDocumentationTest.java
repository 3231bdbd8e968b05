package org.sesamedeck.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class ResultCodeDocumentationTest {
    private static final Pattern ROW =
            Pattern.compile(
                    "(?m)^\\| (\\d{4}) \\| (\\w+) \\| (\\d{3}) \\| (\\w+) \\| (yes|no) \\|");

    /** Guards against a documented table of result codes that differs from the code. */
    @Test
    void tableMatchesTheCode() throws IOException {
        List<String> documented = new ArrayList<>();
        Matcher matcher = ROW.matcher(Files.readString(Path.of("../docs/result-codes.md")));
        while (matcher.find()) {
            documented.add(
                    String.join(
                            " ",
                            matcher.group(1),
                            matcher.group(2),
                            matcher.group(3),
                            matcher.group(4),
                            matcher.group(5)));
        }
        List<String> actual = new ArrayList<>();
        for (ResultCode code : ResultCode.values()) {
            actual.add(
                    String.join(
                            " ",
                            String.valueOf(code.number()),
                            code.name(),
                            String.valueOf(code.httpStatus()),
                            code.execution().name().toLowerCase(Locale.ROOT),
                            code.isRetryable() ? "yes" : "no"));
        }
        assertThat(documented, is(actual));
    }
}
