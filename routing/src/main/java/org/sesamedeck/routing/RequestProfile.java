package org.sesamedeck.routing;

import java.util.Set;

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
        long deadlineNanos) {
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
                deadlineNanos);
    }
}
