package org.sesamedeck.routing.quarantine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reports that wait to be sent. Datagrams may be lost, so each report is sent several times.
 * Crashes go before answers, since every process needs the crashes to refuse a harmful part, and
 * answers to the many sound parts would keep them waiting. The number of reports in a message and
 * of those that wait is bounded; the oldest of a kind are dropped.
 */
final class ReportOutbox {
    /** Makes the loss of all copies unlikely. */
    private static final int COPIES = 3;

    /** Keeps a datagram within one packet of the network. */
    private static final int MAX_REPORTS_PER_MESSAGE = 16;

    private static final int MAX_WAITING_OF_A_KIND = 128;

    private final Map<PartReport, Integer> mCrashes = new LinkedHashMap<>();
    private final Map<PartReport, Integer> mAnswers = new LinkedHashMap<>();

    /** Queues a report for the usual number of copies. */
    void add(PartReport report) {
        put(report, COPIES);
    }

    /** Queues one more copy of a report that was sent before. */
    void repeat(PartReport report) {
        if (!waitingOfKind(report).containsKey(report)) {
            put(report, 1);
        }
    }

    private Map<PartReport, Integer> waitingOfKind(PartReport report) {
        return report.kind().isCrash() ? mCrashes : mAnswers;
    }

    private void put(PartReport report, int copies) {
        Map<PartReport, Integer> waiting = waitingOfKind(report);
        waiting.put(report, copies);
        if (waiting.size() > MAX_WAITING_OF_A_KIND) {
            waiting.remove(waiting.keySet().iterator().next());
        }
    }

    /** Returns the reports of the next message. */
    List<PartReport> take() {
        List<PartReport> taken = new ArrayList<>();
        take(mCrashes, taken);
        take(mAnswers, taken);
        return taken;
    }

    private static void take(Map<PartReport, Integer> waiting, List<PartReport> taken) {
        Map<PartReport, Integer> again = new LinkedHashMap<>();
        Iterator<Map.Entry<PartReport, Integer>> entries = waiting.entrySet().iterator();
        while (entries.hasNext() && taken.size() < MAX_REPORTS_PER_MESSAGE) {
            Map.Entry<PartReport, Integer> next = entries.next();
            taken.add(next.getKey());
            if (next.getValue() > 1) {
                again.put(next.getKey(), next.getValue() - 1);
            }
            entries.remove();
        }
        waiting.putAll(again);
    }
}
