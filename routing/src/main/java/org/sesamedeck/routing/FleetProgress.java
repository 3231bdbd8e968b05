package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * What the processes of a fleet tell each other about how far each has followed the store, and what
 * one process concludes from it. Without input and output; confined to one thread.
 *
 * <p>A watch call that waits costs the store nothing but the call, yet a connection that has broken
 * silently looks like one on which nothing has changed. A process that follows the store alone
 * therefore has to end each wait early. In a fleet, a few processes with short waits are enough:
 * they tell the others the revision of the last change and when the store last confirmed that there
 * is no later one. A process whose own watch should have shown that change calls again at once, and
 * one to which no recent confirmation has come shortens its own waits. A fleet in which all
 * connections go silent at the same moment, or whose processes with short waits are lost, is thus
 * as fresh as before, at a fraction of the calls.
 */
public final class FleetProgress {
    /**
     * Time for which a change may be known to other processes and not to this one before the own
     * watch is taken to be silent. A response in transit and a pause between two watches are
     * shorter.
     */
    private static final Duration NEWS_DELAY = Duration.ofMillis(400);

    /**
     * Added to the age of each confirmation that is passed on, so that one that circulates between
     * processes grows older at least as fast as time passes. Time in a queue of the network is
     * added to it, see {@link TransitDelays}.
     */
    private static final Duration HOP_AGE = Duration.ofMillis(100);

    private final Clock mClock;
    private final TransitDelays mTransitDelays;
    private final Map<String, Progress> mByKind = new HashMap<>();

    /** Progress of one kind; times are monotonic, in nanoseconds. */
    private static final class Progress {
        private long mOwnRevision;
        private long mChangedRevision;
        private Optional<Long> mConfirmedNanos = Optional.empty();
        private Optional<Long> mBehindSinceNanos = Optional.empty();
    }

    private FleetProgress(Clock clock) {
        mClock = clock;
        mTransitDelays = new TransitDelays(clock);
    }

    /** Returns the progress of a process that has read nothing yet. */
    public static FleetProgress create(Clock clock) {
        return new FleetProgress(clock);
    }

    /**
     * Records a response of the store to this process.
     *
     * @param revision revision up to which all changes of the kind are known now
     * @param changedRevision revision of the last change in the response; 0 if it had none
     */
    public void confirmed(String kind, long revision, long changedRevision) {
        Progress progress = progress(kind);
        progress.mOwnRevision = Math.max(progress.mOwnRevision, revision);
        progress.mChangedRevision = Math.max(progress.mChangedRevision, changedRevision);
        progress.mConfirmedNanos = Optional.of(mClock.nanoTime());
        updateBehind(progress);
    }

    /**
     * Records that this process knows all changes up to a revision, without knowing the last one.
     */
    public void read(String kind, long revision) {
        Progress progress = progress(kind);
        progress.mOwnRevision = Math.max(progress.mOwnRevision, revision);
        updateBehind(progress);
    }

    /**
     * Records changes that were taken over from another process.
     *
     * @param revision revision up to which all changes of the kind are known now
     */
    public void applied(String kind, long revision) {
        Progress progress = progress(kind);
        progress.mOwnRevision = Math.max(progress.mOwnRevision, revision);
        progress.mChangedRevision = Math.max(progress.mChangedRevision, revision);
        updateBehind(progress);
    }

    /** Records what another process has reported. */
    public void receive(LoadMessage message) {
        long delay = mTransitDelays.excessNanos(message) + HOP_AGE.toNanos();
        for (StoreProgress peer : message.storeProgress()) {
            Progress progress = progress(peer.kind());
            long confirmed = mClock.nanoTime() - peer.confirmedAgeNanos() - delay;
            boolean isNewer = progress.mConfirmedNanos.map(own -> confirmed - own > 0).orElse(true);
            if (isNewer) {
                progress.mConfirmedNanos = Optional.of(confirmed);
            }
            progress.mChangedRevision = Math.max(progress.mChangedRevision, peer.changedRevision());
            updateBehind(progress);
        }
    }

    /** Returns what to report to the other processes. */
    public List<StoreProgress> toTell() {
        long now = mClock.nanoTime();
        List<StoreProgress> reported = new ArrayList<>();
        mByKind.forEach(
                (kind, progress) ->
                        progress.mConfirmedNanos.ifPresent(
                                confirmed ->
                                        reported.add(
                                                new StoreProgress(
                                                        kind,
                                                        progress.mChangedRevision,
                                                        now - confirmed))));
        return reported;
    }

    /** Returns whether other processes have known a change for some time that this one lacks. */
    public boolean isBehind(String kind) {
        return progress(kind)
                .mBehindSinceNanos
                .map(since -> mClock.nanoTime() - since >= NEWS_DELAY.toNanos())
                .orElse(false);
    }

    /** Returns whether the store has answered some process of the fleet within the time. */
    public boolean isConfirmedWithin(String kind, Duration time) {
        return progress(kind)
                .mConfirmedNanos
                .map(confirmed -> mClock.nanoTime() - confirmed < time.toNanos())
                .orElse(false);
    }

    /** Returns the time since the store answered some process; zero if no answer is known. */
    public Duration timeSinceConfirmation(String kind) {
        return progress(kind)
                .mConfirmedNanos
                .map(confirmed -> Duration.ofNanos(mClock.nanoTime() - confirmed))
                .orElse(Duration.ZERO);
    }

    private void updateBehind(Progress progress) {
        if (progress.mChangedRevision <= progress.mOwnRevision) {
            progress.mBehindSinceNanos = Optional.empty();
        } else if (progress.mBehindSinceNanos.isEmpty()) {
            progress.mBehindSinceNanos = Optional.of(mClock.nanoTime());
        }
    }

    private Progress progress(String kind) {
        return mByKind.computeIfAbsent(kind, name -> new Progress());
    }
}
