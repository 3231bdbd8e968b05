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

/** Puts the log lines of one request from several processes in order and tells its cause. */
@Command(
        name = "trace",
        description = "Tell from the decision logs of the processes what became of a request.",
        mixinStandardHelpOptions = true)
final class TraceCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "Identifier of the request.")
    private String mRequest;

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
    private long mDroppedLines;

    @Override
    public Integer call() {
        List<LoggedDecision> found = new ArrayList<>();
        mFiles.forEach(file -> read(file, found));
        RequestStory story = RequestStory.of(found);
        PrintWriter output = mSpec.commandLine().getOut();
        if (mOutput == OutputFormat.JSON) {
            OperatorContext.printJson(
                    output,
                    Map.of(
                            "request", mRequest,
                            "cause", story.cause(),
                            "nodesRead", mNodes,
                            "linesDropped", mDroppedLines,
                            "decisions",
                                    story.decisions().stream().map(LoggedDecision::line).toList()));
        } else {
            printTable(output, story);
        }
        return (found.isEmpty() ? ExitStatus.FAILED : ExitStatus.OK).number();
    }

    private void printTable(PrintWriter output, RequestStory story) {
        TextTable table = TextTable.of("TIME", "NODE", "EVENT", "DETAILS");
        for (LoggedDecision decision : story.decisions()) {
            table.row(decision.time(), decision.node(), decision.event(), decision.details());
        }
        output.print(table.render("no lines of request " + mRequest));
        output.println(story.cause());
        output.printf("Read the logs of %d processes.%n", mNodes.size());
        if (mDroppedLines > 0) {
            output.printf("%d lines were dropped under load in these logs.%n", mDroppedLines);
        }
        output.flush();
    }

    private void read(Path file, List<LoggedDecision> found) {
        try (Stream<String> lines = Files.lines(file)) {
            lines.flatMap(line -> LoggedDecision.parse(line).stream())
                    .forEach(decision -> take(decision, found));
        } catch (IOException | UncheckedIOException failure) {
            boolean isBinary = failure.getCause() instanceof MalformedInputException;
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST,
                    "log " + file + (isBinary ? " is not text" : " cannot be read"),
                    failure);
        }
    }

    private void take(LoggedDecision decision, List<LoggedDecision> found) {
        mNodes.add(decision.node());
        if (decision.event().equals("LINES_DROPPED")) {
            mDroppedLines += decision.line().path("lines").asLong();
        }
        if (decision.request().equals(mRequest)) {
            found.add(decision);
        }
    }
}
