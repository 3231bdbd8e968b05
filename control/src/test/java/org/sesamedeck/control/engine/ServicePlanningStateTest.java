package org.sesamedeck.control.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.routing.EndpointRole;

class ServicePlanTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private static Map<String, EngineObservation> seen(
            EndpointRole role, boolean isChanging, long atSeconds) {
        EngineState state = new EngineState("a", role, Set.of(), false, isChanging);
        return Map.of("a", new EngineObservation(state, false, 0, 0, atSeconds * SECOND));
    }

    /** Guards against a new deciding process that misses a plan of the former one. */
    @Test
    void reportsFromBeforeAFormerPlanEndsAreNotUsed() {
        ServicePlan plan = ServicePlan.of(7, 100 * SECOND);
        assertThat(
                plan.trusted(seen(EndpointRole.MIXED, false, 104), 104 * SECOND).isEmpty(),
                is(true));
        assertThat(plan.trusted(seen(EndpointRole.MIXED, false, 105), 105 * SECOND).size(), is(1));
    }

    /** Guards against a second change while the first is on its way to the group's holder. */
    @Test
    void issuedChangeCountsUntilAReportShowsItsEnd() {
        ServicePlan plan = ServicePlan.of(7, 0);
        plan.issued("a", EndpointRole.PREFILL, 20 * SECOND);
        EngineState state =
                plan.trusted(seen(EndpointRole.MIXED, false, 24), 24 * SECOND).get("a").state();
        assertThat(state.isChanging(), is(true));
        assertThat(state.role(), is(EndpointRole.PREFILL));
        assertThat(plan.isWaiting(), is(true));
        plan.trusted(seen(EndpointRole.MIXED, true, 24), 24 * SECOND);
        assertThat("the change began", plan.isWaiting(), is(false));
        plan.issued("a", EndpointRole.PREFILL, 30 * SECOND);
        plan.trusted(seen(EndpointRole.MIXED, false, 36), 36 * SECOND);
        assertThat("it can no longer begin", plan.isWaiting(), is(false));
    }

    /** Guards against a service that never changes a role again after an engine crashed. */
    @Test
    void issuedChangeOfAnEngineThatDoesNotAnswerEnds() {
        ServicePlan plan = ServicePlan.of(7, 0);
        plan.issued("a", EndpointRole.PREFILL, 0);
        plan.trusted(Map.of(), 60 * SECOND);
        assertThat(plan.isWaiting(), is(true));
        plan.trusted(Map.of(), 71 * SECOND);
        assertThat(plan.isWaiting(), is(false));
    }
}
