package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.request.RequestKind;

/** A planned stop while a caller has not yet read its response. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StoppedResponseTest extends GatewayHttpFixture {
    private static final Duration GRACE = Duration.ofSeconds(8);

    /** More than the system's buffers for a connection take. */
    private static final int RESPONSE_BYTES = 7_500_000;

    /** Longer than the time after which a stopping process closes idle connections. */
    private static final int STOP_MILLIS = 3_400;

    private static final int PART_BYTES = 64 * 1_024;
    private static final int PART_MILLIS = 100;

    @Override
    long responseMemoryBytes() {
        return 32 << 20;
    }

    /**
     * Guards against closing a connection as idle whose response is complete but has not been
     * written out, because its caller reads slowly.
     */
    @Test
    void responseThatIsBeingWrittenIsNotCut() throws Exception {
        String body = "x".repeat(RESPONSE_BYTES);
        start((number, socket, output) -> write(output, response("slow", body)));
        Socket caller = connectSlowly();
        send(caller, request(RequestKind.REPEATABLE, "slow", ""));
        Thread.sleep(1_000);
        CountDownLatch stopped = new CountDownLatch(1);
        stopAsPlanned(GRACE, stopped::countDown);
        int received = 0;
        for (int i = 0; i < STOP_MILLIS / PART_MILLIS; i++) {
            received += caller.getInputStream().readNBytes(PART_BYTES).length;
            Thread.sleep(PART_MILLIS);
        }
        received += caller.getInputStream().readAllBytes().length;
        assertThat(received, greaterThan(RESPONSE_BYTES));
        assertThat(stopped.await(20, TimeUnit.SECONDS), is(true));
    }
}
