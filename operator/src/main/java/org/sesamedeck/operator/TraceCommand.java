package org.sesamedeck.operator;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Merges the log lines of one request from several processes and prints its outcome. */
@Command(
        name = "trace",
        description = "Show the timeline and the outcome of a request from the decision logs.",
        mixinStandardHelpOptions = true)
final class TraceCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "Identifier of the request.")
    private String mRequestId;

    @Parameters(
            index = "1..*",
            arity = "1..*",
            paramLabel = "FILE",
            description = "Standard output of processes.")
    private List<Path> mFiles;

    @Option(names = "--output", defaultValue = "TABLE", description = "table or json.")
    private OutputFormat mOutput;

    @Spec private CommandSpec mSpec;

    private final Set<String> mNodes = new HashSet<>();
    private long mDroppedLineCount;

    @Override
    public Integer call() {
        List<LoggedDecision> matches = new ArrayList<>();
        mFiles.forEach(file -> readLog(file, matches));
        RequestTimeline timeline = RequestTimeline.of(matches);
        PrintWriter output = mSpec.commandLine().getOut();
        if (mOutput == OutputFormat.JSON) {
            OperatorContext.printJson(
                    output,
                    Map.of(
                            "request", mRequestId,
                            "cause", timeline.describeOutcome(),
                            "nodesRead", mNodes,
                            "linesDropped", mDroppedLineCount,
                            "decisions",
                                    timeline.decisions().stream()
                                            .map(LoggedDecision::line)
                                            .toList()));
        } else {
            printTable(output, timeline);
        }
        return (matches.isEmpty() ? ExitStatus.FAILED : ExitStatus.OK).number();
    }

    private void printTable(PrintWriter output, RequestTimeline timeline) {
        TextTable table = TextTable.of("TIME", "NODE", "EVENT", "DETAILS");
        for (LoggedDecision decision : timeline.decisions()) {
            table.row(decision.time(), decision.node(), decision.event(), decision.details());
        }
        output.print(table.render("no log lines of request " + mRequestId));
        output.println(timeline.describeOutcome());
        output.printf("Read the logs of %d processes.%n", mNodes.size());
        if (mDroppedLineCount > 0) {
            output.printf("%d lines were dropped under load in these logs.%n", mDroppedLineCount);
        }
        output.flush();
    }

    private void readLog(Path file, List<LoggedDecision> matches) {
        try (Stream<String> lines = Files.lines(file)) {
            lines.flatMap(line -> LoggedDecision.parse(line).stream())
                    .forEach(decision -> collect(decision, matches));
        } catch (IOException | UncheckedIOException failure) {
            boolean isBinary = failure.getCause() instanceof MalformedInputException;
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST,
                    "log " + file + (isBinary ? " is not text" : " cannot be read"),
                    failure);
        }
    }

    private void collect(LoggedDecision decision, List<LoggedDecision> matches) {
        mNodes.add(decision.node());
        if (decision.event().equals("LINES_DROPPED")) {
            mDroppedLineCount += decision.line().path("lines").asLong();
        }
        if (decision.request().equals(mRequestId)) {
            matches.add(decision);
        }
    }
}
