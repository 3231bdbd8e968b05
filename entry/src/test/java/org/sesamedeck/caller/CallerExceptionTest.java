package org.sesamedeck.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.Execution;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

class CallerExceptionTest {
    /**
     * Guards against internal details in messages to callers, and against reporting "not executed"
     * after an unexpected exception.
     */
    @Test
    void unexpectedExceptionIsNotShownToCallers() {
        CallerException failure = CallerException.from(new IllegalStateException("secret"));

        assertThat(failure.code(), is(ResultCode.INTERNAL_ERROR));
        assertThat(failure.execution(), is(Execution.UNKNOWN));
        assertThat(ErrorBody.of(failure, "id"), not(containsString("secret")));
        assertThat(ErrorBody.of(failure, "id"), containsString("\"request_id\":\"id\""));
    }

    /** Guards against losing the result code of an exception that a future has wrapped. */
    @Test
    void resultCodeOfWrappedExceptionIsKept() {
        CallerException failure =
                CallerException.from(
                        new CompletionException(
                                SesamedeckException.of(ResultCode.OVER_PLAN_LIMIT, "limit")));

        assertThat(failure.code(), is(ResultCode.OVER_PLAN_LIMIT));
        assertThat(failure.retryAfter().isPresent(), is(true));
    }
}
