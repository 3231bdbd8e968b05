package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Records one routing decision and explains it. */
final class ExplanationRecorder implements ComparisonListener {
    private static final Comparator<CandidateExplanation> ORDER =
            Comparator.comparing(
                            (CandidateExplanation candidate) ->
                                    candidate
                                            .rankingCost()
                                            .orElse(Duration.ofNanos(Long.MAX_VALUE)))
                    .thenComparing(CandidateExplanation::endpoint);

    private final Map<EndpointState, Costs> mCompared = new HashMap<>();
    private final Set<EndpointRole> mRoles = new HashSet<>();
    private final Set<String> mDomains = new HashSet<>();
    private boolean mHasSearchedAllDomains;

    /** Costs of an endpoint in nanoseconds. */
    private record Costs(double cost, double rankingCost) {}

    @Override
    public void searched(Set<String> failureDomains, EndpointRole role) {
        mRoles.add(role);
        mDomains.addAll(failureDomains);
        mHasSearchedAllDomains |= failureDomains.isEmpty();
    }

    /** Keeps the lower cost of an endpoint that is compared twice, as the decision does. */
    @Override
    public void compared(EndpointState state, double cost, double rankingCost) {
        mCompared.merge(
                state,
                new Costs(cost, rankingCost),
                (known, added) -> added.rankingCost < known.rankingCost ? added : known);
    }

    /**
     * Explains a decision that is complete.
     *
     * @param expectedStartNanos expected start at the chosen endpoint, in nanoseconds
     */
    RoutingExplanation explain(
            EndpointChoice choice, Candidates candidates, OptionalLong expectedStartNanos) {
        return new RoutingExplanation(
                Optional.ofNullable(choice.best()).map(best -> best.description().name()),
                expectedStartNanos.isPresent()
                        ? Optional.of(Duration.ofNanos(expectedStartNanos.getAsLong()))
                        : Optional.empty(),
                Arrays.stream(candidates.all())
                        .map(state -> candidate(choice, state))
                        .sorted(ORDER)
                        .toList());
    }

    private CandidateExplanation candidate(EndpointChoice choice, EndpointState state) {
        EndpointDescription description = state.description();
        Optional<Costs> costs = Optional.ofNullable(mCompared.get(state));
        long loadAgeNanos = state.loadAgeNanos();
        return new CandidateExplanation(
                description.name(),
                description.failureDomain(),
                description.role(),
                duration(state.expectedWaitNanos(1)),
                costs.map(known -> duration(known.cost)),
                costs.map(known -> duration(known.rankingCost)),
                loadAgeNanos == Long.MAX_VALUE
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(loadAgeNanos)),
                costs.isPresent() ? Optional.empty() : Optional.of(exclusion(choice, state)));
    }

    private CandidateExclusion exclusion(EndpointChoice choice, EndpointState state) {
        CandidateExclusion exclusion = choice.exclusion(state);
        if (exclusion != null) {
            return exclusion;
        }
        EndpointDescription description = state.description();
        if (!mRoles.contains(description.role())) {
            return CandidateExclusion.WRONG_ROLE;
        }
        return mHasSearchedAllDomains || mDomains.contains(description.failureDomain())
                ? CandidateExclusion.NOT_SAMPLED
                : CandidateExclusion.OUTSIDE_DOMAIN;
    }

    private static Duration duration(double nanos) {
        return Duration.ofNanos((long) nanos);
    }
}
