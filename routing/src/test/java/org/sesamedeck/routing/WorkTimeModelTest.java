package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WorkTimeModelTest {
    private final WorkTimeModel mModel =
            new WorkTimeModel(RouterSettings.defaults("east").withSpeed(20_000, 35e6));

    /** Guards against the fixed time of short prompts that is taken for time of their tokens. */
    @Test
    void fixedTimeAndTimePerTokenAreToldApart() {
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 300; i++) {
            double tokens = 200 + random.nextInt(8_000);
            mModel.learnPrompt(
                    tokens, (50e6 + 7_000 * tokens) * (0.8 + 0.4 * random.nextDouble()), 1);
        }
        assertThat(mModel.promptNanos(0) / 1e6, closeTo(50, 10));
        assertThat(mModel.promptNanos(12_000) / 1e6, closeTo(134, 15));
    }

    /** Guards against a negative time for prompts of a length that was never seen. */
    @Test
    void promptsOfOneLengthGiveNoNegativeTime() {
        for (int i = 0; i < 300; i++) {
            mModel.learnPrompt(1_000, 5e6, 1);
        }
        assertThat(mModel.promptNanos(1_000) / 1e6, closeTo(5, 1));
        assertThat(mModel.promptNanos(64), greaterThan(0.0));
    }

    /** Guards against one response that waited somewhere and spoils the estimate of all. */
    @Test
    void singleLongObservationIsLimited() {
        for (int i = 0; i < 100; i++) {
            mModel.learnPrompt(1_000 + 10 * i, 10e6, 1);
        }
        mModel.learnPrompt(1_000, 60e9, 1);
        assertThat(mModel.promptNanos(1_500) / 1e6, lessThan(15.0));
    }
}
