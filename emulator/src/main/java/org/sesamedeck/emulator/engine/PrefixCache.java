package org.sesamedeck.emulator.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sesamedeck.emulator.response.ResponseText;

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
    private final CacheEventLog mEventLog;
    // Block hashes in access order, least recently used first; the values have no meaning.
    private final Map<String, Boolean> mBlockHashes = new LinkedHashMap<>(16, 0.75f, true);

    private PrefixCache(int capacity, CacheEventLog eventLog) {
        mCapacity = capacity;
        mEventLog = eventLog;
    }

    static PrefixCache of(int capacity, CacheEventLog eventLog) {
        return new PrefixCache(capacity, eventLog);
    }

    /** Returns the hashes of the complete blocks of a prompt. */
    static List<String> blockHashes(String model, String prompt) {
        List<String> blockHashes = new ArrayList<>();
        String previousHash = model;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            String block = prompt.substring(end - BLOCK_CHARACTERS, end);
            previousHash = String.format("%016x", ResponseText.hash(previousHash + block));
            blockHashes.add(previousHash);
        }
        return blockHashes;
    }

    /** Returns the length of the cached prompt prefix in tokens; marks its blocks as used. */
    int cachedTokens(List<String> blockHashes) {
        int cachedBlocks = 0;
        for (String blockHash : blockHashes) {
            if (mBlockHashes.get(blockHash) == null) {
                break;
            }
            cachedBlocks++;
        }
        return cachedBlocks * BLOCK_TOKENS;
    }

    void store(List<String> blockHashes) {
        for (String blockHash : blockHashes) {
            if (mBlockHashes.put(blockHash, true) == null) {
                mEventLog.add("stored", blockHash);
            }
        }
        Iterator<String> oldest = mBlockHashes.keySet().iterator();
        List<String> evicted = new ArrayList<>();
        while (mBlockHashes.size() - evicted.size() > mCapacity && oldest.hasNext()) {
            evicted.add(oldest.next());
        }
        for (String blockHash : evicted) {
            mBlockHashes.remove(blockHash);
            mEventLog.add("evicted", blockHash);
        }
    }

    void clear() {
        mBlockHashes.clear();
        mEventLog.add("cleared", "");
    }
}
