package org.sesamedeck.request;

import org.sesamedeck.routing.EndpointDescription;

/**
 * The KV cache of a processed prompt that an endpoint holds for transfer to another endpoint.
 *
 * @param endpoint endpoint that holds the KV cache
 * @param handle identifies the KV cache at that endpoint; can be used once
 */
public record ProcessedPrompt(EndpointDescription endpoint, String handle) {}
