package org.sesamedeck.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.endpoint.command.CommandKind;
import org.sesamedeck.endpoint.command.EngineCommand;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.platform.StoredObject;

/**
 * Naive version: the lease is an expiry time by the holder's wall clock, and commands carry no
 * fencing number.
 */
final class WallClockController implements SimulatedController {
    private static final Duration LEASE_DURATION = Duration.ofSeconds(9);
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(3);

    private final ControllerEnvironment mEnvironment;
    private Instant mHeldUntil = Instant.MIN;
    private long mCommandCount;

    private WallClockController(ControllerEnvironment environment) {
        mEnvironment = environment;
    }

    static SimulatedController create(ControllerEnvironment environment) {
        return new WallClockController(environment);
    }

    @Override
    public void start() {
        mEnvironment
                .store()
                .get(EngineGroupKeys.key(0))
                .thenAcceptAsync(this::acquireOrRenew, mEnvironment.process());
        mEnvironment.process().schedule(RENEWAL_INTERVAL, this::start);
    }

    private void acquireOrRenew(Optional<StoredObject> found) {
        Instant now = mEnvironment.clock().now();
        String[] parts = found.map(stored -> stored.value().split(" ")).orElse(new String[0]);
        boolean isOwnLease = parts.length == 2 && parts[0].equals(mEnvironment.name());
        boolean isExpired = parts.length < 2 || Instant.parse(parts[1]).isBefore(now);
        if (!isOwnLease && !isExpired) {
            return;
        }
        Instant end = now.plus(LEASE_DURATION);
        String value = mEnvironment.name() + " " + end;
        (found.isPresent()
                        ? mEnvironment
                                .store()
                                .update(EngineGroupKeys.key(0), found.get().version(), value)
                        : mEnvironment.store().create(EngineGroupKeys.key(0), value))
                .thenAcceptAsync(
                        version -> {
                            if (!isOwnLease) {
                                mEnvironment
                                        .sender()
                                        .setHolderNumber(
                                                mEnvironment.nextHolderNumber().getAsLong());
                            }
                            mHeldUntil = end;
                        },
                        mEnvironment.process());
    }

    @Override
    public void setRole(EngineTarget engine, String role) {
        if (!mEnvironment.clock().now().isBefore(mHeldUntil)) {
            return;
        }
        mCommandCount++;
        EngineCommand command =
                new EngineCommand(
                        mEnvironment.name() + "-" + mCommandCount,
                        0,
                        CommandKind.SET_ROLE,
                        Map.of("role", role));
        mEnvironment
                .sender()
                .open(engine.address())
                .thenCompose(connection -> connection.send(command));
    }

    @Override
    public boolean areCommandsCompleted(String groupValue) {
        return true;
    }

    @Override
    public Map<String, String> recordedRoles(String groupValue) {
        return Map.of();
    }
}
