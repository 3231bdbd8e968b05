package org.sesamedeck.routing.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.ManualClock;

class ServerPlannerTest {
    private static final int INITIAL = 60;

    private final ManualClock mClock = ManualClock.create();
    private final SimulatedServers mServers =
            new SimulatedServers(mClock, SimulatedServers.TERMS, INITIAL / 6);

    /**
     * Returns the servers for a load: prefill engines that are busy for two thirds of the time and
     * decode engines with three fifths of their places taken.
     */
    private static int needed(double busy, double responses) {
        return (int) (Math.ceil(busy / 0.667) + Math.ceil(responses / 32 / 0.6 - 0.05));
    }

    private void run(int seconds, double busy, double responses) {
        for (int i = 0; i < seconds; i++) {
            mServers.second(busy, responses);
        }
    }

    /** Guards against servers that are given back before their replacements serve. */
    @Test
    void ordinaryServersAreReplacedWithoutLossOfCapacity() {
        for (int i = 0; i < 40; i++) {
            mServers.second(0, 0);
            assertThat(mServers.counts().total(), greaterThanOrEqualTo(INITIAL));
        }
        ServerCounts counts = mServers.counts();
        assertThat(counts.reclaimable(), greaterThanOrEqualTo((int) (0.8 * INITIAL)));
        assertThat(counts.total(), lessThanOrEqualTo((int) (1.2 * INITIAL)));
        assertThat(mServers.largestReclaimable(), lessThanOrEqualTo(INITIAL / 4));
    }

    /** Guards against giving servers back before the load is known. */
    @Test
    void nothingIsGivenBackWithoutMeasuredLoad() {
        run(60, 0, 0);
        assertThat(mServers.counts().total(), greaterThanOrEqualTo(INITIAL));
    }

    /** Guards against servers that nobody gives back although the load needs a third of them. */
    @Test
    void idleServersAreGivenBackOnceLoadIsKnown() {
        run(60, 4, 100);
        assertThat(mServers.counts().total(), lessThan(INITIAL / 2));
        assertThat(mServers.counts().total(), greaterThanOrEqualTo(needed(4, 100)));
    }

    /** Guards against orders at each swing of a load with a period of eleven seconds. */
    @Test
    void wavesCauseNoOrdersAfterTheFirst() {
        double[] load = new double[220];
        for (int i = 0; i < load.length; i++) {
            load[i] = 8 * (1 + 0.27 * Math.sin(2 * Math.PI * i / 11));
        }
        for (int i = 0; i < 60; i++) {
            mServers.second(load[i], 20 * load[i]);
        }
        int ordersBefore = mServers.orders();
        int givenBackBefore = mServers.givenBack();
        for (int i = 60; i < load.length; i++) {
            mServers.second(load[i], 20 * load[i]);
            assertThat(
                    mServers.counts().total(), greaterThanOrEqualTo(needed(load[i], 20 * load[i])));
        }
        assertThat(mServers.givenBack() - givenBackBefore, lessThanOrEqualTo(2));
        assertThat(mServers.orders() - ordersBefore, lessThanOrEqualTo(4));
    }

    /** Guards against following a burst only after it has lasted for several start times. */
    @Test
    void burstIsFollowedWithinTwoStartTimes() {
        run(60, 4, 100);
        int before = mServers.counts().total();
        run(8, 9, 220);
        assertThat(mServers.counts().total(), greaterThanOrEqualTo(needed(9, 220)));
        assertThat(mServers.counts().total(), greaterThan(before));
    }

    /** Guards against too few servers after the loss of all reclaimable ones of a domain. */
    @Test
    void lossOfOneDomainLeavesEnoughForTheLoad() {
        run(60, 12, 300);
        int needed = needed(12, 300);
        for (String domain : SimulatedServers.DOMAINS) {
            mServers.reclaim(domain);
            assertThat(domain, mServers.counts().total(), greaterThanOrEqualTo(3 * needed / 4));
            run(12, 12, 300);
            assertThat(domain, mServers.counts().total(), greaterThanOrEqualTo(needed));
            mServers.setUnavailable(new ServerPool(domain, true), false);
        }
    }

