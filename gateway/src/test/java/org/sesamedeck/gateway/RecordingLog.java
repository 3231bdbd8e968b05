package org.sesamedeck.gateway;

import java.util.ArrayList;
import java.util.List;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestTrace;

/** Records the logged decisions for assertions. */
public final class RecordingLog implements DecisionLog {
    private final List<Decision> mDecisions = new ArrayList<>();

    @Override
    public void record(LogEntry entry) {
        mDecisions.add(entry.decision());
    }

    @Override
    public void requestEnded(RequestTrace trace) {}

    /** Returns the decisions in order. */
    public List<Decision> decisions() {
        return mDecisions;
    }
}
