package org.sesamedeck.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.routing.Assignment;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.LoadReport;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.Router;

/**
 * Baseline router that selects the engines of the matching role in turn. It skips only excluded
 * engines and those that the endpoint table marks as leaving.
 */
final class RoundRobinRouter implements Router {
    private List<EndpointDescription> mEndpoints = List.of();
    private int mNextPrefill;
    private int mNextDecode;

    private RoundRobinRouter(int start) {
        mNextPrefill = start;
        mNextDecode = start;
    }

    static RoundRobinRouter create(int start) {
        return new RoundRobinRouter(start);
    }

    @Override
    public Optional<Assignment> choose(RequestProfile profile, Set<String> excluded) {
        return choosePhase(profile, RequestPhase.WHOLE, excluded);
    }

    @Override
    public Optional<Assignment> choosePhase(
            RequestProfile profile, RequestPhase phase, Set<String> excluded) {
        boolean isPrefill = phase == RequestPhase.PREFILL;
        List<EndpointDescription> eligible =
                mEndpoints.stream()
                        .filter(
                                endpoint ->
                                        endpoint.role() == EndpointRole.MIXED
                                                || (endpoint.role() == EndpointRole.PREFILL)
                                                        == isPrefill)
                        .filter(endpoint -> !endpoint.isLeaving())
                        .filter(endpoint -> !excluded.contains(endpoint.name()))
                        .toList();
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        int next = isPrefill ? mNextPrefill++ : mNextDecode++;
        return Optional.of(new StatelessAssignment(eligible.get(next % eligible.size())));
    }

    @Override
    public void updateEndpoints(List<EndpointDescription> endpoints) {
        mEndpoints = List.copyOf(endpoints);
    }

    @Override
    public void reportLoad(String endpoint, LoadReport report) {
        // Round robin ignores load.
    }

    @Override
    public void markLeaving(String endpoint) {
        // Only the endpoint table is used.
    }

    @Override
    public void clearLeaving(String endpoint) {
        // Only the endpoint table is used.
    }

    @Override
    public List<EndpointDescription> subset() {
        return mEndpoints;
    }

    /** An assignment that ignores the outcome of its attempt. */
    private record StatelessAssignment(EndpointDescription endpoint) implements Assignment {
        @Override
        public void firstToken() {
            // The outcome is ignored.
        }

        @Override
        public void succeeded(long promptTokens, long outputTokens) {
            // The outcome is ignored.
        }

        @Override
        public void failed(Optional<Duration> retryAfter) {
            // The outcome is ignored.
        }

        @Override
        public void cancelled() {
            // The outcome is ignored.
        }

        @Override
        public void close() {
            // No resource is held.
        }
    }
}