    /** Guards against keeping no ordinary server where the platform has one domain only. */
    @Test
    void singleDomainKeepsOrdinaryServersForTheLoad() {
        ScalingTerms terms =
                new ScalingTerms(1, 80, Duration.ofSeconds(4), 0.2, Map.of("only", 1.0), 32);
        SimulatedServers servers = new SimulatedServers(mClock, terms, 20);
        for (int i = 0; i < 60; i++) {
            servers.second(5, 150);
        }
        int needed = needed(5, 150);
        ServerCounts counts = servers.counts();
        int ordinary = counts.total() - counts.reclaimable();
        assertThat(ordinary, greaterThanOrEqualTo(3 * needed / 4));
        assertThat(counts.total(), lessThanOrEqualTo(needed + 4));
    }

    /** Guards against asking a domain that has no servers again and again. */
    @Test
    void refusalsAreRememberedAndOtherDomainsAreTried() {
        for (String domain : new String[] {"a", "e"}) {
            mServers.setUnavailable(new ServerPool(domain, true), true);
        }
        run(40, 0, 0);
        assertThat(mServers.counts().in(new ServerPool("a", true)), is(0));
        assertThat(mServers.counts().reclaimable(), greaterThan(INITIAL / 2));
        int before = mServers.orders();
        run(30, 0, 0);
        assertThat(mServers.orders() - before, lessThanOrEqualTo(8));
    }

    /** Guards against missing servers where no reclaimable ones are to be had at all. */
    @Test
    void ordinaryServersAreOrderedWhenNoOthersAreToBeHad() {
        SimulatedServers.DOMAINS.forEach(
                domain -> mServers.setUnavailable(new ServerPool(domain, true), true));
        run(30, 40, 900);
        assertThat(mServers.counts().reclaimable(), is(0));
        assertThat(mServers.counts().total(), greaterThanOrEqualTo(90));
    }

    /** Guards against asking each domain in turn while servers are missing. */
    @Test
    void lossIsMadeUpForAtOnceWhenNoReclaimableServersAreToBeHad() {
        run(60, 12, 300);
        SimulatedServers.DOMAINS.forEach(
                domain -> mServers.setUnavailable(new ServerPool(domain, true), true));
        mServers.reclaim("a");
        mServers.reclaim("c");
        List<ServerPlan.PoolOrder> orders = mServers.second(12, 300).orders();
        int missing = needed(12, 300) - mServers.counts().total();
        int ordered =
                orders.stream()
                        .filter(order -> !order.pool().isReclaimable())
                        .mapToInt(order -> order.count() - order.present())
                        .sum();
        assertThat(missing, greaterThan(0));
        assertThat(ordered, greaterThanOrEqualTo(missing));
        run(5, 12, 300);
        assertThat(mServers.counts().total(), greaterThanOrEqualTo(needed(12, 300)));
    }

    /** Guards against trusting orders whose answers were lost and that are carried out late. */
    @Test
    void lateOrdersDoNotLeaveTooFewServers() {
        run(50, 8, 200);
        int needed = needed(8, 200);
        mServers.loseAnswers(true);
        mServers.reclaim("a");
        run(12, 8, 200);
        mServers.loseAnswers(false);
        run(20, 8, 200);
        assertThat(mServers.counts().total(), greaterThanOrEqualTo(needed));
        assertThat(mServers.counts().total(), lessThanOrEqualTo(2 * needed));
    }

    /** Guards against a new holder that gives servers back on what it has not measured yet. */
    @Test
    void newHolderGivesNothingBackUntilItKnowsTheLoad() {
        run(8, 8, 200);
        mServers.changeHolder();
        int first = mServers.counts().total();
        for (int i = 0; i < 14; i++) {
            mServers.second(8, 200);
            assertThat(mServers.counts().total(), greaterThanOrEqualTo(first));
        }
        run(45, 8, 200);
        assertThat(mServers.counts().total(), lessThan(INITIAL));
    }

