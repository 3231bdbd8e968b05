package org.sesamedeck.endpoint.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.lease.Lease;

/**
 * The command log of one engine group. It is the payload of the group lease, so that only the
 * current lease holder can write to it.
 */
final class LeasedCommandLog {
    /** Number of roles kept per engine; the role planner uses recent changes only. */
    private static final int MAX_ROLES = 8;

    private final Lease mLease;

    private LeasedCommandLog(Lease lease) {
        mLease = lease;
    }

    static LeasedCommandLog of(Lease lease) {
        return new LeasedCommandLog(lease);
    }

    Lease lease() {
        return mLease;
    }

    CommandLog current() {
        return CommandLog.parse(mLease.payload());
    }

    Optional<CommandRecord> lastCommand(String engine) {
        return Optional.ofNullable(current().engines().get(engine));
    }

    /**
     * Records a command as open before it is sent; its fencing number is the object version that
     * the record replaces.
     */
    CompletableFuture<Long> recordIntent(
            String engine, String id, CommandKind kind, Map<String, String> arguments) {
        return mLease.change(
                (payload, baseVersion) ->
                        withRecord(
                                payload,
                                engine,
                                new CommandRecord(
                                        id,
                                        baseVersion,
                                        kind,
                                        Map.copyOf(arguments),
                                        CommandState.OPEN)));
    }

    /** Records a command as done or refused; a role that was set is added to the role history. */
    CompletableFuture<Long> recordCompletion(String engine, CommandRecord record) {
        return mLease.change(
                (payload, baseVersion) -> {
                    String changed = withRecord(payload, engine, record);
                    boolean isRoleSet =
                            record.kind() == CommandKind.SET_ROLE
                                    && record.state() == CommandState.DONE;
                    return isRoleSet
                            ? withRole(changed, engine, record.arguments().getOrDefault("role", ""))
                            : changed;
                });
    }

    CompletableFuture<Long> removeEngine(String engine) {
        return mLease.change(
                (payload, baseVersion) -> {
                    CommandLog log = CommandLog.parse(payload);
                    Map<String, CommandRecord> engines = new TreeMap<>(log.engines());
                    Map<String, List<String>> roles = new TreeMap<>(log.roles());
                    engines.remove(engine);
                    roles.remove(engine);
                    return CommandLogCodec.format(new CommandLog(engines, roles));
                });
    }

    private static String withRecord(String payload, String engine, CommandRecord record) {
        CommandLog log = CommandLog.parse(payload);
        Map<String, CommandRecord> engines = new TreeMap<>(log.engines());
        engines.put(engine, record);
        return CommandLogCodec.format(new CommandLog(engines, log.roles()));
    }

    private static String withRole(String payload, String engine, String role) {
        CommandLog log = CommandLog.parse(payload);
        Map<String, List<String>> roles = new HashMap<>(log.roles());
        List<String> history = new ArrayList<>(roles.getOrDefault(engine, List.of()));
        history.add(role);
        int surplus = Math.max(0, history.size() - MAX_ROLES);
        roles.put(engine, List.copyOf(history.subList(surplus, history.size())));
        return CommandLogCodec.format(new CommandLog(log.engines(), new TreeMap<>(roles)));
    }
}
