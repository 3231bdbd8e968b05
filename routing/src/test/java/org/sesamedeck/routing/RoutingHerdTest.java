package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sesamedeck.core.ManualClock;

class RoutingHerdTest {
    private static final int ROUTERS = 8;
    private static final int ENGINES = 8;
    private static final int STEP_MILLIS = 10;
    private static final int REPORT_DELAY_STEPS = 200;
    private static final int REPORT_STEPS = 100;

    /**
     * Guards against a thundering herd: several routers send their work to the same engine because
     * the same delayed report shows it as idle. Uses 8 routers, reports delayed by 2 s, and more
     * work than the engines can do, so that queues are long enough to compare.
     */
    @Property(seed = "53", tries = 10)
    void delayedReportsCauseNoThunderingHerd(@ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        ManualClock clock = ManualClock.create();
        SplittableRandom random = new SplittableRandom(seed);
        List<DefaultRouter> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            DefaultRouter router =
                    DefaultRouter.create(
                            clock,
                            RouterSettings.defaults(RoutingFixtures.REGION)
                                    .withSpeed(50_000, 20_000_000),
                            "entry-" + i,
                            seed * 64L + i);
            router.updateProcesses(ROUTERS);
            router.updateEndpoints(RoutingFixtures.engines(ENGINES, EndpointRole.MIXED));
            routers.add(router);
        }
        List<ArrayDeque<Assignment>> queues = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            queues.add(new ArrayDeque<>());
        }
        List<ArrayDeque<LoadReport>> delayedReports = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            delayedReports.add(new ArrayDeque<>());
        }
        RequestProfile profile = RoutingFixtures.request("gold", "a", 2_000, 1, Long.MAX_VALUE);
        double[] work = new double[ENGINES];
        for (int step = 0; step < 3_000; step++) {
            clock.advance(Duration.ofMillis(STEP_MILLIS));
            // A prompt takes 100 ms; arrivals are 1.2 times the capacity of the engines.
            for (DefaultRouter router : routers) {
                if (random.nextDouble() < 1.2 * ENGINES * STEP_MILLIS / 100.0 / ROUTERS) {
                    Assignment assignment = router.choose(profile, Set.of()).orElseThrow();
                    int engine = Integer.parseInt(assignment.endpoint().name().substring(7));
                    queues.get(engine).add(assignment);
                }
            }
            for (int engine = 0; engine < ENGINES; engine++) {
                work[engine] += STEP_MILLIS / 100.0;
                while (work[engine] >= 1 && !queues.get(engine).isEmpty()) {
                    work[engine] -= 1;
                    Assignment done = queues.get(engine).poll();
                    done.firstToken();
                    done.succeeded(2_000, 1);
                    done.close();
                }
                if (queues.get(engine).isEmpty()) {
                    work[engine] = Math.min(work[engine], 1);
                }
                if (step % REPORT_STEPS == 0) {
                    report(
                            routers,
                            delayedReports.get(engine),
                            queues.get(engine).size(),
                            engine,
                            clock);
                }
            }
            if (step >= 1_000 && step % REPORT_STEPS == 0) {
                double mean = queues.stream().mapToInt(ArrayDeque::size).average().orElse(0);
                int largest = queues.stream().mapToInt(ArrayDeque::size).max().orElse(0);
                assertThat((double) largest, is(lessThanOrEqualTo(1.5 * mean)));
            }
        }
    }

    private static void report(
            List<DefaultRouter> routers,
            ArrayDeque<LoadReport> delayedReports,
            int queued,
            int engine,
            ManualClock clock) {
        delayedReports.add(new LoadReport(queued, 1, queued * 2_000L, 0.5, clock.nanoTime()));
        if (delayedReports.size() > REPORT_DELAY_STEPS / REPORT_STEPS) {
            LoadReport arrived = delayedReports.poll();
            routers.forEach(router -> router.reportLoad("engine-" + engine, arrived));
        }
    }
}
