package org.sesamedeck.gateway.duty;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.gateway.DutyClient;
import org.sesamedeck.gateway.DutyResult;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.gateway.UsageReport;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;

/**
 * Reports the usage of all processes while this one is the holder of the duties. Confined to one
 * thread.
 *
 * <p>Some seconds after the end of a window its counts are written into the record of the holder.
 * The same conditional write confirms the right by which the report is sent. Only what the store
 * has acknowledged or shown is sent, so all reports for a window are equal, whoever sends them and
 * however often. A report is repeated until the platform accepts it; one without a response may
 * have been accepted, and its repetition is ignored. Reports that were never sent go first, so that
 * a platform that is too slow to answer in time still gets each of them.
 */
final class UsageReporter {
    /**
     * Beyond this length of the note no further window is fixed until the platform accepts some.
     */
    private static final int MAX_NOTE_BYTES = 256 * 1024;

    /** Windows that one write fixes at most. */
    private static final int MAX_WINDOWS_PER_WRITE = 20;

    /** Calls in progress at most. */
    private static final int MAX_CALLS = 4;

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final Clock mClock;
    private final FleetTime mTime;
    private final StoreDutyHolder mHolder;
    private final DutyClient mClient;
    private final DecisionLog mLog;
    private final UsageSchedule mSchedule;
    private final UsageLedger mLedger;
    private final Map<Long, Long> mSentNanos = new HashMap<>();
    private final Set<Long> mAccepted = new HashSet<>();
    private Optional<Long> mTakenNanos = Optional.empty();
    private Optional<Long> mBackoffEndNanos = Optional.empty();
    private boolean mIsBusy;
    private int mCalls;
    private long mReported;
    private long mLate;
    private long mRefused;
    private long mSkipped;

    UsageReporter(
            Clock clock,
            FleetTime time,
            StoreDutyHolder holder,
            DutyClient client,
            DecisionLog log,
            UsageSchedule schedule,
            UsageLedger ledger) {
        mClock = clock;
        mTime = time;
        mHolder = holder;
        mClient = client;
        mLog = log;
        mSchedule = schedule;
        mLedger = ledger;
    }

    /** Notes that this process has taken the duties. */
    void taken() {
        mTakenNanos = Optional.of(mClock.nanoTime());
        mSentNanos.clear();
        mAccepted.clear();
    }

    /** Returns the last window whose report is fixed; empty before the first. */
    Optional<Long> fixedThrough() {
        return note().fixedThrough().stream().boxed().findFirst();
    }

    private UsageNote note() {
        return UsageNote.decode(mHolder.note());
    }

    /** Fixes and sends what is due; called several times a second. */
    void check() {
        boolean isEarly =
                mTakenNanos.filter(at -> isWithin(at, mSchedule.handoverTime())).isPresent();
        if (!mHolder.isHolder() || mIsBusy) {
            return;
        }
        UsageNote note = note();
        note.fixedThrough().ifPresent(mLedger::fixedThrough);
        List<UsageReport> fixed = note.fixedThrough().isPresent() ? due(note) : List.of();
        long through = through(note);
        boolean isNew = note.fixedThrough().isEmpty() || through > note.fixedThrough().getAsLong();
        if (isNew && !isEarly) {
            fix(through, fixed);
        } else if (!unsent(note).isEmpty() && !isBackingOff()) {
            mIsBusy = true;
            mHolder.confirm()
                    .whenComplete(
                            (right, failure) -> {
                                mIsBusy = false;
                                send(Optional.ofNullable(right).flatMap(found -> found));
                            });
        }
    }

    private boolean isWithin(long sinceNanos, Duration time) {
        return mClock.nanoTime() - sinceNanos < time.toNanos();
    }

    private boolean isBackingOff() {
        return mBackoffEndNanos.filter(end -> mClock.nanoTime() - end < 0).isPresent();
    }

    /**
     * Returns the last window that can be fixed now. Without a note nothing is known of earlier
     * reports, so windows that have ended before are left out: their reports may exist already.
     */
    private long through(UsageNote note) {
        long ended =
                Math.floorDiv(
                                mTime.nowMillis() - mSchedule.collectionTime().toMillis(),
                                mSchedule.window().toMillis())
                        - 1;
        if (note.fixedThrough().isEmpty()) {
            return mTime.window(mSchedule.window()) - 1;
        }
        long before = note.fixedThrough().getAsLong();
        boolean isFull = mHolder.note().getBytes(StandardCharsets.UTF_8).length > MAX_NOTE_BYTES;
        return isFull ? before : Math.min(ended, firstOpen(before) + MAX_WINDOWS_PER_WRITE - 1);
    }

    /** Returns the first window to fix, without overdue windows in which nothing was counted. */
    private long firstOpen(long fixedThrough) {
        long overdue = mTime.nowMillis() - mSchedule.lateness().toMillis();
        long onTime = Math.floorDiv(overdue, mSchedule.window().toMillis());
        long counted = mLedger.firstWindow().orElse(Long.MAX_VALUE);
        return Math.max(fixedThrough + 1, Math.min(onTime, counted));
    }

