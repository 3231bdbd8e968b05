package org.sesamedeck.emulator.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.emulator.answer.ResponseText;

/**
 * LRU cache of prompt prefixes in blocks of 64 tokens. Block hashes are chained: a hash is the
 * first 16 hexadecimal digits of the SHA-256 of the previous hash followed by the 256 characters of
 * the block. For the first block, the name of the model takes the place of the previous hash.
 * Confined to the event loop.
 */
final class PrefixCache {
    static final int BLOCK_TOKENS = 64;

    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * ResponseText.TOKEN_BYTES;

    private final int mCapacity;
    private final CacheEventLog mEvents;
    private final Map<String, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    private PrefixCache(int capacity, CacheEventLog events) {
        mCapacity = capacity;
        mEvents = events;
    }

    static PrefixCache of(int capacity, CacheEventLog events) {
        return new PrefixCache(capacity, events);
    }

    /** Returns the hashes of the complete blocks of a prompt. */
    static List<String> blockHashes(String model, String prompt) {
        List<String> blockHashes = new ArrayList<>();
        String previous = model;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            String block = prompt.substring(end - BLOCK_CHARACTERS, end);
            previous = String.format("%016x", ResponseText.hash(previous + block));
            blockHashes.add(previous);
        }
        return blockHashes;
    }

    /** Returns the length of the cached prompt prefix in tokens. */
    int cachedTokens(List<String> blockHashes) {
        int cachedBlocks = 0;
        for (String block : blockHashes) {
            if (mBlocks.get(block) == null) {
                break;
            }
            cachedBlocks++;
        }
        return cachedBlocks * BLOCK_TOKENS;
    }

    void store(List<String> blockHashes) {
        for (String block : blockHashes) {
            if (mBlocks.put(block, true) == null) {
                mEvents.add("stored", block);
            }
        }
        Iterator<String> oldest = mBlocks.keySet().iterator();
        List<String> evicted = new ArrayList<>();
        while (mBlocks.size() - evicted.size() > mCapacity && oldest.hasNext()) {
            evicted.add(oldest.next());
        }
        for (String block : evicted) {
            mBlocks.remove(block);
            mEvents.add("evicted", block);
        }
    }

    void clear() {
        mBlocks.clear();
        mEvents.add("cleared", "");
    }
}
