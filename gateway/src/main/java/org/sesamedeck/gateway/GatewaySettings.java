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
    private static final String STORE_SECTION = "store";
    private static final String LOCALITY = "locality";

    /** Name of this process. */
    public static final Setting<String> NAME =
            Setting.required(NODE, "name", SettingTypes.text(), "Name of this process.");

    /** Failure domain of the host. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.required(
                    NODE, "failure-domain", SettingTypes.text(), "Failure domain of this host.");

    /** Region of the host. */
    public static final Setting<String> REGION =
            Setting.required(NODE, "region", SettingTypes.text(), "Region of this host.");

    /** Listen address for callers. */
    public static final Setting<HostAddress> CALLERS =
            Setting.required(
                    LISTEN, "callers", SettingTypes.address(), "Listen address for callers.");

    /** Listen address for readiness and metrics. */
    public static final Setting<HostAddress> STATUS =
            Setting.required(
                    LISTEN,
                    "status",
                    SettingTypes.address(),
                    "Listen address for readiness and metrics.");

    /** Listen address for datagrams of peers. */
    public static final Setting<HostAddress> PEERS =
            Setting.required(
                    LISTEN,
                    "peers",
                    SettingTypes.address(),
                    "Listen address for datagrams of the other processes.");

    /** Address of the platform's store. */
    public static final Setting<HostAddress> STORE =
            Setting.required(
                    STORE_SECTION,
                    "address",
                    SettingTypes.address(),
                    "Address of the platform's store.");

    /** Time after a fault within which changes in the store have no bound. */
    public static final Setting<Duration> SETTLING_TIME =
            Setting.optional(
                    STORE_SECTION,
                    "settling-time",
                    SettingTypes.duration(Duration.ZERO, Duration.ofMinutes(1)),
                    "4s",
                    "Time after a fault of the store or its connections within which the bounds"
                            + " of this section do not hold.");

    /** Time within which a configuration must be in force. */
    public static final Setting<Duration> CONFIGURATION_BOUND =
            Setting.optional(
                    STORE_SECTION,
                    "configuration-bound",
                    SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(1)),
                    "2500ms",
                    "Time from the acceptance of a configuration by the store until it must be in"
                            + " force.");

    /** Time within which a leaving endpoint must get no more requests. */
    public static final Setting<Duration> LEAVING_BOUND =
            Setting.optional(
                    STORE_SECTION,
                    "leaving-bound",
                    SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(1)),
                    "2500ms",
                    "Time from the entry of an endpoint as leaving until it must get no more"
                            + " requests.");

    /** Retries allowed per request. */
    public static final Setting<Double> RETRY_RATIO =
            Setting.optional(
                    RETRY,
                    "ratio",
                    SettingTypes.decimal(0, 1),
                    "0.1",
                    "Maximum number of retries to a service per request to it.");

    /** Retries that this process may send to a service beyond the ratio. */
    public static final Setting<Double> RETRY_BURST =
            Setting.optional(
                    RETRY,
                    "burst",
                    SettingTypes.decimal(0, 1_000),
                    "2",
                    "Retries that this process may send to a service beyond the ratio.");

    /** Retries that all processes together may send to a service beyond the ratio. */
    public static final Setting<Double> RETRY_SLACK =
            Setting.optional(
                    RETRY,
                    "slack",
                    SettingTypes.decimal(0, 1_000_000),
                    "0",
                    "Retries that all processes together may send to a service beyond the ratio;"
                            + " divided among the processes, at least the burst each.");

    /** Default retry-after delay of refused callers. */
    public static final Setting<Duration> RETRY_AFTER =
            Setting.optional(
                    RETRY,
                    "after",
                    SettingTypes.duration(Duration.ZERO, Duration.ofMinutes(1)),
                    "250ms",
                    "Retry-after delay for refused callers when no better estimate is known.");

    /** Memory for responses that are being received. */
    public static final Setting<Long> RESPONSE_MEMORY =
            Setting.optional(
                    "responses",
                    "memory",
                    SettingTypes.wholeNumber(1 << 20, 1L << 36),
                    "16777216",
                    "Memory for the responses that are passed on only when they are complete, in"
                            + " bytes, at most a quarter of the heap. One response may take a quarter of it.");

    /** Memory for what is held for callers. */
    public static final Setting<Long> CALLER_MEMORY =
            Setting.optional(
                    "callers",
                    "memory",
                    SettingTypes.wholeNumber(0, 1L << 36),
                    "0",
                    "Memory for connections, requests and unread responses of all callers, in"
                            + " bytes; 0 for three tenths of the heap that responses leave. Larger"
                            + " bodies than 128 KiB wait for room in three quarters of it; a"
                            + " request that finds none is refused.");

    /** Descriptors that the process may open. */
    public static final Setting<Long> DESCRIPTORS =
            Setting.optional(
                    "callers",
                    "descriptors",
                    SettingTypes.wholeNumber(0, 1 << 24),
                    "0",
                    "Descriptors that the process may open; 0 for the limit that the system sets."
                            + " A third of those beyond 200 are for connections of"
                            + " callers, if their memory suffices at 16 KiB each. Beyond that the"
                            + " oldest connection without a request is closed.");

    /** Whether prefill and decode may run on different engines. */
    public static final Setting<Boolean> SPLIT_PHASES =
            Setting.optional(
                    ENGINES,
                    "split-phases",
                    SettingTypes.flag(),
                    "true",
                    "Whether prefill and decode of a request may run on different engines.");

    /** Time to transfer a prompt's KV cache between engines. */
    public static final Setting<Duration> TRANSFER_TIME =
            Setting.optional(
                    ENGINES,
                    "transfer-time",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(10)),
                    "15ms",
                    "Time to transfer the KV cache of a prompt between two engines.");

    /** Initial estimate of the processing time per prompt token. */
    public static final Setting<Duration> PROMPT_TOKEN_TIME =
            Setting.optional(
                    ENGINES,
                    "prompt-token-time",
                    SettingTypes.duration(Duration.ofNanos(1_000), Duration.ofMillis(100)),
                    "20us",
                    "Initial estimate of the processing time per prompt token.");

    /** Initial estimate of the token interval. */
    public static final Setting<Duration> OUTPUT_TOKEN_TIME =
            Setting.optional(
                    ENGINES,
                    "output-token-time",
                    SettingTypes.duration(Duration.ofNanos(1_000), Duration.ofSeconds(1)),
                    "35ms",
                    "Initial estimate of the token interval: the time between two tokens of a"
                            + " response.");

    /** Whether engines fetch cached prompt prefixes from each other. */
    public static final Setting<Boolean> FETCH_CACHES =
            Setting.optional(
                    ENGINES,
                    "fetch-caches",
                    SettingTypes.flag(),
                    "true",
                    "Whether an engine may fetch the cached prefix of a prompt from another"
                            + " engine.");

    /** Batch size at which the token interval of an engine doubles. */
    public static final Setting<Double> BATCH_SCALE =
            Setting.optional(
                    ENGINES,
                    "batch-scale",
                    SettingTypes.decimal(1, 100_000),
                    "25",
                    "Number of responses in progress at which the token interval of an engine"
                            + " doubles.");

    /** Token interval above which an engine gets no further decode work. */
    public static final Setting<Duration> TOKEN_INTERVAL_LIMIT =
            Setting.optional(
                    ENGINES,
                    "pace-limit",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(10)),
                    "110ms",
                    "Token interval above which an engine is assigned no further response; 0ms for"
                            + " no limit.");

    /** Whether requests stay in their failure domain unless leaving pays. */
    public static final Setting<Boolean> KEEP_LOCAL =
            Setting.optional(
                    LOCALITY,
                    "enabled",
                    SettingTypes.flag(),
                    "true",
                    "Whether requests stay in their failure domain unless leaving pays, where a"
                            + " region has several.");

    /** Round trip to another failure domain of the region. */
    public static final Setting<Duration> DOMAIN_DELAY =
            Setting.optional(
                    LOCALITY,
                    "domain-delay",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(1)),
                    "2ms",
                    "Round trip to another failure domain of the region, beyond that"
                            + " inside one.");

    /** Round trip to another region. */
    public static final Setting<Duration> REGION_DELAY =
            Setting.optional(
                    LOCALITY,
                    "region-delay",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(10)),
                    "20ms",
                    "Round trip to another region, beyond that inside a failure domain.");

    /** Price of traffic between failure domains of a region. */
    public static final Setting<Duration> DOMAIN_COST =
            Setting.optional(
                    LOCALITY,
                    "domain-cost",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(1)),
                    "100us",
                    "Wait that is worth a kilobyte of traffic between failure domains of a"
                            + " region.");

    /** Price of traffic between regions. */
    public static final Setting<Duration> REGION_COST =
            Setting.optional(
                    LOCALITY,
                    "region-cost",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(1)),
                    "2ms",
                    "Wait that is worth a kilobyte of traffic between regions.");

    /** Additional time of a KV cache to another failure domain. */
    public static final Setting<Duration> DOMAIN_TRANSFER_TIME =
            Setting.optional(
                    LOCALITY,
                    "domain-transfer-time",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(10)),
                    "2ms",
                    "Additional time to transfer the KV cache of 1,000 prompt tokens to another"
                            + " failure domain of the region.");

    /** Additional time of a KV cache to another region. */
    public static final Setting<Duration> REGION_TRANSFER_TIME =
            Setting.optional(
                    LOCALITY,
                    "region-transfer-time",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(60)),
                    "15ms",
                    "Additional time to transfer the KV cache of 1,000 prompt tokens to another"
                            + " region.");

    /** Wait from which on a failure domain takes no requests of others. */
    public static final Setting<Duration> FULL_WAIT =
            Setting.optional(
                    LOCALITY,
                    "full-wait",
                    SettingTypes.duration(Duration.ofMillis(1), Duration.ofMinutes(1)),
                    "2s",
                    "Expected wait from which on a failure domain takes no requests of"
                            + " others.");

    /** Time from the stop signal until the process must have exited. */
    public static final Setting<Duration> GRACE =
            Setting.optional(
                    "shutdown",
                    "grace",
                    SettingTypes.duration(Duration.ofSeconds(1), Duration.ofMinutes(10)),
                    "8s",
                    "Time from the stop signal until the process must have exited.");

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
                SETTLING_TIME,
                CONFIGURATION_BOUND,
                LEAVING_BOUND,
                RETRY_RATIO,
                RETRY_BURST,
                RETRY_SLACK,
                RETRY_AFTER,
                RESPONSE_MEMORY,
                CALLER_MEMORY,
                DESCRIPTORS,
                SPLIT_PHASES,
                TRANSFER_TIME,
                PROMPT_TOKEN_TIME,
                OUTPUT_TOKEN_TIME,
                FETCH_CACHES,
                BATCH_SCALE,
                TOKEN_INTERVAL_LIMIT,
                KEEP_LOCAL,
                DOMAIN_DELAY,
                REGION_DELAY,
                DOMAIN_COST,
                REGION_COST,
                DOMAIN_TRANSFER_TIME,
                REGION_TRANSFER_TIME,
                FULL_WAIT,
                GRACE);
    }
}