    /** Guards against orders outside of the limits of the terms. */
    @Test
    void limitsOfEachDomainAreKept() {
        ScalingTerms terms =
                new ScalingTerms(
                        2,
                        4,
                        Duration.ofSeconds(4),
                        0.2,
                        SimulatedServers.TERMS.domainPrices(),
                        32);
        SimulatedServers servers = new SimulatedServers(mClock, terms, 3);
        for (double load : new double[] {100, 1}) {
            for (int i = 0; i < 60; i++) {
                servers.second(load, 10 * load)
                        .orders()
                        .forEach(order -> assertThat(order.count(), lessThanOrEqualTo(4)));
                ServerCounts counts = servers.counts();
                for (String domain : SimulatedServers.DOMAINS) {
                    int total =
                            counts.in(new ServerPool(domain, true))
                                    + counts.in(new ServerPool(domain, false));
                    assertThat(domain, total, greaterThanOrEqualTo(2));
                    assertThat(domain, total, lessThanOrEqualTo(4));
                }
            }
        }
    }

    /** Guards against reclaimable servers where they cost as much as the others. */
    @Test
    void noReclaimableServersWithoutPriceAdvantage() {
        ScalingTerms terms =
                new ScalingTerms(
                        1, 21, Duration.ofSeconds(4), 1, SimulatedServers.TERMS.domainPrices(), 32);
        SimulatedServers servers = new SimulatedServers(mClock, terms, 5);
        for (int i = 0; i < 60; i++) {
            servers.second(4, 100);
        }
        assertThat(servers.counts().reclaimable(), equalTo(0));
        assertThat(servers.counts().total(), lessThan(30));
    }

    private static ScalingTerms terms(int minimum, Map<String, Double> domainPrices) {
        return new ScalingTerms(minimum, 80, Duration.ofSeconds(4), 0.2, domainPrices, 32);
    }

    /** Guards against a reserve that is ordered and given back in turn as the load varies. */
    @Test
    void reserveOfTwoDomainsIsNotOrderedAndGivenBackInTurn() {
        SimulatedServers servers =
                new SimulatedServers(mClock, terms(1, Map.of("a", 1.0, "b", 1.0)), 20);
        Random random = new Random(1);
        for (int i = 0; i < 60; i++) {
            servers.second(13, 325);
        }
        int givenBackBefore = servers.givenBack();
        for (int i = 0; i < 300; i++) {
            double factor = 1 + 0.1 * random.nextGaussian();
            servers.second(13 * factor, 325 * factor);
        }
        // The tolerated surplus spans the swings, so that they cost a few servers and not many.
        assertThat(servers.givenBack() - givenBackBefore, lessThanOrEqualTo(20));
    }

    /** Guards against a domain that gets a single server although the terms ask for more. */
    @Test
    void domainBelowItsMinimumIsFilledUp() {
        Map<String, Double> prices = Map.of("a", 1.0, "b", 1.2, "c", 1.1);
        ScalingTerms terms = new ScalingTerms(4, 4, Duration.ofSeconds(4), 0.2, prices, 32);
        SimulatedServers servers = new SimulatedServers(mClock, terms, 3);
        for (int i = 0; i < 60; i++) {
            servers.second(2, 90);
        }
        servers.loseOrdinary("b", 4);
        servers.reclaim("b");
        List<ServerPlan.PoolOrder> orders = servers.second(2, 90).orders();
        assertThat(orders.size(), is(1));
        assertThat(orders.get(0).pool().failureDomain(), is("b"));
        assertThat(orders.get(0).count(), is(4));
    }

    /** Guards against a second order to give back while the first one may still be carried out. */
    @Test
    void unansweredOrdersToGiveBackLeaveEnoughServers() {
        run(40, 12, 300);
        int needed = needed(4, 100);
        mServers.loseAnswers(true);
        for (int i = 0; i < 30; i++) {
            mServers.second(4, 100);
        }
        mServers.loseAnswers(false);
        for (int i = 0; i < 30; i++) {
            mServers.second(4, 100);
            assertThat(mServers.counts().total(), greaterThanOrEqualTo(needed));
        }
    }
}
