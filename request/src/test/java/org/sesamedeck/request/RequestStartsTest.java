package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.EndpointLoad;

/** Tests which requests are sent while prompts of other processes wait at the engines. */
class RequestStartsTest {
    private static final int REQUESTS = 40;

    /** Callers of the fixture's routes leave after 2 s. */
    private static final Duration SHORT_BACKLOG = Duration.ofMillis(300);

    private static final Duration LONG_BACKLOG = Duration.ofMillis(1_500);
    private static final Duration HOPELESS_BACKLOG = Duration.ofSeconds(4);

    private final RequestFixture mFixture = new RequestFixture(true).configure();

    /** Starts requests one after the other; their own prompts do not add to the backlog. */
    private List<RecordingPort> start(RequestKind kind, Duration backlog) {
        mFixture.setPeerLoad(new EndpointLoad("engine-0", backlog.toNanos(), 10));
        List<RecordingPort> ports = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            RecordingPort port = new RecordingPort();
            RequestLifecycle lifecycle = mFixture.start(kind, port);
            if (!lifecycle.isOver()) {
                lifecycle.callerLeft();
            }
            ports.add(port);
        }
        return ports;
    }

    private static List<RecordingPort> refused(List<RecordingPort> ports) {
        return ports.stream().filter(port -> port.errorResponse().isPresent()).toList();
    }

    /** Guards against refusing requests while their prompts are processed in time. */
    @Test
    void requestsAreSentWhileTheBacklogIsShort() {
        assertThat(refused(start(RequestKind.STREAM, SHORT_BACKLOG)), is(empty()));
    }

    /**
     * Guards against callers that wait in vain, and against refusals that bring them back at once.
     */
    @Test
    void requestsAreRefusedAtOnceWhenTheirCallersWouldLeaveFirst() {
        List<RecordingPort> refused = refused(start(RequestKind.STREAM, HOPELESS_BACKLOG));
        assertThat(refused, hasSize(REQUESTS));
        for (RecordingPort port : refused) {
            ErrorResponse error = port.errorResponse().orElseThrow();
            assertThat(error.code(), is(ResultCode.OVERLOADED));
            assertThat(
                    error.retryAfter().orElseThrow().compareTo(Duration.ofSeconds(1)) > 0,
                    is(true));
            assertThat(port.calls(), is(empty()));
        }
    }

    /** Guards against refused callers that all return at the same moment. */
    @Test
    void refusedCallersAreSpreadOut() {
        long delays =
                refused(start(RequestKind.STREAM, HOPELESS_BACKLOG)).stream()
                        .map(port -> port.errorResponse().flatMap(ErrorResponse::retryAfter))
                        .distinct()
                        .count();
        assertThat(delays, greaterThan(REQUESTS / 2L));
    }

    /** Guards against a backlog at engines that refuses requests to plain services. */
    @Test
    void plainServicesAreNotAffected() {
        assertThat(refused(start(RequestKind.REPEATABLE, HOPELESS_BACKLOG)), is(empty()));
    }

    /** Guards against refusing requests when the backlog has gone. */
    @Test
    void requestsAreSentAgainWhenTheBacklogHasGone() {
        assertThat(refused(start(RequestKind.STREAM, LONG_BACKLOG)).size(), greaterThan(0));
        assertThat(refused(start(RequestKind.STREAM, Duration.ZERO)), is(empty()));
    }
}
