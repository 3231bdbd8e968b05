package org.sesamedeck.routing;

import java.util.Optional;
import java.util.Set;
import org.sesamedeck.routing.locality.HostLocation;

/**
 * Properties of a request that admission and routing use.
 *
 * @param plan plan of the client account
 * @param clientAccount client account that sent the request
 * @param target model name, or service name of a plain service
 * @param isModelRequest whether the target is a model
 * @param priority 0 to 9, 9 is highest
 * @param promptTokens estimated prompt tokens; 0 for plain services
 * @param expectedOutputTokens estimated output tokens; 0 for plain services
 * @param prefixHashes hashes of the prompt's leading blocks, longest last; may be empty
 * @param allowedRegions regions that may serve the request; empty means all
 * @param sharedBlocks number of leading blocks that other requests may share
 * @param deadlineNanos monotonic time by which the request must have started, in nanoseconds
 * @param cacheLocation where the engine stands that holds the KV cache of the processed prompt
 */
public record RequestProfile(
        String plan,
        String clientAccount,
        String target,
        boolean isModelRequest,
        int priority,
        long promptTokens,
        long expectedOutputTokens,
        long[] prefixHashes,
        int sharedBlocks,
        Set<String> allowedRegions,
        long deadlineNanos,
        Optional<HostLocation> cacheLocation) {
    /** Returns a profile of a request whose prompt is not processed yet. */
    public RequestProfile(
            String plan,
            String clientAccount,
            String target,
            boolean isModelRequest,
            int priority,
            long promptTokens,
            long expectedOutputTokens,
            long[] prefixHashes,
            int sharedBlocks,
            Set<String> allowedRegions,
            long deadlineNanos) {
        this(
                plan,
                clientAccount,
                target,
                isModelRequest,
                priority,
                promptTokens,
                expectedOutputTokens,
                prefixHashes,
                sharedBlocks,
                allowedRegions,
                deadlineNanos,
                Optional.empty());
    }

    /** Returns a profile whose blocks may all be shared. */
    public RequestProfile(
            String plan,
            String clientAccount,
            String target,
            boolean isModelRequest,
            int priority,
            long promptTokens,
            long expectedOutputTokens,
            long[] prefixHashes,
            Set<String> allowedRegions,
            long deadlineNanos) {
        this(
                plan,
                clientAccount,
                target,
                isModelRequest,
                priority,
                promptTokens,
                expectedOutputTokens,
                prefixHashes,
                prefixHashes.length,
                allowedRegions,
                deadlineNanos);
    }

    /** Returns this profile restricted to endpoints of one region. */
    public RequestProfile inRegion(String region) {
        return new RequestProfile(
                plan,
                clientAccount,
                target,
                isModelRequest,
                priority,
                promptTokens,
                expectedOutputTokens,
                prefixHashes,
                sharedBlocks,
                Set.of(region),
                deadlineNanos,
                cacheLocation);
    }

    /** Returns this profile with the place of the KV cache of its processed prompt. */
    public RequestProfile withCacheAt(HostLocation location) {
        return new RequestProfile(
                plan,
                clientAccount,
                target,
                isModelRequest,
                priority,
                promptTokens,
                expectedOutputTokens,
                prefixHashes,
                sharedBlocks,
                allowedRegions,
                deadlineNanos,
                Optional.of(location));
    }
}
