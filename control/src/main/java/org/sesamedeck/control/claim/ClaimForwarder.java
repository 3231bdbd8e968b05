package org.sesamedeck.control.claim;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.claim.ClaimAttempt;
import org.sesamedeck.claim.ClaimKey;
import org.sesamedeck.claim.ClaimOutcome;
import org.sesamedeck.claim.ClaimResult;
import org.sesamedeck.claim.ClaimService;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.CoordinationNode;
import org.sesamedeck.node.Member;
import org.sesamedeck.node.PeerTransport;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.wire.Envelopes;
import org.sesamedeck.wire.generated.ClaimCompletion;
import org.sesamedeck.wire.generated.ClaimReply;
import org.sesamedeck.wire.generated.ClaimRequest;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.StoredOutcome;

/**
 * Forwards the claims of the entry process to the owners of their shards and relays the replies. A
 * claim from another node is processed locally or refused, never forwarded again. Also acquires and
 * releases shards as the membership changes. Confined to the control thread.
 */
public final class ClaimForwarder {
    private static final System.Logger LOGGER = System.getLogger(ClaimForwarder.class.getName());
    private static final Duration MAX_CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration ACQUIRE_RETRY_DELAY = Duration.ofMillis(500);

    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final ClaimService mClaimService;
    private final int mShardCount;
    private final CoordinationNode mNode;
    private final PeerTransport mTransport;
    private final Map<Integer, CompletableFuture<Void>> mPendingAcquisitions = new HashMap<>();
    private final Map<Integer, Long> mNextAttemptNanos = new HashMap<>();
    private boolean mHasTicked;
    private boolean mIsStopped;

    private ClaimForwarder(
            Clock clock,
            ControlScheduler scheduler,
            ClaimService claimService,
            int shardCount,
            CoordinationNode node,
            PeerTransport transport) {
        mClock = clock;
        mScheduler = scheduler;
        mClaimService = claimService;
        mShardCount = shardCount;
        mNode = node;
        mTransport = transport;
    }

    /**
     * Returns a forwarder that owns no shard yet.
     *
     * @param shardCount number of shards, the same on all nodes
     */
    public static ClaimForwarder create(
            Clock clock,
            ControlScheduler scheduler,
            ClaimService claimService,
            int shardCount,
            CoordinationNode node,
            PeerTransport transport) {
        return new ClaimForwarder(clock, scheduler, claimService, shardCount, node, transport);
    }

    private Optional<Member> ownerOf(int shard) {
        return mNode.ranking().first("claims/" + shard);
    }

    private boolean isSelf(Member member) {
        return member.name().equals(mNode.membership().self().name());
    }

    /** Acquires the shards for which this node ranks first, and releases the others. */
    public void tick() {
        if (mIsStopped) {
            return;
        }
        mHasTicked = true;
        Set<Integer> owned = mClaimService.ownedShards();
        for (int shard = 0; shard < mShardCount; shard++) {
            boolean isOwner = ownerOf(shard).filter(this::isSelf).isPresent();
            if (!isOwner && owned.contains(shard)) {
                LOGGER.log(System.Logger.Level.INFO, "releasing claim shard {0}", shard);
                mClaimService.releaseShard(shard);
            } else if (isOwner && !owned.contains(shard)) {
                acquireWhenDue(shard);
            }
        }
    }

    private void acquireWhenDue(int shard) {
        long now = mClock.nanoTime();
        if (now >= mNextAttemptNanos.getOrDefault(shard, now)) {
            acquire(shard);
        }
    }

    /** Acquires a shard, or joins an acquisition that is in progress. */
    private CompletableFuture<Void> acquire(int shard) {
        CompletableFuture<Void> pending = mPendingAcquisitions.get(shard);
        if (pending != null) {
            return pending;
        }
        CompletableFuture<Void> acquisition = new CompletableFuture<>();
        mPendingAcquisitions.put(shard, acquisition);
        mClaimService
                .acquireShard(shard)
                .whenComplete(
                        (done, failure) -> {
                            mPendingAcquisitions.remove(shard);
                            mNextAttemptNanos.put(
                                    shard, mClock.nanoTime() + ACQUIRE_RETRY_DELAY.toNanos());
                            if (failure == null) {
                                acquisition.complete(null);
                                return;
                            }
                            LOGGER.log(
                                    System.Logger.Level.INFO,
                                    "failed to acquire claim shard {0}: {1}",
                                    shard,
                                    SesamedeckException.from(failure).code());
                            acquisition.completeExceptionally(failure);
                        });
        return acquisition;
    }

    /** Releases all shards and acquires no others. */
    public void stop() {
        mIsStopped = true;
        mClaimService.close();
    }

    /**
     * Handles a claim.
     *
     * @param isFromEntry whether it comes from the entry process of this host
     * @return completes with a claim reply, whose state is UNAVAILABLE after a failure
     */
    public CompletableFuture<Envelope> onClaim(ClaimRequest request, boolean isFromEntry) {
        ClaimKey key = ClaimKey.ofHash(request.getKeyHash().toByteArray());
        Optional<Member> owner = ownerOf(mClaimService.shardOf(key));
        CompletableFuture<Envelope> reply;
        if (!isFromEntry || owner.isEmpty() || isSelf(owner.get())) {
            reply = claimLocally(key, request);
        } else {
            Envelope message = Envelopes.builder().setClaimRequest(request).build();
            reply =
                    mTransport
                            .call(owner.get().address(), message, timeout(request))
                            .whenComplete(
                                    (response, failure) -> {
                                        if (failure != null) {
                                            sendAbandonment(owner.get(), request);
                                        }
                                    });
        }
        return reply.exceptionally(failure -> unavailable(SesamedeckException.from(failure)));
    }

