package org.sesamedeck.gateway.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.gateway.DutyClient;
import org.sesamedeck.gateway.DutyHolder;
import org.sesamedeck.gateway.DutyResult;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.gateway.ServerOrder;
import org.sesamedeck.gateway.UsageReport;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.RequestTrace;
import org.sesamedeck.request.ServiceDescription;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.request.TrafficLimits;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.routing.scaling.ScalingTerms;

class ServerScalerTest {
    private static final ScalingTerms TERMS =
            new ScalingTerms(
                    1, 20, Duration.ofSeconds(4), 0.2, Map.of("a", 1.0, "b", 1.0, "c", 1.0), 32);

    private final ManualClock mClock = ManualClock.create();
    private final FakeHolder mHolder = new FakeHolder();
    private final FakeClient mClient = new FakeClient();
    private final List<Decision> mDecisions = new ArrayList<>();
    private final List<EndpointRole> mRoleRequests = new ArrayList<>();
    private final ServerScaler mScaler =
            ServerScaler.create(
                    mClock,
                    DefaultRouter.create(mClock, RouterSettings.defaults("east"), "host", 1),
                    mHolder,
                    mClient,
                    (service, role, engines) -> mRoleRequests.add(role),
                    new DecisionLog() {
                        @Override
                        public void record(LogEntry entry) {
                            mDecisions.add(entry.decision());
                        }

                        @Override
                        public void requestEnded(RequestTrace trace) {}
                    });

    /** A process's part in the duties whose state the test sets. */
    private static final class FakeHolder implements DutyHolder {
        private boolean mIsHolder = true;
        private boolean mIsConfirmed = true;
        private int mCallsPerRight = Integer.MAX_VALUE;
        private int mRights;

        @Override
        public boolean isHolder() {
            return mIsHolder;
        }

        @Override
        public Optional<String> holder() {
            return Optional.of("host");
        }

        @Override
        public CompletableFuture<Optional<DutyRight>> confirm() {
            return CompletableFuture.completedFuture(
                    mIsConfirmed
                            ? Optional.of(new DutyRight("host", ++mRights))
                            : Optional.empty());
        }

        @Override
        public boolean isUsable(DutyRight right) {
            return right.fencingNumber() == mRights && mCallsPerRight-- > 0;
        }
    }

    /** A platform that answers each order as the test says. */
    private static final class FakeClient implements DutyClient {
        private final List<ServerOrder> mOrders = new ArrayList<>();
        private Set<String> mRefusing = Set.of();
        private CompletableFuture<DutyResult> mAnswer =
                CompletableFuture.completedFuture(DutyResult.ACCEPTED);

        @Override
        public CompletableFuture<DutyResult> reportUsage(UsageReport report, DutyRight right) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<DutyResult> orderServers(ServerOrder order, DutyRight right) {
            mOrders.add(order);
            return mRefusing.contains(order.failureDomain())
                    ? CompletableFuture.completedFuture(DutyResult.CONFLICT)
                    : mAnswer;
        }

        void answer(DutyResult result) {
            mAnswer = CompletableFuture.completedFuture(result);
        }
    }

    private void configure(Optional<ScalingTerms> terms) {
        mScaler.configure(
                ServingConfiguration.of(
                        1,
                        List.of(),
                        List.of(new ServiceDescription("models", true, 100, terms)),
                        TrafficLimits.initial()));
    }

    private static List<EndpointDescription> servers(int ordinary, int reclaimable) {
        List<EndpointDescription> servers = new ArrayList<>();
        for (int i = 0; i < ordinary + reclaimable; i++) {
            boolean isReclaimable = i >= ordinary;
            servers.add(
                    new EndpointDescription(
                            "server-" + i,
                            HostAddress.of("10.0.0." + (i + 1), 80),
                            "models",
                            List.of("a", "b", "c").get(i % 3),
                            "east",
                            true,
                            false,
                            false,
                            i % 2 == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE,
                            Set.of(),
                            isReclaimable,
                            Optional.empty(),
                            Optional.empty()));
        }
        return servers;
    }

