package org.sesamedeck.proof;

import java.util.Map;
import java.util.TreeMap;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.command.CommandKind;
import org.sesamedeck.endpoint.command.EngineCommand;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.lease.DefaultLeaseManager;
import org.sesamedeck.lease.Lease;
import org.sesamedeck.lease.LeaseManager;
import org.sesamedeck.lease.LeaseObject;
import org.sesamedeck.lease.LeaseSettings;

/**
 * Naive version: uses the production lease and sends its fencing number, but checks the lease
 * before it connects, sends without a recorded intent, records the command after the response, and
 * does not wait after a takeover.
 */
final class UnrecordedController implements SimulatedController {
    private final ControllerEnvironment mEnvironment;
    private final LeaseManager mLeaseManager;
    private Lease mLease;
    private long mCommandCount;

    private UnrecordedController(ControllerEnvironment environment) {
        mEnvironment = environment;
        mLeaseManager =
                DefaultLeaseManager.create(
                        environment.store(),
                        environment.process(),
                        environment.clock(),
                        LeaseSettings.standard(),
                        environment.name(),
                        HostAddress.of("127.0.0.1", 1),
                        "process");
    }

    static SimulatedController create(ControllerEnvironment environment) {
        return new UnrecordedController(environment);
    }

    @Override
    public void start() {
        mLeaseManager
                .acquire(EngineGroupKeys.key(0), (lease, reason) -> start())
                .thenAccept(
                        lease -> {
                            mEnvironment
                                    .sender()
                                    .setHolderNumber(mEnvironment.nextHolderNumber().getAsLong());
                            mLease = lease;
                        });
    }

    @Override
    public void setRole(EngineTarget engine, String role) {
        Lease lease = mLease;
        if (lease == null || !lease.isHeld()) {
            return;
        }
        mCommandCount++;
        EngineCommand command =
                new EngineCommand(
                        mEnvironment.name() + "-" + mCommandCount,
                        lease.fencingNumber(),
                        CommandKind.SET_ROLE,
                        Map.of("role", role));
        mEnvironment
                .sender()
                .open(engine.address())
                .thenCompose(connection -> connection.send(command))
                .thenAcceptAsync(
                        reply ->
                                lease.change(
                                        (payload, version) ->
                                                payload + engine.name() + "=" + role + ";"),
                        mEnvironment.process());
    }

    @Override
    public boolean areCommandsCompleted(String groupValue) {
        return true;
    }

    @Override
    public Map<String, String> recordedRoles(String groupValue) {
        Map<String, String> roles = new TreeMap<>();
        for (String entry : LeaseObject.parse(groupValue).payload().split(";")) {
            int separator = entry.indexOf('=');
            if (separator > 0) {
                roles.put(entry.substring(0, separator), entry.substring(separator + 1));
            }
        }
        return roles;
    }
}
