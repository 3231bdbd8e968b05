package org.sesamedeck.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.endpoint.command.EngineTarget;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.SimulatedProcess;
import org.sesamedeck.platform.StoreFault;
import org.sesamedeck.platform.StoredObject;

/**
 * Simulates three control processes that send commands to two engines of one group while faults are
 * injected, for two minutes of simulated time; then all faults end and the result is checked. The
 * seed determines the whole run.
 */
final class CommandSimulation {
    private static final Duration FAULT_FREE_STEP = Duration.ofMillis(500);
    private static final int FAULTY_STEPS = 240;
    private static final int FAULT_FREE_STEPS = 200;

    private final Random mRandom;
    private final ControllerFactory mFactory;
    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mScheduler, mScheduler.clock());
    private final List<SimulatedEngine> mEngines = new ArrayList<>();
    private final Map<HostAddress, SimulatedEngine> mEnginesByAddress = new HashMap<>();
    private final List<ControllerEnvironment> mEnvironments = new ArrayList<>();
    private final List<SimulatedController> mControllers = new ArrayList<>();
    private long mLastHolderNumber;
    private int mRoleCount;
    private int mNodeCount;
    private int mBurstSteps;

    private CommandSimulation(long seed, boolean checksFencing, ControllerFactory factory) {
        mRandom = new Random(seed);
        mFactory = factory;
        for (int i = 0; i < 2; i++) {
            SimulatedEngine engine = SimulatedEngine.create(mScheduler, i, checksFencing);
            mEngines.add(engine);
            mEnginesByAddress.put(engine.target().address(), engine);
        }
    }

    /** Runs a simulation and returns the violated guarantees. */
    static List<String> run(long seed, boolean checksFencing, ControllerFactory factory) {
        return new CommandSimulation(seed, checksFencing, factory).run();
    }

    private List<String> run() {
        for (int i = 0; i < 3; i++) {
            addProcess();
        }
        for (int step = 0; step < FAULTY_STEPS; step++) {
            boolean isBurst = mBurstSteps > 0;
            mBurstSteps = Math.max(0, mBurstSteps - 1);
            mScheduler.advance(Duration.ofMillis(50 + mRandom.nextInt(isBurst ? 100 : 900)));
            if (mRandom.nextInt(6) == 0) {
                injectFault();
                // Two simultaneous faults are as likely as a single one.
                if (mRandom.nextBoolean()) {
                    injectFault();
                }
            }
            if (isBurst || mRandom.nextBoolean()) {
                EngineTarget engine = mEngines.get(mRandom.nextInt(2)).target();
                mRoleCount++;
                String role = "role-" + mRoleCount;
                for (int i = 0; i < mControllers.size(); i++) {
                    setRole(i, engine, role);
                }
            }
        }
        mEnvironments.forEach(environment -> environment.store().setUnavailable(false));
        mScheduler.advance(FAULT_FREE_STEP.multipliedBy(FAULT_FREE_STEPS));
        return check();
    }

    private void setRole(int index, EngineTarget engine, String role) {
        SimulatedController controller = mControllers.get(index);
        mEnvironments.get(index).process().execute(() -> controller.setRole(engine, role));
    }

    private void addProcess() {
        SimulatedProcess process = SimulatedProcess.start(mScheduler);
        mNodeCount++;
        long skewMillis = mRandom.nextInt(12_000) - 6_000;
        ControllerEnvironment environment =
                new ControllerEnvironment(
                        "node-" + mNodeCount,
                        process,
                        new SkewedClock(mScheduler.clock(), Duration.ofMillis(skewMillis)),
                        mStore.anotherClient(),
                        SimulatedSender.create(mScheduler, process, mEnginesByAddress),
                        mEngines.stream().map(SimulatedEngine::target).toList(),
                        () -> ++mLastHolderNumber);
        environment.store().setDelay(Duration.ofMillis(4));
        SimulatedController controller = mFactory.create(environment);
        mEnvironments.add(environment);
        mControllers.add(controller);
        process.execute(controller::start);
    }

    private void injectFault() {
        int index = mRandom.nextInt(mEnvironments.size());
        ControllerEnvironment target = mEnvironments.get(index);
        Duration duration = Duration.ofMillis(200 + mRandom.nextInt(20_000));
        switch (mRandom.nextInt(13)) {
            case 0:
                target.process().pause(duration);
                break;
            case 1:
                target.process().kill();
                mEnvironments.remove(index);
                mControllers.remove(index);
                addProcess();
                break;
            case 2:
                target.store().setUnavailable(true);
                mScheduler.schedule(duration, () -> target.store().setUnavailable(false));
                break;
            case 3:
                target.store().failNextWrite(StoreFault.LOST_BEFORE_EFFECT);
                break;
            case 4:
                target.store().failNextWrite(StoreFault.LOST_AFTER_EFFECT);
                break;
            case 5:
                target.store().setLateWriteDelay(Duration.ofMillis(mRandom.nextInt(12_000)));
                target.store().failNextWrite(StoreFault.LATE_EFFECT);
                break;
            case 6:
                // The process is paused after the lease check, before anything is sent.
                holderSender().ifPresent(sender -> sender.pauseBeforeNextSend(duration));
                break;
            case 7:
                holderSender().ifPresent(SimulatedSender::loseNextResponse);
                break;
            case 8:
                mEngines.get(mRandom.nextInt(2)).restart();
                break;
            case 9:
                SimulatedController controller = mControllers.get(index);
                target.process().execute(controller::release);
                break;
            case 10:
                target.sender().setPartitioned(true);
                mScheduler.schedule(duration, () -> target.sender().setPartitioned(false));
                break;
            case 11:
                holderSender().ifPresent(sender -> sender.pauseBeforeNextOpen(duration));
                break;
            default:
                // Longer than the timeout of a call, so that a second attempt overtakes the first.
                Duration delay =
                        Duration.ofMillis(
                                1500 + mRandom.nextInt(mRandom.nextBoolean() ? 500 : 4000));
                holderSender().ifPresent(sender -> sender.delayNextSend(delay));
                // Commands that follow in quick succession can arrive before the late one.
                mBurstSteps = 25;
                break;
        }
    }

    /** Returns the sender of the process that acquired the lease last, unless it was killed. */
    private Optional<SimulatedSender> holderSender() {
        return mEnvironments.stream()
                .map(ControllerEnvironment::sender)
                .filter(sender -> sender.holderNumber() == mLastHolderNumber)
                .findFirst();
    }

    private List<String> check() {
        List<String> violations = new ArrayList<>();
        mEngines.forEach(engine -> violations.addAll(engine.violations()));
        Optional<StoredObject> group = Optional.empty();
        try {
            var read = mStore.get(EngineGroupKeys.key(0));
            mScheduler.runDue();
            group = read.join();
        } catch (RuntimeException failure) {
            violations.add("group cannot be read: " + failure);
        }
        if (group.isEmpty()) {
            violations.add("no process ever acquired the lease");
            return violations;
        }
        SimulatedController reader = mControllers.get(0);
        if (!reader.areCommandsCompleted(group.get().value())) {
            violations.add("a command is still open: " + group.get().value());
        }
        Map<String, String> recorded = reader.recordedRoles(group.get().value());
        for (SimulatedEngine engine : mEngines) {
            String name = engine.target().name();
            if (!recorded.getOrDefault(name, "").equals(engine.role())) {
                violations.add(
                        String.format(
                                "%s has %s, recorded is %s",
                                name, engine.role(), recorded.get(name)));
            }
        }
        return violations;
    }

    /** A clock with skewed wall-clock time and exact monotonic time. */
    private record SkewedClock(Clock base, Duration skew) implements Clock {
        @Override
        public long nanoTime() {
            return base.nanoTime();
        }

        @Override
        public Instant now() {
            return base.now().plus(skew);
        }
    }
}
