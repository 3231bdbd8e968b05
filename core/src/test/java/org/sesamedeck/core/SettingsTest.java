package org.sesamedeck.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final Setting<HostAddress> LISTEN =
            Setting.required("node", "listen", SettingTypes.address(), "Address to listen on.");
    private static final Setting<Duration> LIMIT =
            Setting.optional(
                    "node",
                    "stop-limit",
                    SettingTypes.duration(Duration.ZERO, Duration.ofHours(1)),
                    "30s",
                    "Longest wait.");
    private static final Setting<List<HostAddress>> SEEDS =
            Setting.optional(
                    "peers",
                    "seeds",
                    SettingTypes.listOf(SettingTypes.address()),
                    "",
                    "First peers.");
    private static final List<Setting<?>> SCHEMA = List.of(LISTEN, LIMIT, SEEDS);

    @Test
    void valuesAndDefaultsAreTyped() {
        Settings settings =
                Settings.parse(
                        "node.ini",
                        "[node]\nlisten = 127.0.0.1:7000\n"
                                + "[peers]\nseeds = 127.0.0.1:7001, 127.0.0.2:7001\n",
                        SCHEMA);

        assertThat(settings.get(LISTEN), is(HostAddress.of("127.0.0.1", 7000)));
        assertThat(settings.get(LIMIT), is(Duration.ofSeconds(30)));
        assertThat(settings.get(SEEDS).size(), is(2));
    }

    /** Guards against a start with only some of the settings and against ignored misspelt keys. */
    @Test
    void allErrorsAreReportedWithTheirPlace() {
        SesamedeckException failure =
                assertThrows(
                        SesamedeckException.class,
                        () ->
                                Settings.parse(
                                        "node.ini",
                                        "[node]\nstop-limit = 5 days\nstoplimit = 5s\n[pears]\n"
                                                + "seeds = x\n",
                                        SCHEMA));

        assertThat(failure.code(), is(ResultCode.INVALID_SETTINGS));
        assertThat(
                failure.getMessage(),
                allOf(
                        containsString("node.ini: [node] listen = \"\""),
                        containsString("[node] stop-limit = \"5 days\""),
                        containsString("[node] stoplimit = \"5s\""),
                        containsString("[pears]")));
    }
}
