package org.sesamedeck.routing;

import java.util.Optional;

/**
 * An engine that probably keeps the beginning of a prompt.
 *
 * @param endpoint the engine; empty when none is known
 * @param cachedPart part of the prompt that it keeps, 0 to 1
 */
record CacheSource(Optional<EndpointDescription> endpoint, double cachedPart) {
    private static final int MAX_HOLDERS = 4;
    private static final CacheSource NONE = new CacheSource(Optional.empty(), 0);

    /**
     * Finds the holder of the longest known beginning of a prompt, one of the same region first.
     *
     * @param near the engine that will fetch from it; it is never its own source
     */
    static CacheSource find(
            PrefixIndex prefixes,
            EndpointTable table,
            RequestProfile profile,
            Optional<EndpointDescription> near) {
        long[] hashes = profile.prefixHashes();
        for (int i = hashes.length - 1; i >= 0; i--) {
            EndpointDescription found = null;
            for (int position = 0; position < MAX_HOLDERS; position++) {
                String holder = prefixes.holder(hashes[i], position);
                EndpointState state = holder == null ? null : table.state(holder);
                if (state == null || !state.isUsable() || isSame(near, holder)) {
                    continue;
                }
                boolean isNear =
                        near.isPresent()
                                && near.get().region().equals(state.description().region());
                if (found == null || isNear) {
                    found = state.description();
                }
                if (isNear) {
                    break;
                }
            }
            if (found != null) {
                return new CacheSource(Optional.of(found), (i + 1.0) / hashes.length);
            }
        }
        return NONE;
    }

    private static boolean isSame(Optional<EndpointDescription> endpoint, String name) {
        return endpoint.isPresent() && endpoint.get().name().equals(name);
    }
}
