package org.sesamedeck.entry.control;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ConfigurationParser;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.UsageSnapshot;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.MessageTransport;
import org.sesamedeck.wire.generated.ClaimCompletion;
import org.sesamedeck.wire.generated.ClaimReply;
import org.sesamedeck.wire.generated.ClaimRequest;
import org.sesamedeck.wire.generated.EntryHello;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;
import org.sesamedeck.wire.generated.UsageReport;

/**
 * Maintains one connection to the control process. All control state is confined to one thread; the
 * snapshot that request threads read is published through a volatile field.
 *
 * <p>The control process counts as alive because it replies, not because its connection is open: a
 * paused process keeps its connections open. A usage report is sent as a call every second. Its
 * reply, like a state update or the reply to a hello, restarts the contact timeout.
 */
public final class TransportControlClient implements ControlClient {
    /** Time without contact to the control process after which new requests are refused. */
    public static final Duration CONTACT_TIMEOUT = Duration.ofSeconds(4);

    private static final System.Logger LOGGER =
            System.getLogger(TransportControlClient.class.getName());
    private static final String PROGRAM_VERSION = "0.1.0";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final String mEntryName;
    private final HostAddress mAddress;
    private final Clock mClock;
    private final Router mRouter;
    private final AdmissionController mAdmissionController;
    private final UsageSource mUsageSource;
    private final MessageTransport mTransport = MessageTransport.create(1);
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "control-state");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Random mJitter;
    private volatile ControlSnapshot mSnapshot = ControlSnapshot.initial();
    private volatile long mLastContactNanos;
    private volatile MessageConnection mConnection;
    private long mBackoffMillis = INITIAL_BACKOFF_MILLIS;

    private TransportControlClient(
            String entryName,
            HostAddress address,
            Clock clock,
            Router router,
            AdmissionController admissionController,
            UsageSource usageSource) {
        mEntryName = entryName;
        mAddress = address;
        mClock = clock;
        mRouter = router;
        mAdmissionController = admissionController;
        mUsageSource = usageSource;
        mLastContactNanos = clock.nanoTime();
        mJitter = new Random(entryName.hashCode());
    }

    /** Returns a client that connects in the background and stays connected until it is closed. */
    public static TransportControlClient start(
            String entryName,
            HostAddress address,
            Clock clock,
            Router router,
            AdmissionController admissionController,
            UsageSource usageSource) {
        TransportControlClient client =
                new TransportControlClient(
                        entryName, address, clock, router, admissionController, usageSource);
        client.mScheduler.execute(client::connect);
        client.mScheduler.scheduleAtFixedRate(client::sendUsageReport, 1, 1, TimeUnit.SECONDS);
        return client;
    }

    private void connect() {
        mTransport
                .connect(mAddress, CALL_TIMEOUT, this::onMessage)
                .whenComplete((connection, failure) -> post(() -> onConnected(connection)));
    }

    private void post(Runnable task) {
        if (!mScheduler.isShutdown()) {
            mScheduler.execute(task);
        }
    }

    private void onConnected(MessageConnection connection) {
        if (connection == null) {
            reconnectLater();
            return;
        }
        mConnection = connection;
        connection.closed().whenComplete((nothing, failure) -> post(this::reconnectLater));
        sendHello(connection);
    }

    private void sendHello(MessageConnection connection) {
        connection
                .call(
                        Envelopes.builder()
                                .setEntryHello(
                                        EntryHello.newBuilder()
                                                .setEntryName(mEntryName)
                                                .setProgramVersion(PROGRAM_VERSION))
                                .build(),
                        CALL_TIMEOUT)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                post(this::onContact);
                            }
                        });
    }

    private void reconnectLater() {
        long backoffMillis = mBackoffMillis / 2 + mJitter.nextInt((int) mBackoffMillis / 2 + 1);
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
        mScheduler.schedule(this::connect, backoffMillis, TimeUnit.MILLISECONDS);
    }

    private void onContact() {
        mLastContactNanos = mClock.nanoTime();
        mBackoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    private CompletableFuture<Optional<Envelope>> onMessage(
            MessageConnection connection, Envelope message) {
        if (!message.hasStateUpdate()) {
            return CompletableFuture.failedFuture(
                    SesamedeckException.of(
                            ResultCode.UNSUPPORTED_MESSAGE,
                            "an entry process takes no " + message.getBodyCase()));
        }
        CompletableFuture<Optional<Envelope>> applied = new CompletableFuture<>();
        post(
                () -> {
                    try {
                        applyUpdate(message.getStateUpdate());
                        applied.complete(Optional.of(Envelopes.acknowledgement()));
                    } catch (RuntimeException failure) {
                        LOGGER.log(
                                System.Logger.Level.ERROR,
                                "cannot apply the state update of the control process",
                                failure);
                        applied.completeExceptionally(failure);
                    }
                });
        return applied;
    }

    private void applyUpdate(StateUpdate update) {
        onContact();
        ControlSnapshot previous = mSnapshot;
        Configuration configuration = previous.configuration();
        if (update.hasConfiguration()
                && update.getConfiguration().getVersion() > configuration.version()) {
            configuration =
                    ConfigurationParser.parse(
                                    update.getConfiguration().getVersion(),
                                    update.getConfiguration().getPlansIni(),
                                    update.getConfiguration().getEntitlementsIni())
                            .orThrow();
            mAdmissionController.updateConfiguration(configuration);
        }
        var endpoints = previous.endpoints();
        if (update.hasEndpoints()) {
            endpoints = ControlMessageConverter.toEndpointDescriptions(update.getEndpoints());
            mRouter.updateEndpoints(endpoints);
        }
        if (update.hasUsageTotals()) {
            mAdmissionController.updateTotals(
                    ControlMessageConverter.toUsageSnapshot(update.getUsageTotals()),
                    Math.max(1, update.getLiveEntries()));
        }
        mSnapshot =
                new ControlSnapshot(
                        configuration, endpoints, update.getAdmitting(), update.getRefusalReason());
    }

    private void sendUsageReport() {
        MessageConnection connection = mConnection;
        if (connection == null || !connection.isOpen()) {
            return;
        }
        try {
            connection
                    .call(
                            Envelopes.builder().setUsageReport(takeUsageReport()).build(),
                            CALL_TIMEOUT)
                    .whenComplete(
                            (reply, failure) -> {
                                if (failure == null) {
                                    post(this::onContact);
                                } else {
                                    // A failed report alone does not show that contact is lost. The
                                    // reply to a hello also counts as contact.
                                    sendHello(connection);
                                }
                            });
        } catch (RuntimeException failure) {
            LOGGER.log(
                    System.Logger.Level.ERROR,
                    "cannot send the usage report to the control process",
                    failure);
        }
    }

    private UsageReport takeUsageReport() {
        UsageSnapshot usage = mAdmissionController.takeUsage();
        UsageReport.Builder report =
                mUsageSource
                        .takeReport()
                        .setIntervalMillis(usage.intervalMillis())
                        .setConfigurationVersion(mSnapshot.configuration().version());
        usage.plans()
                .forEach(
                        (plan, used) ->
                                report.addPlans(ControlMessageConverter.toPlanUsage(plan, used)));
        return report.build();
    }

    @Override
    public ControlSnapshot snapshot() {
        return mSnapshot;
    }

    @Override
    public Optional<String> refusalReason() {
        ControlSnapshot snapshot = mSnapshot;
        if (!snapshot.isAdmitting()) {
            return Optional.of(
                    snapshot.refusalReason().isEmpty()
                            ? "the control process does not admit requests"
                            : snapshot.refusalReason());
        }
        if (mClock.nanoTime() - mLastContactNanos > CONTACT_TIMEOUT.toNanos()) {
            return Optional.of("no contact with the control process");
        }
        return Optional.empty();
    }

    @Override
    public CompletableFuture<ClaimReply> claim(ClaimRequest request, Duration timeout) {
        MessageConnection connection = mConnection;
        if (connection == null) {
            return CompletableFuture.failedFuture(
                    SesamedeckException.of(
                            ResultCode.UNAVAILABLE, "not connected to the control process"));
        }
        return connection
                .call(Envelopes.builder().setClaimRequest(request).build(), timeout)
                .thenApply(Envelope::getClaimReply);
    }

    @Override
    public void complete(ClaimCompletion completion) {
        complete(completion, 0);
    }

    private void complete(ClaimCompletion completion, int attempt) {
        MessageConnection connection = mConnection;
        CompletableFuture<Envelope> call =
                connection == null
                        ? CompletableFuture.failedFuture(new IllegalStateException("not connected"))
                        : connection.call(
                                Envelopes.builder().setClaimCompletion(completion).build(),
                                CALL_TIMEOUT);
        call.whenComplete(
                (reply, failure) -> {
                    // A completion that never arrives leaves the outcome of the claim unknown. That
                    // is safe, because a request with the same key is then refused.
                    if (failure != null && attempt < 4 && !mScheduler.isShutdown()) {
                        mScheduler.schedule(
                                () -> complete(completion, attempt + 1), 1, TimeUnit.SECONDS);
                    }
                });
    }

    @Override
    public void close() {
        mScheduler.shutdownNow();
        mTransport.close();
    }
}
