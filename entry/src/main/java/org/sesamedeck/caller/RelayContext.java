package org.sesamedeck.caller;

import org.sesamedeck.core.Clock;
import org.sesamedeck.endpoint.EndpointClient;
import org.sesamedeck.routing.RetryBudget;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.quarantine.PartQuarantine;

/**
 * Dependencies shared by all relays.
 *
 * @param endpointClient sends requests to endpoints
 * @param router chooses endpoints
 * @param clock monotonic time
 * @param quarantine keeps messages from engines that crash under them
 * @param resumeTokens signs and verifies resume tokens
 * @param retryBudget limits retries
 * @param metrics metrics of this entry process
 * @param region region of this entry process
 */
public record RelayContext(
        EndpointClient endpointClient,
        Router router,
        Clock clock,
        PartQuarantine quarantine,
        ResumeTokenCodec resumeTokens,
        RetryBudget retryBudget,
        EntryMetrics metrics,
        String region) {}
