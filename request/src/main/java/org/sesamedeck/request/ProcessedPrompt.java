package org.sesamedeck.request;

import org.sesamedeck.routing.EndpointDescription;

/**
 * The KV cache of a prompt that an endpoint processed and keeps for one other endpoint.
 *
 * @param endpoint endpoint that keeps it
 * @param handle its name there; can be used once
 */
public record ProcessedPrompt(EndpointDescription endpoint, String handle) {}
