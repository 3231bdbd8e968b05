package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
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
import org.sesamedeck.routing.RequestPhase;

/** Tests which requests run under which client account while configurations change. */
class RequestAccessTest {
    private static final String KEY = "key-of-library";
    private static final ClientAccount LIBRARY = new ClientAccount("library", OptionalInt.empty());
    private static final ClientAccount CLINIC = new ClientAccount("clinic", OptionalInt.of(0));
    private static final ClientAccounts WITHDRAWN = ClientAccounts.of(Map.of());

    private final RequestFixture mFixture = new RequestFixture(false);
    private final RecordingPort mPort = new RecordingPort();

    private static void configure(
            RequestFixture fixture, long version, ClientAccounts accounts, boolean isPublic) {
        fixture.handler().configure(RequestFixture.configuration(version, accounts, isPublic));
    }

    private void holdKey(long version, ClientAccount account) {
        configure(mFixture, version, ClientAccounts.of(Map.of(KEY, account)), false);
    }

    private void withdrawKey(long version) {
        configure(mFixture, version, WITHDRAWN, false);
    }

    private Optional<ResultCode> refusal() {
        return mPort.errorResponse().map(ErrorResponse::code);
    }

    private static Optional<String> account(RecordingPort port) {
        return port.lastCall().options().account();
    }

    /** Guards against telling a caller that its key is wrong when no configuration is known. */
    @Test
    void withoutConfigurationRequestIsUnavailable() {
        mFixture.startWithKey(RequestKind.ONCE, KEY, mPort);
        assertThat(refusal(), is(Optional.of(ResultCode.UNAVAILABLE)));
    }

    /** Guards against a refusal for the key where the path has no route for anyone. */
    @Test
    void requestWithoutRouteIsNotFoundWhateverItsKey() {
        holdKey(1, LIBRARY);
        mFixture.start("/elsewhere/x", OptionalLong.empty(), mPort);
        assertThat(refusal(), is(Optional.of(ResultCode.NOT_FOUND)));
    }

    /** Guards against running requests that belong to no account, and against keys in messages. */
    @Test
    void requestWithUnknownOrMissingKeyIsUnauthenticated() {
        holdKey(1, LIBRARY);
        mFixture.start(RequestKind.ONCE, mPort);
        assertThat(refusal(), is(Optional.of(ResultCode.UNAUTHENTICATED)));
        RecordingPort other = new RecordingPort();
        mFixture.startWithKey(RequestKind.ONCE, "key-of-nobody", other);
        ErrorResponse error = other.errorResponse().orElseThrow();
        assertThat(error.code(), is(ResultCode.UNAUTHENTICATED));
        assertThat(error.message(), not(containsString("key-of-nobody")));
        assertThat(other.calls(), is(empty()));
    }

    /** Guards against requiring keys on public routes, and against a false account there. */
    @Test
    void publicRouteServesWithAndWithoutKey() {
        configure(mFixture, 1, ClientAccounts.of(Map.of(KEY, LIBRARY)), true);
        mFixture.start(RequestKind.ONCE, mPort);
        assertThat(account(mPort), is(Optional.empty()));
        mFixture.startWithKey(RequestKind.ONCE, KEY, mPort);
        assertThat(account(mPort), is(Optional.of("library")));
        mFixture.startWithKey(RequestKind.ONCE, "key-of-nobody", mPort);
        assertThat(account(mPort), is(Optional.empty()));
    }

    /** Guards against deployments without accounts that begin to look at keys. */
    @Test
    void withoutAccountsKeysDoNotMatter() {
        mFixture.configure();
        mFixture.startWithKey(RequestKind.ONCE, KEY, mPort);
        assertThat(account(mPort), is(Optional.empty()));
    }

