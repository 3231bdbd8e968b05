package org.sesamedeck.gateway.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamedeck.gateway.duty.SimulatedDutyPlatform.Fate;
import org.sesamedeck.platform.CallKind;
import org.sesamedeck.platform.StoreFault;

/**
 * Runs three processes through all combinations of two faults: of the writes of the holder and its
 * successor, of the calls to the platform, and of the process that holds the duties. The platform
 * notes two different reports for one window, two holders with one fencing number, lower fencing
 * numbers and holders that take turns within the lease.
 */
class DutyInterleavingsTest {
    private static final int MAX_FAULTS = 2;
    private static final Duration EXPLORED_TIME = Duration.ofSeconds(9);
    private static final Duration STEP = Duration.ofMillis(900);
    private static final Duration TICK = Duration.ofMillis(90);
    private static final Duration FAULT_TIME = Duration.ofSeconds(6);

    /** What happens to the process that holds the duties. */
    private enum HostFault {
        NONE,
        FREEZE,
        SUSPEND,
        KILL,
        CUT_FROM_STORE,
        STOP,
        FREEZE_ANOTHER
    }

    /** What happens to one write, or to its process while it waits for the response. */
    private enum WriteFate {
        ANSWERED(StoreFault.NONE),
        LOST_BEFORE_EFFECT(StoreFault.LOST_BEFORE_EFFECT),
        LOST_AFTER_EFFECT(StoreFault.LOST_AFTER_EFFECT),
        LATE_EFFECT(StoreFault.LATE_EFFECT),
        FROZEN_MEANWHILE(StoreFault.NONE),
        SUSPENDED_MEANWHILE(StoreFault.NONE);

        private final StoreFault mFault;

        WriteFate(StoreFault fault) {
            mFault = fault;
        }
    }

    private static final List<Fate> FATES =
            List.of(
                    Fate.ANSWERED,
                    Fate.LOST_BEFORE_EFFECT,
                    Fate.LOST_AFTER_EFFECT,
                    Fate.LATE_EFFECT);

    /** Guards against each broken rule of the duties, and against windows that are not reported. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noCombinationOfTwoFaultsBreaksRule(boolean checksFences) {
        int runs = new ChoiceExplorer(MAX_FAULTS).explore(choices -> run(choices, checksFences));
        assertThat(runs, greaterThan(1_000));
    }

    private static void run(ChoiceExplorer.Choices choices, boolean checksFences) {
        SimulatedFleet fleet = new SimulatedFleet(3, checksFences, 1);
        fleet.advance(Duration.ofMillis(11_316));
        boolean[] isExploring = {true};
        fleet.members().forEach(member -> chooseStoreFaults(fleet, member, choices, isExploring));
        fleet.platform()
                .setFates(
                        call ->
                                isExploring[0]
                                        ? choices.choose("call " + call, FATES)
                                        : Fate.ANSWERED);
        for (long at = 0; at < EXPLORED_TIME.toMillis(); at += STEP.toMillis()) {
            apply(
                    choices.choose("holder at " + at, List.of(HostFault.values())),
                    fleet,
                    choices,
                    isExploring);
            fleet.serve(STEP, TICK, 2);
        }
        isExploring[0] = false;
        fleet.serve(Duration.ofSeconds(12), TICK, 2);
        fleet.advance(Duration.ofSeconds(22));
        assertThat(choices.toString(), fleet.platform().broken(), empty());
        List<Long> missing =
                fleet.truth().keySet().stream()
                        .filter(window -> !fleet.platform().reports().containsKey(window))
                        .toList();
        assertThat(choices.toString(), missing, empty());
    }

    private static void chooseStoreFaults(
            SimulatedFleet fleet,
            SimulatedFleet.Member member,
            ChoiceExplorer.Choices choices,
            boolean[] isExploring) {
        member.host()
                .fakeStore()
                .setFaults(
                        kind -> {
                            if (kind != CallKind.UPDATE || !isExploring[0]) {
                                return StoreFault.NONE;
                            }
                            WriteFate fate =
                                    choices.choose(
                                            "write of " + member.name(),
                                            List.of(WriteFate.values()));
                            if (fate == WriteFate.FROZEN_MEANWHILE) {
                                freeze(fleet, member.host());
                            } else if (fate == WriteFate.SUSPENDED_MEANWHILE) {
                                suspend(fleet, member.host());
                            }
                            return fate.mFault;
                        });
    }

    private static void freeze(SimulatedFleet fleet, SimulatedHost host) {
        host.freeze();
        fleet.scheduler().schedule(FAULT_TIME, host::resume);
    }

    private static void suspend(SimulatedFleet fleet, SimulatedHost host) {
        host.suspend();
        fleet.scheduler().schedule(FAULT_TIME, host::resume);
    }

    private static void apply(
            HostFault fault,
            SimulatedFleet fleet,
            ChoiceExplorer.Choices choices,
            boolean[] isExploring) {
        Optional<SimulatedFleet.Member> holder = fleet.findHolder();
        if (fault == HostFault.NONE || holder.isEmpty()) {
            return;
        }
        SimulatedFleet.Member member = holder.get();
        SimulatedHost host = member.host();
        switch (fault) {
            case FREEZE -> freeze(fleet, host);
            case SUSPEND -> suspend(fleet, host);
            case FREEZE_ANOTHER ->
                    fleet.members().stream()
                            .filter(other -> other != member && other.host().isRunning())
                            .findFirst()
                            .ifPresent(other -> freeze(fleet, other.host()));
            case CUT_FROM_STORE -> {
                host.fakeStore().setUnavailable(true);
                fleet.scheduler()
                        .schedule(FAULT_TIME, () -> host.fakeStore().setUnavailable(false));
            }
            case STOP -> {
                member.duties().stop();
                fleet.scheduler()
                        .schedule(
                                Duration.ofSeconds(4),
                                () -> restart(fleet, member, choices, isExploring));
            }
            default -> {
                host.kill();
                fleet.scheduler()
                        .schedule(
                                Duration.ofSeconds(1),
                                () -> restart(fleet, member, choices, isExploring));
            }
        }
    }

    private static void restart(
            SimulatedFleet fleet,
            SimulatedFleet.Member member,
            ChoiceExplorer.Choices choices,
            boolean[] isExploring) {
        member.duties().flush();
        member.host().kill();
        chooseStoreFaults(fleet, fleet.add(member.name()), choices, isExploring);
    }
}
