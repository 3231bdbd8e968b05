package org.sesamedeck.routing;

import java.util.Optional;

/**
 * An engine that probably holds a prompt prefix in its KV cache.
 *
 * @param endpoint the engine; empty when none is known
 * @param cachedFraction fraction of the prompt that it holds, 0 to 1
 */
record CacheSource(Optional<EndpointDescription> endpoint, double cachedFraction) {
    private static final int MAX_HOLDERS = 4;
    private static final CacheSource NONE = new CacheSource(Optional.empty(), 0);

    /**
     * Finds the holder of the longest known prefix of a prompt, preferring one in the same region.
     *
     * @param fetchingEngine the engine that will fetch from the holder; it is never its own source;
     *     empty when it is not chosen yet
     */
    static CacheSource find(
            PrefixIndex prefixes,
            EndpointTable table,
            RequestProfile profile,
            Optional<EndpointDescription> fetchingEngine) {
        long[] hashes = profile.prefixHashes();
        for (int i = hashes.length - 1; i >= 0; i--) {
            EndpointDescription found = null;
            for (int position = 0; position < MAX_HOLDERS; position++) {
                String holder = prefixes.holder(hashes[i], position);
                EndpointState state = holder == null ? null : table.state(holder);
                if (state == null || !state.isUsable() || hasName(fetchingEngine, holder)) {
                    continue;
                }
                boolean isSameRegion =
                        fetchingEngine.isPresent()
                                && fetchingEngine
                                        .get()
                                        .region()
                                        .equals(state.description().region());
                if (found == null || isSameRegion) {
                    found = state.description();
                }
                if (isSameRegion) {
                    break;
                }
            }
            if (found != null) {
                return new CacheSource(Optional.of(found), (i + 1.0) / hashes.length);
            }
        }
        return NONE;
    }

    private static boolean hasName(Optional<EndpointDescription> endpoint, String name) {
        return endpoint.isPresent() && endpoint.get().name().equals(name);
    }
}
