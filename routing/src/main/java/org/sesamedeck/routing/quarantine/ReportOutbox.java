package org.sesamedeck.routing.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reports that wait to be sent. Datagrams may be lost, so each report is sent several times. The
 * number of reports in a message and of those that wait is bounded; the oldest are dropped, since
 * the ends that follow tell the same.
 */
final class ReportOutbox {
    /** Makes the loss of all copies unlikely. */
    private static final int COPIES = 3;

    /** Keeps a message within some kilobytes. */
    private static final int MAX_REPORTS_PER_MESSAGE = 32;

    private static final int MAX_WAITING = 256;

    private final Map<PartReport, Integer> mCopies = new LinkedHashMap<>();

    /** Queues a report for the usual number of copies. */
    void add(PartReport report) {
        put(report, COPIES);
    }

    /** Queues one more copy of a report that was sent before. */
    void repeat(PartReport report) {
        if (!mCopies.containsKey(report)) {
            put(report, 1);
        }
    }

    private void put(PartReport report, int copies) {
        mCopies.put(report, copies);
        if (mCopies.size() > MAX_WAITING) {
            mCopies.remove(mCopies.keySet().iterator().next());
        }
    }

    /** Returns the reports of the next message. */
    List<PartReport> take() {
        List<PartReport> taken = new ArrayList<>();
        Iterator<Map.Entry<PartReport, Integer>> waiting = mCopies.entrySet().iterator();
        Map<PartReport, Integer> again = new LinkedHashMap<>();
        while (waiting.hasNext() && taken.size() < MAX_REPORTS_PER_MESSAGE) {
            Map.Entry<PartReport, Integer> next = waiting.next();
            taken.add(next.getKey());
            if (next.getValue() > 1) {
                again.put(next.getKey(), next.getValue() - 1);
            }
            waiting.remove();
        }
        mCopies.putAll(again);
        return taken;
    }
}
