package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ShutdownTest {
    @TempDir Path mDirectory;

    /** Guards against a planned shutdown that cuts a stream or goes on accepting requests. */
    @Test
    void stopWaitsForTheOpenStreamAndRefusesNewRequests() throws Exception {
        FakeEngine engine = new FakeEngine();
        FakeControl control = new FakeControl().withEngine("engine-1", engine.port());
        engine.mEventPermits = new Semaphore(2);
        int port = EntryFixture.freePort();
        int adminPort = EntryFixture.freePort();
        Path settings = EntryFixture.writeSettings(mDirectory, control, port, adminPort);
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx192m",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "org.sesamedeck.entry.EntryMain",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(mDirectory.resolve("log").toFile())
                        .start();
        try (CallerSocket open = new CallerSocketAfterStart(port, adminPort).socket();
                CallerSocket late = new CallerSocket(port)) {
            open.startChat(EntryFixture.chatBody(true), "");
            assertThat(open.readLine("data: "), containsString("assistant"));

            process.destroy();
            String refusal = "";
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!refusal.contains("STOPPING") && System.nanoTime() < until) {
                try (CallerSocket caller = new CallerSocket(port)) {
                    caller.startChat("{}", "Connection: close\r\n");
                    refusal = caller.readResponse();
                }
            }
            assertThat(refusal, containsString("503"));
            assertThat(refusal, containsString("STOPPING"));
            assertThat(EntryFixture.get(adminPort, "/ready").statusCode(), is(503));
            assertThat(process.isAlive(), is(true));

            engine.mEventPermits.release(100);
            assertThat(open.readLine("data: [DONE]"), is("data: [DONE]"));
            assertThat(process.waitFor(30, TimeUnit.SECONDS), is(true));
            assertThat(process.exitValue(), is(0));
        } finally {
            process.destroyForcibly();
            engine.close();
            control.close();
        }
    }

    /** Connects once the process is ready. */
    private record CallerSocketAfterStart(int port, int adminPort) {
        CallerSocket socket() throws Exception {
            EntryFixture.awaitReady(adminPort);
            return new CallerSocket(port);
        }
    }
}
