package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the order of prompts at an engine in a burst of prompts of very different lengths. */
class EnginePrioritiesTest {
    private static final int BURST = 60;
    private static final double TOKENS_PER_MILLI = 40;

    /** Longest wait of a caller for the start of its response. */
    private static final double PATIENCE_MILLIS = 3_200;

    private final EnginePriorities mPriorities = new EnginePriorities();

    private static Route route(String name, int priority) {
        return new Route(
                name,
                "deck",
                "/" + name + "/",
                RequestKind.STREAM,
                Duration.ofSeconds(6),
                Duration.ofMillis(800),
                Duration.ofMillis(150),
                priority,
                1,
                List.of(new ServiceShare("models", 1)));
    }

    private static QueueRank ordinary(Route route) {
        return new QueueRank(route.priority(), false);
    }

    private List<Long> burst(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Long> prompts = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            boolean isLong = i % 10 == 9;
            prompts.add(isLong ? 20_000 + random.nextLong(10_000) : 500 + random.nextLong(2_000));
        }
        return prompts;
    }

    /** Counts the long prompts whose response begins before their callers have left. */
    private static int servedLongPrompts(List<Long> prompts, List<Integer> order) {
        double millis = 0;
        int served = 0;
        for (int index : order) {
            millis += prompts.get(index) / TOKENS_PER_MILLI;
            served += prompts.get(index) >= 20_000 && millis <= PATIENCE_MILLIS ? 1 : 0;
        }
        return served;
    }

    /** Guards against bursts that cost only the longest prompts of a route their responses. */
    @Test
    void longPromptsOfABurstAreServedMoreOftenThanInOrderOfArrival() {
        Route route = route("manuals", 2);
        int byPriority = 0;
        int byArrival = 0;
        for (long seed = 1; seed <= 20; seed++) {
            List<Long> prompts = burst(seed);
            prompts.forEach(tokens -> mPriorities.record(route, tokens));
            List<Integer> arrival = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                arrival.add(i);
            }
            List<Integer> order = new ArrayList<>(arrival);
            order.sort(
                    Comparator.comparingInt(
                            index -> mPriorities.of(route, ordinary(route), prompts.get(index))));
            byPriority += servedLongPrompts(prompts, order);
            byArrival += servedLongPrompts(prompts, arrival);
        }
        assertThat(byPriority, greaterThan(byArrival));
    }

    /** Guards against a long prompt that goes before the prompts of a more urgent route. */
    @Test
    void orderOfTheRoutesStays() {
        Route urgent = route("drafts", 0);
        Route lessUrgent = route("manuals", 1);
        for (int i = 0; i < 100; i++) {
            mPriorities.record(urgent, 1_000);
            mPriorities.record(lessUrgent, 10_000);
        }
        assertThat(
                mPriorities.of(urgent, ordinary(urgent), 500),
                lessThan(mPriorities.of(lessUrgent, ordinary(lessUrgent), 50_000)));
        assertThat(
                mPriorities.of(lessUrgent, ordinary(lessUrgent), 50_000),
                lessThan(mPriorities.of(lessUrgent, ordinary(lessUrgent), 9_000)));
        assertThat(mPriorities.of(urgent, ordinary(urgent), 5_000), lessThanOrEqualTo(0));
    }

    /**
     * Guards against an account far over its share that delays the prompts of others at engines.
     */
    @Test
    void requestsThatAreSetBackComeAfterThoseOfTheirRouteButNotAfterLessUrgentOnes() {
        Route urgent = route("drafts", 0);
        Route lessUrgent = route("manuals", 1);
        mPriorities.record(urgent, 1_000);
        mPriorities.record(lessUrgent, 1_000);
        for (long tokens : new long[] {100, 50_000}) {
            int setBack = mPriorities.of(urgent, new QueueRank(0, true), tokens);
            assertThat(setBack, greaterThan(mPriorities.of(urgent, ordinary(urgent), 100)));
            assertThat(
                    setBack,
                    lessThanOrEqualTo(mPriorities.of(lessUrgent, ordinary(lessUrgent), 50_000)));
        }
    }
}
