package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What is known about one prompt part: the ends of endpoints under unanswered calls with it, and
 * its latest answers. Answers refute the ends before them: a part that ends each endpoint that
 * begins to answer it is never answered. What this process has seen itself is refuted only by its
 * own answers or by those of two others, so that one false report does not hide a part.
 */
final class PartEvidence {
    /** The oldest ends beyond it are dropped; more of them change no decision. */
    private static final int MAX_ENDS = 16;

    /** Processes whose latest answers are kept. */
    private static final int MAX_ANSWERING_PEERS = 4;

    /** Ends that count on the word of one other process; the verdict needs a second witness. */
    private static final int MAX_ENDS_PER_PEER = 2;

    /** Ends closer to each other count once: a loss of power ends many endpoints for one reason. */
    private static final Duration JOINT_FAILURE_TIME = Duration.ofMillis(100);

    /** An end counts after this time, in which answers of other processes may refute it. */
    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(500);

    private final PartKey mPart;
    private final List<EndpointEnd> mEnds = new ArrayList<>(4);
    private final Map<String, Long> mPeerAnswers = new HashMap<>(4);
    private OptionalLong mOwnAnswer = OptionalLong.empty();
    private Optional<QuarantinePeriod> mQuarantine = Optional.empty();
    private int mDepth;
    private boolean mWasAnsweredWithoutPart;
    private long mChangedAtNanos;

    PartEvidence(PartKey part, long nowNanos) {
        mPart = part;
        mChangedAtNanos = nowNanos;
    }

    PartKey part() {
        return mPart;
    }

    List<EndpointEnd> ends() {
        return mEnds;
    }

    /** Returns the deepest place that the part has had in a prompt. */
    int depth() {
        return mDepth;
    }

    /** Returns whether a call without the part was answered that began after the first end. */
    boolean wasAnsweredWithoutPart() {
        return mWasAnsweredWithoutPart;
    }

    /** Returns when evidence was added last, in nanoseconds of monotonic time. */
    long changedAtNanos() {
        return mChangedAtNanos;
    }

    Optional<QuarantinePeriod> quarantine() {
        return mQuarantine;
    }

    void setQuarantine(Optional<QuarantinePeriod> quarantine) {
        mQuarantine = quarantine;
    }

    /** Adds an end unless a later answer refutes it, and returns whether it is news. */
    boolean addEnd(PartReport report, boolean isOwn, long nowNanos) {
        mDepth = Math.max(mDepth, report.depth());
        for (EndpointEnd known : mEnds) {
            if (known.isSameAs(report)) {
                return known.addReporter(report.reporter(), isOwn);
            }
        }
        EndpointEnd end = EndpointEnd.of(report);
        end.addReporter(report.reporter(), isOwn);
        if (isRefuted(end)) {
            return false;
        }
        mEnds.add(end);
        mEnds.sort(Comparator.comparingLong(EndpointEnd::atNanos));
        if (mEnds.size() > MAX_ENDS) {
            mEnds.remove(0);
        }
        mChangedAtNanos = nowNanos;
        return mEnds.contains(end);
    }

    /** Adds an answer and drops what it refutes; returns whether it is later than the known one. */
    boolean addAnswer(PartReport report, boolean isOwn) {
        boolean isNews;
        if (isOwn) {
            isNews = mOwnAnswer.isEmpty() || report.atNanos() - mOwnAnswer.getAsLong() > 0;
            mOwnAnswer = isNews ? OptionalLong.of(report.atNanos()) : mOwnAnswer;
        } else {
            Long known = mPeerAnswers.get(report.reporter());
            boolean hasRoom = known != null || mPeerAnswers.size() < MAX_ANSWERING_PEERS;
            isNews = hasRoom && (known == null || report.atNanos() - known > 0);
            if (isNews) {
                mPeerAnswers.put(report.reporter(), report.atNanos());
            }
        }
        if (isNews) {
            mEnds.removeIf(this::isRefuted);
            mWasAnsweredWithoutPart &= !mEnds.isEmpty();
        }
        return isNews;
    }

    /** Removes an end that this process recorded although the endpoint lives. */
    void removeOwnEnd(PartReport report) {
        mEnds.removeIf(end -> end.isOwn() && end.isSameAs(report));
    }

    void answeredWithoutPart(long beganAtNanos) {
        if (!mEnds.isEmpty() && beganAtNanos - mEnds.get(0).atNanos() > 0) {
            mWasAnsweredWithoutPart = true;
        }
    }

    private boolean isRefuted(EndpointEnd end) {
        if (mOwnAnswer.isPresent() && mOwnAnswer.getAsLong() - end.atNanos() >= 0) {
            return true;
        }
        long refutingPeers =
                mPeerAnswers.values().stream().filter(at -> at - end.atNanos() >= 0).count();
        return refutingPeers >= (end.isOwn() ? 2 : 1);
    }

    /** Returns whether any process has answered the part within the given time. */
    boolean isAnsweredWithin(Duration time, long nowNanos) {
        long since = nowNanos - time.toNanos();
        return mOwnAnswer.isPresent() && mOwnAnswer.getAsLong() - since >= 0
                || mPeerAnswers.values().stream().anyMatch(at -> at - since >= 0);
    }

    /** Returns the names of the endpoints that ended. */
    Set<String> endedEndpoints() {
        return mEnds.stream().map(EndpointEnd::endpoint).collect(Collectors.toSet());
    }

    /**
     * Returns the ends that count: those that are confirmed, no part of a joint failure, seen by
     * this process or by enough others, and not explained by another part.
     *
     * @param explained endpoints whose end another part accounts for
     */
    List<EndpointEnd> countedEnds(Set<String> explained, long nowNanos) {
        List<EndpointEnd> counted = new ArrayList<>();
        Map<String, Integer> byPeer = new HashMap<>();
        for (EndpointEnd end : mEnds) {
            boolean isConfirmed = nowNanos - end.atNanos() >= CONFIRMATION_TIME.toNanos();
            if (isConfirmed
                    && !explained.contains(end.endpoint())
                    && !isJointFailure(end, counted)
                    && isWitnessed(end, byPeer)) {
                counted.add(end);
            }
        }
        return counted;
    }

    private static boolean isJointFailure(EndpointEnd end, List<EndpointEnd> counted) {
        return !counted.isEmpty()
                && end.atNanos() - counted.get(counted.size() - 1).atNanos()
                        < JOINT_FAILURE_TIME.toNanos();
    }

    private static boolean isWitnessed(EndpointEnd end, Map<String, Integer> byPeer) {
        if (end.isOwn()) {
            return true;
        }
        for (String reporter : end.reporters()) {
            if (byPeer.getOrDefault(reporter, 0) < MAX_ENDS_PER_PEER) {
                byPeer.merge(reporter, 1, Integer::sum);
                return true;
            }
        }
        return false;
    }
}
