package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.request.RequestExplanation.Outcome;
import org.sesamedeck.routing.EndpointLoad;
import org.sesamedeck.routing.RequestPhase;

class RequestExplanationTest {
    private static final String KEY = "secret-key";
    private static final ClientAccounts ACCOUNTS =
            ClientAccounts.of(Map.of(KEY, new ClientAccount("library", OptionalInt.empty())));

    private static CallerRequest request(String path, Optional<String> key) {
        return new CallerRequest(
                "explained",
                RequestFixture.HOST,
                path,
                key,
                Optional.empty(),
                Optional.of("m"),
                4_000,
                100,
                List.of(),
                OptionalLong.empty());
    }

    private static RequestExplanation explain(RequestFixture fixture, RequestKind kind) {
        return fixture.handler()
                .explain(request(RequestFixture.path(kind) + "x", Optional.empty()));
    }

    /** Guards against an explanation that sends, queues or counts a request. */
    @Test
    void nothingIsSentOrQueued() {
        RequestFixture fixture = new RequestFixture(true).configure();
        RequestExplanation first = explain(fixture, RequestKind.STREAM);
        assertThat(first.outcome(), is(Outcome.SENT));
        assertThat(first.route(), is(Optional.of("route-STREAM")));
        assertThat(first.service(), is(Optional.of("models")));
        assertThat(fixture.handler().activeRequests(), is(0));
        assertThat(explain(fixture, RequestKind.STREAM), is(first));
    }

    /** Guards against a phase or an endpoint other than that of the next request. */
    @Test
    void explanationAgreesWithTheNextRequest() {
        for (boolean splitsPhases : new boolean[] {false, true}) {
            RequestFixture fixture = new RequestFixture(splitsPhases).configure();
            for (int i = 1; i < 4; i++) {
                // Loads without ties: the least loaded decode engine is the only choice.
                fixture.setPeerLoad(new EndpointLoad("engine-" + i, 1 + 5 * (3 - i), 0));
            }
            RequestExplanation explanation = explain(fixture, RequestKind.STREAM);
            RecordingPort port = new RecordingPort();
            fixture.start(RequestKind.STREAM, port);
            assertThat(
                    explanation.routing().chosen(),
                    is(Optional.of(port.calls().get(0).endpoint().name())));
            assertThat(
                    explanation.phase(),
                    is(Optional.of(splitsPhases ? RequestPhase.PREFILL : RequestPhase.WHOLE)));
        }
    }

    /** Guards against explanations that change where later requests are sent. */
    @Test
    void explanationsChangeNoLaterRequest() {
        assertThat(endpoints(true), is(endpoints(false)));
    }

    private static List<String> endpoints(boolean explains) {
        RequestFixture fixture = new RequestFixture(true).configure();
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            RequestKind kind = i % 3 == 0 ? RequestKind.REPEATABLE : RequestKind.STREAM;
            if (explains) {
                explain(fixture, kind);
                explain(fixture, RequestKind.STREAM);
            }
            RecordingPort port = new RecordingPort();
            fixture.start(kind, port);
            endpoints.add(port.calls().get(0).endpoint().name());
            fixture.timers().advance(Duration.ofMillis(3));
        }
        return endpoints;
    }

    /** Guards against hiding that a request would wait, or the number of those ahead of it. */
    @Test
    void queueIsExplained() {
        RequestFixture fixture = RequestFixture.withDecodeCapacityLimit().configure();
        List<RecordingPort> ports = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            ports.add(new RecordingPort());
            fixture.start(RequestKind.STREAM, ports.get(i));
        }
        long queued = ports.stream().filter(port -> port.calls().isEmpty()).count();
        RequestExplanation explanation = explain(fixture, RequestKind.STREAM);
        assertThat(explanation.outcome(), is(Outcome.QUEUED));
        assertThat(explanation.queue().orElseThrow().ahead(), is((int) queued));
        assertThat(explain(fixture, RequestKind.REPEATABLE).outcome(), is(Outcome.SENT));
        assertThat(explain(fixture, RequestKind.REPEATABLE).queue(), is(Optional.empty()));
    }

    /** Guards against an explanation that differs from the refusal, or that shows a key. */
    @Test
    void keysAreJudgedAndNeverShown() {
        RequestFixture fixture = new RequestFixture(false);
        assertThat(
                explain(fixture, RequestKind.STREAM).code(),
                is(Optional.of(ResultCode.UNAVAILABLE)));
        fixture.handler().configure(RequestFixture.configuration(1, ACCOUNTS, false));
        String path = RequestFixture.path(RequestKind.STREAM) + "x";
        RequestExplanation known = fixture.handler().explain(request(path, Optional.of(KEY)));
        assertThat(known.outcome(), is(Outcome.SENT));
        assertThat(known.account(), is(Optional.of("library")));
        assertThat(known.toString(), not(containsString(KEY)));
        RequestExplanation unknown = fixture.handler().explain(request(path, Optional.of("other")));
        assertThat(unknown.code(), is(Optional.of(ResultCode.UNAUTHENTICATED)));
        assertThat(unknown.account(), is(Optional.empty()));
        assertThat(unknown.toString(), not(containsString("other")));
        assertThat(unknown.routing().chosen().isPresent(), is(true));
        assertThat(
                fixture.handler().explain(request("/none/x", Optional.of(KEY))).code(),
                is(Optional.of(ResultCode.NOT_FOUND)));
    }
}