    private void start() {
        configure(Optional.of(TERMS));
        mScaler.updateEndpoints(servers(12, 0));
        mClock.advance(Duration.ofSeconds(6));
    }

    private void seconds(int count) {
        for (int i = 0; i < count; i++) {
            mClock.advance(Duration.ofSeconds(1));
            mScaler.plan();
        }
    }

    /** Guards against orders of a process that does not hold the duties. */
    @Test
    void onlyHolderOrders() {
        start();
        mHolder.mIsHolder = false;
        seconds(3);
        mHolder.mIsHolder = true;
        mHolder.mIsConfirmed = false;
        seconds(3);
        assertThat(mClient.mOrders, empty());
        mHolder.mIsConfirmed = true;
        seconds(1);
        assertThat(mClient.mOrders, not(empty()));
        assertThat(mDecisions, hasItem(Decision.SERVERS_PLANNED));
        assertThat(mDecisions, hasItem(Decision.SERVERS_ORDERED));
    }

    /** Guards against orders for a service whose number of servers is fixed. */
    @Test
    void serviceWithoutTermsIsLeftAlone() {
        configure(Optional.empty());
        mScaler.updateEndpoints(servers(12, 0));
        seconds(5);
        assertThat(mClient.mOrders, empty());
        assertThat(mRoleRequests, empty());
        assertThat(mScaler.manages("models"), is(false));
    }

    /** Guards against orders on a right that ends within a round, as after a pause. */
    @Test
    void roundEndsWithItsRight() {
        start();
        mHolder.mCallsPerRight = 1;
        seconds(3);
        assertThat(mClient.mOrders, hasSize(1));
        mHolder.mCallsPerRight = Integer.MAX_VALUE;
        seconds(1);
        assertThat(mClient.mOrders.size(), greaterThan(1));
    }

    /** Guards against ordering reclaimable servers and giving ordinary ones back at once. */
    @Test
    void ordinaryServersAreGivenBackAfterOthersServe() {
        start();
        seconds(2);
        assertThat(
                mClient.mOrders.stream().map(ServerOrder::isReclaimable).toList(),
                everyItem(is(true)));
        mClient.mOrders.clear();
        mScaler.updateEndpoints(servers(12, 6));
        seconds(1);
        List<ServerOrder> givenBack =
                mClient.mOrders.stream().filter(order -> !order.isReclaimable()).toList();
        assertThat(givenBack, not(empty()));
        givenBack.forEach(order -> assertThat(order.desiredCount() < 4, is(true)));
    }

    /** Guards against repeating an order that has no answer and may be carried out late. */
    @Test
    void orderInDoubtIsNotRepeatedAtOnce() {
        start();
        mClient.mAnswer = CompletableFuture.failedFuture(new IllegalStateException("lost"));
        seconds(1);
        ServerOrder first = mClient.mOrders.get(0);
        seconds(5);
        assertThat(mClient.mOrders.stream().filter(first::equals).count(), is(1L));
        assertThat(mDecisions, hasItem(Decision.SERVERS_IN_DOUBT));
    }

    /** Guards against calling on while the platform accepts no more calls. */
    @Test
    void rateLimitEndsRoundAndPauses() {
        start();
        mClient.answer(DutyResult.RATE_LIMITED);
        seconds(2);
        assertThat(mClient.mOrders, hasSize(1));
        mClient.answer(DutyResult.ACCEPTED);
        seconds(2);
        assertThat(mClient.mOrders.size(), greaterThan(1));
        assertThat(mClient.mOrders.get(1), is(mClient.mOrders.get(0)));
    }

