package org.sesamedeck.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/** The objects that all clients of a fake store share. Thread-safe. */
final class FakeStoreData {
    static final int MAX_VALUE_LENGTH = 1 << 20;

    private final Map<ObjectKey, StoredObject> mObjects = new HashMap<>();
    private final Map<ObjectKey, StoredObject> mPrevious = new HashMap<>();
    private final List<FakeWatch> mWatches = new ArrayList<>();
    private long mVersion;
    private boolean mIgnoresUnchangedWrites;

    synchronized void ignoreUnchangedWrites() {
        mIgnoresUnchangedWrites = true;
    }

    synchronized Optional<StoredObject> get(ObjectKey key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    synchronized Optional<StoredObject> previous(ObjectKey key) {
        return Optional.ofNullable(mPrevious.get(key));
    }

    synchronized List<StoredObject> list(String kind) {
        return mObjects.values().stream()
                .filter(object -> object.key().kind().equals(kind))
                .toList();
    }

    /** Writes if the object has the expected version; zero stands for an absent object. */
    synchronized long put(ObjectKey key, long expectedVersion, String value) {
        requireVersion(key, expectedVersion);
        if (value.length() > MAX_VALUE_LENGTH) {
            throw SesamedeckException.of(ResultCode.VALUE_TOO_LARGE, key + " is too large");
        }
        StoredObject current = mObjects.get(key);
        if (mIgnoresUnchangedWrites && current != null && current.value().equals(value)) {
            return current.version();
        }
        StoredObject stored = new StoredObject(key, ++mVersion, value);
        StoredObject previous = mObjects.put(key, stored);
        if (previous != null) {
            mPrevious.put(key, previous);
        }
        List<FakeWatch> ended = mWatches.stream().filter(watch -> watch.isMetBy(stored)).toList();
        mWatches.removeAll(ended);
        ended.forEach(watch -> watch.found(stored));
        return stored.version();
    }

    synchronized void delete(ObjectKey key, long expectedVersion) {
        requireVersion(key, expectedVersion);
        mVersion++;
        mObjects.remove(key);
    }

    synchronized void add(FakeWatch watch) {
        StoredObject stored = mObjects.get(watch.key());
        if (stored != null && watch.isMetBy(stored)) {
            watch.found(stored);
        } else {
            mWatches.add(watch);
        }
    }

    synchronized void remove(FakeWatch watch) {
        mWatches.remove(watch);
    }

    private void requireVersion(ObjectKey key, long expectedVersion) {
        long version = get(key).map(StoredObject::version).orElse(0L);
        if (version != expectedVersion) {
            throw SesamedeckException.of(
                    ResultCode.VERSION_CONFLICT,
                    key + " has version " + version + ", expected was " + expectedVersion);
        }
    }
}
