package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class AnswerLengthsTest {
    private static final String ROUTE = "summaries";
    private static final int TOKENS_PER_EVENT = 10;

    private final AnswerLengths mLengths = new AnswerLengths();

    private void learn(int events) {
        for (int i = 0; i < 200; i++) {
            mLengths.record(ROUTE, events, OptionalInt.of(events * TOKENS_PER_EVENT));
        }
    }

    /** Guards against long answers that are placed and admitted like usual ones. */
    @Test
    void expectationOfTheCallerMovesTheEstimate() {
        learn(30);
        assertThat(mLengths.expected(ROUTE, OptionalInt.of(900)), is(greaterThan(50.0)));
        assertThat(mLengths.expected(ROUTE, OptionalInt.of(900)), is(lessThan(90.0)));
        assertThat(mLengths.expected(ROUTE, OptionalInt.of(300)), is(closeTo(30, 0.5)));
    }

    /** Guards against estimates that fail for callers without, or with a useless, expectation. */
    @Test
    void withoutExpectationTheUsualLengthHolds() {
        learn(30);
        assertThat(mLengths.expected(ROUTE, OptionalInt.empty()), is(closeTo(30, 0.5)));
        assertThat(mLengths.expected(ROUTE, OptionalInt.of(0)), is(closeTo(30, 0.5)));
        assertThat(mLengths.expected(ROUTE, OptionalInt.of(-5)), is(closeTo(30, 0.5)));
    }
}
