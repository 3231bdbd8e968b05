package org.sesamedeck.control.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.platform.HostEntry;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.EngineSnapshot;
import org.sesamedeck.routing.FleetSnapshot;
import org.sesamedeck.routing.RoleChange;
import org.sesamedeck.routing.RolePlannerSettings;
import org.sesamedeck.wire.generated.PlanUsage;
import org.sesamedeck.wire.generated.ServiceDemand;
import org.sesamedeck.wire.generated.UsageTotals;

class FleetSnapshotBuilderTest {
    private static final Configuration CONFIGURATION =
            ConfigurationParser.parse(
                            1,
                            "[plan kitchens]\nshare = 75\n[plan press]\nshare = 25\n",
                            "[plan kitchens]\nmodels = m\n[plan press]\nmodels = m\n")
                    .orThrow();

    private final ManualClock mClock = ManualClock.create();
    private final Map<String, EngineObservation> mObservations = new HashMap<>();
    private final List<HostEntry> mHosts = new ArrayList<>();

    private void observe(int number, EndpointRole role, boolean isChanging, Duration age) {
        String name = "engine-" + number;
        if (mHosts.size() <= number) {
            mHosts.add(
                    new HostEntry(
                            name,
                            HostAddress.of("127.0.0.1", 1),
                            HostKind.ENGINE,
                            "tasting-models",
                            "tunis-a",
                            "tunis",
                            false));
        }
        EngineState state = new EngineState(name, role, Set.of("m"), false, isChanging);
        mObservations.put(
                name,
                new EngineObservation(state, false, 70, 3, mClock.nanoTime() - age.toNanos()));
    }

    private RolePlanningInput input(
            long promptTokens, long outputTokens, long kitchensMicros, long pressMicros) {
        UsageTotals totals =
                UsageTotals.newBuilder()
                        .setIntervalMillis(500)
                        .addDemands(
                                ServiceDemand.newBuilder()
                                        .setService("tasting-models")
                                        .setPromptTokens(promptTokens)
                                        .setOutputTokens(outputTokens))
                        .addDemands(
                                ServiceDemand.newBuilder().setService("b").setPromptTokens(9_000))
                        .addPlans(
                                PlanUsage.newBuilder()
                                        .setPlan("kitchens")
                                        .setDemandedMicros(kitchensMicros))
                        .addPlans(
                                PlanUsage.newBuilder()
                                        .setPlan("press")
                                        .setDemandedMicros(pressMicros))
                        .build();
        return new RolePlanningInput(
                "tasting-models", mHosts, mObservations, totals, mClock.nanoTime(), CONFIGURATION);
    }

    /** Guards against counting demand of another service, or treating an interval as one second. */
    @Test
    void demandAndOwedEnginesAreForTheServiceAndPerSecond() {
        for (int i = 0; i < 4; i++) {
            observe(i, EndpointRole.MIXED, false, Duration.ofSeconds(1));
        }
        FleetSnapshot snapshot =
                FleetSnapshotBuilder.create(mClock).build(input(40_000, 9_000, 4_000_000, 250_000));
        assertThat(snapshot.promptTokensPerSecond(), closeTo(80_000, 1));
        assertThat(snapshot.outputTokensPerSecond(), closeTo(18_000, 1));
        // The plan kitchens demands 8 engines and is owed 3 of 4; press demands half an engine.
        assertThat(snapshot.owedEngines(), closeTo(3.5, 0.01));
        FleetSnapshot idle =
                FleetSnapshotBuilder.create(mClock).build(input(1_000, 0, 4_000_000, 0));
        assertThat(idle.owedEngines(), closeTo(0.1, 0.01));
    }

    /** Guards against treating an engine in a change, or one without a report, as up to date. */
    @Test
    void snapshotsKeepEngineStateReportAgeAndDwellTime() {
        observe(0, EndpointRole.MIXED, false, Duration.ofSeconds(2));
        observe(1, EndpointRole.DECODE, true, Duration.ZERO);
        observe(2, EndpointRole.DECODE, false, Duration.ZERO);
        mObservations.remove("engine-2");
        FleetSnapshotBuilder builder = FleetSnapshotBuilder.create(mClock);
        List<EngineSnapshot> engines = builder.build(input(1, 1, 1, 1)).engines();
        long now = mClock.nanoTime();
        assertThat(engines.get(0).isUsable(), is(true));
        assertThat(engines.get(0).observedAtNanos(), is(now - Duration.ofSeconds(2).toNanos()));
        assertThat(engines.get(0).queuedPromptTokens(), is(70L));
        assertThat(
                "no change in the log",
                now - engines.get(0).roleSinceNanos() > Duration.ofMinutes(10).toNanos(),
                is(true));
        assertThat(engines.get(1).isUsable(), is(false));
        assertThat(engines.get(1).isChanging(), is(true));
        assertThat(
                "no report",
                now - engines.get(2).observedAtNanos() > Duration.ofMinutes(10).toNanos(),
                is(true));
        mClock.advance(Duration.ofSeconds(9));
        observe(0, EndpointRole.PREFILL, false, Duration.ZERO);
        EngineSnapshot changed = builder.build(input(1, 1, 1, 1)).engines().get(0);
        assertThat(changed.roleSinceNanos(), is(mClock.nanoTime()));
    }

    private Optional<RoleChange> plan(Duration reportAge) {
        DefaultServiceRolePlanner rolePlanner =
                DefaultServiceRolePlanner.create(mClock, RolePlannerSettings.defaults(0.2));
        Optional<RoleChange> change = Optional.empty();
        for (int second = 0; second < 120 && change.isEmpty(); second++) {
            mClock.advance(Duration.ofSeconds(1));
            for (int i = 0; i < 8; i++) {
                EndpointRole role = i < 4 ? EndpointRole.PREFILL : EndpointRole.DECODE;
                observe(i, role, false, reportAge);
            }
            change = rolePlanner.plan(input(55_000, 2_000, 3_000_000, 0));
        }
        return change;
    }

    /** Guards against role changes that are based on reports older than 5 s. */
    @Test
    void staleReportsYieldNoRoleChange() {
        mClock.advance(Duration.ofMinutes(5));
        assertThat(plan(Duration.ofMillis(5_001)), is(Optional.empty()));
        assertThat(
                plan(Duration.ofSeconds(2)).map(RoleChange::to),
                is(Optional.of(EndpointRole.PREFILL)));
    }
}
