package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamedeck.core.ManualClock;

/** Replays load that competes for too few engines, on 8 and on 83 processes. */
class StartPolicyTest {
    private static final int SEED = 7;
    private static final int ACCOUNTS = 24;
    private static final int LARGE_ACCOUNT = 3;
    private static final double[] LOADS = {0.9, 1.3, 2};

    /**
     * The two most urgent kinds are short; the least urgent one makes more than half of the work.
     */
    private static final List<StartReplay.Kind> KINDS =
            List.of(
                    new StartReplay.Kind(0, 0.50, 15, 1_000, 2_000),
                    new StartReplay.Kind(1, 0.28, 8, 600, 2_400),
                    new StartReplay.Kind(2, 0.22, 60, 600, 2_400));

    private static final StartReplay.Shape STEADY = (millis, kind, account, process) -> 1;

    /** How the load changes. */
    enum Pattern {
        /** Each failure domain has its peak at another time. */
        WAVE(
                (millis, kind, account, process) ->
                        1 + 0.8 * Math.sin(2 * Math.PI * (millis / 12_000.0 + process % 6 / 6.0))),

        /** Two kinds swap their peaks. */
        SWAP(
                (millis, kind, account, process) ->
                        kind == 2 ? 1 : (millis / 2_800 + kind) % 2 == 0 ? 1.8 : 0.2),

        /** One account sends ten times its usual load. */
        LARGE_ACCOUNT_BURST((millis, kind, account, process) -> account == LARGE_ACCOUNT ? 10 : 1);

        final StartReplay.Shape mShape;

        Pattern(StartReplay.Shape shape) {
            mShape = shape;
        }
    }

    private static double[] accountParts() {
        double[] parts = new double[ACCOUNTS];
        double sum = 0;
        for (int i = 0; i < ACCOUNTS; i++) {
            parts[i] = Math.pow(i + 1, -1.2);
            sum += parts[i];
        }
        for (int i = 0; i < ACCOUNTS; i++) {
            parts[i] /= sum;
        }
        return parts;
    }

    static StartReplay replay(
            boolean isLarge, boolean isControlled, double load, StartReplay.Shape shape) {
        return fleet(isLarge, isControlled).run(load, accountParts(), shape);
    }

    private static StartReplay fleet(boolean isLarge, boolean isControlled) {
        return isLarge
                ? new StartReplay(KINDS, 13, 83, 500, isControlled, SEED)
                : new StartReplay(KINDS, 4, 8, 100, isControlled, SEED);
    }

    /** Guards against turning away requests that the engines could have served in time. */
    @ParameterizedTest
    @EnumSource(Pattern.class)
    void asManyAreServedAsWhenAllAreSent(Pattern pattern) {
        for (boolean isLarge : new boolean[] {false, true}) {
            for (double load : new double[] {0.9, 1.3}) {
                StartReplay all = replay(isLarge, false, load, pattern.mShape);
                StartReplay policy = replay(isLarge, true, load, pattern.mShape);
                assertThat(
                        pattern + " " + isLarge + " " + load,
                        policy.outcome("all").served(),
                        greaterThan(all.outcome("all").served() - 0.02));
            }
        }
    }

    /**
     * Guards against urgent requests that are turned away for others although the engines could
     * serve all of them. At twice the capacity, the most urgent kind has 0.64 of the capacity as
     * its work, and one in five of the others 0.27. Where kinds swap their peaks, the most urgent
     * one alone exceeds the capacity at its peaks.
     */
    @ParameterizedTest
    @EnumSource(names = {"WAVE", "LARGE_ACCOUNT_BURST"})
    void mostUrgentKindIsServedThoughOthersAreDrawn(Pattern pattern) {
        for (boolean isLarge : new boolean[] {false, true}) {
            StartReplay policy = replay(isLarge, true, 2, pattern.mShape);
            assertThat(
                    pattern + " " + isLarge, policy.outcome("kind 0").served(), greaterThan(0.85));
        }
    }

