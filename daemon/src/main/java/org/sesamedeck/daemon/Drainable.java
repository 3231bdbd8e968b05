package org.sesamedeck.daemon;

import java.util.List;

/**
 * Work of a daemon that is drained before the process exits. {@link #stopAccepting} and {@link
 * #release} are called on the shutdown thread, the other methods on any thread.
 */
public interface Drainable {
    /** Returns whether new work is accepted; the load balancer sends requests only while it is. */
    boolean isReady();

    /** Refuses new work from now on; work in progress continues. */
    void stopAccepting();

    /** Describes each item of the work in progress; empty when the process may end. */
    List<String> workInProgress();

    /** Releases what other processes wait for, such as leases, after the last work has ended. */
    void release();
}