    /** Guards against ranking an account's requests by their route. */
    @Test
    void priorityOfAccountReplacesThatOfRoute() {
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.STREAM, KEY, mPort);
        int priorityOfRoute = mPort.lastCall().options().priority();
        holdKey(2, CLINIC);
        mFixture.startWithKey(RequestKind.STREAM, KEY, mPort);
        assertThat(mPort.lastCall().options().priority(), is(priorityOfRoute - 2));
    }

    /** Guards against retries and resumed streams that lose their account. */
    @Test
    void retriesAndResumedStreamsCarryTheAccount() {
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.RESUMABLE_STREAM, KEY, mPort);
        reject();
        assertThat(account(mPort), is(Optional.of("library")));
        beginStream();
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(3));
        assertThat(account(mPort), is(Optional.of("library")));
    }

    /** Guards against calls that only process the prompt and run outside the account. */
    @Test
    void bothPhasesCarryTheAccount() {
        RequestFixture fixture = new RequestFixture(true);
        configure(fixture, 1, ClientAccounts.of(Map.of(KEY, LIBRARY)), false);
        fixture.startWithKey(RequestKind.STREAM, KEY, mPort);
        assertThat(mPort.lastCall().options().phase(), is(RequestPhase.PREFILL));
        assertThat(account(mPort), is(Optional.of("library")));
        mPort.lastCall().listener().headReceived(RequestFixture.head(200));
        mPort.lastCall().listener().body(RequestFixture.bytes("handle"));
        mPort.lastCall().listener().ended();
        assertThat(mPort.lastCall().options().phase(), is(RequestPhase.DECODE));
        assertThat(account(mPort), is(Optional.of("library")));
    }

    /** Guards against a second run for an account that no longer holds the key. */
    @Test
    void retryAfterKeyMovedRunsForItsNewAccount() {
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.ONCE, KEY, mPort);
        holdKey(2, CLINIC);
        reject();
        assertThat(account(mPort), is(Optional.of("clinic")));
    }

    /** Guards against sending a request again after its key was withdrawn. */
    @Test
    void requestThatHasNotRunIsRefusedOnceItsKeyIsWithdrawn() {
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.ONCE, KEY, mPort);
        withdrawKey(2);
        assertThat(mPort.outcomes(), is(0));
        reject();
        assertThat(mPort.calls(), hasSize(1));
        assertThat(refusal(), is(Optional.of(ResultCode.UNAUTHENTICATED)));
    }

    /** Guards against a refusal that hides a run when a key is withdrawn between two runs. */
    @Test
    void requestThatMayHaveRunIsNotToldThatItWasRefused() {
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.REPEATABLE, KEY, mPort);
        withdrawKey(2);
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(refusal(), is(Optional.of(ResultCode.OUTCOME_UNKNOWN)));
    }

    /** Guards against cutting off answers in progress, and against resuming them without a key. */
    @Test
    void streamInProgressGoesOnButIsNotResumedOnceItsKeyIsWithdrawn() {
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.RESUMABLE_STREAM, KEY, mPort);
        beginStream();
        withdrawKey(2);
        mPort.lastCall().listener().body(RequestFixture.event(2));
        assertThat(mPort.streamedText(), containsString("id: 2"));
        assertThat(mPort.isAborted(), is(false));
        mPort.lastCall().listener().broken("reset");
        assertThat(mPort.calls(), hasSize(1));
        assertThat(mPort.isAborted(), is(true));
    }

    /** Guards against requests that wait for room under a withdrawn key and run in the end. */
    @Test
    void queuedRequestsAreRefusedAtOnceWhenTheirKeyIsWithdrawn() {
        RequestFixture fixture = RequestFixture.withDecodeCapacityLimit();
        configure(fixture, 1, ClientAccounts.of(Map.of(KEY, LIBRARY)), false);
        List<RecordingPort> ports = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            RecordingPort port = new RecordingPort();
            fixture.startWithKey(RequestKind.STREAM, KEY, port);
            ports.add(port);
        }
        List<RecordingPort> queued = ports.stream().filter(port -> port.calls().isEmpty()).toList();
        assertThat(queued.isEmpty(), is(false));
        configure(fixture, 2, WITHDRAWN, false);
        for (RecordingPort port : queued) {
            assertThat(
                    port.errorResponse().map(ErrorResponse::code),
                    is(Optional.of(ResultCode.UNAUTHENTICATED)));
        }
        fixture.timers().advance(Duration.ofSeconds(2));
        assertThat(queued.stream().allMatch(port -> port.calls().isEmpty()), is(true));
    }

    /** Guards against a late read of an old configuration that brings a withdrawn key back. */
    @Test
    void olderConfigurationDoesNotBringKeyBack() {
        withdrawKey(2);
        holdKey(1, LIBRARY);
        mFixture.startWithKey(RequestKind.ONCE, KEY, mPort);
        assertThat(refusal(), is(Optional.of(ResultCode.UNAUTHENTICATED)));
    }

    private void reject() {
        mPort.lastCall().listener().headReceived(RequestFixture.notRun());
        mPort.lastCall().listener().ended();
    }

    private void beginStream() {
        mPort.lastCall().listener().headReceived(RequestFixture.head(200));
        mPort.lastCall().listener().body(RequestFixture.event(1));
    }
}