    /** Guards against kinds, accounts and long requests that are passed over, at any load. */
    @ParameterizedTest
    @EnumSource(Pattern.class)
    void noneIsServedMuchLessOftenThanOthers(Pattern pattern) {
        for (boolean isLarge : new boolean[] {false, true}) {
            for (double load : LOADS) {
                StartReplay policy = replay(isLarge, true, load, pattern.mShape);
                String label = pattern + " " + isLarge + " " + load;
                double quarter = policy.outcome("all").served() / 4;
                for (int kind = 0; kind < KINDS.size(); kind++) {
                    double served = policy.outcome("kind " + kind).served();
                    assertThat(label + " kind " + kind, served, greaterThanOrEqualTo(quarter));
                    double longServed = policy.outcome("long " + kind).served();
                    assertThat(
                            label + " long " + kind, longServed, greaterThanOrEqualTo(served / 2));
                }
                for (int account = 0; account < ACCOUNTS; account++) {
                    assertThat(
                            label + " account " + account,
                            policy.outcome("account " + account).served(),
                            greaterThanOrEqualTo(quarter));
                }
            }
        }
    }

    /** Guards against rank inversion: a kind that is served less often than a less urgent one. */
    @ParameterizedTest
    @EnumSource(Pattern.class)
    void moreUrgentKindIsServedAtLeastAsOften(Pattern pattern) {
        for (boolean isLarge : new boolean[] {false, true}) {
            for (double load : LOADS) {
                StartReplay policy = replay(isLarge, true, load, pattern.mShape);
                for (int kind = 1; kind < KINDS.size(); kind++) {
                    assertThat(
                            pattern + " " + isLarge + " " + load,
                            policy.outcome("kind " + (kind - 1)).served(),
                            greaterThan(policy.outcome("kind " + kind).served() - 0.05));
                }
            }
        }
    }

    /**
     * Guards against a large account that takes the room of small ones of the same urgency, also
     * where each process knows only the usage that it has started itself.
     */
    @Test
    void smallAccountsAreServedMoreOftenThanTheOneThatSendsTenTimesItsLoad() {
        for (boolean isLarge : new boolean[] {false, true}) {
            double[] parts = accountParts();
            StartReplay.Shape shape = Pattern.LARGE_ACCOUNT_BURST.mShape;
            StartReplay exchanging = fleet(isLarge, true).run(1.3, parts, shape);
            StartReplay alone = fleet(isLarge, true).withoutUsageExchange().run(1.3, parts, shape);
            assertThat(
                    "exchanging " + isLarge,
                    advantageOfSmallAccounts(exchanging),
                    greaterThan(1.2));
            assertThat("alone " + isLarge, advantageOfSmallAccounts(alone), greaterThan(1.2));
        }
    }

    /**
     * How often the least urgent requests of small accounts are served, relative to the large one.
     */
    private static double advantageOfSmallAccounts(StartReplay replay) {
        StartReplay.Outcome small = new StartReplay.Outcome();
        for (int account = ACCOUNTS / 2; account < ACCOUNTS; account++) {
            StartReplay.Outcome one = replay.outcome("least urgent of account " + account);
            small.mOffered += one.mOffered;
            small.mServed += one.mServed;
        }
        return small.served() / replay.outcome("least urgent of account " + LARGE_ACCOUNT).served();
    }

    /** Guards against callers that repeat at once and so push aside those that wait. */
    @Test
    void callersThatRepeatAtOnceDoNotPushOthersAside() {
        for (boolean isLarge : new boolean[] {false, true}) {
            for (double load : LOADS) {
                StartReplay without = replay(isLarge, true, load, STEADY);
                StartReplay with =
                        fleet(isLarge, true)
                                .withAbusiveFraction(0.33)
                                .run(load, accountParts(), STEADY);
                assertThat(
                        isLarge + " " + load,
                        with.outcome("patient").served(),
                        greaterThan(without.outcome("patient").served() * 0.9));
            }
        }
    }

    /** Guards against refusing requests while there is room. */
    @Test
    void withoutBacklogNothingIsTurnedAway() {
        StartPolicy policy = StartPolicy.create(AccountShares.create(ManualClock.create()));
        for (int i = 0; i < 20; i++) {
            assertThat(
                    policy.decide(new StartTerms(i % 3, "account", 5e8, i), 0),
                    is(StartPolicy.Verdict.START));
        }
    }
}