    private static Duration timeout(ClaimRequest request) {
        Duration deadline = Duration.ofMillis(request.getDeadlineMillis());
        return deadline.compareTo(MAX_CALL_TIMEOUT) < 0 ? deadline : MAX_CALL_TIMEOUT;
    }

    private CompletableFuture<Envelope> claimLocally(ClaimKey key, ClaimRequest request) {
        long deadlineNanos =
                mClock.nanoTime() + Duration.ofMillis(request.getDeadlineMillis()).toNanos();
        int shard = mClaimService.shardOf(key);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        claim(key, request, deadlineNanos)
                // A separate task, because the service fails the claim before it drops the shard.
                .whenCompleteAsync(
                        (firstResult, failure) -> {
                            boolean isShardLost =
                                    mHasTicked
                                            && failure != null
                                            && !mClaimService.ownedShards().contains(shard);
                            boolean isOwner = ownerOf(shard).filter(this::isSelf).isPresent();
                            if (!isShardLost || !isOwner || mIsStopped) {
                                complete(result, firstResult, failure);
                                return;
                            }
                            // Another node acquired the shard while it ranked first in its local
                            // view. An idle owner detects this only at the next claim, so the same
                            // attempt is repeated once after the shard is reacquired.
                            acquire(shard)
                                    .thenCompose(acquired -> claim(key, request, deadlineNanos))
                                    .whenComplete(
                                            (secondResult, secondFailure) ->
                                                    complete(result, secondResult, secondFailure));
                        },
                        mScheduler);
        return result.whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                // The claim may still become durable, but its attempt is abandoned.
                                mClaimService.abandon(key, request.getAttempt());
                            }
                        })
                .thenApply(ClaimForwarder::toReply);
    }

    private static void complete(
            CompletableFuture<ClaimResult> result, ClaimResult value, Throwable failure) {
        if (failure == null) {
            result.complete(value);
        } else {
            result.completeExceptionally(SesamedeckException.from(failure));
        }
    }

    private CompletableFuture<ClaimResult> claim(
            ClaimKey key, ClaimRequest request, long deadlineNanos) {
        return mClaimService.claim(
                new ClaimAttempt(
                        key,
                        HexFormat.of().formatHex(request.getRequestDigest().toByteArray()),
                        request.getAttempt(),
                        Duration.ofNanos(Math.max(0, deadlineNanos - mClock.nanoTime()))));
    }

    /**
     * Tells the owner to free a claim whose reply did not arrive: the entry process receives
     * UNAVAILABLE and never forwards the attempt to an endpoint.
     */
    private void sendAbandonment(Member owner, ClaimRequest request) {
        ClaimCompletion completion =
                ClaimCompletion.newBuilder()
                        .setKeyHash(request.getKeyHash())
                        .setAttempt(request.getAttempt())
                        .build();
        mTransport.send(
                owner.address(), Envelopes.builder().setClaimCompletion(completion).build());
    }

    private static Envelope unavailable(SesamedeckException failure) {
        return Envelopes.builder()
                .setClaimReply(
                        ClaimReply.newBuilder()
                                .setState(ClaimReply.State.UNAVAILABLE)
                                .setMessage(failure.code() + ": " + failure.getMessage())
                                .setRetryAfterMillis(
                                        failure.retryAfter().orElse(RETRY_AFTER).toMillis()))
                .build();
    }

    private static Envelope toReply(ClaimResult result) {
        ClaimReply.Builder reply =
                ClaimReply.newBuilder().setState(ClaimReply.State.valueOf(result.state().name()));
        if (reply.getState() == ClaimReply.State.IN_PROGRESS) {
            reply.setRetryAfterMillis(RETRY_AFTER.toMillis());
        }
        result.outcome()
                .ifPresent(
                        outcome ->
                                reply.setOutcome(
                                        StoredOutcome.newBuilder()
                                                .setStatus(outcome.status())
                                                .setContentType(outcome.contentType())
                                                .setBody(ByteString.copyFrom(outcome.body()))
                                                .setIsTruncated(outcome.isTruncated())));
        return Envelopes.builder().setClaimReply(reply).build();
    }

    /**
     * Handles the completion or abandonment of an attempt.
     *
     * @param isFromEntry whether it comes from the entry process of this host
     * @return completes with an acknowledgement when the change is durable
     */
    public CompletableFuture<Envelope> onCompletion(
            ClaimCompletion completion, boolean isFromEntry) {
        ClaimKey key = ClaimKey.ofHash(completion.getKeyHash().toByteArray());
        Optional<Member> owner = ownerOf(mClaimService.shardOf(key));
        if (owner.isEmpty()) {
            return CompletableFuture.failedFuture(
                    SesamedeckException.of(ResultCode.CLAIMS_UNAVAILABLE, "no owner is known"));
        }
        if (isFromEntry && !isSelf(owner.get())) {
            return mTransport.call(
                    owner.get().address(),
                    Envelopes.builder().setClaimCompletion(completion).build(),
                    MAX_CALL_TIMEOUT);
        }
        CompletableFuture<Void> done =
                completion.hasOutcome()
                        ? mClaimService.complete(
                                key, completion.getAttempt(), toOutcome(completion.getOutcome()))
                        : mClaimService.abandon(key, completion.getAttempt());
        return done.thenApply(nothing -> Envelopes.acknowledgement());
    }

    private static ClaimOutcome toOutcome(StoredOutcome outcome) {
        return new ClaimOutcome(
                outcome.getStatus(),
                outcome.getContentType(),
                outcome.getBody().toByteArray(),
                outcome.getIsTruncated());
    }
}
