package org.sesamedeck.routing;

import java.util.Map;

/**
 * Bounds the memory that the known requests of all processes take at an engine, in tokens.
 * Thread-safe.
 *
 * <p>An engine ends when the requests that it holds exceed its memory. Every process therefore adds
 * up the tokens of all requests that it and the others have at an engine, running or queued there,
 * and counts each prompt in full, since it does not know which parts the engine keeps only once.
 * Prompts that are processed apart do not count: they wait without memory, are processed one after
 * the other, and their memory is taken over by another engine at once. Counting them would send
 * long queues of prompts to decode engines, which would then reject responses. The requests of
 * other processes are known some exchange rounds late; a part of the memory is left free for them.
 */
final class EngineMemory {
    /** Part of the memory that the known requests may take. */
    private static final double USABLE_PART = 0.8;

    private volatile Map<String, Long> mTokensByService = Map.of();

    /** Replaces the memory of all services; services that are left out have no known limit. */
    void update(Map<String, Long> tokensByService) {
        mTokensByService = Map.copyOf(tokensByService);
    }

    /** Returns whether a request exceeds the memory of an engine that holds nothing else. */
    boolean isOversized(String service, long tokens) {
        return tokens > mTokensByService.getOrDefault(service, Long.MAX_VALUE);
    }

    /**
     * Returns whether a request fits beside those that the engine holds. An engine without any may
     * take one of any size up to its memory.
     *
     * @param heldTokens tokens of the known requests of all processes there
     */
    boolean hasRoom(String service, long heldTokens, long tokens) {
        long memory = mTokensByService.getOrDefault(service, Long.MAX_VALUE);
        return heldTokens <= 0
                ? tokens <= memory
                : heldTokens + (double) tokens <= USABLE_PART * memory;
    }
}
