package org.sesamedeck.gateway.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.gateway.DutyClient;
import org.sesamedeck.gateway.DutyHolder;
import org.sesamedeck.gateway.DutyResult;
import org.sesamedeck.gateway.DutyRight;
import org.sesamedeck.gateway.MetricsText;
import org.sesamedeck.gateway.ServerOrder;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.ServiceDescription;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.scaling.ServerPlan;

/**
 * Orders servers from the platform and gives them back, and has engines change their role, on the
 * process that holds the duties. Confined to the control thread.
 *
 * <p>The right is confirmed in the store before each round of orders and checked again before each
 * order. Orders are sent one after the other. A round goes on after a few refusals, since a domain
 * may have no servers, and ends with any other failure. An order without an answer may still be
 * carried out, so it is recorded like one that was accepted, and what the endpoint table shows
 * later decides.
 *
 * <p>Services with fixed numbers of servers are left alone.
 */
public final class ServerScaler {
    /** Interval at which {@link #sample} is called. */
    public static final Duration SAMPLE_INTERVAL = Duration.ofMillis(200);

    /** Interval at which {@link #plan} is called. */
    public static final Duration PLAN_INTERVAL = Duration.ofSeconds(1);

    /** Pause after an order that the platform did not answer or did not take. */
    private static final Duration PAUSE = Duration.ofSeconds(2);

    /** Pause after a conflict that only another holder of the duties explains. */
    private static final Duration CONFLICT_PAUSE = Duration.ofSeconds(10);

    /** Bounds the calls to the platform, which accepts a limited number a second in all. */
    private static final int MAX_ORDERS_PER_ROUND = 12;

    /** Several domains may have no servers; more refusals may be due to another holder. */
    private static final int MAX_REFUSALS_PER_ROUND = 3;

    private static final Duration DEFAULT_TARGET_LATENCY = Duration.ofSeconds(1);

    private final Clock mClock;
    private final Router mRouter;
    private final DutyHolder mHolder;
    private final DutyClient mClient;
    private final RoleChanger mRoleChanger;
    private final DecisionLog mLog;
    private final Map<String, ScaledService> mServices = new TreeMap<>();
    private List<EndpointDescription> mEndpoints = List.of();
    private long mConfigurationVersion = Long.MIN_VALUE;
    private int mProcesses = 1;
    private IntSupplier mHeardProcesses = () -> mProcesses;
    private boolean mIsOrdering;
    private Optional<Long> mPausedUntilNanos = Optional.empty();

    /** Changes the role of one engine. */
    public interface RoleChanger {
        /**
         * Requests one more engine of a role.
         *
         * @return whether the request is being carried out
         */
        boolean requestRole(String service, EndpointRole role, List<EndpointDescription> engines);
    }

    /** The orders that are sent on one right. */
    private static final class Round {
        private final Queue<Step> mSteps;
        private final DutyRight mRight;
        private int mOrders;
        private int mRefusals;

        Round(Queue<Step> steps, DutyRight right) {
            mSteps = steps;
            mRight = right;
        }

        boolean isOver() {
            return mSteps.isEmpty()
                    || mOrders == MAX_ORDERS_PER_ROUND
                    || mRefusals == MAX_REFUSALS_PER_ROUND;
        }
    }

    /** An order of a round. */
    private record Step(ScaledService service, ServerPlan.PoolOrder order) {}

    private ServerScaler(
            Clock clock,
            Router router,
            DutyHolder holder,
            DutyClient client,
            RoleChanger roleChanger,
            DecisionLog log) {
        mClock = clock;
        mRouter = router;
        mHolder = holder;
        mClient = client;
        mRoleChanger = roleChanger;
        mLog = log;
    }

    /** Returns a scaler without services. */
    public static ServerScaler create(
            Clock clock,
            Router router,
            DutyHolder holder,
            DutyClient client,
            RoleChanger roleChanger,
            DecisionLog log) {
        return new ServerScaler(clock, router, holder, client, roleChanger, log);
    }

