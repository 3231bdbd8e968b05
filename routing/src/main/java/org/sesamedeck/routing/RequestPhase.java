package org.sesamedeck.routing;

/** Phase of a request for which an endpoint is chosen. */
public enum RequestPhase {
    /** The prompt and the full response at one endpoint. */
    WHOLE,
    /** The prompt and the first token; the KV cache is exported afterwards. */
    PREFILL,
    /** The response after the first token, with an imported KV cache. */
    DECODE
}
