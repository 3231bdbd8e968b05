package org.sesamedeck.emulator.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.emulator.http.Json;

/**
 * KV caches by request, computed by this engine or imported. Only a description is transferred; the
 * importing engine simulates the transfer time of the content. Confined to the event loop.
 */
final class KvCacheStore {
    // A typical model with 8 billion parameters needs about this much per token.
    private static final long BYTES_PER_TOKEN = 128 << 10;
    private static final int MAX_ENTRIES = 512;

    private final Map<String, ObjectNode> mEntries =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ObjectNode> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    private KvCacheStore() {}

    static KvCacheStore create() {
        return new KvCacheStore();
    }

    /** Adds the KV cache of a finished prefill, for export to a decode engine. */
    void addComputed(Sequence sequence) {
        mEntries.put(
                sequence.requestId(),
                Json.object()
                        .put("request_id", sequence.requestId())
                        .put("seed", Long.toHexString(sequence.response().seed()))
                        .put("tokens", sequence.promptTokens())
                        .put("bytes", sequence.promptTokens() * BYTES_PER_TOKEN));
    }

    Optional<ObjectNode> find(String requestId) {
        return Optional.ofNullable(mEntries.get(requestId));
    }

    /** Adds a KV cache that was transferred from another engine. */
    void addImported(String requestId, JsonNode entry) {
        mEntries.put(requestId, Json.object().setAll((ObjectNode) entry));
    }

    /** Returns whether a description matches the model and the prompt of a sequence. */
    static boolean matches(JsonNode entry, Sequence sequence) {
        return entry.path("seed").asText().equals(Long.toHexString(sequence.response().seed()));
    }
}
