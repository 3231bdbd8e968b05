package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class PhaseBalanceTest {
    private static final Duration TOKEN_INTERVAL_TARGET = Duration.ofMillis(300);

    private final ManualClock mClock = ManualClock.create();
    private final PhaseBalance mBalance = PhaseBalance.create(mClock);

    private void recordSamples(Duration promptTime, Duration tokenInterval) {
        mBalance.promptProcessed(10_000, Duration.ofMillis(100));
        for (int i = 0; i < 40; i++) {
            mClock.advance(Duration.ofMillis(50));
            mBalance.promptProcessed(2_000, promptTime);
            mBalance.recordTokenInterval(tokenInterval, TOKEN_INTERVAL_TARGET);
        }
    }

    /** Guards against prompts that wait while decode engines have spare capacity. */
    @Test
    void waitingPromptsRequireAPrefillEngine() {
        recordSamples(Duration.ofMillis(400), Duration.ofMillis(40));
        assertThat(mBalance.neededRole(), is(Optional.of(EndpointRole.PREFILL)));
    }

    /** Guards against long token intervals while prefill engines are idle. */
    @Test
    void longTokenIntervalsRequireADecodeEngine() {
        recordSamples(Duration.ofMillis(30), Duration.ofMillis(150));
        assertThat(mBalance.neededRole(), is(Optional.of(EndpointRole.DECODE)));
    }

    /** Guards against role changes that only move the shortage from one phase to the other. */
    @Test
    void noRoleIsNeededWhenBothPhasesAreOverloaded() {
        recordSamples(Duration.ofMillis(400), Duration.ofMillis(150));
        assertThat(mBalance.neededRole(), is(Optional.empty()));
    }

    /** Guards against role changes because of one long prompt or outdated samples. */
    @Test
    void fewOrOldSamplesAreIgnored() {
        mBalance.promptProcessed(2_000, Duration.ofSeconds(1));
        mBalance.recordTokenInterval(Duration.ofMillis(30), TOKEN_INTERVAL_TARGET);
        assertThat(mBalance.neededRole(), is(Optional.empty()));
        recordSamples(Duration.ofMillis(400), Duration.ofMillis(40));
        mClock.advance(Duration.ofSeconds(30));
        assertThat(mBalance.neededRole(), is(Optional.empty()));
    }
}
