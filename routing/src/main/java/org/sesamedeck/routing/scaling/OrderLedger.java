package org.sesamedeck.routing.scaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.Clock;

/**
 * Remembers the orders of one service whose effect the endpoint table does not show yet, and the
 * pools in which no servers were available. Not thread-safe.
 *
 * <p>An order without an answer may be carried out seconds later, and one that was accepted may be
 * undone by such a late one. An order therefore counts for its settling time only; after it, what
 * the endpoint table shows is taken as it is, and the planner orders again if that is not enough.
 * Servers that an order without an answer gives back are not relied on for longer, since they may
 * still be taken away.
 */
public final class OrderLedger {
    /** Time until a server's entry in the endpoint table reaches this process. */
    private static final Duration TABLE_LAG = Duration.ofSeconds(3);

    /** Time within which a call without an answer may still be carried out. */
    private static final Duration DOUBT_TIME = Duration.ofSeconds(10);

    private static final Duration FIRST_REFUSAL_TIME = Duration.ofSeconds(5);
    private static final Duration LONGEST_REFUSAL_TIME = Duration.ofSeconds(40);

    private final Clock mClock;
    private final Map<ServerPool, Order> mOrders = new HashMap<>();
    private final Map<ServerPool, Refusal> mRefusals = new HashMap<>();

    /**
     * An order that may not show its effect yet.
     *
     * @param previous the order before, which stands if this one is refused
     */
    private record Order(
            int count, boolean isGrowth, long visibleAtNanos, Optional<Order> previous) {
        Order withoutPrevious() {
            return new Order(count, isGrowth, visibleAtNanos, Optional.empty());
        }
    }

    /** A time in which a pool is not asked for more servers. */
    private record Refusal(Duration time, long endsAtNanos) {}

    private OrderLedger(Clock clock) {
        mClock = clock;
    }

    /** Returns an empty ledger. */
    public static OrderLedger create(Clock clock) {
        return new OrderLedger(clock);
    }

    /**
     * Records an order that is about to be sent.
     *
     * @param present servers that the pool had when the order was planned
     */
    public void ordered(ServerPool pool, int count, int present, Duration startTime) {
        boolean isGrowth = count > present;
        Duration delay = isGrowth ? startTime.plus(TABLE_LAG) : TABLE_LAG;
        Optional<Order> previous = order(pool).map(Order::withoutPrevious);
        mOrders.put(
                pool, new Order(count, isGrowth, mClock.nanoTime() + delay.toNanos(), previous));
    }

    /**
     * Records that the last order of a pool has no answer. One to give servers back may be carried
     * out seconds later, while the endpoint table still shows these servers.
     */
    public void unanswered(ServerPool pool) {
        order(pool)
                .filter(order -> !order.isGrowth())
                .ifPresent(
                        order ->
                                mOrders.put(
                                        pool,
                                        new Order(
                                                order.count(),
                                                false,
                                                mClock.nanoTime() + DOUBT_TIME.toNanos(),
                                                Optional.empty())));
    }

    /** Records that an order was accepted, which ends the memory of refusals. */
    public void accepted(ServerPool pool) {
        mRefusals.remove(pool);
    }

    /** Records that an order was certainly not carried out. */
    public void notOrdered(ServerPool pool) {
        restorePrevious(pool);
    }

    private void restorePrevious(ServerPool pool) {
        Order refused = mOrders.remove(pool);
        if (refused != null) {
            refused.previous().ifPresent(order -> mOrders.put(pool, order));
        }
    }

    /** Records that no servers are available; each refusal in a row doubles the time. */
    public void refused(ServerPool pool) {
        restorePrevious(pool);
        Duration time =
                Optional.ofNullable(mRefusals.get(pool))
                        .map(refusal -> refusal.time().multipliedBy(2))
                        .orElse(FIRST_REFUSAL_TIME);
        refuseFor(pool, time.compareTo(LONGEST_REFUSAL_TIME) > 0 ? LONGEST_REFUSAL_TIME : time);
    }

    /** Records that the platform takes the servers of a pool away: it has none to spare there. */
    public void reclaimed(ServerPool pool) {
        if (isUnavailable(pool) || isShrinking(pool)) {
            return;
        }
        mOrders.remove(pool);
        refuseFor(pool, FIRST_REFUSAL_TIME);
    }

    private void refuseFor(ServerPool pool, Duration time) {
        mRefusals.put(pool, new Refusal(time, mClock.nanoTime() + time.toNanos()));
    }

    /** Returns whether the pool refused an order a short time ago. */
    public boolean isUnavailable(ServerPool pool) {
        Refusal refusal = mRefusals.get(pool);
        return refusal != null && refusal.endsAtNanos() - mClock.nanoTime() > 0;
    }

    /** Returns the pools that refused an order a short time ago. */
    public Set<ServerPool> unavailable() {
        Set<ServerPool> pools = new HashSet<>(mRefusals.keySet());
        pools.removeIf(pool -> !isUnavailable(pool));
        return pools;
    }

    /** Returns the pools with an order whose effect may not show yet. */
    public Set<ServerPool> pending() {
        Set<ServerPool> pools = new HashSet<>(mOrders.keySet());
        pools.removeIf(pool -> order(pool).isEmpty());
        return pools;
    }

    private boolean isShrinking(ServerPool pool) {
        return order(pool).filter(order -> !order.isGrowth()).isPresent();
    }

    /** Returns how many servers the pool will have, those that are starting included. */
    public int expected(ServerPool pool, int present) {
        return order(pool)
                .map(order -> order.isGrowth() ? Math.max(present, order.count()) : order.count())
                .orElse(present);
    }

    /** Returns how many of the servers that are present will stay. */
    public int staying(ServerPool pool, int present) {
        return order(pool).map(order -> Math.min(present, order.count())).orElse(present);
    }

    private Optional<Order> order(ServerPool pool) {
        return Optional.ofNullable(mOrders.get(pool))
                .filter(order -> order.visibleAtNanos() - mClock.nanoTime() > 0);
    }
}
