package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.EndpointLoad;

/** Tests queueing with a burst of long responses that exceeds the decode capacity. */
class RequestQueueTest {
    private final RequestFixture mFixture = RequestFixture.withDecodeCapacityLimit().configure();

    private List<RecordingPort> burst(RequestKind kind, int count) {
        List<RecordingPort> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RecordingPort port = new RecordingPort();
            mFixture.start(kind, port);
            ports.add(port);
        }
        return ports;
    }

    private static long sent(List<RecordingPort> ports) {
        return ports.stream().filter(port -> !port.calls().isEmpty()).count();
    }

    /** Guards against starting so many responses that all become too slow to end in time. */
    @Test
    void requestsBeyondDecodeCapacityAreQueuedUntilOthersComplete() {
        List<RecordingPort> ports = burst(RequestKind.STREAM, 12);
        long started = sent(ports);
        assertThat(started < 12, is(true));
        finish(ports.get(0));
        mFixture.timers().advance(Duration.ofMillis(60));
        assertThat(sent(ports), is(started + 1));
    }

    /** Guards against queueing requests until their deadline and then failing them. */
    @Test
    void requestQueuedTooLongIsRefusedWithRetryAfter() {
        List<RecordingPort> ports = burst(RequestKind.STREAM, 12);
        mFixture.timers().advance(Duration.ofSeconds(2));
        List<RecordingPort> refused =
                ports.stream().filter(port -> port.errorResponse().isPresent()).toList();
        assertThat(refused, hasSize((int) (12 - sent(ports))));
        for (RecordingPort port : refused) {
            assertThat(
                    port.errorResponse().map(ErrorResponse::code),
                    is(Optional.of(ResultCode.OVERLOADED)));
            assertThat(
                    port.errorResponse().flatMap(ErrorResponse::retryAfter).isPresent(), is(true));
        }
    }

    /** Guards against requests to plain services that queue behind responses of engines. */
    @Test
    void plainServiceRequestsAreNotQueued() {
        burst(RequestKind.STREAM, 12);
        assertThat(sent(burst(RequestKind.REPEATABLE, 5)), is(5L));
    }

    /** Guards against using decode capacity that responses of peer processes already occupy. */
    @Test
    void peerLoadReducesCapacity() {
        for (int i = 1; i < 4; i++) {
            mFixture.setPeerLoad(new EndpointLoad("engine-" + i, 0, 50));
        }
        assertThat(sent(burst(RequestKind.STREAM, 3)), is(0L));
    }

    /** Guards against an account that starves the others with requests queued before theirs. */
    @Test
    void requestOfSmallAccountPassesQueueOfLargeOne() {
        RequestFixture fixture = RequestFixture.withDecodeCapacityLimit();
        Map<String, ClientAccount> accounts = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            accounts.put("key " + i, new ClientAccount("account " + i, OptionalInt.empty()));
        }
        fixture.handler()
                .configure(RequestFixture.configuration(1, ClientAccounts.of(accounts), false));
        for (int i = 0; i < 6; i++) {
            fixture.startWithKey(RequestKind.REPEATABLE, "key " + i, new RecordingPort());
        }
        List<RecordingPort> large = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            RecordingPort port = new RecordingPort();
            fixture.startWithKey(RequestKind.STREAM, "key 0", port);
            fixture.timers().advance(Duration.ofMillis(20));
            large.add(port);
        }
        long started = sent(large);
        RecordingPort small = new RecordingPort();
        fixture.startWithKey(RequestKind.STREAM, "key 1", small);
        fixture.timers().advance(Duration.ofMillis(60));
        assertThat(small.calls().isEmpty(), is(true));
        finish(large.get(0));
        fixture.timers().advance(Duration.ofMillis(60));
        assertThat(small.calls().isEmpty(), is(false));
        assertThat(sent(large), is(started));
    }

    private static void finish(RecordingPort port) {
        CallListener listener = port.lastCall().listener();
        listener.headReceived(RequestFixture.head(200));
        listener.body(RequestFixture.event(1));
        listener.ended();
    }
}
