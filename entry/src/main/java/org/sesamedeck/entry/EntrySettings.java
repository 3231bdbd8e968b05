package org.sesamedeck.entry;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.SettingTypes;

/** Settings of the entry process, in addition to those that all daemons share. */
public final class EntrySettings {
    private static final String REQUESTS = "requests";
    private static final String ALL_CODE = "all";

    /** Value of {@link #OPTIMIZED_CODE} that limits the optimizing compiler. */
    static final String HOT_LOOPS = "hot-loops";

    private static final int MIN_KEY_CHARACTERS = 16;
    private static final long MEBIBYTE = 1L << 20;

    /** Address on which the entry process listens for callers. */
    public static final Setting<HostAddress> LISTEN =
            Setting.required(
                    "http", "listen", SettingTypes.address(), "Listen address for callers.");

    /** Time after which a connection without traffic is closed. */
    public static final Setting<Duration> IDLE_LIMIT =
            Setting.optional(
                    "http",
                    "idle-limit",
                    SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(10)),
                    "30s",
                    "Idle timeout of a connection: it is closed when no data is transferred for"
                            + " this time.");

    /** Address of the control process on the same host. */
    public static final Setting<HostAddress> CONTROL =
            Setting.required(
                    "control",
                    "address",
                    SettingTypes.address(),
                    "Address of the control process on this host.");

    /** Secret for resume tokens, the same on all entry hosts. */
    public static final Setting<String> RESUME_KEY =
            Setting.required(
                    "resume",
                    "key",
                    new SecretType(MIN_KEY_CHARACTERS),
                    "Secret for resume tokens, the same on all entry hosts.");

    /** Maximum size in bytes of a request body that is held in memory. */
    public static final Setting<Long> BODY_LIMIT =
            Setting.optional(
                    REQUESTS,
                    "body-limit",
                    SettingTypes.wholeNumber(1_024, 64 * MEBIBYTE),
                    String.valueOf(8 * MEBIBYTE),
                    "Maximum size of the body of a completion, or of a request with"
                            + " Idempotency-Key, in bytes.");

    /** Maximum time for a body that is held in memory to arrive. */
    public static final Setting<Duration> BODY_TIMEOUT =
            Setting.optional(
                    REQUESTS,
                    "body-timeout",
                    SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(10)),
                    "30s",
                    "Maximum time to receive such a body.");

    /** Memory budget in bytes for the bodies of all open requests together. */
    public static final Setting<Long> BODY_MEMORY =
            Setting.optional(
                    REQUESTS,
                    "body-memory",
                    SettingTypes.wholeNumber(MEBIBYTE, 65_536 * MEBIBYTE),
                    String.valueOf(64 * MEBIBYTE),
                    "Memory limit for the bodies of all open requests together, in bytes. When it is"
                            + " short, bodies that have stalled are closed; then requests wait for up"
                            + " to 2s and are refused. An eighth is only for requests that take up to"
                            + " a 64th of it, unless there is one larger request alone.");

    /** Maximum number of output tokens that a caller may request. */
    public static final Setting<Long> MAX_OUTPUT_TOKENS =
            Setting.optional(
                    REQUESTS,
                    "max-output-tokens",
                    SettingTypes.wholeNumber(1, 100_000_000),
                    "131072",
                    "Maximum number of output tokens that a caller may request.");

    /** Maximum time until the response to a request must have started. */
    public static final Setting<Duration> DEADLINE =
            Setting.optional(
                    REQUESTS,
                    "deadline",
                    SettingTypes.duration(Duration.ofMillis(100), Duration.ofHours(1)),
                    "60s",
                    "Maximum time until the response to a request must have started.");

    /** Code that the optimizing compiler of the JVM compiles. */
    public static final Setting<String> OPTIMIZED_CODE =
            Setting.optional(
                    "jvm",
                    "optimized-code",
                    SettingTypes.oneOf(HOT_LOOPS, ALL_CODE),
                    HOT_LOOPS,
                    "Code that the optimizing compiler (C2) of the JVM compiles: the loops over the"
                            + " bytes of requests and responses, or all code, whose"
                            + " compilation takes more memory outside the heap the more processors"
                            + " the host has.");

    private EntrySettings() {}

    /** Returns the settings above, in the order of the settings reference. */
    public static List<Setting<?>> all() {
        return List.of(
                LISTEN,
                IDLE_LIMIT,
                CONTROL,
                RESUME_KEY,
                BODY_LIMIT,
                BODY_TIMEOUT,
                BODY_MEMORY,
                MAX_OUTPUT_TOKENS,
                DEADLINE,
                OPTIMIZED_CODE);
    }
}
