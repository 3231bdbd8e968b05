package org.sesamedeck.control;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.SettingTypes;

/** Settings of the control process, in addition to those that all daemons share. */
public final class ControlSettings {
    private static final String ENGINES = "engines";
    private static final String CLAIMS = "claims";

    /** Address on which other nodes and the entry process of this host connect. */
    public static final Setting<HostAddress> LISTEN =
            Setting.required(
                    "node",
                    "listen",
                    SettingTypes.address(),
                    "Listen address for other nodes and for the entry process of this host.");

    /** Address of the object API and the host list. */
    public static final Setting<HostAddress> PLATFORM =
            Setting.required(
                    "platform",
                    "address",
                    SettingTypes.address(),
                    "Address of the platform's object API and host list.");

    /** Addresses of control processes through which a node joins. */
    public static final Setting<List<HostAddress>> SEEDS =
            Setting.optional(
                    "peers",
                    "seeds",
                    SettingTypes.listOf(SettingTypes.address()),
                    "",
                    "Addresses of some control processes of the deployment, separated by commas.");

    /** Number of engine groups. */
    public static final Setting<Long> GROUPS =
            Setting.optional(
                    ENGINES,
                    "groups",
                    SettingTypes.wholeNumber(1, 1024),
                    "8",
                    "Number of engine groups; the same on all nodes.");

    /** When a new lease holder may command engines that ignore fencing numbers. */
    public static final Setting<String> UNFENCED_TAKEOVER =
            Setting.optional(
                    ENGINES,
                    "unfenced-takeover",
                    SettingTypes.oneOf("connection-limit", "release-only"),
                    "connection-limit",
                    "Condition under which a new lease holder sends commands to engines that"
                            + " ignore fencing numbers.");

    /** Time after which an engine closes a command connection without a command. */
    public static final Setting<Duration> COMMAND_CONNECTION_LIMIT =
            Setting.optional(
                    ENGINES,
                    "command-connection-limit",
                    SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(1)),
                    "2s",
                    "Time after which engines close a command connection on which no command"
                            + " arrived.");

    /** Weight of the cost of a role change. */
    public static final Setting<Double> ROLE_CHANGE_WEIGHT =
            Setting.optional(
                    ENGINES,
                    "role-change-weight",
                    SettingTypes.decimal(0, 10),
                    "0.5",
                    "Weight of the cost of a role change; higher means fewer changes.");

    /** Number of claim shards. */
    public static final Setting<Long> SHARDS =
            Setting.optional(
                    CLAIMS,
                    "shards",
                    SettingTypes.wholeNumber(1, 1024),
                    "8",
                    "Number of claim shards; the same on all nodes.");

    /** Shortest time between two updates of a shard. */
    public static final Setting<Duration> BATCH_INTERVAL =
            Setting.optional(
                    CLAIMS,
                    "batch-interval",
                    SettingTypes.duration(Duration.ZERO, Duration.ofSeconds(1)),
                    "5ms",
                    "Minimum time between two updates of a claim shard.");

    private ControlSettings() {}

    /** Returns the settings above, in the order of the settings reference. */
    public static List<Setting<?>> all() {
        return List.of(
                LISTEN,
                PLATFORM,
                SEEDS,
                GROUPS,
                UNFENCED_TAKEOVER,
                COMMAND_CONNECTION_LIMIT,
                ROLE_CHANGE_WEIGHT,
                SHARDS,
                BATCH_INTERVAL);
    }
}
