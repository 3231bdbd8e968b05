package org.sesamedeck.entry.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ManualClock;
import org.sesamedeck.routing.AdmissionSettings;
import org.sesamedeck.routing.DefaultAdmissionController;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EngineTimeEstimator;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.MessageTransport;
import org.sesamedeck.wire.generated.ConfigurationDocument;
import org.sesamedeck.wire.generated.Endpoint;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;
import org.sesamedeck.wire.generated.UsageReport;

class TransportControlClientTest {
    private static final String PLANS = "[plan p]\nshare = 1\n";
    private static final String ENTITLEMENTS = "[plan p]\nmodels = m\nservices =\nregions =\n";

    private final ManualClock mClock = ManualClock.create();
    private final MessageTransport mTransport = MessageTransport.create(1);
    private final BlockingQueue<MessageConnection> mConnections = new LinkedBlockingQueue<>();
    private final DefaultRouter mRouter =
            DefaultRouter.create(mClock, RouterSettings.defaults("tunis"), "entry", 1);
    private volatile boolean mSendsReplies = true;
    private final HostAddress mAddress =
            mTransport.listen(HostAddress.of("127.0.0.1", 0), this::onMessage);
    private final TransportControlClient mClient =
            TransportControlClient.start(
                    "entry",
                    mAddress,
                    mClock,
                    mRouter,
                    DefaultAdmissionController.create(
                            mClock,
                            mRouter,
                            EngineTimeEstimator.create(),
                            AdmissionSettings.defaults()),
                    UsageReport::newBuilder);

    private CompletableFuture<Optional<Envelope>> onMessage(
            MessageConnection connection, Envelope message) {
        if (message.hasEntryHello() && mSendsReplies) {
            mConnections.add(connection);
        }
        return CompletableFuture.completedFuture(
                mSendsReplies ? Optional.of(Envelopes.acknowledgement()) : Optional.empty());
    }

    @AfterEach
    void close() {
        mClient.close();
        mTransport.close();
    }

    private static void await(BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(
                    "the condition was not met within 20 s", System.nanoTime() < until, is(true));
            Thread.onSpinWait();
        }
    }

    private static StateUpdate.Builder update(long version) {
        return StateUpdate.newBuilder()
                .setAdmitting(true)
                .setConfiguration(
                        ConfigurationDocument.newBuilder()
                                .setVersion(version)
                                .setPlansIni(PLANS)
                                .setEntitlementsIni(ENTITLEMENTS));
    }

    private void push(MessageConnection connection, StateUpdate.Builder update) {
        connection
                .call(Envelopes.builder().setStateUpdate(update).build(), Duration.ofSeconds(10))
                .join();
    }

    /** Guards against admission under a state that the control process no longer confirms. */
    @Test
    void requestsAreRefusedFourSecondsAfterTheLastContact() throws Exception {
        assertThat(mClient.refusalReason(), not(Optional.empty()));
        MessageConnection connection = mConnections.poll(20, TimeUnit.SECONDS);
        push(connection, update(1));
        assertThat(mClient.refusalReason(), is(Optional.empty()));

        mSendsReplies = false;
        mClock.advance(Duration.ofMillis(3_900));
        assertThat(mClient.refusalReason(), is(Optional.empty()));
        mClock.advance(Duration.ofMillis(200));
        assertThat(mClient.refusalReason(), is(Optional.of("no contact with the control process")));

        mSendsReplies = true;
        await(() -> mClient.refusalReason().isEmpty());
    }

    /**
     * Guards against reverting to an older configuration, and against an update that clears the
     * parts of the state it does not carry.
     */
    @Test
    void olderConfigurationIsIgnoredAndOtherStateIsKept() throws Exception {
        MessageConnection connection = mConnections.poll(20, TimeUnit.SECONDS);
        push(
                connection,
                update(5)
                        .setEndpoints(
                                EndpointTable.newBuilder()
                                        .addEndpoints(
                                                Endpoint.newBuilder()
                                                        .setName("engine-1")
                                                        .setAddress("127.0.0.1")
                                                        .setPort(1)
                                                        .setIsEngine(true)
                                                        .addModels("m"))));
        push(connection, update(4));

        assertThat(mClient.snapshot().configuration().version(), is(5L));
        assertThat(mClient.snapshot().configuration().plans().keySet(), is(Set.of("p")));
        assertThat(
                mRouter.subset().stream().map(endpoint -> endpoint.name()).toList(),
                is(List.of("engine-1")));
    }

    /** Guards against an entry process that does not reconnect after a control restart. */
    @Test
    void closedConnectionIsReopened() throws Exception {
        mConnections.poll(20, TimeUnit.SECONDS).close();

        MessageConnection second = mConnections.poll(20, TimeUnit.SECONDS);
        push(second, update(1));
        assertThat(mClient.refusalReason(), is(Optional.empty()));
    }
}
