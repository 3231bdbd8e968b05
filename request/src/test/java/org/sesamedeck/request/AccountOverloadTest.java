package org.sesamedeck.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays load that competes for too few endpoints, on 8 and on 83 processes. The bounds are those
 * of the service: no account and no kind of request is served less than a quarter as often as all
 * requests, long requests at least half as often as their kind, and at most a few sessions never.
 */
class AccountOverloadTest {
    private static final int SEED = 7;
    private static final int ACCOUNTS = 24;
    private static final int LARGE_ACCOUNT = 3;
    private static final int[] PROCESSES = {8, 83};
    private static final double[] LOADS = {0.9, 1.3, 2};

    /** Less than this part of the sessions that ask often may never be served. */
    private static final double MAX_SESSIONS_NEVER_SERVED = 0.04;

    /** Results that several tests compare. */
    private static final Map<String, OverloadReplay> BURSTS = new HashMap<>();

    private static final double MIN_ADVANTAGE_OF_SMALL_ACCOUNTS = 1.2;

    private static final List<OverloadReplay.Kind> PROMPTS =
            List.of(
                    new OverloadReplay.Kind(0, 0.50, 15, 2_000),
                    new OverloadReplay.Kind(1, 0.28, 8, 4_000),
                    new OverloadReplay.Kind(2, 0.22, 60, 4_000));

    private static final List<OverloadReplay.Kind> PLAIN =
            List.of(
                    new OverloadReplay.Kind(2, 0.7, 30, 1_200),
                    new OverloadReplay.Kind(2, 0.3, 30, 1_200));

    private static final OverloadReplay.Shape STEADY = (millis, kind, account, process) -> 1;

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

        final OverloadReplay.Shape mShape;

