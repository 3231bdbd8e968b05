package org.sesamedeck.operator;

import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.ConfigurationResult;
import org.sesamedeck.core.ListChange;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.AcceptedConfiguration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Writes one list or both, on condition that the version they are based on is unchanged. */
@Command(
        name = "apply",
        description = {
            "Write one list or both and wait until they are accepted.",
            "Nothing is written when the lists are not valid together, or when they were changed"
                    + " since the version given with --if-version."
        },
        mixinStandardHelpOptions = true)
final class ApplyCommand extends BaseOperatorCommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    @Option(names = "--plans", description = "File with plans and customers.")
    private Path mPlans;

    @Option(names = "--entitlements", description = "File with entitlements.")
    private Path mEntitlements;

    @Option(
            names = "--if-version",
            description =
                    "Version that the files are based on, as printed by show. Default: the version"
                            + " stored when the command starts.")
    private Long mIfVersion;

    @Option(
            names = "--author",
            defaultValue = "${sys:user.name}",
            description = "Author of the change (default: the name of the current user).")
    private String mAuthor;

    @Option(
            names = "--note",
            defaultValue = "",
            description = "Reason for the change, for the audit trail.")
    private String mNote;

    @Option(names = "--dry-run", description = "Show the difference and write nothing.")
    private boolean mDryRun;

    @Option(
            names = "--wait-seconds",
            defaultValue = "10",
            description = "Seconds to wait for acceptance (default: ${DEFAULT-VALUE}).")
    private long mWaitSeconds;

    private ApplyCommand(OperatorContext context) {
        super(context);
    }

    static ApplyCommand of(OperatorContext context) {
        return new ApplyCommand(context);
    }

    @Override
    ExitStatus run(ConfigurationClient client) {
        if (mPlans == null && mEntitlements == null) {
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST, "give --plans, --entitlements or both");
        }
        OperatorLists stored = client.readLists();
        OperatorLists candidate =
                new OperatorLists(
                        stored.version(),
                        mPlans == null ? stored.plansIni() : OperatorContext.readFile(mPlans),
                        mEntitlements == null
                                ? stored.entitlementsIni()
                                : OperatorContext.readFile(mEntitlements),
                        mAuthor,
                        mNote);
        if (mIfVersion != null && mIfVersion != stored.version()) {
            return reportConflict(stored, candidate, mIfVersion);
        }
        ConfigurationResult result =
                ConfigurationParser.parse(0, candidate.plansIni(), candidate.entitlementsIni());
        if (!result.errors().isEmpty()) {
            errors().println("the lists are not valid; nothing was written");
            OperatorContext.printErrors(errors(), result.errors());
            return ExitStatus.INVALID_LISTS;
        }
        List<ListChange> changes = candidate.changesSince(stored);
        if (mDryRun) {
            printResult("nothing written (--dry-run)", stored.version(), 0, changes);
            return ExitStatus.OK;
        }
        return write(client, stored, candidate, changes);
    }

    private ExitStatus write(
            ConfigurationClient client,
            OperatorLists stored,
            OperatorLists candidate,
            List<ListChange> changes) {
        long version;
        try {
            version = client.writeLists(candidate);
        } catch (SesamedeckException failure) {
            if (failure.code() != ResultCode.VERSION_CONFLICT) {
                throw failure;
            }
            return reportConflict(client.readLists(), candidate, stored.version());
        }
        Optional<Long> accepted = awaitAcceptance(client, version);
        printResult(
                accepted.isPresent() ? "accepted" : "written, not accepted yet; see status",
                version,
                accepted.orElse(0L),
                changes);
        return accepted.isPresent() ? ExitStatus.OK : ExitStatus.NOT_YET_ACCEPTED;
    }

    private ExitStatus reportConflict(
            OperatorLists stored, OperatorLists candidate, long baseVersion) {
        errors().printf(
                        "the lists were changed to version %d by %s since version %d was read;"
                                + " nothing was written. Difference of your files to the stored"
                                + " lists:%n",
                        stored.version(), stored.author(), baseVersion);
        errors().print(ChangeTable.render(candidate.changesSince(stored)));
        errors().flush();
        return ExitStatus.VERSION_CONFLICT;
    }

    private Optional<Long> awaitAcceptance(ConfigurationClient client, long listsVersion) {
        long deadline = context().clock().nanoTime() + Duration.ofSeconds(mWaitSeconds).toNanos();
        while (true) {
            Optional<AcceptedConfiguration> accepted = readAcceptedIfAvailable(client);
            if (accepted.isPresent() && accepted.get().candidateVersion() >= listsVersion) {
                return accepted.map(AcceptedConfiguration::version);
            }
            if (context().clock().nanoTime() >= deadline) {
                return Optional.empty();
            }
            try {
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
        }
    }

    /**
     * Returns the accepted configuration; empty when there is none or it cannot be read. The write
     * is already known to be durable, so an outage only delays the confirmation.
     */
    private static Optional<AcceptedConfiguration> readAcceptedIfAvailable(
            ConfigurationClient client) {
        try {
            return client.readAccepted();
        } catch (SesamedeckException unavailable) {
            return Optional.empty();
        }
    }

    private void printResult(
            String outcome, long listsVersion, long acceptedVersion, List<ListChange> changes) {
        if (isJson()) {
            Map<String, Object> value = new LinkedHashMap<>();
            value.put("outcome", outcome);
            value.put("listsVersion", listsVersion);
            value.put("acceptedVersion", acceptedVersion);
            value.put("changes", changes);
            OperatorContext.printJson(output(), value);
            return;
        }
        output().printf(
                        "%s: lists version %d%s%n",
                        outcome,
                        listsVersion,
                        acceptedVersion == 0 ? "" : ", accepted as version " + acceptedVersion);
        output().print(ChangeTable.render(changes));
        output().flush();
    }
}
