package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.locality.HostLocation;
import org.sesamedeck.routing.locality.LinkCost;
import org.sesamedeck.routing.locality.LocalitySettings;

/**
 * Simulates routers of several processes in six failure domains of three regions, in front of
 * engines that process one prompt after the other. Processes learn the load of each other 0.2 to
 * 0.6 s late, and a request to another domain or region arrives later and costs bytes.
 */
final class LocalityFleet {
    static final int DOMAINS = 6;

    private static final int ENGINES = 4;
    private static final long PROMPT_TOKENS = 2_000;
    private static final double PREFILL_NANOS_PER_TOKEN = 20_000;
    private static final double WORK_MILLIS = PROMPT_TOKENS * PREFILL_NANOS_PER_TOKEN / 1e6;
    private static final double DOMAIN_CAPACITY_PER_MILLI = ENGINES / WORK_MILLIS;
    private static final long TARGET_MILLIS = 600;
    private static final double DOMAIN_ONE_WAY_MILLIS = 1;
    private static final double REGION_ONE_WAY_MILLIS = 10;
    private static final long EXCHANGE_MILLIS = 200;
    private static final int MAX_DELAY_ROUNDS = 3;
    private static final long WINDOW_MILLIS = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ManualClock mClock = ManualClock.create();
    private final SplittableRandom mRandom;
    private final List<DefaultRouter> mRouters = new ArrayList<>();
    private final List<EndpointDescription> mDescriptions = new ArrayList<>();
    private final Map<String, Engine> mEngines = new HashMap<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final ArrayDeque<List<List<EndpointLoad>>> mLoads = new ArrayDeque<>();
    private final List<int[][]> mFlows = new ArrayList<>();
    private final List<Double> mShares = new ArrayList<>();
    private final int[] mArrived = new int[DOMAINS];
    private final int[] mOnTime = new int[DOMAINS];
    private boolean mExchangesLoads = true;
    private double mLatencySum;
    private long mMillis;

    /** Load of each domain as a part of its capacity. */
    interface Load {
        double at(int domain, long millis);
    }

