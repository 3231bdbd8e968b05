package org.sesamedeck.emulator.response;

import org.sesamedeck.core.HostAddress;

/**
 * Location from which an engine fetches the KV cache of a prompt.
 *
 * @param address address of the prefill engine
 * @param requestId identifier of the request whose cache that engine holds
 */
public record KvCacheSource(HostAddress address, String requestId) {}
