package org.sesamedeck.experiment;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Command-line program that simulates traces with the decision core (module routing) and with
 * baselines, and compares their goodput.
 */
@Command(
        name = "experiment",
        description = "Runs a trace against the decision core and the baselines.",
        mixinStandardHelpOptions = true,
        sortOptions = false)
public final class ExperimentMain implements Callable<Integer> {
    private static final int MAX_SEEDS = 1000;

    @Spec private CommandSpec mSpec;

    @Parameters(
            arity = "0..1",
            paramLabel = "TRACE",
            description = "Trace to run, or \"all\"; --list shows the names.")
    private String mTrace;

    @Option(names = "--list", description = "List the traces and exit.")
    private boolean mList;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            description = "Run the seeds 1 to N, at most 1000 (default: 20).")
    private int mSeeds = 20;

    @Option(
            names = "--output",
            paramLabel = "DIR",
            description = "Write an HTML report with plots into this directory.")
    private Path mOutput;

    private ExperimentMain() {}

    /** Runs the command line and exits with its status. */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        System.exit(new CommandLine(new ExperimentMain()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException {
        PrintWriter out = mSpec.commandLine().getOut();
        if (mList) {
            for (TraceKind kind : TraceKind.values()) {
                out.printf("%-14s %s%n", kind, kind.description());
            }
            return 0;
        }
        if (mTrace == null) {
            throw new ParameterException(mSpec.commandLine(), "a trace or --list is required");
        }
        if (mSeeds < 1 || mSeeds > MAX_SEEDS) {
            throw new ParameterException(
                    mSpec.commandLine(),
                    "--seeds is " + mSeeds + ", but must be between 1 and 1000");
        }
        for (TraceKind kind : kinds()) {
            List<RunSet> sets = new ArrayList<>();
            for (Workload workload : Workload.values()) {
                RunSet set = RunSet.run(kind, workload, mSeeds);
                print(out, set);
                sets.add(set);
            }
            if (mOutput != null) {
                String command =
                        "bin/experiment " + kind + " --seeds " + mSeeds + " --output " + mOutput;
                out.println(
                        "report: " + ReportWriter.of(mOutput, command, mSeeds).write(kind, sets));
                out.flush();
            }
        }
        return 0;
    }

    private List<TraceKind> kinds() {
        if ("all".equals(mTrace)) {
            return List.of(TraceKind.values());
        }
        try {
            return List.of(TraceKind.of(mTrace));
        } catch (IllegalArgumentException unknown) {
            throw new ParameterException(
                    mSpec.commandLine(),
                    "trace \"" + mTrace + "\" does not exist; --list shows the names");
        }
    }

    private static void print(PrintWriter out, RunSet set) {
        out.printf(
                Locale.ROOT,
                "%s, %s: offline best %s requests/s%n",
                set.kind(),
                set.workload(),
                set.statistics(Policy.NAIVE, RunResult::offlineBound).format(1));
        for (Policy policy : Policy.values()) {
            out.printf(
                    Locale.ROOT,
                    "  %-23s of best %s, x naive %.2f, x reactive %.3f, changes %.1f,"
                            + " share error %.3f (max %.3f), queue ratio %.2f (max %.2f),"
                            + " others good %.3f, refused %.0f, late %.0f, slow %.0f,"
                            + " failed %.0f, unanswered %.0f%n",
                    policy.title(),
                    set.statistics(policy, result -> result.goodput() / result.offlineBound())
                            .format(3),
                    set.goodputRatio(policy, Policy.NAIVE).mean(),
                    set.goodputRatio(policy, Policy.REACTIVE).mean(),
                    set.statistics(policy, RunResult::roleChanges).mean(),
                    set.statistics(policy, RunResult::shareError).mean(),
                    set.statistics(policy, RunResult::shareError).maximum(),
                    set.statistics(policy, RunResult::queueRatio).mean(),
                    set.statistics(policy, RunResult::queueRatio).maximum(),
                    set.statistics(policy, RunResult::otherGoodFraction).mean(),
                    set.statistics(policy, RunResult::refused).mean(),
                    set.statistics(policy, RunResult::lateFirstTokens).mean(),
                    set.statistics(policy, RunResult::slowTokens).mean(),
                    set.statistics(policy, RunResult::failed).mean(),
                    set.statistics(policy, RunResult::unresolved).mean());
        }
        out.flush();
    }
}