    private record Event(double millis, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Double.compare(millis, other.millis);
        }
    }

    private static final class Engine {
        private final int mDomain;
        private double mFreeAtMillis;

        Engine(int domain) {
            mDomain = domain;
        }
    }

    /** Creates a fleet that weighs domains, or one that routes as without them. */
    LocalityFleet(int processes, boolean weighsDomains, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int domain = 0; domain < DOMAINS; domain++) {
            for (int i = 0; i < ENGINES; i++) {
                String name = "engine-" + domain + "-" + i;
                mEngines.put(name, new Engine(domain));
                mDescriptions.add(description(name, domain));
            }
        }
        for (int i = 0; i < processes; i++) {
            RouterSettings settings =
                    RouterSettings.defaults(region(i % DOMAINS))
                            .withBytesPerToken(1)
                            .withSpeed(PREFILL_NANOS_PER_TOKEN, 35e6);
            DefaultRouter router =
                    DefaultRouter.create(
                            mClock,
                            weighsDomains ? settings.withLocality(locality(i % DOMAINS)) : settings,
                            "process-" + i,
                            seed * 1_000 + i);
            router.updateEndpoints(mDescriptions);
            mRouters.add(router);
        }
    }

    static LocalitySettings locality(int domain) {
        return new LocalitySettings(
                new HostLocation(domainName(domain), region(domain)),
                new LinkCost(2 * DOMAIN_ONE_WAY_MILLIS * NANOS_PER_MILLI, 100_000, 2_000),
                new LinkCost(2 * REGION_ONE_WAY_MILLIS * NANOS_PER_MILLI, 2_000_000, 15_000),
                Duration.ofSeconds(2).toNanos());
    }

    /** Domains 0 and 3, 1 and 4, 2 and 5 share a region. */
    private static String region(int domain) {
        return "region-" + domain % 3;
    }

    private static String domainName(int domain) {
        return "domain-" + domain;
    }

    private static EndpointDescription description(String name, int domain) {
        return new EndpointDescription(
                name,
                HostAddress.of("10.0.0.1", 80),
                "service",
                domainName(domain),
                region(domain),
                true,
                false,
                false,
                EndpointRole.MIXED,
                Set.of("service"));
    }

    void stopExchange() {
        mExchangesLoads = false;
    }

    /** Removes the engines of a domain; what they have accepted is still served. */
    void loseEngines(int domain) {
        mDescriptions.removeIf(endpoint -> endpoint.failureDomain().equals(domainName(domain)));
        mRouters.forEach(router -> router.updateEndpoints(List.copyOf(mDescriptions)));
    }

    /** Runs the fleet under a load; what is still in progress at the end is not counted. */
    void run(Duration duration, Load load) {
        long end = mMillis + duration.toMillis();
        while (mMillis < end) {
            for (int domain = 0; domain < DOMAINS; domain++) {
                double expected = load.at(domain, mMillis) * DOMAIN_CAPACITY_PER_MILLI;
                while (expected > 0) {
                    if (mRandom.nextDouble() < Math.min(1, expected)) {
                        send(domain);
                    }
                    expected -= 1;
                }
            }
            mMillis++;
            mClock.advance(Duration.ofMillis(1));
            while (!mEvents.isEmpty() && mEvents.peek().millis() <= mMillis) {
                mEvents.poll().action().run();
            }
            if (mMillis % EXCHANGE_MILLIS == 0 && mExchangesLoads) {
                exchangeLoads();
                recordShare();
            }
        }
    }

    private void send(int domain) {
        int inDomain = (mRouters.size() - domain + DOMAINS - 1) / DOMAINS;
        DefaultRouter router = mRouters.get(domain + DOMAINS * mRandom.nextInt(inDomain));
        long jitter = mRandom.nextInt(1_000_000);
        RequestProfile profile =
                new RequestProfile(
                        "plan",
                        "account",
                        "service",
                        true,
                        5,
                        PROMPT_TOKENS,
                        1,
                        new long[0],
                        Set.of(),
                        mClock.nanoTime() + Duration.ofSeconds(6).toNanos() + jitter);
        Assignment assignment =
                router.choosePhase(profile, RequestPhase.PREFILL, Set.of()).orElseThrow();
        mArrived[domain]++;
        Engine engine = mEngines.get(assignment.endpoint().name());
        flows()[domain][engine.mDomain]++;
        double sentAt = mMillis;
        double oneWay = oneWayMillis(domain, engine.mDomain);
        mEvents.add(
                new Event(
                        sentAt + oneWay,
                        () -> process(assignment, engine, domain, sentAt, oneWay)));
    }

    private int[][] flows() {
        int window = (int) (mMillis / WINDOW_MILLIS);
        while (mFlows.size() <= window) {
            mFlows.add(new int[DOMAINS][DOMAINS]);
        }
        return mFlows.get(window);
    }

    private static double oneWayMillis(int from, int to) {
        if (from == to) {
            return 0;
        }
        return region(from).equals(region(to)) ? DOMAIN_ONE_WAY_MILLIS : REGION_ONE_WAY_MILLIS;
    }

    private void process(
            Assignment assignment, Engine engine, int domain, double sentAt, double oneWay) {
        engine.mFreeAtMillis = Math.max(engine.mFreeAtMillis, mMillis) + WORK_MILLIS;
        double answeredAt = engine.mFreeAtMillis + oneWay;
        mEvents.add(
                new Event(
                        answeredAt,
                        () -> {
                            assignment.firstToken();
                            assignment.succeeded(0, 0);
                            assignment.close();
                            mLatencySum += answeredAt - sentAt;
                            mOnTime[domain] += answeredAt - sentAt <= TARGET_MILLIS ? 1 : 0;
                        }));
    }

    /** Gives each process the loads that each other one had one to three rounds ago. */
    private void exchangeLoads() {
        mLoads.addFirst(mRouters.stream().map(DefaultRouter::ownLoad).toList());
        if (mLoads.size() <= MAX_DELAY_ROUNDS) {
            return;
        }
        List<List<List<EndpointLoad>>> rounds = List.copyOf(mLoads);
        List<Map<String, EndpointLoad>> bySource = new ArrayList<>();
        for (int i = 0; i < mRouters.size(); i++) {
            Map<String, EndpointLoad> totals = new HashMap<>();
            for (int j = 0; j < mRouters.size(); j++) {
                if (i != j) {
                    int age = 1 + (i * 31 + j * 17) % MAX_DELAY_ROUNDS;
                    rounds.get(age).get(j).forEach(load -> merge(totals, load));
                }
            }
            bySource.add(totals);
        }
        for (int i = 0; i < mRouters.size(); i++) {
            mRouters.get(i).updatePeerLoad(bySource.get(i));
        }
        mLoads.removeLast();
    }

    private static void merge(Map<String, EndpointLoad> loads, EndpointLoad load) {
        loads.merge(load.endpoint(), load, EndpointLoad::plus);
    }

    private void recordShare() {
        mRouters.get(0)
                .outflows()
                .ifPresent(
                        outflows ->
                                outflows.current().values().stream()
                                        .findFirst()
                                        .ifPresent(outflow -> mShares.add(outflow.share())));
    }

    /** Returns the fraction of the requests of a domain that were served within the target. */
    double onTime(int domain) {
        return (double) mOnTime[domain] / mArrived[domain];
    }

    /** Returns the fraction of all requests that were served within the target. */
    double onTime() {
        int arrived = 0;
        int onTime = 0;
        for (int domain = 0; domain < DOMAINS; domain++) {
            arrived += mArrived[domain];
            onTime += mOnTime[domain];
        }
        return (double) onTime / arrived;
    }

    /** Returns the mean latency of all requests, in milliseconds. */
    double meanLatencyMillis() {
        int arrived = 0;
        for (int count : mArrived) {
            arrived += count;
        }
        return mLatencySum / arrived;
    }

    /** Returns the fraction of the requests that went to another domain of their region. */
    double partToDomains() {
        return part((from, to) -> from != to && region(from).equals(region(to)));
    }

    /** Returns the fraction of the requests that went to another region. */
    double partToRegions() {
        return part((from, to) -> !region(from).equals(region(to)));
    }

    private interface Pair {
        boolean matches(int from, int to);
    }

    private double part(Pair pair) {
        long matching = 0;
        long all = 0;
        for (int[][] window : mFlows) {
            for (int from = 0; from < DOMAINS; from++) {
                for (int to = 0; to < DOMAINS; to++) {
                    all += window[from][to];
                    matching += pair.matches(from, to) ? window[from][to] : 0;
                }
            }
        }
        return (double) matching / all;
    }

    /**
     * Returns the fraction of the requests that were swapped: of two domains that sent requests to
     * each other within a second, the lesser number in both directions.
     */
    double swappedPart() {
        long swapped = 0;
        long all = 0;
        for (int[][] window : mFlows) {
            for (int from = 0; from < DOMAINS; from++) {
                for (int to = 0; to < DOMAINS; to++) {
                    all += window[from][to];
                    swapped += from == to ? 0 : Math.min(window[from][to], window[to][from]);
                }
            }
        }
        return (double) swapped / all;
    }

    /** Returns how often the share of domain 0 turned by more than a quarter. */
    int shareTurns() {
        int turns = 0;
        boolean rises = true;
        double extreme = 0;
        for (double share : mShares) {
            if (rises ? share >= extreme : share <= extreme) {
                extreme = share;
            } else if (Math.abs(share - extreme) > 0.25) {
                turns++;
                rises = !rises;
                extreme = share;
            }
        }
        return turns;
    }

    double maxShare() {
        return mShares.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    double lastShare() {
        return mShares.isEmpty() ? 0 : mShares.get(mShares.size() - 1);
    }

    void forEachRouter(Consumer<DefaultRouter> action) {
        mRouters.forEach(action);
    }

    @Override
    public String toString() {
        return String.format(
                "on time %.3f (domain 0 %.3f), mean %.0f ms, to domains %.3f, to regions %.3f,"
                        + " swapped %.4f, share max %.2f last %.2f turns %d",
                onTime(),
                onTime(0),
                meanLatencyMillis(),
                partToDomains(),
                partToRegions(),
                swappedPart(),
                maxShare(),
                lastShare(),
                shareTurns());
    }
}
