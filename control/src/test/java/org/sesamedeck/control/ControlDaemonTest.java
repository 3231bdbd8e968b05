package org.sesamedeck.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamedeck.control.engine.EngineState;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.HostKind;
import org.sesamedeck.routing.EndpointRole;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.ClaimCompletion;
import org.sesamedeck.wire.generated.ClaimReply;
import org.sesamedeck.wire.generated.ClaimRequest;
import org.sesamedeck.wire.generated.Endpoint;
import org.sesamedeck.wire.generated.PlanUsage;
import org.sesamedeck.wire.generated.StateUpdate;
import org.sesamedeck.wire.generated.StoredOutcome;
import org.sesamedeck.wire.generated.UsageReport;

@Timeout(90)
class ControlDaemonTest {
    private static final HostAddress ENGINE = HostAddress.of("127.0.0.1", 1);

    private static boolean hasEngine(
            StateUpdate state, java.util.function.Predicate<Endpoint> condition) {
        return state.getEndpoints().getEndpointsList().stream()
                .anyMatch(
                        endpoint ->
                                endpoint.getName().equals("engine-0") && condition.test(endpoint));
    }

    private static EngineState engine(boolean isDraining) {
        return new EngineState(
                "engine-0", EndpointRole.DECODE, Set.of("house-judge"), isDraining, false);
    }

    /** Guards against a control process that does not push a state change to its entry process. */
    @Test
    void stateAndItsChangesArePushedToTheEntry() throws Exception {
        try (TestDeployment deployment = new TestDeployment(2)) {
            deployment.addHost("engine-0", HostKind.ENGINE, ENGINE, false);
            deployment.setEngineState(engine(false));
            deployment.proposeConfiguration(60);
            try (TestEntry entry = new TestEntry(deployment.address(1))) {
                StateUpdate state =
                        entry.await(
                                "version 1 and the engine",
                                update ->
                                        update.getAdmitting()
                                                && update.getConfiguration().getVersion() == 1
                                                && update.getLiveEntries() == 2
                                                && hasEngine(
                                                        update,
                                                        endpoint ->
                                                                endpoint.getModelsCount() == 1));
                assertThat(
                        hasEngine(state, endpoint -> endpoint.getRole().equals("DECODE")),
                        is(true));
                deployment.proposeConfiguration(61);
                entry.await("version 2", update -> update.getConfiguration().getVersion() == 2);
                deployment.setEngineState(engine(true));
                entry.await(
                        "a draining engine", update -> hasEngine(update, Endpoint::getIsLeaving));
                deployment.setEngineState(engine(false));
                entry.await(
                        "an engine that is not draining",
                        update -> hasEngine(update, endpoint -> !endpoint.getIsLeaving()));
                deployment.addHost("engine-0", HostKind.ENGINE, ENGINE, true);
                entry.await(
                        "a leaving engine", update -> hasEngine(update, Endpoint::getIsLeaving));
            }
        }
    }

    /** Guards against plan shares that are computed from the usage of one entry process only. */
    @Test
    void usageTotalsSumTheReportsOfAllEntries() throws Exception {
        try (TestDeployment deployment = new TestDeployment(2);
                TestEntry first = new TestEntry(deployment.address(0));
                TestEntry second = new TestEntry(deployment.address(1))) {
            for (TestEntry entry : new TestEntry[] {first, second}) {
                UsageReport report =
                        UsageReport.newBuilder()
                                .addPlans(
                                        PlanUsage.newBuilder().setPlan("kitchens").setInFlight(21))
                                .build();
                entry.call(Envelopes.builder().setUsageReport(report).build());
            }
            for (TestEntry entry : new TestEntry[] {first, second}) {
                entry.await(
                        "the sum of both",
                        update ->
                                update.getUsageTotals().getPlansList().stream()
                                        .anyMatch(plan -> plan.getInFlight() == 42));
            }
        }
    }

    private static ClaimReply claim(TestEntry entry, int key, String attempt) {
        ClaimRequest request =
                ClaimRequest.newBuilder()
                        .setKeyHash(hash(key))
                        .setRequestDigest(hash(0))
                        .setAttempt(attempt)
                        .setDeadlineMillis(2000)
                        .build();
        return entry.call(Envelopes.builder().setClaimRequest(request).build()).getClaimReply();
    }