    /** Guards against asking a domain that has no servers with each round. */
    @Test
    void conflictIsRememberedForTheDomain() {
        start();
        mClient.answer(DutyResult.CONFLICT);
        seconds(1);
        ServerOrder first = mClient.mOrders.get(0);
        mClient.answer(DutyResult.ACCEPTED);
        seconds(3);
        assertThat(mClient.mOrders.size(), greaterThan(1));
        assertThat(
                mClient.mOrders.stream()
                        .filter(order -> order.failureDomain().equals(first.failureDomain()))
                        .toList(),
                hasSize(1));
    }

    /** Guards against servers that come late because another domain has none. */
    @Test
    void refusalOfOneDomainDoesNotDelayTheOthers() {
        start();
        mClient.mRefusing = Set.of("a");
        seconds(1);
        assertThat(
                mClient.mOrders.stream().map(ServerOrder::failureDomain).toList(),
                hasItems("a", "b", "c"));
    }

    /** Guards against calling on without end while the platform refuses everything. */
    @Test
    void roundEndsAfterAFewRefusals() {
        ScalingTerms terms =
                new ScalingTerms(
                        1,
                        20,
                        Duration.ofSeconds(4),
                        0.2,
                        Map.of("a", 1.0, "b", 1.0, "c", 1.0, "d", 1.0, "e", 1.0),
                        32);
        configure(Optional.of(terms));
        mScaler.updateEndpoints(servers(12, 0));
        mClock.advance(Duration.ofSeconds(6));
        mClient.answer(DutyResult.CONFLICT);
        seconds(1);
        assertThat(mClient.mOrders, hasSize(3));
    }

    /** Guards against orders after another holder has been seen by the platform. */
    @Test
    void conflictOfGiveBackStopsOrders() {
        start();
        mScaler.updateEndpoints(servers(12, 12));
        mClient.answer(DutyResult.CONFLICT);
        seconds(1);
        int orders = mClient.mOrders.size();
        assertThat(mClient.mOrders.get(orders - 1).isReclaimable(), is(false));
        mClient.answer(DutyResult.ACCEPTED);
        seconds(9);
        assertThat(mClient.mOrders, hasSize(orders));
    }

    /** Guards against a second plan for roles beside that for servers. */
    @Test
    void rolesFollowTheServersThatAreThere() {
        start();
        seconds(1);
        assertThat(mRoleRequests, empty());
        // The new servers are all decode engines.
        List<EndpointDescription> servers = new ArrayList<>(servers(12, 0));
        for (EndpointDescription server : servers(12, 24)) {
            if (server.isReclaimable() && server.role() == EndpointRole.DECODE) {
                servers.add(server);
            }
        }
        mScaler.updateEndpoints(servers);
        seconds(1);
        assertThat(mRoleRequests, is(List.of(EndpointRole.PREFILL)));
    }

    /**
     * Guards against counting on servers that were ordered in a domain whose reclaimable ones the
     * platform takes away meanwhile, without saying for how long they stay.
     */
    @Test
    void orderInADomainThatIsTakenAwayIsReplacedAtOnce() {
        start();
        seconds(1);
        assertThat(mClient.mOrders, hasSize(3));
        mClient.mOrders.clear();
        List<EndpointDescription> servers = servers(6, 1);
        servers.replaceAll(server -> server.isReclaimable() ? server.asLeaving() : server);
        mScaler.updateEndpoints(servers);
        seconds(1);
        assertThat(mClient.mOrders, not(empty()));
        assertThat(
                mClient.mOrders.stream()
                        .filter(ServerOrder::isReclaimable)
                        .map(ServerOrder::failureDomain)
                        .toList(),
                not(hasItem("a")));
    }

    /** Guards against avoiding a domain of which a single server is replaced. */
    @Test
    void singleServerThatLeavesDoesNotEndOrdersInItsDomain() {
        start();
        seconds(1);
        mClient.mOrders.clear();
        List<EndpointDescription> servers = servers(6, 6);
        servers.set(6, servers.get(6).asLeaving());
        mScaler.updateEndpoints(servers);
        assertThat(mScaler.unavailablePools("models"), is(0));
    }
}
