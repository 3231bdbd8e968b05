package org.sesamedeck.platform;

import org.sesamedeck.core.SesamedeckException;

/** Receives the results of writes of an owned object, on the control thread. */
public interface OwnedObjectListener {
    /**
     * Called when a write is durable.
     *
     * @param version version of the write
     * @param sentNanos monotonic time before the write, or the earliest write that may be this one,
     *     was sent
     */
    void onWritten(long version, long sentNanos);

    /** Called when a write or the read after it failed and will be retried. */
    void onDelayed(SesamedeckException failure);

    /**
     * Called when the object has another owner, was deleted or cannot be written; no further calls
     * follow.
     */
    void onLost(String reason);
}