    private static ByteString hash(int key) {
        byte[] hash = new byte[32];
        java.util.Arrays.fill(hash, (byte) (key * 37));
        return ByteString.copyFrom(hash);
    }

    /** Guards against granting the claim of one request on two entry hosts. */
    @Test
    void claimsOfAllEntriesAreDecidedByTheShardOwner() throws Exception {
        try (TestDeployment deployment = new TestDeployment(2);
                TestEntry first = new TestEntry(deployment.address(0));
                TestEntry second = new TestEntry(deployment.address(1))) {
            for (TestEntry entry : new TestEntry[] {first, second}) {
                entry.await("both nodes", update -> update.getLiveEntries() == 2);
            }
            for (int key = 0; key < 12; key++) {
                String attempt = "first-" + key;
                ClaimReply reply = claimWithRetries(first, key, attempt);
                assertThat(reply.getMessage(), reply.getState(), is(ClaimReply.State.GRANTED));
                assertThat(
                        claim(second, key, "second-" + key).getState(),
                        is(ClaimReply.State.IN_PROGRESS));
                ClaimCompletion completion =
                        ClaimCompletion.newBuilder()
                                .setKeyHash(hash(key))
                                .setAttempt(attempt)
                                .setOutcome(StoredOutcome.newBuilder().setStatus(201))
                                .build();
                first.call(Envelopes.builder().setClaimCompletion(completion).build());
                ClaimReply done = claim(second, key, "third-" + key);
                assertThat(done.getState(), is(ClaimReply.State.DONE));
                assertThat(done.getOutcome().getStatus(), is(201));
            }
        }
    }

    /** Retries a claim while the owners have not acquired their shards yet. */
    private static ClaimReply claimWithRetries(TestEntry entry, int key, String attempt)
            throws InterruptedException {
        ClaimReply reply = claim(entry, key, attempt);
        for (int i = 0; i < 40 && reply.getState() == ClaimReply.State.UNAVAILABLE; i++) {
            entry.await("a heartbeat", new SkipUpdates(1));
            reply = claim(entry, key, attempt);
        }
        return reply;
    }

    /** Guards against refusing the first request after another process has acquired the shard. */
    @Test
    void ownerReacquiresALostShardWithinTheClaim() throws Exception {
        try (TestDeployment deployment = new TestDeployment(1);
                TestEntry entry = new TestEntry(deployment.address(0))) {
            for (int key = 0; key < 12; key++) {
                claimWithRetries(entry, key, "first-" + key);
            }
            deployment.acquireShardsAsOtherProcess(4);
            for (int key = 12; key < 24; key++) {
                ClaimReply reply = claim(entry, key * 3 + 1, "second-" + key);
                assertThat(reply.getMessage(), reply.getState(), is(ClaimReply.State.GRANTED));
            }
            assertThat(claim(entry, 1, "other").getState(), is(ClaimReply.State.IN_PROGRESS));
        }
    }

    /** Is satisfied after the given number of updates. */
    private static final class SkipUpdates implements java.util.function.Predicate<StateUpdate> {
        private int mRemaining;

        private SkipUpdates(int count) {
            mRemaining = count;
        }

        @Override
        public boolean test(StateUpdate state) {
            return mRemaining-- <= 0;
        }
    }

    /**
     * Guards against a planned shutdown that keeps its leases, so that changes wait for them to
     * expire.
     */
    @Test
    void stoppedNodeReleasesItsLeases() throws Exception {
        try (TestDeployment deployment = new TestDeployment(3)) {
            deployment.proposeConfiguration(60);
            try (TestEntry entry = new TestEntry(deployment.address(2))) {
                entry.await("version 1", update -> update.getConfiguration().getVersion() == 1);
                entry.await("all nodes", update -> update.getLiveEntries() == 3);
                deployment.daemon(0).release();
                entry.await("two nodes", update -> update.getLiveEntries() == 2);
                deployment.proposeConfiguration(61);
                entry.await("version 2", update -> update.getConfiguration().getVersion() == 2);
            }
        }
    }
}
