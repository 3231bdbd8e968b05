package org.sesamedeck.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** In-memory store of versioned objects. Confined to the event loop. */
final class ObjectTable {
    /** Result of a write if the object exists already or does not have the expected version. */
    static final long CONFLICT = -1;

    /** Result of an update or a deletion of an object that does not exist. */
    static final long ABSENT = -2;

    private final Map<String, VersionedValue> mObjects = new TreeMap<>();
    private final List<BiConsumer<String, VersionedValue>> mListeners = new ArrayList<>();
    private long mLastVersion;

    private ObjectTable() {}

    static ObjectTable create() {
        return new ObjectTable();
    }

    /** Adds a listener that receives the key and the new value after each create or update. */
    void addListener(BiConsumer<String, VersionedValue> listener) {
        mListeners.add(listener);
    }

    Optional<VersionedValue> get(String key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    /** Returns the objects whose key starts with the prefix, sorted by key. */
    Map<String, VersionedValue> list(String prefix) {
        Map<String, VersionedValue> found = new TreeMap<>();
        mObjects.forEach(
                (key, value) -> {
                    if (key.startsWith(prefix)) {
                        found.put(key, value);
                    }
                });
        return found;
    }

    /** Creates an object; returns its version or {@link #CONFLICT} if it exists. */
    long create(String key, String value) {
        return mObjects.containsKey(key) ? CONFLICT : store(key, value);
    }

    /** Updates the value; returns the new version, {@link #CONFLICT} or {@link #ABSENT}. */
    long update(String key, long expectedVersion, String value) {
        long result = checkVersion(key, expectedVersion);
        return result < 0 ? result : store(key, value);
    }

    /**
     * Deletes an object; returns the version of the deletion, {@link #CONFLICT} or {@link #ABSENT}.
     */
    long delete(String key, long expectedVersion) {
        long result = checkVersion(key, expectedVersion);
        if (result < 0) {
            return result;
        }
        mObjects.remove(key);
        return ++mLastVersion;
    }

    private long checkVersion(String key, long expectedVersion) {
        VersionedValue current = mObjects.get(key);
        if (current == null) {
            return ABSENT;
        }
        return current.version() == expectedVersion ? expectedVersion : CONFLICT;
    }

    private long store(String key, String value) {
        VersionedValue stored = new VersionedValue(++mLastVersion, value);
        mObjects.put(key, stored);
        mListeners.forEach(listener -> listener.accept(key, stored));
        return stored.version();
    }
}