    /**
     * Takes the terms of a configuration that is newer than the last one. A service of plain
     * endpoints is left alone: how many requests one of them processes at once is not configured.
     */
    public void configure(ServingConfiguration configuration) {
        if (configuration.version() <= mConfigurationVersion) {
            return;
        }
        mConfigurationVersion = configuration.version();
        Collection<ServiceDescription> services = configuration.services();
        mServices
                .keySet()
                .retainAll(
                        services.stream()
                                .filter(ServerScaler::isScalable)
                                .map(ServiceDescription::name)
                                .toList());
        for (ServiceDescription service : services) {
            if (isScalable(service)) {
                configure(
                        service,
                        configuration
                                .shortestTargetLatency(service.name())
                                .orElse(DEFAULT_TARGET_LATENCY));
            }
        }
    }

    private static boolean isScalable(ServiceDescription service) {
        return service.isEngine()
                && service.scalingTerms().filter(terms -> terms.concurrency() > 0).isPresent();
    }

    private void configure(ServiceDescription description, Duration targetLatency) {
        ScaledService service = mServices.get(description.name());
        if (service == null) {
            service =
                    new ScaledService(
                            mClock,
                            description.name(),
                            description.scalingTerms().orElseThrow(),
                            targetLatency);
            service.updateEndpoints(mEndpoints);
            mServices.put(description.name(), service);
        } else {
            service.configure(description.scalingTerms().orElseThrow(), targetLatency);
        }
    }

    /** Returns whether the servers and roles of a service are planned here. */
    public boolean manages(String service) {
        return mServices.containsKey(service);
    }

    /** Returns the number of pools of a service that have refused orders or were taken away. */
    int unavailablePools(String service) {
        return mServices.get(service).ledger().unavailable().size();
    }

    /** Replaces the list of endpoints. */
    public void updateEndpoints(List<EndpointDescription> endpoints) {
        mEndpoints = endpoints;
        mServices.values().forEach(service -> service.updateEndpoints(endpoints));
    }

    /** Sets the number of processes that send work, including this one. */
    public void updateProcesses(int processes) {
        mProcesses = processes;
    }

    /** Sets what tells the number of processes whose load is known, including this one. */
    public void setHeardProcesses(IntSupplier heardProcesses) {
        mHeardProcesses = heardProcesses;
    }

    /** Measures the load; every process does so. */
    public void sample() {
        int heard = mHeardProcesses.getAsInt();
        mServices.values().forEach(service -> service.sample(mRouter, mProcesses, heard));
    }

    /** Plans and starts a round of orders if this process holds the duties. */
    public void plan() {
        if (mIsOrdering || isPaused() || !mHolder.isHolder()) {
            return;
        }
        Queue<Step> steps = new ArrayDeque<>();
        List<Runnable> plans = new ArrayList<>();
        for (ScaledService service : mServices.values()) {
            if (!service.isKnown()) {
                continue;
            }
            changeRole(service);
            ServerPlan plan = service.plan();
            if (!plan.orders().isEmpty()) {
                plans.add(() -> logPlan(service, plan));
            }
            plan.orders().forEach(order -> steps.add(new Step(service, order)));
        }
        if (steps.isEmpty()) {
            return;
        }
        mIsOrdering = true;
        mHolder.confirm()
                .whenComplete(
                        (right, failure) -> {
                            if (failure != null || right.isEmpty()) {
                                mIsOrdering = false;
                            } else {
                                plans.forEach(Runnable::run);
                                sendNext(new Round(steps, right.get()));
                            }
                        });
    }

    private boolean isPaused() {
        return mPausedUntilNanos.map(until -> until - mClock.nanoTime() > 0).orElse(false);
    }

    private void pause(Duration time) {
        mPausedUntilNanos = Optional.of(mClock.nanoTime() + time.toNanos());
    }

