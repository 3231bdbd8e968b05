package org.sesamedeck.request;

import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.StartPolicy;

/**
 * What a configuration determines for a request that it allows.
 *
 * @param route route of the request
 * @param access whether the request may still run, and for which client account
 * @param usage is told when the request begins to run
 * @param service service that serves the request
 * @param profile properties that the router uses
 * @param start whether and how the request is sent
 * @param configurationVersion version of the configuration
 */
record AcceptedRequest(
        Route route,
        RequestAccess access,
        RequestUsage usage,
        String service,
        RequestProfile profile,
        StartPolicy.Verdict start,
        long configurationVersion) {}
