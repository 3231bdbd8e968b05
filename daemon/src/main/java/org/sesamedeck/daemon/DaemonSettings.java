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
                    "Listen address of the admin port: health, readiness and metrics. It takes"
                            + " bodies of up to 64 KiB and 64 connections.");

    /** Maximum number of HTTP threads; each open request holds one. */
    public static final Setting<Long> THREADS =
            Setting.optional(
                    HTTP,
                    "threads",
                    SettingTypes.wholeNumber(8, 8192),
                    "1100",
                    "Maximum number of HTTP threads; each open request holds one. When more than"
                            + " half wait for callers to send or to read, those that have stalled"
                            + " longest are closed.");

    /** Maximum number of connections of callers; 0 to derive it from heap and descriptors. */
    public static final Setting<Long> CONNECTIONS =
            Setting.optional(
                    HTTP,
                    "connections",
                    SettingTypes.wholeNumber(0, 1_000_000),
                    "0",
                    "Maximum number of connections of callers; 0 for one per 96 KiB of heap, but at"
                            + " most half of the descriptors beyond 200. Beyond it the connection"
                            + " that has been longest without a request is closed.");

    /** Maximum number of header and trailer fields of a request. */
    public static final Setting<Long> FIELDS =
            Setting.optional(
                    HTTP,
                    "fields",
                    SettingTypes.wholeNumber(32, 4_096),
                    "256",
                    "Maximum number of header and trailer fields of a request.");

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
                NAME,
                FAILURE_DOMAIN,
                REGION,
                ADMIN_LISTEN,
                THREADS,
                CONNECTIONS,
                FIELDS,
                BALANCER_DELAY,
                LOG_LEVEL);
    }
}
