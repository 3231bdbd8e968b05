package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.SettingTypes;

/** The settings of the duties of the fleet; they apply where the platform asks for duties. */
public final class DutySettings {
    private static final String DUTIES = "duties";

    /** Time within which two processes must not act in turn. */
    public static final Setting<Duration> LEASE =
            Setting.optional(
                    DUTIES,
                    "lease",
                    SettingTypes.duration(Duration.ofMillis(500), Duration.ofMinutes(1)),
                    "3s",
                    "Time within which two processes must not perform the duties in turn; the other"
                            + " times of the holder of the duties are derived from it.");

    /** Calls of all processes that the platform accepts. */
    public static final Setting<Double> RATE =
            Setting.optional(
                    DUTIES,
                    "rate",
                    SettingTypes.decimal(0.001, 1_000_000),
                    "10",
                    "Calls of the duties that the platform accepts per second.");

    /** Length of a window of usage. */
    public static final Setting<Duration> USAGE_WINDOW =
            Setting.optional(
                    DUTIES,
                    "usage-window",
                    SettingTypes.duration(Duration.ofMillis(500), Duration.ofHours(1)),
                    "5s",
                    "Length of a window of time whose usage is reported.");

    /** Time until a report of usage is due. */
    public static final Setting<Duration> USAGE_LATENESS =
            Setting.optional(
                    DUTIES,
                    "usage-lateness",
                    SettingTypes.duration(Duration.ofMillis(500), Duration.ofHours(1)),
                    "10s",
                    "Time from the end of a window until its report of usage is due.");

    private DutySettings() {}

    /** Returns all settings of the duties. */
    public static List<Setting<?>> all() {
        return List.of(LEASE, RATE, USAGE_WINDOW, USAGE_LATENESS);
    }
}
