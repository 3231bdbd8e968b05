package org.sesamedeck.gateway.duty;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.sesamedeck.gateway.UsageReport;

/**
 * What the record of the holder says about usage: the last window whose report is fixed, and the
 * reports of which it is not known that the platform has accepted them. A report is sent only as it
 * stands here, so a repetition and a successor say the same.
 *
 * @param fixedThrough the last window whose report is fixed; empty before the first
 * @param reports reports to send, by window
 */
record UsageNote(OptionalLong fixedThrough, List<UsageReport> reports) {
    static final UsageNote EMPTY = new UsageNote(OptionalLong.empty(), List.of());

    private static final String HEADER = "usage";

    /** Returns the text of the note: a line for the last window and one for each report. */
    String encode() {
        StringBuilder text = new StringBuilder(HEADER);
        fixedThrough.ifPresent(window -> text.append(' ').append(window));
        for (UsageReport report : reports) {
            text.append('\n').append(report.window());
            report.counts()
                    .forEach(
                            (account, requests) ->
                                    text.append(' ')
                                            .append(
                                                    URLEncoder.encode(
                                                            account, StandardCharsets.UTF_8))
                                            .append('=')
                                            .append(requests));
        }
        return text.toString();
    }

    /** Returns the note in a text; empty if it has none. */
    static UsageNote decode(String text) {
        List<String> lines = text.lines().toList();
        if (lines.isEmpty() || !lines.get(0).startsWith(HEADER)) {
            return EMPTY;
        }
        try {
            String[] header = lines.get(0).split(" ");
            OptionalLong window =
                    header.length > 1
                            ? OptionalLong.of(Long.parseLong(header[1]))
                            : OptionalLong.empty();
            return new UsageNote(window, lines.stream().skip(1).map(UsageNote::report).toList());
        } catch (NumberFormatException unreadable) {
            return EMPTY;
        }
    }

    private static UsageReport report(String line) {
        String[] fields = line.split(" ");
        SortedMap<String, Long> counts = new TreeMap<>();
        for (int i = 1; i < fields.length; i++) {
            int equals = fields[i].lastIndexOf('=');
            String account =
                    URLDecoder.decode(
                            fields[i].substring(0, Math.max(0, equals)), StandardCharsets.UTF_8);
            counts.put(account, Long.parseLong(fields[i].substring(equals + 1)));
        }
        return new UsageReport(Long.parseLong(fields[0]), counts);
    }

    /**
     * Returns the note with further reports and without those that the platform has accepted.
     *
     * @param through the last window whose report is fixed then
     */
    UsageNote with(long through, List<UsageReport> fixed, Set<Long> accepted) {
        List<UsageReport> all =
                Stream.concat(reports.stream(), fixed.stream())
                        .filter(report -> !accepted.contains(report.window()))
                        .toList();
        return new UsageNote(OptionalLong.of(through), all);
    }
}
