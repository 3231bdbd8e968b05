package org.sesamedeck.routing.scaling;

import java.util.Optional;
import org.sesamedeck.routing.EndpointRole;

/**
 * Decides which phase a service's engines serve, as part of the plan for its servers: new servers
 * bring a role that the platform chose, so the roles follow each order. Without state.
 */
public final class RolePlan {
    /**
     * Deviation from the need that is accepted, as a fraction of the engines. An engine refuses
     * work for seconds while it changes, and a request that may be sent once only is then lost.
     */
    private static final double TOLERANCE = 0.2;

    private static final double MIN_TOLERANCE = 2;

    private RolePlan() {}

    /**
     * Returns the role of which one more engine is needed, if any.
     *
     * @param need servers that are needed for each phase
     * @param prefill engines with the prefill role, those that are changing to it included
     * @param decode engines with the decode role, those that are changing to it included
     */
    public static Optional<EndpointRole> neededRole(ServerNeed need, int prefill, int decode) {
        int engines = prefill + decode;
        double share = need.prefill() / (double) Math.max(1, need.total());
        double missing = engines * share - prefill;
        double tolerated = Math.max(MIN_TOLERANCE, engines * TOLERANCE);
        if (missing >= tolerated) {
            return Optional.of(EndpointRole.PREFILL);
        }
        return missing <= -tolerated ? Optional.of(EndpointRole.DECODE) : Optional.empty();
    }
}
