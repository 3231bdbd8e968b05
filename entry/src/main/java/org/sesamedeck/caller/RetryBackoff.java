package org.sesamedeck.caller;

import java.time.Duration;
import org.sesamedeck.core.ResultCode;

/** The pause of a relay's thread before it tries an engine again. */
final class RetryBackoff {
    private static final Duration PAUSE = Duration.ofMillis(50);

    private RetryBackoff() {}

    /**
     * Waits.
     *
     * @throws CallerException with OUTCOME_UNKNOWN when the thread is interrupted
     */
    static void await() {
        try {
            Thread.sleep(PAUSE.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw CallerException.of(ResultCode.OUTCOME_UNKNOWN, "interrupted");
        }
    }
}
