package org.sesamedeck.proof;

import java.util.List;

/**
 * Result of a claim simulation.
 *
 * @param violations descriptions of violated guarantees
 * @param executedRequests number of requests that ran
 * @param storedOutcomes number of repeated requests that got a stored outcome
 */
record ClaimSimulationResult(List<String> violations, int executedRequests, int storedOutcomes) {}
