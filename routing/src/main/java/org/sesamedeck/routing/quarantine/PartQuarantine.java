package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sesamedeck.core.Clock;
import org.sesamedeck.routing.quarantine.PartReport.Kind;

/**
 * Keeps prompt parts that crash endpoints away from them. Each process records which parts were in
 * unanswered calls at endpoints that crashed, exchanges that with the others, and decides for
 * itself by {@link ResponsibilityPolicy}; all that know the same decide the same. Requests with a
 * quarantined part are refused until a test, one request, is answered (see {@link RetestSchedule}).
 * Nothing is stored: evidence that is lost with all processes costs a few crashes more. Without
 * input and output; thread-safe.
 */
public final class PartQuarantine {
    /** Parts with evidence; the one without news for longest is dropped for another. */
    private static final int MAX_PARTS = 512;

    /** Evidence is dropped after this time without news, except during a longer hold. */
    private static final Duration EVIDENCE_MEMORY = Duration.ofMinutes(10);

    /** A part that was answered this recently is not worth a report. */
    private static final Duration RECENT_ANSWER = Duration.ofSeconds(10);

    /** Interval in which the evidence against suspects is repeated for processes that lack it. */
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

    /** Least time between reports of answers to one part. */
    private static final Duration ANSWER_REPORT_INTERVAL = Duration.ofSeconds(1);

    /** Least time between evaluations, so that a request costs no pass over all evidence. */
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(50);

    /**
     * A part that crashed so many endpoints unanswered is not sent a second time for one request.
     */
    private static final int MAX_CRASHES_FOR_REPEAT = 1;

    private final Clock mClock;
    private final String mSelf;
    private final QuarantineListener mListener;
    private final Map<PartKey, PartEvidence> mEvidence = new HashMap<>();
    private final PartTests mTests;
    private final Map<PartKey, Long> mAnswerReportedAt = new HashMap<>();
    private final UnconfirmedCrashes mUnconfirmed = new UnconfirmedCrashes();
    private final AnswerHistory mHistory = new AnswerHistory();
    private final ReportOutbox mOutbox = new ReportOutbox();
    private List<String> mProcesses = List.of();
    private volatile boolean mHasUnconfirmed;
    private long mEvaluatedAtNanos;
    private long mRepeatedAtNanos;

    private PartQuarantine(Clock clock, String self, QuarantineListener listener) {
        mClock = clock;
        mSelf = self;
        mListener = listener;
        mTests = new PartTests(self);
        mEvaluatedAtNanos = clock.nanoTime();
        mRepeatedAtNanos = clock.nanoTime();
    }

    /**
     * Returns an instance without evidence.
     *
     * @param self name of this process
     */
    public static PartQuarantine create(Clock clock, String self, QuarantineListener listener) {
        return new PartQuarantine(clock, self, listener);
    }

    /** Sets the names of all processes that take part. */
    public synchronized void updateProcesses(List<String> names) {
        mProcesses = List.copyOf(names);
    }

    /**
     * Records that an endpoint crashed before it had answered a call.
     *
     * @param parts parts of the prompt that other requests may share, in order
     * @param hasBegun whether the answer had begun; such calls are many, and most of their prompts
     *     are sound, so parts that were answered a short time ago are left out
     */
    public synchronized void interrupted(List<PartKey> parts, String endpoint, boolean hasBegun) {
        long now = mClock.nanoTime();
        Kind kind = hasBegun ? Kind.ANSWER_INTERRUPTED : Kind.INTERRUPTED;
        for (int depth = 0; depth < parts.size(); depth++) {
            PartKey part = parts.get(depth);
            PartReport report = new PartReport(part, kind, depth, endpoint, mSelf, now);
            boolean isLeftOut = hasBegun && isAnsweredRecently(part, now);
            if (!isLeftOut && addCrash(report, true)) {
                mUnconfirmed.add(report);
                mHasUnconfirmed = true;
            }
        }
    }

    private boolean isAnsweredRecently(PartKey part, long nowNanos) {
        OptionalLong ownAnswer = mHistory.answeredAt(part);
        PartEvidence evidence = mEvidence.get(part);
        return ownAnswer.isPresent() && nowNanos - ownAnswer.getAsLong() < RECENT_ANSWER.toNanos()
                || evidence != null && evidence.isAnsweredWithin(RECENT_ANSWER, nowNanos);
    }

