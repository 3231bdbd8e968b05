package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestOutcome;
import org.sesamedeck.request.RequestTrace;

class JsonDecisionLogTest {
    private final SystemClock mClock = SystemClock.create();

    /** Guards against requests that block on a slow reader of standard output. */
    @Test
    void stalledOutputDoesNotBlockAndDropsAreReported() {
        StalledOutput output = new StalledOutput();
        JsonDecisionLog log = JsonDecisionLog.create(mClock, "node", output);
        for (int i = 0; i < 20_000; i++) {
            log.record(LogEntry.of(Decision.ENDPOINT_JOINED, mClock.nanoTime()));
        }
        output.mMayWrite.countDown();
        awaitCapacity(log);
        log.record(LogEntry.of(Decision.ENDPOINT_GONE, mClock.nanoTime()));
        log.close();
        assertThat(output.text(), containsString("LINES_DROPPED"));
    }

    private void awaitCapacity(JsonDecisionLog log) {
        while (!log.hasCapacity()) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a queue of lines with texts of callers that takes the whole heap. */
    @Test
    void textsOfCallersAreCut() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonDecisionLog log = JsonDecisionLog.create(mClock, "node", output);
        for (int i = 0; i < 32; i++) {
            RequestTrace trace = RequestTrace.of(i + "x".repeat(16_000), "route");
            trace.add(Decision.REFUSED, mClock.nanoTime()).with("cause", "y".repeat(16_000));
            log.requestEnded(trace);
        }
        log.close();
        assertThat(output.size() > 0, is(true));
        assertThat(output.size() < 32 * 2_000, is(true));
    }

    /** Guards against logging only some of the lines of a request. */
    @Test
    void requestIsLoggedWithAllLinesOrNone() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonDecisionLog log = JsonDecisionLog.create(mClock, "node", output);
        for (int i = 0; i < 400; i++) {
            RequestTrace trace = RequestTrace.of("request-" + i, "route");
            trace.add(Decision.ADMITTED, mClock.nanoTime());
            trace.add(Decision.ANSWERED, mClock.nanoTime());
            log.requestEnded(trace);
        }
        log.close();
        String text = output.toString(StandardCharsets.UTF_8);
        long admitted = text.lines().filter(line -> line.contains("ADMITTED")).count();
        long completed = text.lines().filter(line -> line.contains("ANSWERED")).count();
        assertThat(admitted > 0, is(true));
        assertThat(admitted, is(completed));
    }

    /**
     * Guards against requests that leave no log lines because their callers disconnected at the
     * deadline.
     */
    @Test
    void requestWhoseCallerDisconnectedIsLogged() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonDecisionLog log = JsonDecisionLog.create(mClock, "node", output);
        for (int i = 0; i < 20; i++) {
            RequestTrace trace = RequestTrace.of("left-" + i, "route");
            trace.add(Decision.CALLER_LEFT, mClock.nanoTime());
            trace.end(RequestOutcome.CALLER_LEFT, 0, 1);
            log.requestEnded(trace);
        }
        log.close();
        assertThat(output.toString(StandardCharsets.UTF_8).lines().count(), is(20L));
    }

    /** Guards against lines that are not valid JSON. */
    @Test
    void valuesAreEscaped() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonDecisionLog log = JsonDecisionLog.create(mClock, "node", output);
        log.record(LogEntry.of(Decision.STARTED, mClock.nanoTime()).with("cause", "a \"b\"\n"));
        log.close();
        assertThat(
                output.toString(StandardCharsets.UTF_8),
                containsString("\"cause\":\"a \\\"b\\\"\\n\""));
    }

    /** Blocks every write until the latch is released. */
    private static final class StalledOutput extends OutputStream {
        private final CountDownLatch mMayWrite = new CountDownLatch(1);
        private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            awaitRelease();
            synchronized (mWritten) {
                mWritten.write(bytes, offset, length);
            }
        }

        /**
         * Ignores the interrupt by which closing the log stops its writer, since it must not count
         * as a failed write.
         */
        private void awaitRelease() {
            boolean wasInterrupted = false;
            while (mMayWrite.getCount() > 0) {
                try {
                    mMayWrite.await();
                } catch (InterruptedException interrupted) {
                    wasInterrupted = true;
                }
            }
            if (wasInterrupted) {
                Thread.currentThread().interrupt();
            }
        }

        String text() {
            synchronized (mWritten) {
                return mWritten.toString(StandardCharsets.UTF_8);
            }
        }
    }
}
