package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A kind of objects in the platform's store that this process follows. Futures fail with a {@link
 * org.sesamedeck.core.SesamedeckException}.
 *
 * @param <T> what an object says
 */
public interface Feed<T> {
    /**
     * An object, or the news that it is gone.
     *
     * @param name name of the object
     * @param value what it says; empty when it is gone or cannot be read
     * @param isGone whether the object was deleted
     */
    record Item<T>(String name, Optional<T> value, boolean isGone) {}

    /**
     * A part of the list of objects.
     *
     * @param items objects in order of their names
     * @param isTruncated whether more objects follow
     * @param revision revision of the store to which the list refers
     */
    record Page<T>(List<Item<T>> items, boolean isTruncated, long revision) {}

    /**
     * What changed since a revision.
     *
     * @param items changed objects in order; empty when nothing changed in time
     * @param revision revision from which to go on
     * @param isHistoryLost whether the store no longer knows what changed since the given revision
     */
    record Changes<T>(List<Item<T>> items, long revision, boolean isHistoryLost) {}

    /** Returns the name of the followed kind, for logs. */
    String name();

    /** Reads a part of the list, after the object of the given name. */
    CompletableFuture<Page<T>> list(Optional<String> after);

    /** Waits for changes after a revision. */
    CompletableFuture<Changes<T>> watch(long revision, Duration wait);
}
