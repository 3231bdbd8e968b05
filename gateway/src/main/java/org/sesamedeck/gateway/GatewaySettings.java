package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.SettingTypes;

/** The settings of the gateway program. */
public final class GatewaySettings {
    private static final String NODE = "node";
    private static final String LISTEN = "listen";
    private static final String RETRY = "retry";
    private static final String ENGINES = "engines";

    /** Name of the process. */
    public static final Setting<String> NAME =
            Setting.required(NODE, "name", SettingTypes.text(), "Name of this process.");

    /** Failure domain of the host. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.required(
                    NODE, "failure-domain", SettingTypes.text(), "Failure domain of this host.");

    /** Region of the host. */
    public static final Setting<String> REGION =
            Setting.required(NODE, "region", SettingTypes.text(), "Region of this host.");

    /** Where callers connect. */
    public static final Setting<HostAddress> CALLERS =
            Setting.required(LISTEN, "callers", SettingTypes.address(), "Address for callers.");

    /** Where readiness and metrics are served. */
    public static final Setting<HostAddress> STATUS =
            Setting.required(
                    LISTEN, "status", SettingTypes.address(), "Address of readiness and metrics.");

    /** Where peers send datagrams. */
    public static final Setting<HostAddress> PEERS =
            Setting.required(
                    LISTEN,
                    "peers",
                    SettingTypes.address(),
                    "Address for datagrams of the other processes.");

    /** The platform's store. */
    public static final Setting<HostAddress> STORE =
            Setting.required(
                    "store", "address", SettingTypes.address(), "Address of the platform's store.");

    /** Repeats allowed for each request. */
    public static final Setting<Double> RETRY_RATIO =
            Setting.optional(
                    RETRY,
                    "ratio",
                    SettingTypes.decimal(0, 1),
                    "0.1",
                    "Repeats that a service may receive for each request to it.");

    /** Repeats allowed at once. */
    public static final Setting<Double> RETRY_BURST =
            Setting.optional(
                    RETRY,
                    "burst",
                    SettingTypes.decimal(0, 1_000),
                    "2",
                    "Repeats that this process may send to a service beyond the ratio.");

    /** Repeats that all processes together may send beyond the ratio. */
    public static final Setting<Double> RETRY_SLACK =
            Setting.optional(
                    RETRY,
                    "slack",
                    SettingTypes.decimal(0, 1_000_000),
                    "0",
                    "Repeats that all processes together may send to a service beyond the ratio;"
                            + " shared out among them, at least the burst each.");

    /** When a refused caller comes back. */
    public static final Setting<Duration> RETRY_AFTER =
            Setting.optional(
                    RETRY,
                    "after",
                    SettingTypes.duration(Duration.ZERO, Duration.ofMinutes(1)),
                    "250ms",
                    "When a refused caller is told to come back, if nothing better is known.");

    /** Whether prompts are processed apart. */
    public static final Setting<Boolean> SPLIT_PHASES =
            Setting.optional(
                    ENGINES,
                    "split-phases",
                    SettingTypes.flag(),
                    "true",
                    "Whether a prompt may be processed by another engine than the answer.");

    /** Cost of moving a KV cache. */
    public static final Setting<Duration> TRANSFER_TIME =
            Setting.optional(
                    ENGINES,
                    "transfer-time",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(10)),
                    "15ms",
                    "Time that moving the KV cache of a prompt between two engines takes.");

    /** First guess of prompt speed. */
    public static final Setting<Duration> PROMPT_TOKEN_TIME =
            Setting.optional(
                    ENGINES,
                    "prompt-token-time",
                    SettingTypes.duration(Duration.ofNanos(1_000), Duration.ofMillis(100)),
                    "20us",
                    "First guess of the time that an engine takes for a prompt token.");

    /** First guess of answer speed. */
    public static final Setting<Duration> OUTPUT_TOKEN_TIME =
            Setting.optional(
                    ENGINES,
                    "output-token-time",
                    SettingTypes.duration(Duration.ofNanos(1_000), Duration.ofSeconds(1)),
                    "35ms",
                    "First guess of the time between two tokens of an answer.");

    /** Whether engines fetch parts of prompts from each other. */
    public static final Setting<Boolean> FETCH_CACHES =
            Setting.optional(
                    ENGINES,
                    "fetch-caches",
                    SettingTypes.flag(),
                    "true",
                    "Whether an engine may fetch what another one keeps of a prompt.");

    /** Batch that doubles the time between tokens. */
    public static final Setting<Double> BATCH_SCALE =
            Setting.optional(
                    ENGINES,
                    "batch-scale",
                    SettingTypes.decimal(1, 100_000),
                    "25",
                    "Answers in progress at which an engine takes twice as long for a token.");

    /** Slowest pace at which answers are still started. */
    public static final Setting<Duration> PACE_LIMIT =
            Setting.optional(
                    ENGINES,
                    "pace-limit",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(10)),
                    "110ms",
                    "Time between tokens beyond which an engine is given no further answer; 0ms for"
                            + " no limit.");

    /** Time until a killed process ends. */
    public static final Setting<Duration> GRACE =
            Setting.optional(
                    "shutdown",
                    "grace",
                    SettingTypes.duration(Duration.ofSeconds(1), Duration.ofMinutes(10)),
                    "8s",
                    "Time from the request to stop until the process must have ended.");

    private GatewaySettings() {}

    /** Returns all settings of the gateway. */
    public static List<Setting<?>> all() {
        return List.of(
                NAME,
                FAILURE_DOMAIN,
                REGION,
                CALLERS,
                STATUS,
                PEERS,
                STORE,
                RETRY_RATIO,
                RETRY_BURST,
                RETRY_SLACK,
                RETRY_AFTER,
                SPLIT_PHASES,
                TRANSFER_TIME,
                PROMPT_TOKEN_TIME,
                OUTPUT_TOKEN_TIME,
                FETCH_CACHES,
                BATCH_SCALE,
                PACE_LIMIT,
                GRACE);
    }
}
