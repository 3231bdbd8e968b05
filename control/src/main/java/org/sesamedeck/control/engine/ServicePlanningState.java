package org.sesamedeck.control.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.routing.EndpointRole;

/**
 * What the deciding process remembers about one service under one lease: when it may plan, and the
 * change whose effect no report has shown yet.
 *
 * <p>A plan can begin at most {@link #VALIDITY} after the poll it is based on. So a process that
 * has just become the deciding one ignores everything observed before that time has passed: what a
 * former one planned either shows in later reports or never begins. For the same reason its own
 * plan counts as a change in progress until a report from after that time, or one that shows the
 * new role.
 */
final class ServicePlan {
    /** Longest time from a poll of an engine to the begin of a change that is based on it. */
    static final Duration VALIDITY = Duration.ofSeconds(5);

    /** The command executor gives up on an engine that does not answer after 60 s. */
    private static final Duration LOST = Duration.ofSeconds(70);

    private final long mFencingNumber;
    private final long mTrustedFromNanos;
    private Optional<Issued> mIssued = Optional.empty();
    private long mNextAtNanos;
    private boolean mIsRequested;

    private record Issued(String engine, EndpointRole to, long atNanos) {}

    private ServicePlan(long fencingNumber, long nowNanos) {
        mFencingNumber = fencingNumber;
        mTrustedFromNanos = nowNanos + VALIDITY.toNanos();
        mNextAtNanos = nowNanos;
    }

    /** Returns the state for a lease that was just acquired. */
    static ServicePlan of(long fencingNumber, long nowNanos) {
        return new ServicePlan(fencingNumber, nowNanos);
    }

    long fencingNumber() {
        return mFencingNumber;
    }

    /** Returns whether reports were requested since the last call. */
    boolean takeRequested() {
        boolean isRequested = mIsRequested;
        mIsRequested = false;
        return isRequested;
    }

    /** Returns whether a request for reports is due, and schedules the next one if so. */
    boolean isRequestDue(long nowNanos, Duration interval) {
        if (nowNanos - mNextAtNanos < 0) {
            return false;
        }
        mNextAtNanos = nowNanos + interval.toNanos();
        mIsRequested = true;
        return true;
    }

    void issued(String engine, EndpointRole to, long nowNanos) {
        mIssued = Optional.of(new Issued(engine, to, nowNanos));
    }

    /** Returns whether an issued change has not shown in a report yet. */
    boolean isWaiting() {
        return mIssued.isPresent();
    }

    /** Returns the observations that may be used, with the issued change applied. */
    Map<String, EngineObservation> trusted(
            Map<String, EngineObservation> observations, long nowNanos) {
        Map<String, EngineObservation> trusted = new HashMap<>(observations);
        trusted.values().removeIf(seen -> seen.observedAtNanos() - mTrustedFromNanos < 0);
        if (mIssued.isPresent()) {
            Issued issued = mIssued.get();
            EngineObservation seen = trusted.get(issued.engine());
            if (seen != null && hasShown(issued, seen)) {
                mIssued = Optional.empty();
            } else if (seen == null && nowNanos - issued.atNanos() > LOST.toNanos()) {
                mIssued = Optional.empty();
            } else if (seen != null) {
                trusted.put(issued.engine(), seen.changingTo(issued.to()));
            }
        }
        return trusted;
    }

    private static boolean hasShown(Issued issued, EngineObservation seen) {
        long later = seen.observedAtNanos() - issued.atNanos();
        return later > 0
                && (later > VALIDITY.toNanos()
                        || seen.state().isChanging()
                        || seen.state().role() == issued.to());
    }
}
