package org.sesamedeck.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.sesamedeck.claim.ClaimAttempt;
import org.sesamedeck.claim.ClaimKey;
import org.sesamedeck.claim.ClaimOutcome;
import org.sesamedeck.claim.ClaimResult;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.claim.ClaimState;
import org.sesamedeck.platform.FakeObjectStore;
import org.sesamedeck.platform.ManualScheduler;
import org.sesamedeck.platform.SimulatedProcess;
import org.sesamedeck.platform.StoreFault;

/**
 * Simulates callers that repeat a few requests through entry processes, which claim each request at
 * one of three processes that compete for the ownership of the shard, while faults affect these
 * processes, messages and the store. Counts how often each request ran.
 */
final class ClaimSimulation {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(2);
    private static final int STEPS = 400;

    /** Creates the claim service of a process that competes for the shard. */
    interface ServiceFactory {
        ClaimService create(FakeObjectStore store, SimulatedProcess process, String token);
    }

    private final Random mRandom;
    private final ServiceFactory mFactory;
    private final ManualScheduler mScheduler = ManualScheduler.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mScheduler, mScheduler.clock());
    private final List<Owner> mOwners = new ArrayList<>();
    private final Map<ClaimKey, Integer> mRunCounts = new HashMap<>();
    private final Map<String, Boolean> mExecutedAttempts = new HashMap<>();
    private final List<String> mReportedNotExecuted = new ArrayList<>();
    private int mTokenCount;
    private int mAttemptCount;
    private int mStoredOutcomeCount;

    private ClaimSimulation(long seed, ServiceFactory factory) {
        mRandom = new Random(seed);
        mFactory = factory;
    }

    /** Runs the simulation with the given seed and returns its result. */
    static ClaimSimulationResult run(long seed, ServiceFactory factory) {
        return new ClaimSimulation(seed, factory).run();
    }

    private ClaimSimulationResult run() {
        for (int i = 0; i < 3; i++) {
            mOwners.add(startOwner());
        }
        for (int step = 0; step < STEPS; step++) {
            mScheduler.advance(Duration.ofMillis(1 + mRandom.nextInt(200)));
            if (mRandom.nextInt(8) == 0) {
                Owner owner = randomOwner();
                owner.process().execute(() -> owner.service().acquireShard(0));
            }
            if (mRandom.nextInt(8) == 0) {
                injectFault();
                if (mRandom.nextBoolean()) {
                    injectFault();
                }
            }
            // New keys are added over time, and earlier ones are repeated.
            int number = Math.max(0, step / 8 - mRandom.nextInt(4));
            request(ClaimKey.of("customer", "key-" + number));
        }
        mScheduler.advance(Duration.ofSeconds(60));
        return check();
    }

    private Owner startOwner() {
        SimulatedProcess process = SimulatedProcess.start(mScheduler);
        FakeObjectStore store = mStore.anotherClient();
        store.setDelay(Duration.ofMillis(3));
        mTokenCount++;
        Owner owner =
                new Owner(
                        process, store, mFactory.create(store, process, "process-" + mTokenCount));
        process.execute(() -> owner.service().acquireShard(0));
        return owner;
    }

    private Owner randomOwner() {
        return mOwners.get(mRandom.nextInt(mOwners.size()));
    }

    private void injectFault() {
        int index = mRandom.nextInt(mOwners.size());
        Owner owner = mOwners.get(index);
        Duration duration = Duration.ofMillis(10 + mRandom.nextInt(8000));
        switch (mRandom.nextInt(6)) {
            case 0:
                owner.process().pause(duration);
                break;
            case 1:
                owner.process().kill();
                mOwners.set(index, startOwner());
                break;
            case 2:
                owner.store().setUnavailable(true);
                mScheduler.schedule(duration, () -> owner.store().setUnavailable(false));
                break;
            case 3:
                owner.store().failNextWrite(StoreFault.LOST_BEFORE_EFFECT);
                break;
            case 4:
                owner.store().failNextWrite(StoreFault.LOST_AFTER_EFFECT);
                break;
            default:
                owner.store().setLateWriteDelay(duration);
                owner.store().failNextWrite(StoreFault.LATE_EFFECT);
                break;
        }
    }

    /**
     * Simulates one attempt of an entry process: claims the request, forwards it when the claim is
     * granted in time and completes the claim.
     */
    private void request(ClaimKey key) {
        mAttemptCount++;
        String attemptId = "attempt-" + mAttemptCount;
        Owner owner = randomOwner();
        boolean[] isResolved = new boolean[1];
        mScheduler.schedule(
                ATTEMPT_TIMEOUT,
                () -> {
                    if (!isResolved[0]) {
                        isResolved[0] = true;
                        reportNotExecuted(owner, key, attemptId);
                    }
                });
        owner.process()
                .schedule(
                        messageDelay(),
                        () ->
                                owner.service()
                                        .claim(
                                                new ClaimAttempt(
                                                        key, "digest", attemptId, ATTEMPT_TIMEOUT))
                                        .whenComplete(
                                                (result, failure) ->
                                                        mScheduler.schedule(
                                                                messageDelay(),
                                                                () -> {
                                                                    if (isResolved[0]) {
                                                                        return;
                                                                    }
                                                                    isResolved[0] = true;
                                                                    handleResult(
                                                                            owner, key, attemptId,
                                                                            result);
                                                                })));
    }

    private void handleResult(Owner owner, ClaimKey key, String attemptId, ClaimResult result) {
        if (result == null) {
            reportNotExecuted(owner, key, attemptId);
            return;
        }
        if (result.state() == ClaimState.DONE) {
            mStoredOutcomeCount++;
        }
        if (result.state() != ClaimState.GRANTED) {
            return;
        }
        int endpointOutcome = mRandom.nextInt(10);
        if (endpointOutcome == 0) {
            // The endpoint confirms that it did not run the request.
            reportNotExecuted(owner, key, attemptId);
            return;
        }
        mScheduler.schedule(
                messageDelay(),
                () -> {
                    mRunCounts.merge(key, 1, Integer::sum);
                    mExecutedAttempts.put(attemptId, true);
                    // With endpointOutcome 1, the request runs but its outcome is never stored.
                    if (endpointOutcome > 1) {
                        ClaimOutcome outcome = ClaimOutcome.of(200, "text/plain", new byte[0]);
                        owner.process()
                                .execute(() -> owner.service().complete(key, attemptId, outcome));
                    }
                });
    }

    private void reportNotExecuted(Owner owner, ClaimKey key, String attemptId) {
        mReportedNotExecuted.add(attemptId);
        if (mRandom.nextBoolean()) {
            owner.process().schedule(messageDelay(), () -> owner.service().abandon(key, attemptId));
        }
    }

    private Duration messageDelay() {
        return Duration.ofMillis(mRandom.nextInt(20) == 0 ? mRandom.nextInt(4000) : 1);
    }

    private ClaimSimulationResult check() {
        List<String> violations = new ArrayList<>();
        mRunCounts.forEach(
                (key, runs) -> {
                    if (runs > 1) {
                        violations.add("request ran " + runs + " times: " + key);
                    }
                });
        mReportedNotExecuted.stream()
                .filter(mExecutedAttempts::containsKey)
                .forEach(
                        attemptId ->
                                violations.add(
                                        "request ran but was reported as not executed: "
                                                + attemptId));
        return new ClaimSimulationResult(violations, mRunCounts.size(), mStoredOutcomeCount);
    }

    /** A process that competes for the ownership of the shard. */
    private record Owner(SimulatedProcess process, FakeObjectStore store, ClaimService service) {}
}