        Pattern(OverloadReplay.Shape shape) {
            mShape = shape;
        }
    }

    /** What the requests compete for. */
    enum Resource {
        ENGINES(PROMPTS, new OverloadReplay.Endpoints(6, 1, 36, true)),
        PLAIN_SERVICE(PLAIN, new OverloadReplay.Endpoints(6, 6, 24, false));

        final List<OverloadReplay.Kind> mKinds;
        final OverloadReplay.Endpoints mEndpoints;

        Resource(List<OverloadReplay.Kind> kinds, OverloadReplay.Endpoints endpoints) {
            mKinds = kinds;
            mEndpoints = endpoints;
        }

        OverloadReplay replay(int processes, boolean isRanked) {
            return new OverloadReplay(mKinds, mEndpoints, processes, isRanked, SEED);
        }
    }

    private static double[] accountParts() {
        double[] parts = new double[ACCOUNTS];
        double sum = 0;
        for (int i = 0; i < ACCOUNTS; i++) {
            parts[i] = 1 / (i + 4.0);
            sum += parts[i];
        }
        for (int i = 0; i < ACCOUNTS; i++) {
            parts[i] /= sum;
        }
        return parts;
    }

    private static List<String> violations(String label, OverloadReplay replay, int kinds) {
        List<String> violations = new ArrayList<>();
        double quarter = replay.outcome("all").served() / 4;
        for (int kind = 0; kind < kinds; kind++) {
            double served = replay.outcome("kind " + kind).served();
            if (served < quarter) {
                violations.add(label + " kind " + kind + " " + served + " of " + quarter);
            }
            double longServed = replay.outcome("long " + kind).served();
            if (longServed < served / 2) {
                violations.add(label + " long " + kind + " " + longServed + " of " + served);
            }
        }
        for (int account = 0; account < ACCOUNTS; account++) {
            double served = replay.outcome("account " + account).served();
            if (served < quarter) {
                violations.add(label + " account " + account + " " + served + " of " + quarter);
            }
        }
        if (replay.sessionsNeverServed() > MAX_SESSIONS_NEVER_SERVED) {
            violations.add(label + " sessions " + replay.sessionsNeverServed());
        }
        return violations;
    }

    /** Guards against accounts, kinds, long requests and sessions that are passed over. */
    @ParameterizedTest
    @EnumSource(Resource.class)
    void noneIsServedMuchLessOftenThanOthers(Resource resource) {
        List<String> violations = new ArrayList<>();
        for (int processes : PROCESSES) {
            for (double load : LOADS) {
                for (Pattern pattern : Pattern.values()) {
                    OverloadReplay replay =
                            pattern == Pattern.LARGE_ACCOUNT_BURST
                                    ? burst(resource, processes, load, true)
                                    : resource.replay(processes, true)
                                            .run(load, accountParts(), pattern.mShape);
                    String label = processes + " " + load + " " + pattern;
                    violations.addAll(violations(label, replay, resource.mKinds.size()));
                }
            }
        }
        assertThat(violations, is(List.of()));
    }

    /**
     * Guards against a large account that takes the room of small ones: without ranks they are
     * served equally often.
     */
    @ParameterizedTest
    @EnumSource(Resource.class)
    void smallAccountsAreServedMoreOftenThanTheOneThatSendsTenTimesItsLoad(Resource resource) {
        for (int processes : PROCESSES) {
            for (double load : LOADS) {
                OverloadReplay replay = burst(resource, processes, load, true);
                assertThat(
                        resource + " " + processes + " " + load,
                        small(replay) / replay.outcome("account " + LARGE_ACCOUNT).served(),
                        greaterThan(MIN_ADVANTAGE_OF_SMALL_ACCOUNTS));
            }
        }
    }

    /** Guards against turning away requests that the endpoints could have served. */
    @ParameterizedTest
    @EnumSource(Resource.class)
    void asManyAreServedAsWithoutRanks(Resource resource) {
        for (int processes : PROCESSES) {
            for (double load : LOADS) {
                assertThat(
                        resource + " " + processes + " " + load,
                        burst(resource, processes, load, true).outcome("all").served(),
                        greaterThan(
                                burst(resource, processes, load, false).outcome("all").served()
                                        - 0.02));
            }
        }
    }

    /** Guards against callers that repeat at once and so push aside others at a plain service. */
    @Test
    void callersThatRepeatAtOnceDoNotPushOthersAsideAtPlainServices() {
        assertThat(pushedAside(Resource.PLAIN_SERVICE), is(List.of()));
    }

    /** Guards against callers that repeat at once and so push aside others at engines. */
    @Test
    @Tag("known-red")
    void callersThatRepeatAtOnceDoNotPushOthersAsideAtEngines() {
        assertThat(pushedAside(Resource.ENGINES), is(List.of()));
    }

    /**
     * Returns where patient callers are served less than 0.9 times as often as among themselves.
     */
    private static List<String> pushedAside(Resource resource) {
        List<String> violations = new ArrayList<>();
        for (int processes : PROCESSES) {
            for (double load : LOADS) {
                OverloadReplay without =
                        resource.replay(processes, true).run(load, accountParts(), STEADY);
                OverloadReplay with =
                        resource.replay(processes, true)
                                .withImpatientFraction(0.33)
                                .run(load, accountParts(), STEADY);
                double expected = without.outcome("patient").served() * 0.9;
                double served = with.outcome("patient").served();
                if (served < expected) {
                    violations.add(processes + " " + load + " " + served + " of " + expected);
                }
            }
        }
        return violations;
    }

    private static OverloadReplay burst(
            Resource resource, int processes, double load, boolean isRanked) {
        return BURSTS.computeIfAbsent(
                resource + " " + processes + " " + load + " " + isRanked,
                key ->
                        resource.replay(processes, isRanked)
                                .run(load, accountParts(), Pattern.LARGE_ACCOUNT_BURST.mShape));
    }

    /** Returns how often the requests of the smaller half of the accounts are served. */
    private static double small(OverloadReplay replay) {
        OverloadReplay.Outcome small = new OverloadReplay.Outcome();
        for (int account = ACCOUNTS / 2; account < ACCOUNTS; account++) {
            OverloadReplay.Outcome one = replay.outcome("account " + account);
            small.mOffered += one.mOffered;
            small.mServed += one.mServed;
        }
        return small.served();
    }
}
