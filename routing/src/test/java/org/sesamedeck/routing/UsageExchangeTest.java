package org.sesamedeck.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

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

/** Exchanges usage between many processes on a simulated clock and network. */
class UsageExchangeTest {
    private static final Duration ROUND = Duration.ofMillis(200);
    private static final int ACCOUNTS = 210;
    private static final int LARGE_ACCOUNT = 17;
    private static final int ACCOUNT_BYTES = 192;

    /** A third of what a process may spend on control. */
    private static final int MAX_BYTES_PER_SECOND = 5_000;

    private static final List<EndpointLoad> LOADS = List.of(new EndpointLoad("engine", 1, 1));

    private final ManualClock mClock = ManualClock.create();
    private final Map<String, LoadExchange> mProcesses = new LinkedHashMap<>();
    private final List<LoadMessage> mSent = new ArrayList<>();
    private final Map<String, Integer> mUsagesSent = new HashMap<>();

    private void start(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(String.format("process-%03d", i));
        }
        names.forEach(name -> mProcesses.put(name, LoadExchange.create(mClock, name, 1)));
        mProcesses.values().forEach(exchange -> exchange.updateProcesses(names));
    }

    private void rounds(int count) {
        for (int round = 0; round < count; round++) {
            for (LoadExchange exchange : mProcesses.values()) {
                for (OutgoingLoad load : exchange.round(LOADS, List.of())) {
                    mSent.add(load.message());
                    if (load.message().usage().isPresent()) {
                        mUsagesSent.merge(
                                load.message().sender(), load.recipients().size(), Integer::sum);
                    }
                    load.recipients().forEach(name -> mProcesses.get(name).receive(load.message()));
                }
            }
            mClock.advance(ROUND);
        }
    }

    private static UsageSummary usage(int process) {
        List<AccountUsage> usages = new ArrayList<>();
        for (int account = 0; account < ACCOUNTS; account++) {
            int work = account == LARGE_ACCOUNT ? 10_000 : 100 + (account * 31 + process * 7) % 900;
            usages.add(new AccountUsage("account-" + account, work));
        }
        return UsageSummary.of(usages);
    }

    private static long work(UsageSummary usage) {
        return usage.otherWork() + usage.heaviest().stream().mapToLong(AccountUsage::work).sum();
    }

    private static UsageSummary claim(String account, long work) {
        return UsageSummary.of(List.of(new AccountUsage(account, work)));
    }

    private LoadMessage message(long sequence, UsageSummary usage) {
        return message(1, sequence, usage);
    }

    private LoadMessage message(long incarnation, long sequence, UsageSummary usage) {
        return new LoadMessage(
                "process-001",
                incarnation,
                sequence,
                LoadScope.PROCESS,
                List.of(),
                List.of(),
                List.of(),
                Optional.of(usage),
                1,
                0);
    }

    /**
     * Guards against usage that is counted twice or missed on its way, and against a large account
     * that stays unknown because each process sees only a part of it.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 8, 83, 490})
    void everyProcessKnowsTheUsageOfAllOthers(int count) {
        start(count);
        int index = 0;
        long total = 0;
        for (LoadExchange exchange : mProcesses.values()) {
            UsageSummary usage = usage(index++);
            exchange.updateOwnUsage(usage);
            total += work(usage);
        }
        rounds(40);
        index = 0;
        for (LoadExchange exchange : mProcesses.values()) {
            UsageSummary others = exchange.peerUsage();
            assertThat(work(others), is(total - work(usage(index++))));
            assertThat(others.accounts(), is(ACCOUNTS));
            assertThat(
                    others.heaviest().get(0),
                    is(new AccountUsage("account-" + LARGE_ACCOUNT, (count - 1) * 10_000L)));
        }
    }

    /** Guards against messages that grow with the number of accounts, and too frequent ones. */
    @ParameterizedTest
    @ValueSource(ints = {8, 83, 490})
    void messagesNameOnlyTheHeaviestAccounts(int count) {
        start(count);
        mProcesses.values().forEach(exchange -> exchange.updateOwnUsage(usage(1)));
        rounds(40);
        mSent.clear();
        mUsagesSent.clear();
        rounds(50);
        long withUsage = mSent.stream().filter(message -> message.usage().isPresent()).count();
        assertThat(withUsage, lessThanOrEqualTo(mSent.size() / 5L + 2 * count));
        mSent.forEach(
                message ->
                        message.usage()
                                .ifPresent(
                                        usage ->
                                                assertThat(
                                                        usage.heaviest().size(),
                                                        lessThanOrEqualTo(12))));
        long seconds = ROUND.multipliedBy(50).toSeconds();
        mUsagesSent.forEach(
                (process, messages) ->
                        assertThat(
                                process,
                                messages * ACCOUNT_BYTES / seconds,
                                lessThanOrEqualTo((long) MAX_BYTES_PER_SECOND)));
    }

    /** Guards against bytes that deployments without client accounts would pay for nothing. */
    @ParameterizedTest
    @ValueSource(ints = {8, 83})
    void nothingIsSentWithoutUsage(int count) {
        start(count);
        rounds(30);
        assertThat(
                mSent.stream().map(LoadMessage::usage).toList(),
                not(hasItem(not(Optional.empty()))));
    }

    /** Guards against messages that are received twice or late and change the sum. */
    @Test
    void repeatedAndLateMessagesChangeNothing() {
        start(2);
        LoadExchange exchange = mProcesses.get("process-000");
        exchange.receive(message(2, claim("library", 300)));
        exchange.receive(message(2, claim("library", 300)));
        exchange.receive(message(1, claim("library", 9_000)));
        assertThat(exchange.peerUsage(), is(claim("library", 300)));
    }

    /** Guards against usage of a restarted process that is ignored as out of order. */
    @Test
    void restartedProcessIsHeard() {
        start(2);
        LoadExchange exchange = mProcesses.get("process-000");
        exchange.receive(message(1, 7, claim("library", 300)));
        exchange.receive(message(2, 1, claim("library", 20)));
        assertThat(exchange.peerUsage(), is(claim("library", 20)));
    }

    /** Guards against a false claim that sets an account back for long. */
    @Test
    void falseClaimIsForgottenWithTheNextReportOrAfterItsAge() {
        start(2);
        LoadExchange exchange = mProcesses.get("process-000");
        exchange.receive(message(1, claim("library", Long.MAX_VALUE)));
        exchange.receive(message(2, claim("library", 300)));
        assertThat(exchange.peerUsage(), is(claim("library", 300)));
        exchange.receive(message(3, new UsageSummary(List.of(new AccountUsage("", -5)), -1, -7)));
        assertThat(exchange.peerUsage(), is(UsageSummary.empty()));
        exchange.receive(message(4, claim("library", Long.MAX_VALUE)));
        mClock.advance(Duration.ofSeconds(7));
        assertThat(exchange.peerUsage(), is(UsageSummary.empty()));
    }

    /** Guards against sums of huge claims that overflow. */
    @Test
    void hugeClaimsAreBounded() {
        UsageSummary huge = new UsageSummary(List.of(), Long.MAX_VALUE, Integer.MAX_VALUE);
        UsageSummary claim = claim("a", Long.MAX_VALUE);
        UsageSummary sum = UsageSummary.sum(List.of(huge, huge, claim, claim));
        assertThat(sum.otherWork(), greaterThan(0L));
        assertThat(sum.heaviest().get(0).work(), greaterThan(0L));
        assertThat(work(sum), greaterThan(0L));
    }
}
