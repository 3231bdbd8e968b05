package org.sesamedeck.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What a routing decision knows of one endpoint.
 *
 * @param endpoint name of the endpoint
 * @param failureDomain its failure domain
 * @param role its role
 * @param expectedWait expected time until work sent now starts
 * @param cost cost of the request there; empty unless the endpoint was compared
 * @param rankingCost cost by which it was ranked within its region or failure domain, which adds
 *     the work that other processes may have sent; empty unless the endpoint was compared
 * @param loadAge age of the newest load known of it; empty while none is known
 * @param exclusion why it was not compared; empty if it was
 */
public record CandidateExplanation(
        String endpoint,
        String failureDomain,
        EndpointRole role,
        Duration expectedWait,
        Optional<Duration> cost,
        Optional<Duration> rankingCost,
        Optional<Duration> loadAge,
        Optional<CandidateExclusion> exclusion) {}
