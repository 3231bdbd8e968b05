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
 * What is known about one prompt part: the crashes of endpoints under calls with it, and its latest
 * answers. Answers refute the crashes before them: a part that crashes each endpoint that begins to
 * answer it is never answered. What this process has seen itself is refuted only by its own answers
 * or by those of two others, so that one false report does not hide a part. Once the tests of a
 * quarantined part are due, the answer of one other process suffices: a test is made by one process
 * for all.
 */
final class PartEvidence {
    /** The oldest crashes beyond it are dropped; more of them change no decision. */
    private static final int MAX_CRASHES = 16;

    /** Processes whose latest answers are kept. */
    private static final int MAX_ANSWERING_PEERS = 4;

    /** Crashes that count on the word of one other process; the verdict needs a second witness. */
    private static final int MAX_CRASHES_PER_PEER = 2;

    /** Crashes closer to each other count once: a power loss stops many endpoints at once. */
    private static final Duration JOINT_FAILURE_TIME = Duration.ofMillis(100);

    /** A crash counts after this time, in which answers of other processes may refute it. */
    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(500);

    private final PartKey mPart;
    private final List<EndpointCrash> mCrashes = new ArrayList<>(4);
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

    List<EndpointCrash> crashes() {
        return mCrashes;
    }

    /** Returns the deepest place that the part has had in a prompt. */
    int depth() {
        return mDepth;
    }

    /** Returns whether a call without the part was answered that began after the first crash. */
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

    /** Adds a crash unless a later answer refutes it, and returns whether it is news. */
    boolean addCrash(PartReport report, boolean isOwn, long nowNanos) {
        mDepth = Math.max(mDepth, report.depth());
        for (EndpointCrash known : mCrashes) {
            if (known.isSameAs(report)) {
                return known.addReport(report, isOwn);
            }
        }
        EndpointCrash crash = EndpointCrash.of(report);
        crash.addReport(report, isOwn);
        if (isRefuted(crash)) {
            return false;
        }
        mCrashes.add(crash);
        mCrashes.sort(Comparator.comparingLong(EndpointCrash::atNanos));
        if (mCrashes.size() > MAX_CRASHES) {
            mCrashes.remove(0);
        }
        mChangedAtNanos = nowNanos;
        return mCrashes.contains(crash);
    }

    /** Adds an answer and drops what it refutes; returns whether it is later than the known one. */
    boolean addAnswer(PartReport report, boolean isOwn) {
        boolean isNews;
        if (isOwn) {
            isNews = mOwnAnswer.isEmpty() || report.atNanos() - mOwnAnswer.getAsLong() > 0;
            mOwnAnswer = isNews ? OptionalLong.of(report.atNanos()) : mOwnAnswer;
        } else {
            isNews = addPeerAnswer(report);
        }
        if (isNews) {
            mCrashes.removeIf(this::isRefuted);
            mWasAnsweredWithoutPart &= !mCrashes.isEmpty();
        }
        return isNews;
    }

    private boolean addPeerAnswer(PartReport report) {
        Long known = mPeerAnswers.get(report.reporter());
        if (known == null && mPeerAnswers.size() >= MAX_ANSWERING_PEERS) {
            Map.Entry<String, Long> oldest = oldestPeerAnswer();
            if (report.atNanos() - oldest.getValue() <= 0) {
                return false;
            }
            mPeerAnswers.remove(oldest.getKey());
        }
        boolean isNews = known == null || report.atNanos() - known > 0;
        if (isNews) {
            mPeerAnswers.put(report.reporter(), report.atNanos());
        }
        return isNews;
    }

    private Map.Entry<String, Long> oldestPeerAnswer() {
        return mPeerAnswers.entrySet().stream()
                .min((one, other) -> Long.signum(one.getValue() - other.getValue()))
                .orElseThrow();
    }

    /** Removes a crash that this process recorded although the endpoint lives. */
    void removeOwnCrash(PartReport report) {
        mCrashes.removeIf(crash -> crash.isOwn() && crash.isSameAs(report));
    }

    void answeredWithoutPart(long beganAtNanos) {
        if (!mCrashes.isEmpty() && beganAtNanos - mCrashes.get(0).atNanos() > 0) {
            mWasAnsweredWithoutPart = true;
        }
    }

    private boolean isRefuted(EndpointCrash crash) {
        if (mOwnAnswer.isPresent() && mOwnAnswer.getAsLong() - crash.atNanos() >= 0) {
            return true;
        }
        long refutingPeers =
                mPeerAnswers.values().stream().filter(at -> at - crash.atNanos() >= 0).count();
        return refutingPeers >= (crash.isOwn() && !isTestAnswered() ? 2 : 1);
    }

    /** Returns whether another process has answered the part since the tests of it are due. */
    private boolean isTestAnswered() {
        return mQuarantine.isPresent()
                && mPeerAnswers.values().stream().anyMatch(mQuarantine.get()::isTestDue);
    }

    /** Returns whether any process has answered the part within the given time. */
    boolean isAnsweredWithin(Duration time, long nowNanos) {
        long since = nowNanos - time.toNanos();
        return mOwnAnswer.isPresent() && mOwnAnswer.getAsLong() - since >= 0
                || mPeerAnswers.values().stream().anyMatch(at -> at - since >= 0);
    }

    /** Returns the names of the endpoints that crashed. */
    Set<String> crashedEndpoints() {
        return mCrashes.stream().map(EndpointCrash::endpoint).collect(Collectors.toSet());
    }

    /**
     * Returns the crashes that count: those that are confirmed, no part of a joint failure, seen by
     * this process or by enough others, and not explained by another part.
     *
     * @param explained endpoints whose crash another part accounts for
     */
    List<EndpointCrash> countedCrashes(Set<String> explained, long nowNanos) {
        List<EndpointCrash> counted = new ArrayList<>();
        Map<String, Integer> byPeer = new HashMap<>();
        for (EndpointCrash crash : mCrashes) {
            boolean isConfirmed = nowNanos - crash.atNanos() >= CONFIRMATION_TIME.toNanos();
            if (isConfirmed
                    && !explained.contains(crash.endpoint())
                    && !isJointFailure(crash, counted)
                    && isWitnessed(crash, byPeer)) {
                counted.add(crash);
            }
        }
        return counted;
    }

    private static boolean isJointFailure(EndpointCrash crash, List<EndpointCrash> counted) {
        return !counted.isEmpty()
                && crash.atNanos() - counted.get(counted.size() - 1).atNanos()
                        < JOINT_FAILURE_TIME.toNanos();
    }

    private static boolean isWitnessed(EndpointCrash crash, Map<String, Integer> byPeer) {
        if (crash.isOwn()) {
            return true;
        }
        for (String reporter : crash.reporters()) {
            if (byPeer.getOrDefault(reporter, 0) < MAX_CRASHES_PER_PEER) {
                byPeer.merge(reporter, 1, Integer::sum);
                return true;
            }
        }
        return false;
    }
}
