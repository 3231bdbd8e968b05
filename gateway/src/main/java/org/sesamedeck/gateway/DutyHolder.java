package org.sesamedeck.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One process's part in deciding which process holds the duties of the fleet. At most one process
 * holds them at a time; the object store alone decides. Confined to the control thread.
 */
public interface DutyHolder {
    /** Returns whether this process was the holder when it last had word from the store. */
    boolean isHolder();

    /** Returns the name of the holder that the store last showed. */
    Optional<String> holder();

    /**
     * Confirms in the store that this process is still the holder.
     *
     * @return the right, which {@link #isUsable} limits in time; empty if another process is the
     *     holder or the store did not answer in time
     */
    CompletableFuture<Optional<DutyRight>> confirm();

    /** Returns whether a call may still be sent on the right. */
    boolean isUsable(DutyRight right);
}
