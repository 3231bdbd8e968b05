package org.sesamedeck.daemon;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.SettingTypes;

/** Settings that all daemons share. */
public final class DaemonSettings {
    private static final String NODE = "node";
    private static final String HTTP = "http";

    /** Name of the process, unique in the deployment. */
    public static final Setting<String> NAME =
            Setting.required(NODE, "name", SettingTypes.name(), "Name of this process.");

    /** Failure domain of the host. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.required(
                    NODE, "failure-domain", SettingTypes.name(), "Failure domain of this host.");

    /** Region of the host. */
    public static final Setting<String> REGION =
            Setting.required(NODE, "region", SettingTypes.name(), "Region of this host.");

    /** Address of the admin port, which serves health, readiness and metrics. */
    public static final Setting<HostAddress> ADMIN_LISTEN =
            Setting.required(
                    HTTP,
                    "admin-listen",
                    SettingTypes.address(),
                    "Listen address of the admin port: health, readiness and metrics.");

    /** Maximum number of HTTP threads; each open request holds one. */
    public static final Setting<Long> THREADS =
            Setting.optional(
                    HTTP,
                    "threads",
                    SettingTypes.wholeNumber(8, 8192),
                    "1100",
                    "Maximum number of HTTP threads; each open request holds one.");

    /** Time that the load balancer may take to notice that the process is not ready. */
    public static final Setting<Duration> BALANCER_DELAY =
            Setting.optional(
                    "shutdown",
                    "balancer-delay",
                    SettingTypes.duration(Duration.ZERO, Duration.ofMinutes(5)),
                    "2s",
                    "Time between the loss of readiness and the first refused request.");

    /** Lowest level that is logged. */
    public static final Setting<String> LOG_LEVEL =
            Setting.optional(
                    "log",
                    "level",
                    SettingTypes.oneOf("ERROR", "WARN", "INFO", "DEBUG"),
                    "INFO",
                    "Minimum level of logged messages.");

    private DaemonSettings() {}

    /** Returns the settings above, in the order of the settings reference. */
    public static List<Setting<?>> all() {
        return List.of(
                NAME, FAILURE_DOMAIN, REGION, ADMIN_LISTEN, THREADS, BALANCER_DELAY, LOG_LEVEL);
    }
}
