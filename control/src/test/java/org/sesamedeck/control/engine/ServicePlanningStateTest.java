package org.sesamedeck.control.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.routing.EndpointRole;

class ServicePlanningStateTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private static Map<String, EngineObservation> observations(
            EndpointRole role, boolean isChanging, long atSeconds) {
        EngineState state = new EngineState("a", role, Set.of(), false, isChanging);
        return Map.of("a", new EngineObservation(state, false, 0, 0, atSeconds * SECOND));
    }

    /** Guards against a new planning process that misses a change planned by the previous one. */
    @Test
    void observationsFromBeforeThePreviousPlansExpireAreIgnored() {
        ServicePlanningState planningState = ServicePlanningState.of(7, 100 * SECOND);
        assertThat(
                planningState
                        .usableObservations(
                                observations(EndpointRole.MIXED, false, 104), 104 * SECOND)
                        .isEmpty(),
                is(true));
        assertThat(
                planningState
                        .usableObservations(
                                observations(EndpointRole.MIXED, false, 105), 105 * SECOND)
                        .size(),
                is(1));
    }

    /** Guards against planning a second change before the group's holder has received the first. */
    @Test
    void issuedChangeIsPendingUntilAReportResolvesIt() {
        ServicePlanningState planningState = ServicePlanningState.of(7, 0);
        planningState.recordIssuedChange("a", EndpointRole.PREFILL, 20 * SECOND);
        EngineState state =
                planningState
                        .usableObservations(
                                observations(EndpointRole.MIXED, false, 24), 24 * SECOND)
                        .get("a")
                        .state();
        assertThat(state.isChanging(), is(true));
        assertThat(state.role(), is(EndpointRole.PREFILL));
        assertThat(planningState.isChangePending(), is(true));
        planningState.usableObservations(observations(EndpointRole.MIXED, true, 24), 24 * SECOND);
        assertThat("the change began", planningState.isChangePending(), is(false));
        planningState.recordIssuedChange("a", EndpointRole.PREFILL, 30 * SECOND);
        planningState.usableObservations(observations(EndpointRole.MIXED, false, 36), 36 * SECOND);
        assertThat("it can no longer begin", planningState.isChangePending(), is(false));
    }

    /** Guards against a crashed engine that blocks all further role changes of its service. */
    @Test
    void issuedChangeOfAnUnresponsiveEngineExpires() {
        ServicePlanningState planningState = ServicePlanningState.of(7, 0);
        planningState.recordIssuedChange("a", EndpointRole.PREFILL, 0);
        planningState.usableObservations(Map.of(), 60 * SECOND);
        assertThat(planningState.isChangePending(), is(true));
        planningState.usableObservations(Map.of(), 71 * SECOND);
        assertThat(planningState.isChangePending(), is(false));
    }
}
