package org.sesamedeck.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API. Every future fails with a {@link
 * org.sesamedeck.core.SesamedeckException}: STORE_UNAVAILABLE when nothing took effect,
 * STORE_OUTCOME_UNKNOWN when a write was sent and no response came, STORE_RATE_LIMITED,
 * VERSION_CONFLICT when a condition did not hold, VALUE_TOO_LARGE above 1 MB.
 */
public interface ObjectStore extends AutoCloseable {
    /** Reads an object; empty when it does not exist. */
    CompletableFuture<Optional<StoredObject>> get(ObjectKey key);

    /**
     * Reads an object as it may have been some seconds ago. Cheaper than {@link #get} where the
     * store offers such reads.
     */
    default CompletableFuture<Optional<StoredObject>> getStale(ObjectKey key) {
        return get(key);
    }

    /** Reads all objects of a kind. */
    CompletableFuture<List<StoredObject>> list(String kind);

    /** Creates an object that must not exist yet; returns its version. */
    CompletableFuture<Long> create(ObjectKey key, String value);

    /** Replaces the value if the object has the expected version; returns the new version. */
    CompletableFuture<Long> update(ObjectKey key, long expectedVersion, String value);

    /** Deletes the object if it has the expected version. */
    CompletableFuture<Void> delete(ObjectKey key, long expectedVersion);

    /**
     * Waits until the object has a version above the given one; empty when the wait ended first.
     * Counts as one read, however long it waits.
     */
    CompletableFuture<Optional<StoredObject>> watch(
            ObjectKey key, long afterVersion, Duration wait);

    /** Releases connections; calls in progress fail. */
    @Override
    void close();
}
