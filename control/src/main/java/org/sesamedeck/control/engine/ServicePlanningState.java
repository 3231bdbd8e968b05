package org.sesamedeck.control.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.routing.EndpointRole;

/**
 * State of the planning process for one service under one lease: when the next reports are due, and
 * the issued change that no report has resolved yet.
 *
 * <p>A change can begin at most {@link #PLAN_VALIDITY} after the poll on which its plan is based.
 * Therefore a new planning process ignores all observations from before that time has passed: a
 * change that the previous process planned either shows in later reports or never begins. For the
 * same reason an issued change counts as in progress until a report is more recent than that time,
 * or shows the change or the new role. If the engine is missing from the reports, the change counts
 * as in progress until 70 s after it was issued.
 */
final class ServicePlanningState {
    /** Longest time from a poll of an engine to the start of a change that is based on it. */
    static final Duration PLAN_VALIDITY = Duration.ofSeconds(5);

    /** Longer than the 60 s after which the command executor abandons an unresponsive engine. */
    private static final Duration UNRESPONSIVE_ENGINE_TIMEOUT = Duration.ofSeconds(70);

    private final long mFencingNumber;
    private final long mUsableFromNanos;
    private Optional<IssuedChange> mPendingChange = Optional.empty();
    private long mNextRequestNanos;
    private boolean mAreReportsRequested;

    private record IssuedChange(String engine, EndpointRole to, long issuedAtNanos) {}

    private ServicePlanningState(long fencingNumber, long nowNanos) {
        mFencingNumber = fencingNumber;
        mUsableFromNanos = nowNanos + PLAN_VALIDITY.toNanos();
        mNextRequestNanos = nowNanos;
    }

    /** Returns the initial state under a newly acquired lease. */
    static ServicePlanningState of(long fencingNumber, long nowNanos) {
        return new ServicePlanningState(fencingNumber, nowNanos);
    }

    long fencingNumber() {
        return mFencingNumber;
    }

    /** Returns whether reports were requested since the last call, and clears the flag. */
    boolean consumeReportsRequested() {
        boolean areReportsRequested = mAreReportsRequested;
        mAreReportsRequested = false;
        return areReportsRequested;
    }

    /** Returns whether a request for reports is due, and schedules the next one if so. */
    boolean beginRequestIfDue(long nowNanos, Duration interval) {
        if (nowNanos - mNextRequestNanos < 0) {
            return false;
        }
        mNextRequestNanos = nowNanos + interval.toNanos();
        mAreReportsRequested = true;
        return true;
    }

    void recordIssuedChange(String engine, EndpointRole to, long nowNanos) {
        mPendingChange = Optional.of(new IssuedChange(engine, to, nowNanos));
    }

    /** Returns whether no report has resolved the issued change yet. */
    boolean isChangePending() {
        return mPendingChange.isPresent();
    }

    /**
     * Returns the observations that are recent enough, with the pending change applied. The change
     * is no longer pending once an observation resolves it.
     */
    Map<String, EngineObservation> usableObservations(
            Map<String, EngineObservation> observations, long nowNanos) {
        Map<String, EngineObservation> usable = new HashMap<>(observations);
        usable.values()
                .removeIf(observation -> observation.observedAtNanos() - mUsableFromNanos < 0);
        if (mPendingChange.isPresent()) {
            IssuedChange issued = mPendingChange.get();
            EngineObservation observation = usable.get(issued.engine());
            if (observation != null && isResolved(issued, observation)) {
                mPendingChange = Optional.empty();
            } else if (observation == null
                    && nowNanos - issued.issuedAtNanos() > UNRESPONSIVE_ENGINE_TIMEOUT.toNanos()) {
                mPendingChange = Optional.empty();
            } else if (observation != null) {
                usable.put(issued.engine(), observation.changingTo(issued.to()));
            }
        }
        return usable;
    }

    private static boolean isResolved(IssuedChange issued, EngineObservation observation) {
        long nanosSinceIssue = observation.observedAtNanos() - issued.issuedAtNanos();
        return nanosSinceIssue > 0
                && (nanosSinceIssue > PLAN_VALIDITY.toNanos()
                        || observation.state().isChanging()
                        || observation.state().role() == issued.to());
    }
}
