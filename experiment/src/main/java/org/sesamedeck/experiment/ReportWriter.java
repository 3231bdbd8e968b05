package org.sesamedeck.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Writes the HTML report of a trace with its tables and plots. */
final class ReportWriter {
    private final Path mDirectory;
    private final String mCommand;
    private final int mSeeds;

    private ReportWriter(Path directory, String command, int seeds) {
        mDirectory = directory;
        mCommand = command;
        mSeeds = seeds;
    }

    static ReportWriter of(Path directory, String command, int seeds) {
        return new ReportWriter(directory, command, seeds);
    }

    /** Writes {@code TRACE.html} and its PNG files and returns the path of the page. */
    Path write(TraceKind kind, List<RunSet> sets) throws IOException {
        Files.createDirectories(mDirectory);
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Trace ")
                .append(kind)
                .append("</title><style>body{font-family:sans-serif;margin:2em}")
                .append("table{border-collapse:collapse}td,th{border:1px solid #999;")
                .append("padding:3px 8px;text-align:right}td:first-child{text-align:left}")
                .append("</style></head><body>\n<h1>Trace ")
                .append(kind)
                .append("</h1>\n<p>")
                .append(kind.description())
                .append(".</p>\n<p>Seeds 1 to ")
                .append(mSeeds)
                .append(". Command: <code>")
                .append(mCommand)
                .append("</code></p>\n<p>Figures are mean ± standard deviation [least, largest]. ")
                .append("The offline best is an upper bound: every engine always has the fitting ")
                .append("role, changes cost nothing, windows of 30 s, shares kept.</p>\n");
        for (RunSet set : sets) {
            appendTable(page, set);
            for (String plot : PlotWriter.of(mDirectory).write(set)) {
                page.append("<p><img src=\"")
                        .append(plot)
                        .append("\" alt=\"")
                        .append(plot)
                        .append("\"></p>\n");
            }
        }
        page.append("</body></html>\n");
        Path file = mDirectory.resolve(kind + ".html");
        Files.writeString(file, page);
        return file;
    }

    private static void appendTable(StringBuilder page, RunSet set) {
        page.append("<h2>")
                .append(set.workload())
                .append("</h2>\n<p>")
                .append(
                        String.format(
                                Locale.ROOT,
                                "Demand of seed 1: %.1f requests/s. Offline best: %s requests/s.",
                                set.firstSeedTrace().requests().size()
                                        / set.firstSeedTrace().seconds(),
                                set.statistics(Policy.NAIVE, RunResult::offlineBound).format(1)))
                .append("</p>\n<table><tr><th>policy</th><th>goodput, 1/s</th><th>of best</th>")
                .append("<th>x naive</th><th>x reactive</th><th>role changes</th>")
                .append("<th>share error</th><th>queue ratio</th><th>others good</th>")
                .append("<th>refused</th><th>late</th><th>slow</th><th>failed</th>")
                .append("<th>unanswered</th></tr>\n");
        for (Policy policy : Policy.values()) {
            page.append("<tr><td>").append(policy.title()).append("</td>");
            appendCell(page, set.statistics(policy, RunResult::goodput), 1);
            appendCell(
                    page,
                    set.statistics(policy, result -> result.goodput() / result.offlineBound()),
                    3);
            appendCell(page, set.goodputRatio(policy, Policy.NAIVE), 2);
            appendCell(page, set.goodputRatio(policy, Policy.REACTIVE), 3);
            appendCell(page, set.statistics(policy, RunResult::roleChanges), 1);
            appendCell(page, set.statistics(policy, RunResult::shareError), 3);
            appendCell(page, set.statistics(policy, RunResult::queueRatio), 2);
            appendCell(page, set.statistics(policy, RunResult::otherGoodFraction), 3);
            appendCell(page, set.statistics(policy, RunResult::refused), 0);
            appendCell(page, set.statistics(policy, RunResult::lateFirstTokens), 0);
            appendCell(page, set.statistics(policy, RunResult::slowTokens), 0);
            appendCell(page, set.statistics(policy, RunResult::failed), 0);
            appendCell(page, set.statistics(policy, RunResult::unresolved), 0);
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private static void appendCell(StringBuilder page, SeedStatistics statistics, int digits) {
        page.append("<td>").append(statistics.format(digits)).append("</td>");
    }
}
