package org.sesamedeck.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.MessageConnection;
import org.sesamedeck.wire.MessageTransport;
import org.sesamedeck.wire.generated.ClaimCompletion;
import org.sesamedeck.wire.generated.ClaimReply;
import org.sesamedeck.wire.generated.ClaimRequest;
import org.sesamedeck.wire.generated.ConfigurationDocument;
import org.sesamedeck.wire.generated.ControlHello;
import org.sesamedeck.wire.generated.Endpoint;
import org.sesamedeck.wire.generated.EndpointTable;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StateUpdate;

/** A control process that sends one state update and keeps claims in memory. */
final class FakeControl implements AutoCloseable {
    /** API key of the client account {@code tunis}. */
    static final String API_KEY = "tunis-key";

    private static final String PLANS =
            "[plan kitchens]\nshare = 1\npriority = 6\n[customer tunis]\nplan = kitchens\n"
                    + "key-sha256 = "
                    + sha256(API_KEY)
                    + "\n[customer sfax]\nplan = kitchens\nkey-sha256 = "
                    + sha256("sfax-key")
                    + "\n[plan others]\nshare = 1\n[customer other]\nplan = others\nkey-sha256 = "
                    + sha256("other-key")
                    + "\n";
    private static final String ENTITLEMENTS =
            "[plan kitchens]\nmodels = house-judge\nservices = cookbook-app\nregions =\n"
                    + "[plan others]\nmodels = \nservices = \nregions =\n";

    private final MessageTransport mTransport = MessageTransport.create(1);
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final Map<String, ClaimRequest> mClaims = new ConcurrentHashMap<>();
    private final Map<String, ClaimCompletion> mCompletions = new ConcurrentHashMap<>();
    private final HostAddress mAddress;
    final List<Envelope> mReceived = new CopyOnWriteArrayList<>();
    volatile String mPlans = PLANS;
    volatile long mConfigurationVersion = 1;
    volatile boolean mClaimsAvailable = true;
    volatile boolean mSendsReplies = true;

    FakeControl() {
        mAddress = mTransport.listen(HostAddress.of("127.0.0.1", 0), this::onMessage);
    }

    static String sha256(String text) {
        try {
            return java.util.HexFormat.of()
                    .formatHex(
                            java.security.MessageDigest.getInstance("SHA-256")
                                    .digest(
                                            text.getBytes(
                                                    java.nio.charset.StandardCharsets.UTF_8)));
        } catch (java.security.NoSuchAlgorithmException absent) {
            throw new IllegalStateException(absent);
        }
    }

    /** Withdraws the key of the client account in the next configuration that is sent. */
    void withdrawKey(String key) {
        mPlans = mPlans.replace(sha256(key), sha256("another key"));
        mConfigurationVersion++;
    }

    int port() {
        return mAddress.port();
    }

    FakeControl withEngine(String name, int port) {
        mEndpoints.add(
                endpoint(name, port, "tasting-models")
                        .setIsEngine(true)
                        .setRole("MIXED")
                        .addModels("house-judge")
                        .build());
        return this;
    }

    FakeControl withoutEndpoints() {
        mEndpoints.clear();
        return this;
    }

    FakeControl withService(String name, int port) {
        mEndpoints.add(endpoint(name, port, "cookbook-app").build());
        return this;
    }

    private static Endpoint.Builder endpoint(String name, int port, String service) {
        return Endpoint.newBuilder()
                .setName(name)
                .setAddress("127.0.0.1")
                .setPort(port)
                .setService(service)
                .setFailureDomain("tunis-a")
                .setRegion("tunis");
    }

    private CompletableFuture<Optional<Envelope>> onMessage(
            MessageConnection connection, Envelope message) {
        mReceived.add(message);
        if (!mSendsReplies) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Envelope reply = Envelopes.acknowledgement();
        if (message.hasEntryHello()) {
            connection.send(
                    Envelopes.builder()
                            .setStateUpdate(
                                    StateUpdate.newBuilder()
                                            .setAdmitting(true)
                                            .setLiveEntries(1)
                                            .setConfiguration(
                                                    ConfigurationDocument.newBuilder()
                                                            .setVersion(mConfigurationVersion)
                                                            .setPlansIni(mPlans)
                                                            .setEntitlementsIni(ENTITLEMENTS))
                                            .setEndpoints(
                                                    EndpointTable.newBuilder()
                                                            .addAllEndpoints(mEndpoints)))
                            .build());
            reply =
                    Envelopes.builder()
                            .setControlHello(ControlHello.newBuilder().setNodeName("fake"))
                            .build();
        } else if (message.hasClaimRequest()) {
            reply =
                    Envelopes.builder()
                            .setClaimReply(ClaimReply.newBuilder().mergeFrom(claim(message)))
                            .build();
        } else if (message.hasClaimCompletion()) {
            ClaimCompletion completion = message.getClaimCompletion();
            String key = completion.getKeyHash().toStringUtf8();
            if (completion.hasOutcome()) {
                mCompletions.put(key, completion);
            } else {
                mClaims.remove(key);
            }
        }
        return CompletableFuture.completedFuture(Optional.of(reply));
    }

    private ClaimReply claim(Envelope message) {
        if (!mClaimsAvailable) {
            return reply(ClaimReply.State.UNAVAILABLE);
        }
        ClaimRequest request = message.getClaimRequest();
        String key = request.getKeyHash().toStringUtf8();
        ClaimRequest first = mClaims.putIfAbsent(key, request);
        if (first == null) {
            return reply(ClaimReply.State.GRANTED);
        }
        if (!first.getRequestDigest().equals(request.getRequestDigest())) {
            return reply(ClaimReply.State.KEY_REUSED);
        }
        ClaimCompletion completion = mCompletions.get(key);
        return completion == null
                ? reply(ClaimReply.State.IN_PROGRESS)
                : ClaimReply.newBuilder()
                        .setState(ClaimReply.State.DONE)
                        .setOutcome(completion.getOutcome())
                        .build();
    }

    private static ClaimReply reply(ClaimReply.State state) {
        return ClaimReply.newBuilder().setState(state).build();
    }

    @Override
    public void close() {
        mTransport.close();
    }
}
