package org.sesamedeck.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.routing.locality.HostLocation;

/**
 * An endpoint as the endpoint table describes it.
 *
 * @param name name of the endpoint
 * @param address network address
 * @param service name of its service
 * @param failureDomain failure domain of its host
 * @param region region of its host
 * @param isEngine whether it is a model engine
 * @param isLeaving whether it is draining and receives no new work
 * @param isChanging whether it is in the middle of a role or model change
 * @param role role of an engine
 * @param models models loaded by an engine
 * @param isReclaimable whether the platform may take its host away at short notice
 * @param leavesWithin time from the receipt of this description until it ends, if it has said so
 * @param startedAt start of its process by its own clock; tells processes with the same name apart
 */
public record EndpointDescription(
        String name,
        HostAddress address,
        String service,
        String failureDomain,
        String region,
        boolean isEngine,
        boolean isLeaving,
        boolean isChanging,
        EndpointRole role,
        Set<String> models,
        boolean isReclaimable,
        Optional<Duration> leavesWithin,
        Optional<Instant> startedAt) {
    /** Describes an endpoint whose start is unknown. */
    public EndpointDescription(
            String name,
            HostAddress address,
            String service,
            String failureDomain,
            String region,
            boolean isEngine,
            boolean isLeaving,
            boolean isChanging,
            EndpointRole role,
            Set<String> models,
            boolean isReclaimable,
            Optional<Duration> leavesWithin) {
        this(
                name,
                address,
                service,
                failureDomain,
                region,
                isEngine,
                isLeaving,
                isChanging,
                role,
                models,
                isReclaimable,
                leavesWithin,
                Optional.empty());
    }

    /** Describes an endpoint that the platform does not reclaim. */
    public EndpointDescription(
            String name,
            HostAddress address,
            String service,
            String failureDomain,
            String region,
            boolean isEngine,
            boolean isLeaving,
            boolean isChanging,
            EndpointRole role,
            Set<String> models) {
        this(
                name,
                address,
                service,
                failureDomain,
                region,
                isEngine,
                isLeaving,
                isChanging,
                role,
                models,
                false,
                Optional.empty());
    }

    /**
     * Returns whether both descriptions are of the same process: they have the same name and
     * address, and their starts, if both are known, are equal.
     */
    public boolean isSameProcess(EndpointDescription other) {
        boolean isOtherStart =
                startedAt.isPresent()
                        && other.startedAt.isPresent()
                        && !startedAt.equals(other.startedAt);
        return name.equals(other.name) && address.equals(other.address) && !isOtherStart;
    }

    /** Returns where its host stands. */
    public HostLocation location() {
        return new HostLocation(failureDomain, region);
    }

    /** Returns this description with the state of an endpoint that is leaving. */
    public EndpointDescription asLeaving() {
        return new EndpointDescription(
                name,
                address,
                service,
                failureDomain,
                region,
                isEngine,
                true,
                isChanging,
                role,
                models,
                isReclaimable,
                leavesWithin,
                startedAt);
    }
}
