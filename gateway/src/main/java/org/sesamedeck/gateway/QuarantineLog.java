package org.sesamedeck.gateway;

import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.routing.quarantine.PartKey;
import org.sesamedeck.routing.quarantine.QuarantineListener;
import org.sesamedeck.routing.quarantine.QuarantinedPart;

/** Logs the decisions on prompt parts, and has the requests checked when a part is quarantined. */
final class QuarantineLog implements QuarantineListener {
    private final Clock mClock;
    private final DecisionLog mLog;
    private final Runnable mRequestCheck;

    /**
     * Creates a listener.
     *
     * @param requestCheck starts the check of the requests in progress on their thread
     */
    QuarantineLog(Clock clock, DecisionLog log, Runnable requestCheck) {
        mClock = clock;
        mLog = log;
        mRequestCheck = requestCheck;
    }

    @Override
    public void quarantined(QuarantinedPart part) {
        mLog.record(entry(Decision.PART_QUARANTINED, part));
        mRequestCheck.run();
    }

    @Override
    public void renewed(QuarantinedPart part) {
        mLog.record(entry(Decision.PART_RENEWED, part));
    }

    @Override
    public void tested(QuarantinedPart part) {
        mLog.record(entry(Decision.PART_TESTED, part));
    }

    @Override
    public void released(PartKey part, String cause) {
        mLog.record(
                LogEntry.of(Decision.PART_RELEASED, mClock.nanoTime())
                        .with("part", part.partName())
                        .with("cause", cause));
    }

    private LogEntry entry(Decision decision, QuarantinedPart part) {
        return LogEntry.of(decision, mClock.nanoTime())
                .with("part", part.part().partName())
                .with("endpoints", part.endpoints())
                .with("reporters", part.reporters())
                .with("retryAfterMillis", part.retryAfter().toMillis());
    }
}
