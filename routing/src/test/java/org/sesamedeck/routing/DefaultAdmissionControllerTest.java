package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

class DefaultAdmissionControllerTest {
    private static final Duration WINDOW = Duration.ofSeconds(30);

    private static ResultCode codeOf(CompletableFuture<?> future) {
        try {
            future.getNow(null);
            return null;
        } catch (java.util.concurrent.CompletionException failure) {
            return SesamedeckException.from(failure).code();
        }
    }

    private static double completedFraction(Map<String, Long> completed, String clientAccount) {
        double all = completed.values().stream().mapToLong(Long::longValue).sum();
        return completed.getOrDefault(clientAccount, 0L) / all;
    }

    /**
     * Guards against a plan that gets more or less than its share while all plans have demand, also
     * when more of its traffic arrives at one of the entry processes.
     */
    @Property(seed = "31", tries = 8)
    void contendedPlansGetTheirShares(
            @ForAll @IntRange(min = 1, max = 9) int goldShare,
            @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        FleetModel fleet =
                new FleetModel(
                        4,
                        8,
                        RoutingFixtures.configuration(
                                RoutingFixtures.plan("gold", goldShare),
                                RoutingFixtures.plan("bulk", 10 - goldShare)),
                        seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<FleetModel.Source> sources = new ArrayList<>();
        for (int controller = 0; controller < 4; controller++) {
            sources.add(new FleetModel.Source(controller, "gold", "g", 0.2 + random.nextDouble()));
            sources.add(new FleetModel.Source(controller, "bulk", "b", 0.2 + random.nextDouble()));
        }
        sources.add(new FleetModel.Source(0, "gold", "g", 1));
        sources.add(new FleetModel.Source(3, "bulk", "b", 1));
        fleet.run(Duration.ofSeconds(20), sources);
        for (int window = 0; window < 2; window++) {
            double share = completedFraction(fleet.run(WINDOW, sources), "g");
            assertThat(share, is(closeTo(goldShare / 10.0, 0.05 * goldShare / 10.0)));
        }
    }

    /**
     * Guards against idle capacity reserved for an inactive plan, and against a plan that does not
     * regain its share when it becomes active.
     */
    @Test
    void unusedShareIsLentAndRegainedImmediately() {
        FleetModel fleet =
                new FleetModel(
                        4,
                        8,
                        RoutingFixtures.configuration(
                                RoutingFixtures.plan("gold", 70), RoutingFixtures.plan("bulk", 30)),
                        7);
        List<FleetModel.Source> bulk = new ArrayList<>();
        List<FleetModel.Source> both = new ArrayList<>();
        for (int controller = 0; controller < 4; controller++) {
            bulk.add(new FleetModel.Source(controller, "bulk", "b", 0.5));
            both.add(new FleetModel.Source(controller, "bulk", "b", 0.5));
            both.add(new FleetModel.Source(controller, "gold", "g", 0.5));
        }
        double capacity = 8 * 30e6 / FleetModel.REQUEST_MICROS;
        long lent = fleet.run(WINDOW, bulk).get("b");
        assertThat((double) lent, is(greaterThan(0.95 * capacity)));

        // Requests already at engines are not withdrawn, so the first 2 s are not counted.
        fleet.run(Duration.ofSeconds(2), both);
        assertThat(
                completedFraction(fleet.run(Duration.ofSeconds(5), both), "g"),
                is(closeTo(0.7, 0.07)));
        assertThat(completedFraction(fleet.run(WINDOW, both), "g"), is(closeTo(0.7, 0.035)));
    }

    /** Guards against one client account's overload delaying the others of its plan. */
    @Test
    void aRunawayClientAccountDelaysOnlyItself() {
        FleetModel fleet =
                new FleetModel(
                        4, 8, RoutingFixtures.configuration(RoutingFixtures.plan("gold", 1)), 11);
        List<FleetModel.Source> sources = new ArrayList<>();
        for (int controller = 0; controller < 4; controller++) {
            sources.add(new FleetModel.Source(controller, "gold", "runaway", 1.5));
            sources.add(new FleetModel.Source(controller, "gold", "calm", 0.05));
        }
        fleet.run(WINDOW, sources);
        assertThat(fleet.refused("calm"), is(0L));
        assertThat(fleet.refused("runaway"), is(greaterThan(1_000L)));
    }

    /** Guards against limits that grow with the number of entry processes. */
    @Property(seed = "37", tries = 10)
    void planLimitHoldsAcrossEntryProcesses(
            @ForAll @IntRange(min = 1, max = 6) int controllers,
            @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        long limit = 1_200;
        FleetModel fleet =
                new FleetModel(
                        controllers,
                        8,
                        RoutingFixtures.configuration(RoutingFixtures.plan("gold", 1, 5, limit)),
                        seed);
        List<FleetModel.Source> sources = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int controller = 0; controller < controllers; controller++) {
            sources.add(
                    new FleetModel.Source(
                            controller, "gold", "g", (0.5 + random.nextDouble()) / controllers));
        }
        fleet.run(Duration.ofSeconds(60), sources);
        long first = fleet.accepted("g");
        assertThat(first, is(lessThanOrEqualTo(limit + limit / 6 + controllers)));
        fleet.run(Duration.ofSeconds(60), sources);
        long second = fleet.accepted("g") - first;
        assertThat(second, is(lessThanOrEqualTo(limit + controllers)));
        assertThat("the limit can be used", second, is(greaterThanOrEqualTo(limit * 9 / 10)));
    }

