package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;

/**
 * Tests the router with engines that reject the other role's phase and fetch KV caches from each
 * other.
 */
class StrictRolesTest {
    private static final long TOKEN_INTERVAL_NANOS = Duration.ofMillis(30).toNanos();

    private final ManualClock mClock = ManualClock.create();
    private final DefaultRouter mRouter =
            DefaultRouter.create(
                    mClock,
                    RouterSettings.defaults("east")
                            .withSpeed(10_000, TOKEN_INTERVAL_NANOS)
                            .withTraits(
                                    new EngineTraits(true, true, 25, 2.0 * TOKEN_INTERVAL_NANOS)),
                    "node",
                    3);

    private void engines(EndpointRole... roles) {
        List<EndpointDescription> engines = new ArrayList<>();
        for (int i = 0; i < roles.length; i++) {
            engines.add(
                    new EndpointDescription(
                            "engine-" + i,
                            HostAddress.of("10.0.0." + (i + 1), 80),
                            "models",
                            "east-a",
                            "east",
                            true,
                            false,
                            false,
                            roles[i],
                            Set.of("m")));
        }
        mRouter.updateEndpoints(engines);
    }

    private static RequestProfile profile(long... hashes) {
        return new RequestProfile(
                "", "", "m", true, 5, 4_000, 30, hashes, hashes.length, Set.of(), 0);
    }

    private Assignment choose(RequestPhase phase, RequestProfile profile) {
        return mRouter.choosePhase(profile, phase, Set.of()).orElseThrow();
    }

    /** Guards against sending a phase to an engine that rejects it. */
    @Test
    void strictRolesReceiveOnlyTheirPhase() {
        engines(EndpointRole.PREFILL, EndpointRole.DECODE, EndpointRole.DECODE);
        for (int i = 0; i < 20; i++) {
            assertThat(
                    choose(RequestPhase.PREFILL, profile()).endpoint().role(),
                    is(EndpointRole.PREFILL));
            assertThat(
                    choose(RequestPhase.WHOLE, profile()).endpoint().role(),
                    is(EndpointRole.DECODE));
        }
    }

    /**
     * Guards against sending a phase to an engine that cannot serve it when no engine of its role
     * is left.
     */
    @Test
    void missingRoleGivesNoEndpoint() {
        engines(EndpointRole.DECODE);
        assertThat(
                mRouter.choosePhase(profile(), RequestPhase.PREFILL, Set.of()),
                is(Optional.empty()));
        assertThat(
                mRouter.expectedStartNanos(profile(), RequestPhase.PREFILL).isPresent(), is(false));
    }

    /**
     * Guards against recomputing a prompt prefix that another engine holds according to a peer's
     * update.
     */
    @Test
    void cachedPrefixIsFetchedFromItsHolder() {
        engines(EndpointRole.PREFILL, EndpointRole.DECODE);
        RequestProfile profile = profile(11, 12);
        mRouter.applyPrefixUpdate(new PrefixUpdate("engine-1", 12));
        Assignment assignment = choose(RequestPhase.PREFILL, profile);
        assertThat(
                mRouter.cacheSource(profile, assignment.endpoint()).map(EndpointDescription::name),
                is(Optional.of("engine-1")));
    }

    /** Guards against fetching a prompt prefix that the engine already holds. */
    @Test
    void ownCachedPrefixIsNotFetched() {
        engines(EndpointRole.PREFILL, EndpointRole.DECODE);
        RequestProfile profile = profile(11, 12);
        Assignment first = choose(RequestPhase.PREFILL, profile);
        first.firstToken();
        first.succeeded(0, 0);
        first.close();
        assertThat(mRouter.cacheSource(profile, first.endpoint()), is(Optional.empty()));
        assertThat(mRouter.takePrefixUpdates(), equalTo(List.of(new PrefixUpdate("engine-0", 12))));
    }

    /**
     * Guards against starting responses at engines that already exceed the token interval limit.
     */
    @Test
    void decodeCapacityEndsAtTheTokenIntervalLimit() {
        engines(EndpointRole.PREFILL, EndpointRole.DECODE);
        assertThat(mRouter.decodeCapacity(profile()).limit(), is(25.0));
        mRouter.updatePeerLoad(Map.of("engine-1", new EndpointLoad("engine-1", 0, 24)));
        assertThat(mRouter.decodeCapacity(profile()).isAvailable(), is(true));
        choose(RequestPhase.WHOLE, profile());
        assertThat(mRouter.decodeCapacity(profile()).isAvailable(), is(false));
    }

    /** Guards against all processes choosing the engine that looks idle to each of them. */
    @Test
    void peerLoadAddsToTheExpectedWait() {
        engines(EndpointRole.PREFILL, EndpointRole.PREFILL, EndpointRole.DECODE);
        Map<String, EndpointLoad> loads = new HashMap<>();
        loads.put("engine-0", new EndpointLoad("engine-0", Duration.ofSeconds(2).toNanos(), 8));
        mRouter.updatePeerLoad(loads);
        for (int i = 0; i < 10; i++) {
            assertThat(
                    choose(RequestPhase.PREFILL, profile()).endpoint().name(), equalTo("engine-1"));
        }
    }

    /** Guards against a process that exceeds its part of the retry limit after an idle period. */
    @Test
    void retryBurstIsLimited() {
        RetryBudget budget = RetryBudget.of(0.5, 2);
        for (int i = 0; i < 100; i++) {
            budget.recordRequest();
        }
        assertThat(budget.tryRetry() && budget.tryRetry(), is(true));
        assertThat(budget.tryRetry(), is(false));
    }
}
