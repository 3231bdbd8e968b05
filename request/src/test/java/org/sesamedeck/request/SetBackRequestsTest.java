package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;

/** Tests requests of an account far over its share where a plain service is full. */
class SetBackRequestsTest {
    private static final int ACCOUNTS = 10;

    /** An endpoint that has rejected a request gets none for a while. */
    private static final Duration AFTER_BACKOFF = Duration.ofMillis(250);

    private static final String LARGE = "key 0";
    private static final String SMALL = "key 1";

    private final RequestFixture mFixture = new RequestFixture(false);

    @BeforeEach
    void makeOneAccountLarge() {
        Map<String, ClientAccount> accounts = new HashMap<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            accounts.put("key " + i, new ClientAccount("account " + i, OptionalInt.empty()));
        }
        mFixture.handler()
                .configure(RequestFixture.configuration(1, ClientAccounts.of(accounts), false));
        for (int i = 0; i < ACCOUNTS; i++) {
            mFixture.handler().accountShares().record("account " + i, i == 0 ? 100_000 : 1_000);
        }
    }

    private RecordingPort start(String key) {
        RecordingPort port = new RecordingPort();
        mFixture.startWithKey(RequestKind.REPEATABLE, key, port);
        return port;
    }

    /** Lets an endpoint reject each of the requests; the next endpoint serves it. */
    private void reject(int requests) {
        for (int i = 0; i < requests; i++) {
            RecordingPort port = start(SMALL);
            answer(port, RequestFixture.notRun());
            answer(port, RequestFixture.head(200));
            mFixture.timers().advance(AFTER_BACKOFF);
        }
    }

    private static void answer(RecordingPort port, ResponseHead head) {
        CallListener listener = port.lastCall().listener();
        listener.headReceived(head);
        listener.ended();
    }

    /** Guards against a large account that takes the last places at endpoints from small ones. */
    @Test
    void largeAccountIsRefusedAtOnceWhileTheServiceIsFull() {
        reject(4);
        RecordingPort large = start(LARGE);
        assertThat(large.calls(), hasSize(0));
        assertThat(
                large.errorResponse().map(ErrorResponse::code),
                is(Optional.of(ResultCode.OVERLOADED)));
        assertThat(start(SMALL).calls(), hasSize(1));
    }

    /** Guards against refusing a large account while there is room for all. */
    @Test
    void largeAccountIsServedWhileTheServiceHasRoom() {
        assertThat(start(LARGE).calls(), hasSize(1));
        reject(4);
        mFixture.timers().advance(Duration.ofSeconds(3));
        assertThat(start(LARGE).calls(), hasSize(1));
    }

    /** Guards against an account that gets nothing at all while the service stays full. */
    @Test
    void oneInThreeRequestsOfTheLargeAccountIsSent() {
        reject(4);
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            sent += start(LARGE).calls().size();
        }
        assertThat(sent, is(10));
    }

    /** Guards against callers that are refused together and come back together. */
    @Test
    void refusedCallersAreToldToReturnAtDifferentTimes() {
        reject(4);
        Set<Duration> delays = new HashSet<>();
        List<RecordingPort> refused = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            RecordingPort port = start(LARGE);
            port.errorResponse().flatMap(ErrorResponse::retryAfter).ifPresent(delays::add);
            refused.add(port);
        }
        assertThat(delays.size(), greaterThan(15));
    }
}
