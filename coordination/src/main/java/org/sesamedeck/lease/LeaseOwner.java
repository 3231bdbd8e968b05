package org.sesamedeck.lease;

import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.OwnedStateCodec;

/**
 * Identity under which one acquisition writes the lease object.
 *
 * @param token token that is unique for each acquisition
 * @param node name of the node
 * @param address address of the control process
 * @param durationMillis duration of the lease in milliseconds
 */
record LeaseOwner(String token, String node, String address, long durationMillis)
        implements OwnedStateCodec<LeaseState> {
    /** Returns the stored value that acquires the lease. */
    String formatAcquisition(List<String> unsettled, String payload) {
        return new LeaseObject(token, node, address, durationMillis, false, unsettled, 0, payload)
                .format();
    }

    @Override
    public String format(LeaseState state, long changes) {
        return new LeaseObject(
                        token,
                        node,
                        address,
                        durationMillis,
                        state.isReleased(),
                        state.unsettled(),
                        changes,
                        state.payload())
                .format();
    }

    @Override
    public Optional<Long> ownChanges(String value) {
        try {
            LeaseObject object = LeaseObject.parse(value);
            return object.owner().equals(token) ? Optional.of(object.changes()) : Optional.empty();
        } catch (SesamedeckException foreignValue) {
            return Optional.empty();
        }
    }
}
