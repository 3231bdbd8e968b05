package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;
import org.sesamedeck.request.PhaseObserver;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.routing.PhaseBalance;

/** Observes the phase balance of each service's requests and requests role changes of engines. */
final class RoleAdvisor implements PhaseObserver {
    private final Clock mClock;
    private final DecisionLog mLog;
    private final BiConsumer<String, EndpointRole> mDesiredRoleListener;
    private final Map<String, PhaseBalance> mBalances = new HashMap<>();

    /**
     * Creates an advisor.
     *
     * @param desiredRoleListener receives the service and the role of which one more engine is
     *     needed
     */
    RoleAdvisor(
            Clock clock, DecisionLog log, BiConsumer<String, EndpointRole> desiredRoleListener) {
        mClock = clock;
        mLog = log;
        mDesiredRoleListener = desiredRoleListener;
    }

    @Override
    public void promptProcessed(String service, int promptTokens, Duration duration) {
        balance(service).promptProcessed(promptTokens, duration);
    }

    @Override
    public void streamCompleted(
            String service, Duration tokenInterval, Duration tokenIntervalTarget) {
        balance(service).recordTokenInterval(tokenInterval, tokenIntervalTarget);
    }

    private PhaseBalance balance(String service) {
        return mBalances.computeIfAbsent(service, name -> PhaseBalance.create(mClock));
    }

    /** Checks all services; called once a second. */
    void check() {
        mBalances.forEach(
                (service, balance) ->
                        balance.neededRole()
                                .ifPresent(
                                        role -> {
                                            mLog.record(
                                                    LogEntry.of(
                                                                    Decision.ROLE_WISHED,
                                                                    mClock.nanoTime())
                                                            .with("service", service)
                                                            .with("role", role)
                                                            .with(
                                                                    "promptWaitMillis",
                                                                    balance.promptWait().toMillis())
                                                            .with(
                                                                    "pausePart",
                                                                    balance
                                                                            .meanTokenIntervalRatio()));
                                            mDesiredRoleListener.accept(service, role);
                                        }));
    }
}
