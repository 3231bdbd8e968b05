package org.sesamedeck.routing;

import java.util.List;

/** Endpoints of one target or one pool, by role. Immutable. */
final class Candidates {
    private final EndpointState[] mAll;
    private final EndpointState[][] mByRole;

    private Candidates(EndpointState[] all, EndpointState[][] byRole) {
        mAll = all;
        mByRole = byRole;
    }

    static Candidates of(List<EndpointState> endpoints) {
        EndpointRole[] roles = EndpointRole.values();
        EndpointState[][] byRole = new EndpointState[roles.length][];
        for (EndpointRole role : roles) {
            byRole[role.ordinal()] =
                    endpoints.stream()
                            .filter(endpoint -> endpoint.description().role() == role)
                            .toArray(EndpointState[]::new);
        }
        return new Candidates(endpoints.toArray(EndpointState[]::new), byRole);
    }

    EndpointState[] all() {
        return mAll;
    }

    EndpointState[] ofRole(EndpointRole role) {
        return mByRole[role.ordinal()];
    }
}
