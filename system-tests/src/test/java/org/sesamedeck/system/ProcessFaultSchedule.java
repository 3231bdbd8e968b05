package org.sesamedeck.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.sesamedeck.emulator.deployment.DeploymentHost;
import org.sesamedeck.emulator.deployment.HostKind;

/**
 * A seeded schedule of faults for a deployment under load: processes of every kind are killed or
 * frozen, and the platform loses responses, responds late or is unavailable. At its end all
 * processes have been started again and all faults have ended.
 */
final class ProcessFaultSchedule {
    private static final List<HostKind> TARGET_KINDS =
            List.of(HostKind.ENTRY, HostKind.NODE, HostKind.SERVICE, HostKind.ENGINE);
    private static final int FAULT_CASES = 8;

    private final Fleet mFleet;
    private final Random mRandom;
    private final List<String> mInjectedFaults = new ArrayList<>();

    private ProcessFaultSchedule(Fleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new Random(seed);
    }

    static ProcessFaultSchedule of(Fleet fleet, long seed) {
        return new ProcessFaultSchedule(fleet, seed);
    }

    /** Returns the faults injected so far. */
    List<String> injectedFaults() {
        return mInjectedFaults;
    }

    /**
     * Injects a number of faults one after another and reverts each; a fault may affect two
     * processes.
     */
    void inject(int faults) throws Exception {
        for (int i = 0; i < faults; i++) {
            String first = randomProcess();
            String second = randomProcess();
            switch (mRandom.nextInt(FAULT_CASES)) {
                case 0:
                case 1:
                    kill(first);
                    break;
                case 2:
                    kill(first);
                    if (!second.equals(first)) {
                        kill(second);
                    }
                    break;
                case 3:
                case 4:
                    freeze(first, 500 + mRandom.nextInt(12_000));
                    break;
                case 5:
                    injectPlatformFaults("{\"loseAnswersFraction\":0.4}", 4000);
                    break;
                case 6:
                    injectPlatformFaults("{\"delayMillis\":500}", 4000);
                    break;
                default:
                    injectPlatformFaults("{\"unavailable\":true}", 1000 + mRandom.nextInt(4000));
                    break;
            }
        }
    }

    private String randomProcess() {
        HostKind kind = TARGET_KINDS.get(mRandom.nextInt(TARGET_KINDS.size()));
        List<DeploymentHost> hosts = mFleet.deployment().hosts(kind);
        return hosts.get(mRandom.nextInt(hosts.size())).name();
    }

    private void kill(String name) throws Exception {
        mInjectedFaults.add("kill " + name);
        mFleet.killAndStart(name);
        // The next fault may come while the process is still starting.
        Thread.sleep(mRandom.nextInt(4000));
    }

    private void freeze(String name, long millis) throws Exception {
        mInjectedFaults.add("freeze " + name + " for " + millis + " ms");
        mFleet.deployment().process(name).freeze();
        Thread.sleep(millis);
        mFleet.deployment().process(name).resume();
    }

    private void injectPlatformFaults(String faults, long millis) throws Exception {
        mInjectedFaults.add("platform " + faults + " for " + millis + " ms");
        mFleet.setPlatformFaults(faults);
        Thread.sleep(millis);
        mFleet.setPlatformFaults("{}");
    }

    /** Waits until all processes are ready again. */
    void awaitRecovery() throws Exception {
        for (HostKind kind : HostKind.values()) {
            for (DeploymentHost host : mFleet.deployment().hosts(kind)) {
                if (kind != HostKind.PLATFORM) {
                    mFleet.awaitReady(host.name());
                }
            }
        }
    }
}