    /**
     * Records that an endpoint has answered a call.
     *
     * @param beganAtNanos when the answer began, in nanoseconds of monotonic time
     */
    public synchronized void answered(List<PartKey> parts, long beganAtNanos) {
        for (PartKey part : parts) {
            mHistory.record(part, beganAtNanos);
            PartEvidence evidence = mEvidence.get(part);
            if (evidence != null) {
                evidence.addAnswer(answer(part, beganAtNanos), true);
                reportAnswer(part, beganAtNanos);
                releaseIfRefuted(evidence);
            }
        }
        if (!parts.isEmpty()) {
            recordAnswerWithout(parts, beganAtNanos);
        }
    }

    /** Records for the other parts of the same target that an endpoint has answered a call. */
    private void recordAnswerWithout(List<PartKey> parts, long beganAtNanos) {
        int target = parts.get(0).targetHash();
        for (PartEvidence evidence : mEvidence.values()) {
            if (evidence.part().targetHash() == target && !parts.contains(evidence.part())) {
                evidence.answeredWithoutPart(beganAtNanos);
            }
        }
    }

    /**
     * Records bytes of a response. If the call was open when its endpoint seemed to crash, the
     * endpoint lives, and only connections were lost.
     *
     * @param sentAtNanos when the call was sent, in nanoseconds of monotonic time
     */
    public void responded(String endpoint, long sentAtNanos) {
        if (mHasUnconfirmed) {
            refuteUnconfirmed(endpoint, sentAtNanos);
        }
    }

    private synchronized void refuteUnconfirmed(String endpoint, long sentAtNanos) {
        for (PartReport refuted :
                mUnconfirmed.takeRefuted(endpoint, sentAtNanos, mClock.nanoTime())) {
            PartEvidence evidence = mEvidence.get(refuted.part());
            if (evidence != null) {
                evidence.removeOwnCrash(refuted);
            }
        }
        mHasUnconfirmed = !mUnconfirmed.isEmpty();
    }