    /**
     * Guards against requests that stay queued past their deadline, and against an unbounded queue.
     */
    @Test
    void queuedRequestsExpireAtTheDeadlineAndTheQueueIsBounded() {
        ManualClock clock = ManualClock.create();
        DefaultAdmissionController controller =
                DefaultAdmissionController.create(
                        clock,
                        RoutingFixtures.view(0),
                        EngineTimeEstimator.create(),
                        new AdmissionSettings(
                                Duration.ofMillis(250), 96, Duration.ofMillis(300), 3));
        controller.updateConfiguration(
                RoutingFixtures.configuration(
                        RoutingFixtures.plan("high", 50, 8, 1_000_000),
                        RoutingFixtures.plan("low", 50, 2, 1_000_000)));
        long deadline = Duration.ofSeconds(1).toNanos();
        List<CompletableFuture<AdmissionTicket>> high = new ArrayList<>();
        CompletableFuture<AdmissionTicket> low =
                controller.submit(RoutingFixtures.request("low", "b", deadline));
        for (int i = 0; i < 3; i++) {
            high.add(controller.submit(RoutingFixtures.request("high", "a", deadline)));
        }
        assertThat(
                "the plan with the lowest priority is shed first",
                codeOf(low),
                is(ResultCode.OVERLOADED));
        assertThat(high.get(0).isDone(), is(false));
        high.get(0).cancel(false);
        assertThat(
                "a cancelled request leaves the queue",
                controller.submit(RoutingFixtures.request("high", "a", deadline)).isDone(),
                is(false));

        clock.advance(Duration.ofSeconds(1));
        controller.advance();
        assertThat(codeOf(high.get(1)), is(ResultCode.UNAVAILABLE));
        assertThat(codeOf(high.get(2)), is(ResultCode.UNAVAILABLE));
    }

    /**
     * Guards against serving a plan that is not in the configuration, for example after its
     * entitlement was withdrawn.
     */
    @Test
    void unknownPlansAreRefused() {
        DefaultAdmissionController controller =
                DefaultAdmissionController.create(
                        ManualClock.create(),
                        RoutingFixtures.view(8),
                        EngineTimeEstimator.create(),
                        AdmissionSettings.defaults());
        assertThat(
                codeOf(controller.submit(RoutingFixtures.request("gold", "a", Long.MAX_VALUE))),
                is(ResultCode.NOT_ENTITLED));
        assertThat(controller.takeUsage().plans().size(), is(lessThan(1)));
    }

    /**
     * Guards against requests that arrive before any endpoint is known and then stay queued
     * forever, because their pool is named after the target.
     */
    @Test
    void requestsQueuedBeforeTheFirstEndpointTableAreAdmittedWithIt() {
        ManualClock clock = ManualClock.create();
        DefaultRouter router =
                DefaultRouter.create(clock, RouterSettings.defaults("tunis"), "entry-1", 1);
        DefaultAdmissionController controller =
                DefaultAdmissionController.create(
                        clock, router, EngineTimeEstimator.create(), AdmissionSettings.defaults());
        controller.updateConfiguration(
                RoutingFixtures.configuration(RoutingFixtures.plan("gold", 1)));
        CompletableFuture<AdmissionTicket> early =
                controller.submit(RoutingFixtures.request("gold", "a", Long.MAX_VALUE));
        assertThat(early.isDone(), is(false));

        router.updateEndpoints(RoutingFixtures.engines(2, EndpointRole.MIXED));
        clock.advance(Duration.ofMillis(10));
        controller.advance();

        assertThat(early.isDone(), is(true));
    }
}
