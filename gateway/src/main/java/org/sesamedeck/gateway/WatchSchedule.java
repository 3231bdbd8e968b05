package org.sesamedeck.gateway;

import java.time.Duration;

/** Decides how long the watch calls of one follower wait, and when one is to be given up. */
interface WatchSchedule {
    /** Returns the schedule of a process that follows the store on its own. */
    static WatchSchedule alone(WatchPace pace) {
        return new WatchSchedule() {
            @Override
            public WatchPace pace() {
                return pace;
            }

            @Override
            public Duration timeout() {
                return pace.timeout();
            }

            @Override
            public void confirmed(long revision, long changedRevision) {}

            @Override
            public boolean isOverdue(Duration timeout) {
                return false;
            }
        };
    }

    /** Returns the pauses and backoffs between calls. */
    WatchPace pace();

    /** Returns the maximum duration of a watch call that begins now. */
    Duration timeout();

    /**
     * Records a response of the store.
     *
     * @param revision revision up to which all changes are known now
     * @param changedRevision revision of the last change in the response; 0 if it had none
     */
    void confirmed(long revision, long changedRevision);

    /**
     * Returns whether a watch call that waits should be replaced by a new one, since it may wait on
     * a connection that has broken silently.
     *
     * @param timeout maximum duration with which the call began
     */
    boolean isOverdue(Duration timeout);
}
