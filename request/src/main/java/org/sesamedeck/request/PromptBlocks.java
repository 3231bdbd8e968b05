package org.sesamedeck.request;

import java.util.List;

/** Hashes a prompt in blocks of equal size, by which the router tracks cached prompt prefixes. */
public final class PromptBlocks {
    /** Block size, small enough to distinguish short shared parts. */
    private static final int BLOCK_TOKENS = 256;

    private static final int MAX_BLOCKS = 128;

    /** 2^64 divided by the golden ratio, a usual multiplier for mixing hash bits. */
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private PromptBlocks() {}

    /**
     * Returns one hash for each block, each of which depends on all blocks before it. At most 128
     * blocks are hashed.
     *
     * @param target model that the prompt is for; equal prompts for other targets hash differently
     */
    public static long[] hashes(String target, List<PromptPart> parts) {
        int tokens = 0;
        for (PromptPart part : parts) {
            tokens += Math.max(0, part.tokens());
        }
        int count = Math.min(MAX_BLOCKS, tokens / BLOCK_TOKENS);
        long[] hashes = new long[count];
        long hash = mix(target.hashCode());
        int block = 0;
        long end = 0;
        for (PromptPart part : parts) {
            end += Math.max(0, part.tokens());
            hash = mix(hash ^ part.identifier());
            while (block < count && (block + 1L) * BLOCK_TOKENS <= end) {
                hashes[block] = mix(hash + block);
                block++;
            }
        }
        return hashes;
    }

    /** Returns the number of blocks within the parts that other requests may share. */
    public static int sharedBlocks(List<PromptPart> parts) {
        int tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += Math.max(0, parts.get(i).tokens());
        }
        return Math.min(MAX_BLOCKS, tokens / BLOCK_TOKENS);
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 32) * HASH_MULTIPLIER;
        return mixed ^ mixed >>> 29;
    }
}