    /** Has at most one engine change its role: it refuses work for seconds meanwhile. */
    private void changeRole(ScaledService service) {
        service.neededRole()
                .filter(
                        role ->
                                mRoleChanger.requestRole(
                                        service.name(), role, service.roleCandidates(mRouter)))
                .ifPresent(role -> service.roleRequested(mRouter, role));
    }

    private void sendNext(Round round) {
        if (round.isOver() || !mHolder.isUsable(round.mRight)) {
            mIsOrdering = false;
            return;
        }
        Step step = round.mSteps.remove();
        round.mOrders++;
        ServerPlan.PoolOrder order = step.order();
        step.service()
                .ledger()
                .ordered(
                        order.pool(),
                        order.count(),
                        order.present(),
                        step.service().terms().startTime());
        ServerOrder call =
                new ServerOrder(
                        step.service().name(),
                        order.pool().failureDomain(),
                        order.pool().isReclaimable(),
                        order.count());
        mClient.orderServers(call, round.mRight)
                .whenComplete(
                        (result, failure) -> {
                            boolean mayContinue =
                                    failure == null
                                            ? answered(step, round, result)
                                            : failed(step, round.mRight, failure);
                            if (mayContinue) {
                                sendNext(round);
                            } else {
                                mIsOrdering = false;
                            }
                        });
    }

    /** Records the answer to an order and returns whether the round goes on. */
    private boolean answered(Step step, Round round, DutyResult result) {
        mLog.record(entry(Decision.SERVERS_ORDERED, step, round.mRight).with("result", result));
        switch (result) {
            case ACCEPTED -> {
                step.service().ledger().accepted(step.order().pool());
                return true;
            }
            case CONFLICT -> {
                step.service().ledger().refused(step.order().pool());
                round.mRefusals++;
                // Servers can always be given back, so the platform has seen another holder.
                boolean isGiveBack = step.order().count() < step.order().present();
                if (isGiveBack) {
                    pause(CONFLICT_PAUSE);
                }
                return !isGiveBack;
            }
            default -> {
                step.service().ledger().notOrdered(step.order().pool());
                pause(PAUSE);
                return false;
            }
        }
    }

    private boolean failed(Step step, DutyRight right, Throwable failure) {
        step.service().ledger().unanswered(step.order().pool());
        mLog.record(
                entry(Decision.SERVERS_IN_DOUBT, step, right)
                        .with("cause", String.valueOf(SesamedeckException.from(failure))));
        pause(PAUSE);
        return false;
    }

    private LogEntry entry(Decision decision, Step step, DutyRight right) {
        return LogEntry.of(decision, mClock.nanoTime())
                .with("service", step.service().name())
                .with("failureDomain", step.order().pool().failureDomain())
                .with("isReclaimable", step.order().pool().isReclaimable())
                .with("present", step.order().present())
                .with("count", step.order().count())
                .with("fencingNumber", right.fencingNumber());
    }

    private void logPlan(ScaledService service, ServerPlan plan) {
        mLog.record(
                LogEntry.of(Decision.SERVERS_PLANNED, mClock.nanoTime())
                        .with("service", service.name())
                        .with("neededForPrompts", plan.need().prefill())
                        .with("neededForResponses", plan.need().decode())
                        .with("isLoadKnown", plan.need().isLoadKnown())
                        .with("serving", plan.serving())
                        .with("expected", plan.expected())
                        .with("reclaimable", service.counts().reclaimable())
                        .with("prefill", service.counts().of(EndpointRole.PREFILL))
                        .with("decode", service.counts().of(EndpointRole.DECODE))
                        .with("unavailable", service.ledger().unavailable().size())
                        .with("orders", plan.orders().size()));
    }

    /** Adds the number of servers by service in the Prometheus text format. */
    public void write(MetricsText text) {
        for (ScaledService service : mServices.values()) {
            String name = service.name();
            text.value("sesamedeck_servers_serving", "service", name, service.counts().total());
            text.value(
                    "sesamedeck_servers_reclaimable",
                    "service",
                    name,
                    service.counts().reclaimable());
            text.value("sesamedeck_servers_needed", "service", name, service.need().total());
        }
    }
}
