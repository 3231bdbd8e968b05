package org.sesamedeck.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.platform.PlatformEmulator;
import org.sesamedeck.emulator.platform.PlatformLimits;
import org.sesamedeck.platform.CallCounter;
import org.sesamedeck.platform.HttpObjectStore;
import org.sesamedeck.platform.ObjectKey;
import picocli.CommandLine;

class OperatorCommandTest {
    private static final String KEY = "ab".repeat(32);
    private static final String PLANS =
            "[plan gold]\nshare = 40\n[customer sfax]\nplan = gold\nkey-sha256 = " + KEY + "\n";
    private static final String ENTITLEMENTS = "[plan gold]\nmodels = judge\n";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @TempDir Path mDirectory;

    private PlatformEmulator mPlatform;

    /** Exit status and output of one command. */
    private record Outcome(int status, String output, String errors) {}

    @BeforeEach
    void startPlatform() {
        mPlatform =
                PlatformEmulator.start(
                        HostAddress.of("127.0.0.1", 0),
                        SystemClock.create(),
                        new PlatformLimits(1000, 1000, Duration.ofSeconds(1)));
    }

    @AfterEach
    void stopPlatform() {
        mPlatform.close();
    }

    private Outcome run(String... arguments) {
        List<String> all = new ArrayList<>(Arrays.asList(arguments));
        if (!arguments[0].equals("check")) {
            all.addAll(List.of("--platform", mPlatform.address().toString()));
        }
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandLine commandLine =
                OperatorMain.commandLine(
                        platform -> HttpObjectStore.create(platform, TIMEOUT, CallCounter.create()),
                        SystemClock.create());
        commandLine.setOut(new PrintWriter(output));
        commandLine.setErr(new PrintWriter(errors));
        int status = commandLine.execute(all.toArray(String[]::new));
        return new Outcome(status, output.toString(), errors.toString());
    }

    private String writeFile(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text).toString();
    }

    private Outcome applyBoth(String plans) throws IOException {
        return run(
                "apply",
                "--plans",
                writeFile("plans.ini", plans),
                "--entitlements",
                writeFile("entitlements.ini", ENTITLEMENTS),
                "--author",
                "amel",
                "--wait-seconds",
                "0");
    }

    private void setFaults(String faults) throws IOException, InterruptedException {
        URI uri = URI.create(mPlatform.address().toHttpBase() + "/emulator/faults");
        HttpResponse<String> response =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(uri)
                                        .PUT(HttpRequest.BodyPublishers.ofString(faults))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode(), is(200));
    }

    @Test
    void checkReportsErrorsWithoutAConnection() throws IOException {
        String entitlements = writeFile("entitlements.ini", ENTITLEMENTS);

        assertThat(
                run("check", "--plans", writeFile("a.ini", PLANS), "--entitlements", entitlements)
                        .status(),
                is(0));
        Outcome invalid =
                run(
                        "check",
                        "--plans",
                        writeFile("b.ini", PLANS.replace("40", "much")),
                        "--entitlements",
                        entitlements);
        assertThat(invalid.status(), is(ExitStatus.INVALID_LISTS.number()));
        assertThat(invalid.output(), allOf(containsString("share"), containsString("much")));
    }

    /** Guards against output of show that cannot be applied again as a file. */
    @Test
    void showPrintsTheAppliedPlansUnchanged() throws IOException {
        assertThat(applyBoth(PLANS).status(), is(ExitStatus.NOT_YET_ACCEPTED.number()));

        Outcome shown = run("show", "plans");
        assertThat(shown.output(), is(PLANS));
        assertThat(shown.errors(), containsString("written by amel"));
    }

    /** Guards against the later of two operators overwriting the earlier change unnoticed. */
    @Test
    void versionConflictShowsTheDifferenceAndWritesNothing() throws IOException {
        applyBoth(PLANS);
        String base = versionOfLists();
        applyBoth(PLANS.replace("40", "50"));

        Outcome late =
                run(
                        "apply",
                        "--plans",
                        writeFile("late.ini", PLANS.replace("40", "60")),
                        "--if-version",
                        base);

        assertThat(late.status(), is(ExitStatus.VERSION_CONFLICT.number()));
        assertThat(
                late.errors(),
                allOf(containsString("nothing was written"), containsString("share")));
        assertThat(run("show", "plans").output(), containsString("share = 50"));
    }

    /** Guards against writing a pair of lists when a plan of one is missing from the other. */
    @Test
    void invalidPairIsNotWritten() throws IOException {
        applyBoth(PLANS);

        Outcome outcome =
                run("apply", "--plans", writeFile("p.ini", PLANS + "[plan silver]\nshare = 1\n"));

        assertThat(outcome.status(), is(ExitStatus.INVALID_LISTS.number()));
        assertThat(run("show", "plans").output(), not(containsString("silver")));
    }

    /** Guards against reporting a write that took effect as a conflict with itself. */
    @Test
    void writeWhoseResponseWasLostIsReadBack() throws Exception {
        applyBoth(PLANS);
        setFaults("{\"loseAnswersNext\": 1}");

        Outcome outcome = applyBoth(PLANS.replace("40", "70"));

        assertThat(outcome.errors(), outcome.status(), is(ExitStatus.NOT_YET_ACCEPTED.number()));
        assertThat(run("show", "plans").output(), containsString("share = 70"));
    }

    @Test
    void platformOutageIsReportedWithItsStatus() throws Exception {
        setFaults("{\"unavailable\": true}");

        Outcome outcome = run("status");

        assertThat(outcome.status(), is(ExitStatus.PLATFORM_UNAVAILABLE.number()));
        assertThat(outcome.errors(), containsString("4004 STORE_UNAVAILABLE"));
    }

    @Test
    void statusAndAuditShowWhatNodesReported() {
        try (HttpObjectStore store =
                HttpObjectStore.create(mPlatform.address(), TIMEOUT, CallCounter.create())) {
            store.create(
                            ObjectKey.of("status", "tunis-a"),
                            "{\"failureDomain\":\"tunis-a\",\"nodes\":[{\"node\":\"n1\","
                                    + "\"configurationVersion\":3,\"admitting\":false,"
                                    + "\"message\":\"cut off\",\"refusals\":{\"2003\":7}}],"
                                    + "\"missing\":[\"n2\"],\"endpoints\":[{\"name\":\"e1\","
                                    + "\"role\":\"PREFILL\",\"state\":\"changing\"}]}")
                    .join();
            store.create(
                            ObjectKey.of("audit", "2026-12-01-1"),
                            "{\"time\":\"2026-12-01T10:00:00Z\",\"actor\":\"n1\","
                                    + "\"cause\":\"role plan\",\"object\":\"engine e1\","
                                    + "\"oldValue\":\"MIXED\",\"newValue\":\"PREFILL\","
                                    + "\"fencingNumber\":12}")
                    .join();
        }

        assertThat(
                run("status").output(),
                allOf(
                        containsString("2003 UNAVAILABLE"),
                        containsString("changing"),
                        containsString("problem: n1: cut off"),
                        containsString("problem: n2 does not report")));
        assertThat(
                run("audit", "--output", "json").output(),
                allOf(containsString("\"before\" : \"MIXED\""), containsString("role plan")));
    }

    private String versionOfLists() {
        String errors = run("show", "plans").errors();
        return errors.substring("version ".length(), errors.indexOf(','));
    }
}