    /** Returns whether a request that was interrupted may be sent to another endpoint. */
    public synchronized boolean mayRepeat(List<PartKey> parts) {
        long now = mClock.nanoTime();
        for (PartKey part : parts) {
            PartEvidence evidence = mEvidence.get(part);
            boolean isSuspect =
                    evidence != null
                            && evidence.crashes().size() > MAX_CRASHES_FOR_REPEAT
                            && !evidence.isAnsweredWithin(ResponsibilityPolicy.ANSWER_MEMORY, now);
            if (isSuspect || evidence != null && evidence.quarantine().isPresent()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the first quarantined part of a prompt. */
    public synchronized Optional<QuarantinedPart> find(List<PartKey> parts) {
        if (mEvidence.isEmpty()) {
            return Optional.empty();
        }
        evaluateIfDue();
        return parts.stream()
                .map(mEvidence::get)
                .filter(evidence -> evidence != null && evidence.quarantine().isPresent())
                .findFirst()
                .map(this::describe);
    }

    /**
     * Allows a request to be sent as the test of its quarantined parts, if tests of all of them are
     * due and this process is to make them.
     */
    public synchronized boolean tryTest(List<PartKey> parts) {
        long now = mClock.nanoTime();
        List<PartEvidence> quarantined =
                parts.stream()
                        .map(mEvidence::get)
                        .filter(evidence -> evidence != null && evidence.quarantine().isPresent())
                        .toList();
        if (!quarantined.stream()
                .allMatch(evidence -> mTests.mayBegin(evidence, now, mProcesses))) {
            return false;
        }
        for (PartEvidence evidence : quarantined) {
            mTests.begin(evidence.part(), now);
            mListener.tested(describe(evidence));
        }
        return true;
    }

    /** Returns all quarantined parts. */
    public synchronized List<QuarantinedPart> quarantinedParts() {
        return mEvidence.values().stream()
                .filter(evidence -> evidence.quarantine().isPresent())
                .map(this::describe)
                .toList();
    }

    /** Returns the reports to send to the other processes now. */
    public synchronized List<PartReport> takeReports() {
        long now = mClock.nanoTime();
        evaluateIfDue();
        if (now - mRepeatedAtNanos >= REPEAT_INTERVAL.toNanos()) {
            mRepeatedAtNanos = now;
            repeatEvidence(now);
        }
        return mOutbox.take();
    }

    /** Records reports of other processes. */
    public synchronized void receive(List<PartReport> reports) {
        for (PartReport report : reports) {
            if (report.reporter().equals(mSelf)) {
                continue;
            }
            if (report.kind().isCrash()) {
                receiveCrash(report);
            } else {
                receiveAnswer(report);
            }
        }
    }

    private void receiveCrash(PartReport report) {
        if (addCrash(report, false) && isWorthReporting(report.part())) {
            mOutbox.add(report);
        }
        mHistory.answeredAt(report.part()).ifPresent(at -> reportAnswer(report.part(), at));
    }

    private void receiveAnswer(PartReport report) {
        recordAnswerWithout(List.of(report.part()), report.atNanos());
        PartEvidence evidence = mEvidence.get(report.part());
        if (evidence == null) {
            return;
        }
        boolean isDecisive =
                !evidence.crashes().isEmpty()
                        || !evidence.isAnsweredWithin(RECENT_ANSWER, mClock.nanoTime());
        if (evidence.addAnswer(report, false) && isDecisive) {
            mOutbox.add(report);
        }
        releaseIfRefuted(evidence);
    }

    private boolean addCrash(PartReport report, boolean isOwn) {
        long now = mClock.nanoTime();
        PartEvidence evidence = mEvidence.get(report.part());
        if (evidence == null) {
            evidence = newEvidence(report.part(), now);
        }
        boolean isNews = evidence.addCrash(report, isOwn, now);
        if (isNews && evidence.quarantine().isPresent()) {
            extend(evidence, report.atNanos());
        }
        return isNews;
    }

    private void extend(PartEvidence evidence, long crashNanos) {
        QuarantinePeriod known = evidence.quarantine().orElseThrow();
        QuarantinePeriod next = known.afterCrash(crashNanos);
        evidence.setQuarantine(Optional.of(next));
        if (!next.hold().equals(known.hold())) {
            mListener.renewed(describe(evidence));
        }
    }

    private PartEvidence newEvidence(PartKey part, long nowNanos) {
        if (mEvidence.size() >= MAX_PARTS) {
            mEvidence.values().stream()
                    .min(
                            Comparator.<PartEvidence, Boolean>comparing(
                                            evidence -> evidence.quarantine().isPresent())
                                    .thenComparingInt(evidence -> evidence.crashes().size())
                                    .thenComparingLong(PartEvidence::changedAtNanos))
                    .ifPresent(this::forget);
        }
        PartEvidence evidence = new PartEvidence(part, nowNanos);
        OptionalLong answeredAt = mHistory.answeredAt(part);
        answeredAt.ifPresent(at -> evidence.addAnswer(answer(part, at), true));
        mEvidence.put(part, evidence);
        return evidence;
    }

    private void forget(PartEvidence evidence) {
        mEvidence.remove(evidence.part());
        mTests.forget(evidence.part());
        mAnswerReportedAt.remove(evidence.part());
        if (evidence.quarantine().isPresent()) {
            mListener.released(evidence.part(), "no news of it for " + EVIDENCE_MEMORY);
        }
    }

    private PartReport answer(PartKey part, long atNanos) {
        return new PartReport(part, Kind.ANSWERED, 0, "", mSelf, atNanos);
    }

    private void reportAnswer(PartKey part, long atNanos) {
        long now = mClock.nanoTime();
        boolean isRecent = now - atNanos < ResponsibilityPolicy.ANSWER_MEMORY.toNanos();
        Long reportedAt = mAnswerReportedAt.get(part);
        boolean isDue = reportedAt == null || now - reportedAt >= ANSWER_REPORT_INTERVAL.toNanos();
        if (isRecent && isDue && mEvidence.containsKey(part)) {
            mAnswerReportedAt.put(part, now);
            mOutbox.add(answer(part, atNanos));
        }
    }

    private boolean isWorthReporting(PartKey part) {
        PartEvidence evidence = mEvidence.get(part);
        return evidence != null
                && !evidence.crashes().isEmpty()
                && !evidence.isAnsweredWithin(RECENT_ANSWER, mClock.nanoTime());
    }

    /** Queues the reports of own crashes that no response has refuted. */
    private void reportConfirmed(long nowNanos) {
        mUnconfirmed.takeConfirmed(nowNanos).stream()
                .filter(report -> isWorthReporting(report.part()))
                .forEach(mOutbox::add);
        mHasUnconfirmed = !mUnconfirmed.isEmpty();
    }

    /** Repeats what speaks against suspects, for processes that were started or paused. */
    private void repeatEvidence(long nowNanos) {
        for (PartEvidence evidence : mEvidence.values()) {
            boolean isSuspect =
                    evidence.quarantine().isPresent()
                            || evidence.crashes().size() > MAX_CRASHES_FOR_REPEAT
                                    && isWorthReporting(evidence.part());
            if (!isSuspect) {
                continue;
            }
            for (EndpointCrash crash : evidence.crashes()) {
                crash.reporters().stream()
                        .findFirst()
                        .ifPresent(reporter -> mOutbox.repeat(report(evidence, crash, reporter)));
            }
        }
    }

    private static PartReport report(PartEvidence evidence, EndpointCrash crash, String reporter) {
        return new PartReport(
                evidence.part(),
                crash.hadBegun() ? Kind.ANSWER_INTERRUPTED : Kind.INTERRUPTED,
                evidence.depth(),
                crash.endpoint(),
                reporter,
                crash.atNanos());
    }

    private void evaluateIfDue() {
        long now = mClock.nanoTime();
        if (now - mEvaluatedAtNanos < EVALUATION_INTERVAL.toNanos()) {
            return;
        }
        mEvaluatedAtNanos = now;
        reportConfirmed(now);
        List.copyOf(mEvidence.values()).stream()
                .filter(evidence -> isExpired(evidence, now))
                .forEach(this::forget);
        Optional<PartEvidence> responsible =
                ResponsibilityPolicy.responsible(mEvidence.values(), now);
        while (responsible.isPresent()) {
            quarantine(responsible.get(), now);
            responsible = ResponsibilityPolicy.responsible(mEvidence.values(), now);
        }
    }

    private static boolean isExpired(PartEvidence evidence, long nowNanos) {
        long lastNanos =
                evidence.quarantine()
                        .map(QuarantinePeriod::untilNanos)
                        .orElse(evidence.changedAtNanos());
        return nowNanos - lastNanos >= EVIDENCE_MEMORY.toNanos();
    }

    private void quarantine(PartEvidence evidence, long nowNanos) {
        long lastCrash = evidence.crashes().get(evidence.crashes().size() - 1).atNanos();
        evidence.setQuarantine(Optional.of(QuarantinePeriod.start(nowNanos, lastCrash)));
        mListener.quarantined(describe(evidence));
        for (PartEvidence other : mEvidence.values()) {
            if (other.quarantine().isPresent()
                    && ResponsibilityPolicy.isExplainedBy(other, evidence)) {
                release(other, "part " + evidence.part().partName() + " accounts for its crashes");
            }
        }
    }

    private void releaseIfRefuted(PartEvidence evidence) {
        if (evidence.quarantine().isPresent() && evidence.crashes().isEmpty()) {
            release(evidence, "it was answered");
        }
    }

    private void release(PartEvidence evidence, String cause) {
        evidence.setQuarantine(Optional.empty());
        mTests.forget(evidence.part());
        mListener.released(evidence.part(), cause);
    }

    private QuarantinedPart describe(PartEvidence evidence) {
        long remaining =
                evidence.quarantine().map(QuarantinePeriod::untilNanos).orElse(mClock.nanoTime())
                        - mClock.nanoTime();
        Duration retryAfter = Duration.ofNanos(Math.max(0, remaining));
        Set<String> reporters = new LinkedHashSet<>();
        List<String> endpoints = new ArrayList<>();
        for (EndpointCrash crash : evidence.crashes()) {
            endpoints.add(crash.endpoint());
            reporters.addAll(crash.reporters());
        }
        Duration atLeast =
                retryAfter.compareTo(RetestSchedule.STEP) < 0 ? RetestSchedule.STEP : retryAfter;
        return new QuarantinedPart(evidence.part(), endpoints, reporters, atLeast);
    }
}
