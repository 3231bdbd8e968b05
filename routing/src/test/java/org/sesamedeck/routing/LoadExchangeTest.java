package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.core.ManualClock;

/** Runs the exchange of many processes on a simulated clock and network. */
class LoadExchangeTest {
    private static final Duration ROUND = Duration.ofMillis(200);
    private static final long SEED = 7;

    private final ManualClock mClock = ManualClock.create();
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private final Map<String, LoadExchange> mProcesses = new LinkedHashMap<>();
    private final Map<String, Integer> mRunning = new HashMap<>();
    private final Set<String> mDown = new HashSet<>();
    private final Map<String, Set<PrefixUpdate>> mUpdates = new HashMap<>();
    private final Map<String, Integer> mSent = new HashMap<>();
    private double mLossRatio;

    private void start(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(String.format("process-%03d", i));
        }
        for (int i = 0; i < count; i++) {
            LoadExchange exchange = LoadExchange.create(mClock, names.get(i), i);
            exchange.updateProcesses(names);
            mProcesses.put(names.get(i), exchange);
            mRunning.put(names.get(i), 1 + i % 5);
        }
    }

    private void rounds(int count, Map<String, List<PrefixUpdate>> updates) {
        for (int round = 0; round < count; round++) {
            boolean isFirst = round == 0;
            mProcesses.forEach(
                    (name, exchange) -> {
                        if (!mDown.contains(name)) {
                            int running = mRunning.get(name);
                            send(
                                    exchange.round(
                                            List.of(new EndpointLoad("engine", running, running)),
                                            isFirst
                                                    ? updates.getOrDefault(name, List.of())
                                                    : List.of()));
                        }
                    });
            mClock.advance(ROUND);
        }
    }

    private void send(List<OutgoingLoad> outgoing) {
        for (OutgoingLoad load : outgoing) {
            for (String recipient : load.recipients()) {
                mSent.merge(load.message().sender(), 1, Integer::sum);
                if (!mDown.contains(recipient) && mRandom.nextDouble() >= mLossRatio) {
                    mProcesses.get(recipient).receive(load.message());
                    mUpdates.computeIfAbsent(recipient, name -> new HashSet<>())
                            .addAll(load.message().prefixUpdates());
                }
            }
        }
    }

    private int expectedFor(String name) {
        return mRunning.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(name) && !mDown.contains(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private int knownTo(String name) {
        return mProcesses
                .get(name)
                .peerTotals()
                .map(totals -> totals.get("engine"))
                .map(EndpointLoad::running)
                .orElse(0);
    }

    private void assertAllKnowTheRest(String when) {
        for (String name : mProcesses.keySet()) {
            if (!mDown.contains(name)) {
                assertThat(when + ", " + name, knownTo(name), is(expectedFor(name)));
            }
        }
    }

    /** Guards against a load that is counted twice, or missed, on its way through the relays. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 8, 16, 17, 62, 95, 490})
    void everyProcessKnowsTheLoadOfAllOthers(int count) {
        start(count);
        rounds(12, Map.of());
        assertAllKnowTheRest("after 12 rounds");
        mRunning.replaceAll((name, running) -> running + 2);
        rounds(4, Map.of());
        assertAllKnowTheRest("after a change");
    }

    /** Guards against messages that grow with the square of the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {62, 95, 490})
    void messagesOfAProcessGrowWithTheSquareRootOfTheFleet(int count) {
        start(count);
        rounds(12, Map.of());
        mSent.clear();
        int rounds = 10;
        rounds(rounds, Map.of());
        int relayLimit = 4 * (int) Math.ceil(Math.sqrt(count)) * rounds;
        mSent.forEach((name, sent) -> assertThat(name, sent, lessThanOrEqualTo(relayLimit)));
        long relays = mSent.values().stream().filter(sent -> sent > 2 * rounds).count();
        assertThat(relays, lessThanOrEqualTo((long) Math.ceil(Math.sqrt(count))));
    }

    /** Guards against a group that stays without knowledge after its relay has died. */
    @Test
    void deathOfManyProcessesIsRecovered() {
        start(95);
        rounds(12, Map.of());
        for (String name : mProcesses.keySet()) {
            if (mRandom.nextDouble() < 0.55) {
                mDown.add(name);
            }
        }
        rounds(15, Map.of());
        assertAllKnowTheRest("3 s after the deaths");
        mDown.clear();
        rounds(40, Map.of());
        assertAllKnowTheRest("8 s after the restarts");
    }

    /** Guards against sums that drift when datagrams are lost. */
    @Test
    void lostMessagesCostNoMoreThanTheirAge() {
        mLossRatio = 0.05;
        start(95);
        rounds(20, Map.of());
        for (String name : mProcesses.keySet()) {
            int missing = expectedFor(name) - knownTo(name);
            assertThat(name, Math.abs(missing), lessThan(expectedFor(name) / 5));
        }
    }

    /** Guards against prefix updates that stay within the group of their sender. */
    @Test
    void prefixUpdatesReachEveryProcess() {
        start(62);
        rounds(12, Map.of());
        PrefixUpdate update = new PrefixUpdate("engine", 42);
        rounds(5, Map.of("process-005", List.of(update)));
        for (String name : mProcesses.keySet()) {
            if (!name.equals("process-005")) {
                assertThat(name, mUpdates.get(name).contains(update), is(true));
            }
        }
    }

    /** Guards against taking the load of a part of the fleet for that of all. */
    @ParameterizedTest
    @ValueSource(ints = {2, 16, 17, 62, 95, 490})
    void everyProcessKnowsOfHowManyItKnowsTheLoad(int count) {
        start(count);
        rounds(12, Map.of());
        mProcesses.forEach(
                (name, exchange) -> assertThat(name, exchange.heardProcesses(), is(count)));
        mProcesses.keySet().stream().skip(count / 2).forEach(mDown::add);
        rounds(12, Map.of());
        mProcesses.forEach(
                (name, exchange) -> {
                    if (!mDown.contains(name)) {
                        assertThat(name, exchange.heardProcesses(), is(count / 2));
                    }
                });
    }

    /** Guards against an idle process that counts as not heard. */
    @Test
    void idleProcessIsHeard() {
        start(3);
        for (int round = 0; round < 40; round++) {
            mProcesses.values().forEach(exchange -> send(exchange.round(List.of(), List.of())));
            mClock.advance(Duration.ofMillis(100));
        }
        mProcesses.forEach((name, exchange) -> assertThat(name, exchange.heardProcesses(), is(3)));
    }

    /** Guards against processes that changes do not reach, and against changes sent in circles. */
    @ParameterizedTest
    @ValueSource(ints = {17, 62, 95, 490})
    void changesReachAllProcessesWithFewMessages(int count) {
        start(count);
        rounds(12, Map.of());
        String reader =
                mProcesses.entrySet().stream()
                        .filter(entry -> entry.getValue().isStoreWatcher())
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseThrow();
        Set<String> reached = new HashSet<>(Set.of(reader));
        ArrayDeque<String[]> datagrams = new ArrayDeque<>();
        mProcesses
                .get(reader)
                .recipientsOfChanges(reader)
                .forEach(to -> datagrams.add(new String[] {reader, to}));
        int sent = 0;
        while (!datagrams.isEmpty()) {
            String[] datagram = datagrams.remove();
            sent++;
            if (reached.add(datagram[1])) {
                mProcesses
                        .get(datagram[1])
                        .recipientsOfChanges(datagram[0])
                        .forEach(to -> datagrams.add(new String[] {datagram[1], to}));
            }
        }
        assertThat(reached.size(), is(count));
        assertThat(sent, lessThanOrEqualTo(2 * count));
    }
}
