package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Predicate;

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
            public void listed(long revision) {}

            @Override
            public boolean isOverdue(Duration timeout) {
                return false;
            }

            @Override
            public boolean isToldByOthers() {
                return false;
            }

            @Override
            public Duration timeSinceConfirmation() {
                return Duration.ZERO;
            }

            @Override
            public void share(long baseRevision, long revision, byte[] source) {}

            @Override
            public void setFollower(
                    Predicate<SharedChanges> validity, Consumer<SharedChanges> follower) {}

            @Override
            public void applied(long revision) {}
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
     * Records a list that may contain changes which no process has seen as such.
     *
     * @param revision revision up to which all changes are known now
     */
    void listed(long revision);

    /**
     * Returns whether a watch call that waits should be replaced by a new one, since it may wait on
     * a connection that has broken silently.
     *
     * @param timeout maximum duration with which the call began
     */
    boolean isOverdue(Duration timeout);

    /**
     * Returns whether other processes pass changes on in time, so that this one need not watch the
     * store now.
     */
    boolean isToldByOthers();

    /** Returns the time since the store answered any process, as far as this one has heard. */
    Duration timeSinceConfirmation();

    /**
     * Passes changes on that this process has read.
     *
     * @param baseRevision revision of the last change before them
     * @param revision revision of the last one of them
     * @param source the changes in the format of the store
     */
    void share(long baseRevision, long revision, byte[] source);

    /**
     * Sets what receives changes that other processes have read.
     *
     * @param validity whether changes can be read and contain what they claim; others are not
     *     passed on
     */
    void setFollower(Predicate<SharedChanges> validity, Consumer<SharedChanges> follower);

    /**
     * Records that changes were taken over from another process.
     *
     * @param revision revision up to which all changes are known now
     */
    void applied(long revision);
}
