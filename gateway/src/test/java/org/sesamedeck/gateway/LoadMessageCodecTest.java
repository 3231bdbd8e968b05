package org.sesamedeck.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.AccountUsage;
import org.sesamedeck.routing.EndpointLoad;
import org.sesamedeck.routing.LoadExchange;
import org.sesamedeck.routing.LoadMessage;
import org.sesamedeck.routing.LoadScope;
import org.sesamedeck.routing.OutgoingLoad;
import org.sesamedeck.routing.UsageSummary;
import org.sesamedeck.wire.generated.LoadShare;

class LoadMessageCodecTest {
    private static final int ACCOUNTS = 210;
    private static final int SECONDS = 20;

    /** Headers of a datagram. */
    private static final int DATAGRAM_HEADER_BYTES = 28;

    /** Less than a third of the 15,000 bytes that a node may send for control. */
    private static final int MAX_USAGE_BYTES_PER_SECOND = 4_500;

    private static final List<EndpointLoad> LOADS = List.of(new EndpointLoad("engine", 1, 1));

    private static UsageSummary usage() {
        List<AccountUsage> usages = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            usages.add(new AccountUsage("client-account-" + i, 5_000_000L / (i + 1)));
        }
        return UsageSummary.of(usages);
    }

    private static LoadMessage message(Optional<UsageSummary> usage) {
        return new LoadMessage(
                "node-b",
                7,
                1,
                LoadScope.GROUP,
                List.of(),
                List.of(),
                List.of(),
                usage,
                1,
                3_000_000_000L);
    }

    /** Guards against usage that is lost or changed on its way through the codec. */
    @Test
    void usageIsDecodedAsItWasEncoded() {
        LoadMessage message = message(Optional.of(usage().within(192)));
        LoadMessage decoded =
                LoadMessageCodec.decode(LoadMessageCodec.encode(message)).orElseThrow();
        assertThat(decoded, is(message));
    }

    /** Guards against messages of earlier versions of this program that are not understood. */
    @Test
    void messageWithoutUsageIsUnderstood() {
        LoadMessage decoded =
                LoadMessageCodec.decode(LoadMessageCodec.encode(message(Optional.empty())))
                        .orElseThrow();
        assertThat(decoded.usage(), is(Optional.empty()));
    }

    /** Guards against a message with usage that earlier versions of this program cannot read. */
    @Test
    void usageIsAFieldThatReadersWithoutItSkip() throws Exception {
        byte[] bytes = LoadMessageCodec.encode(message(Optional.of(usage().within(192))));
        LoadShare share = LoadShare.parseFrom(bytes).toBuilder().clearAccountUsage().build();
        assertThat(share.getNode(), is("node-b"));
        assertThat(share.toByteArray(), is(LoadMessageCodec.encode(message(Optional.empty()))));
    }

    /** Sends for a while and returns the bytes a second of the process that sends most. */
    private static double bytesPerSecond(int processes, UsageSummary usage, Duration round) {
        ManualClock clock = ManualClock.create();
        Map<String, LoadExchange> exchanges = new LinkedHashMap<>();
        for (int i = 0; i < processes; i++) {
            String name = String.format("process-%03d", i);
            exchanges.put(name, LoadExchange.create(clock, name, 1));
        }
        List<String> names = List.copyOf(exchanges.keySet());
        exchanges.values().forEach(exchange -> exchange.updateProcesses(names));
        exchanges.values().forEach(exchange -> exchange.updateOwnUsage(usage));
        Map<String, Long> sent = new HashMap<>();
        long rounds = SECONDS * 1_000L / round.toMillis();
        for (long i = 0; i < 2 * rounds; i++) {
            for (Map.Entry<String, LoadExchange> exchange : exchanges.entrySet()) {
                for (OutgoingLoad load : exchange.getValue().round(LOADS, List.of())) {
                    long bytes = LoadMessageCodec.encode(load.message()).length;
                    load.recipients().forEach(name -> exchanges.get(name).receive(load.message()));
                    if (i >= rounds) {
                        sent.merge(
                                exchange.getKey(),
                                (bytes + DATAGRAM_HEADER_BYTES) * load.recipients().size(),
                                Long::sum);
                    }
                }
            }
            clock.advance(round);
        }
        return sent.values().stream().mapToLong(Long::longValue).max().orElse(0) / (double) SECONDS;
    }

    /** Guards against usage that exceeds, by itself, its part of what a node may send. */
    @ParameterizedTest
    @ValueSource(ints = {8, 83, 490})
    void usageOfManyAccountsStaysWithinTheBytesForControl(int processes) {
        Duration round = Duration.ofMillis(processes <= 16 ? 100 : 200);
        double without = bytesPerSecond(processes, UsageSummary.empty(), round);
        double with = bytesPerSecond(processes, usage(), round);
        String bytes = without + " B/s without usage, " + with + " with it";
        assertThat(bytes, with - without, greaterThan(0.0));
        assertThat(bytes, with - without, lessThan((double) MAX_USAGE_BYTES_PER_SECOND));
    }
}
