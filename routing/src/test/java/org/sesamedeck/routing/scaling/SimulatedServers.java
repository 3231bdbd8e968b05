package org.sesamedeck.routing.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.PhaseLoad;

/** A service whose servers the planner orders once a second, with a load that the test sets. */
final class SimulatedServers {
    static final List<String> DOMAINS = List.of("a", "b", "c", "d", "e", "f");
    static final ScalingTerms TERMS =
            new ScalingTerms(
                    1,
                    21,
                    Duration.ofSeconds(4),
                    0.2,
                    Map.of("a", 0.85, "b", 1.2, "c", 1.0, "d", 1.1, "e", 0.85, "f", 1.2),
                    32);
    private static final Duration TARGET_LATENCY = Duration.ofMillis(250);

    private final ManualClock mClock;
    private final ScalingTerms mTerms;
    private final List<Server> mServers = new ArrayList<>();
    private final List<LateOrder> mLateOrders = new ArrayList<>();
    private final Set<ServerPool> mUnavailable = new HashSet<>();
    private OrderLedger mLedger;
    private ServerNeedEstimator mEstimator;
    private boolean mLosesAnswers;
    private int mOrders;
    private int mGivenBack;
    private int mNames;

    /** One server. */
    private static final class Server {
        private final String mName;
        private final ServerPool mPool;
        private final EndpointRole mRole;
        private final long mServesAtNanos;

        Server(String name, ServerPool pool, EndpointRole role, long servesAtNanos) {
            mName = name;
            mPool = pool;
            mRole = role;
            mServesAtNanos = servesAtNanos;
        }
    }

    /** An order that is carried out later than it was sent. */
    private record LateOrder(ServerPool pool, int count, long atNanos) {}

    SimulatedServers(ManualClock clock, ScalingTerms terms, int ordinaryPerDomain) {
        mClock = clock;
        mTerms = terms;
        changeHolder();
        for (String domain : terms.domainPrices().keySet().stream().sorted().toList()) {
            for (int i = 0; i < ordinaryPerDomain; i++) {
                add(new ServerPool(domain, false), clock.nanoTime());
            }
        }
    }

    /** Another process decides from now on; it knows nothing of orders and has its own samples. */
    void changeHolder() {
        mLedger = OrderLedger.create(mClock);
        mEstimator = ServerNeedEstimator.create(mClock);
    }

    private void add(ServerPool pool, long servesAtNanos) {
        EndpointRole role = mNames % 3 == 0 ? EndpointRole.PREFILL : EndpointRole.DECODE;
        mServers.add(new Server("server-" + ++mNames, pool, role, servesAtNanos));
    }

    ServerCounts counts() {
        List<EndpointDescription> endpoints =
                mServers.stream()
                        .filter(server -> server.mServesAtNanos - mClock.nanoTime() <= 0)
                        .map(SimulatedServers::describe)
                        .toList();
        return ServerCounts.of(endpoints, "models");
    }

    private static EndpointDescription describe(Server server) {
        return new EndpointDescription(
                server.mName,
                HostAddress.of("10.0.0.1", 80),
                "models",
                server.mPool.failureDomain(),
                "region",
                true,
                false,
                false,
                server.mRole,
                Set.of(),
                server.mPool.isReclaimable(),
                Optional.empty(),
                Optional.empty());
    }

    /** Lets a second pass under the given load and carries out what the planner orders. */
    ServerPlan second(double busyPrefillEngines, double responses) {
        for (int i = 0; i < 5; i++) {
            mClock.advance(Duration.ofMillis(200));
            mEstimator.observeServers(counts());
            mEstimator.observeLoad(
                    new PhaseLoad(busyPrefillEngines, 0, responses, Double.POSITIVE_INFINITY),
                    mTerms,
                    counts(),
                    TARGET_LATENCY);
        }
        carryOutLateOrders();
        if (!mEstimator.isKnown()) {
            return new ServerPlan(mEstimator.need(mTerms), 0, 0, List.of());
        }
        ServerPlan plan = ServerPlanner.plan(mTerms, mLedger, mEstimator.need(mTerms), counts());
        plan.orders().forEach(this::order);
        return plan;
    }

    private void order(ServerPlan.PoolOrder order) {
        mOrders++;
        if (order.count() > order.present() && mUnavailable.contains(order.pool())) {
            mLedger.refused(order.pool());
            return;
        }
        mLedger.ordered(order.pool(), order.count(), order.present(), mTerms.startTime());
        if (mLosesAnswers) {
            mLedger.unanswered(order.pool());
            long late = mClock.nanoTime() + Duration.ofSeconds(6).toNanos();
            mLateOrders.add(new LateOrder(order.pool(), order.count(), late));
        } else {
            carryOut(order.pool(), order.count());
        }
    }

    private void carryOutLateOrders() {
        List<LateOrder> due =
                mLateOrders.stream()
                        .filter(order -> order.atNanos() - mClock.nanoTime() <= 0)
                        .toList();
        mLateOrders.removeAll(due);
        due.forEach(order -> carryOut(order.pool(), order.count()));
    }

    private void carryOut(ServerPool pool, int count) {
        List<Server> present =
                mServers.stream().filter(server -> server.mPool.equals(pool)).toList();
        for (int i = present.size(); i < count; i++) {
            add(pool, mClock.nanoTime() + mTerms.startTime().toNanos());
        }
        for (int i = count; i < present.size(); i++) {
            mServers.remove(present.get(i));
            mGivenBack++;
        }
    }

    /** The platform takes all reclaimable servers of a domain away and has none there. */
    void reclaim(String domain) {
        ServerPool pool = new ServerPool(domain, true);
        mServers.removeIf(server -> server.mPool.equals(pool));
        mUnavailable.add(pool);
        mLedger.reclaimed(pool);
    }

    /** Ordinary servers of a domain end, at most the given number. */
    void loseOrdinary(String domain, int count) {
        List<Server> lost =
                mServers.stream()
                        .filter(server -> server.mPool.equals(new ServerPool(domain, false)))
                        .limit(count)
                        .toList();
        mServers.removeAll(lost);
    }

    void setUnavailable(ServerPool pool, boolean isUnavailable) {
        if (isUnavailable) {
            mUnavailable.add(pool);
        } else {
            mUnavailable.remove(pool);
        }
    }

    void loseAnswers(boolean value) {
        mLosesAnswers = value;
    }

    int largestReclaimable() {
        ServerCounts counts = counts();
        return mTerms.domainPrices().keySet().stream()
                .mapToInt(domain -> counts.in(new ServerPool(domain, true)))
                .max()
                .orElse(0);
    }

    int orders() {
        return mOrders;
    }

    int givenBack() {
        return mGivenBack;
    }
}