    /** Returns the reports of the windows to fix now. */
    private List<UsageReport> due(UsageNote note) {
        List<UsageReport> reports = new ArrayList<>();
        long through = through(note);
        for (long number = firstOpen(note.fixedThrough().getAsLong());
                number <= through;
                number++) {
            SortedMap<String, Long> counts = mLedger.total(number);
            boolean isOverdue =
                    mTime.nowMillis() - mSchedule.endMillis(number)
                            > mSchedule.lateness().toMillis();
            if (counts.isEmpty() && isOverdue) {
                mSkipped++;
            } else {
                reports.add(new UsageReport(number, counts));
            }
        }
        return reports;
    }

    private void fix(long through, List<UsageReport> fixed) {
        mIsBusy = true;
        Set<Long> accepted = Set.copyOf(mAccepted);
        mHolder.confirm(before -> UsageNote.decode(before).with(through, fixed, accepted).encode())
                .whenComplete(
                        (right, failure) -> {
                            mIsBusy = false;
                            if (failure == null && right.isPresent()) {
                                mAccepted.removeAll(accepted);
                                send(right);
                            }
                        });
    }

    /** Returns the reports that wait for acceptance, those first that were never sent. */
    private List<UsageReport> unsent(UsageNote note) {
        return note.reports().stream()
                .filter(report -> !mAccepted.contains(report.window()))
                .filter(
                        report ->
                                Optional.ofNullable(mSentNanos.get(report.window()))
                                        .filter(at -> isWithin(at, RETRY_DELAY))
                                        .isEmpty())
                .sorted(
                        Comparator.comparing(
                                        (UsageReport report) ->
                                                mSentNanos.getOrDefault(
                                                        report.window(), Long.MIN_VALUE))
                                .thenComparing(UsageReport::window))
                .toList();
    }

    private void send(Optional<DutyRight> right) {
        if (right.isEmpty() || isBackingOff()) {
            return;
        }
        int allowed = (int) Math.max(1, Math.min(MAX_CALLS, mSchedule.callsPerSecond()));
        for (UsageReport report : unsent(note())) {
            if (mCalls >= allowed || !mHolder.isUsable(right.get())) {
                return;
            }
            send(report, right.get());
        }
    }

    private void send(UsageReport report, DutyRight right) {
        mCalls++;
        mSentNanos.put(report.window(), mClock.nanoTime());
        mClient.reportUsage(report, right)
                .whenComplete(
                        (result, failure) -> {
                            mCalls--;
                            if (failure != null) {
                                failed(report, SesamedeckException.from(failure));
                            } else {
                                answered(report, right, result);
                            }
                        });
    }

    private void answered(UsageReport report, DutyRight right, DutyResult result) {
        switch (result) {
            case ACCEPTED -> accepted(report, right);
            case CONFLICT -> {
                mRefused++;
                mLog.record(entry(Decision.USAGE_NOT_REPORTED, report).with("result", result));
                mHolder.refused(right);
            }
            default -> {
                mLog.record(entry(Decision.USAGE_NOT_REPORTED, report).with("result", result));
                backOff();
            }
        }
    }

    private void accepted(UsageReport report, DutyRight right) {
        long afterMillis = mTime.nowMillis() - mSchedule.endMillis(report.window());
        boolean isLate = afterMillis > mSchedule.lateness().toMillis();
        mAccepted.add(report.window());
        mSentNanos.remove(report.window());
        mBackoffEndNanos = Optional.empty();
        mReported++;
        mLate += isLate ? 1 : 0;
        mLog.record(
                entry(Decision.USAGE_REPORTED, report)
                        .with("requests", total(report))
                        .with("fencingNumber", right.fencingNumber())
                        .with("afterMillis", afterMillis));
    }

    private static long total(UsageReport report) {
        return report.counts().values().stream().mapToLong(Long::longValue).sum();
    }

    private void failed(UsageReport report, SesamedeckException failure) {
        mLog.record(
                entry(Decision.USAGE_NOT_REPORTED, report)
                        .with("code", failure.code().number())
                        .with("cause", String.valueOf(failure.getMessage())));
        backOff();
    }

    private void backOff() {
        mBackoffEndNanos = Optional.of(mClock.nanoTime() + RETRY_DELAY.toNanos());
    }

    private LogEntry entry(Decision decision, UsageReport report) {
        return LogEntry.of(decision, mClock.nanoTime()).with("window", report.window());
    }

    /** Returns how many reports the platform has accepted from this process. */
    long reported() {
        return mReported;
    }

    /** Returns how many of them were accepted after they were due. */
    long late() {
        return mLate;
    }

    /** Returns how many reports the platform has refused since it knows a higher fencing number. */
    long refused() {
        return mRefused;
    }

    /** Returns how many overdue windows without counts were left out. */
    long skipped() {
        return mSkipped;
    }
}
