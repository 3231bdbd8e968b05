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
 * Takes the claims of the entry process to the owners of their shards and relays the answers. A
 * claim that comes from another node is answered here or refused, never forwarded again. Also takes
 * over and gives up shards as the membership changes. Confined to the control thread.
 */
public final class ClaimForwarder {
    private static final System.Logger LOGGER = System.getLogger(ClaimForwarder.class.getName());
    private static final Duration MAX_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration TAKE_OVER_RETRY = Duration.ofMillis(500);

    private final Clock mClock;
    private final ControlScheduler mScheduler;
    private final ClaimService mClaims;
    private final int mShards;
    private final CoordinationNode mNode;
    private final PeerTransport mTransport;
    private final Map<Integer, CompletableFuture<Void>> mLoading = new HashMap<>();
    private final Map<Integer, Long> mNotBefore = new HashMap<>();
    private boolean mIsStarted;
    private boolean mIsStopped;

    private ClaimForwarder(
            Clock clock,
            ControlScheduler scheduler,
            ClaimService claims,
            int shards,
            CoordinationNode node,
            PeerTransport transport) {
        mClock = clock;
        mScheduler = scheduler;
        mClaims = claims;
        mShards = shards;
        mNode = node;
        mTransport = transport;
    }

    /**
     * Returns a forwarder that owns no shard yet.
     *
     * @param shards number of shards, the same on all nodes
     */
    public static ClaimForwarder create(
            Clock clock,
            ControlScheduler scheduler,
            ClaimService claims,
            int shards,
            CoordinationNode node,
            PeerTransport transport) {
        return new ClaimForwarder(clock, scheduler, claims, shards, node, transport);
    }

    private Optional<Member> ownerOf(int shard) {
        return mNode.ranking().first("claims/" + shard);
    }

    private boolean isSelf(Member member) {
        return member.name().equals(mNode.membership().self().name());
    }

    /** Takes over shards that this node ranks first for, and gives up the others. */
    public void tick() {
        if (mIsStopped) {
            return;
        }
        mIsStarted = true;
        Set<Integer> owned = mClaims.ownedShards();
        for (int shard = 0; shard < mShards; shard++) {
            boolean isOwner = ownerOf(shard).filter(this::isSelf).isPresent();
            if (!isOwner && owned.contains(shard)) {
                LOGGER.log(System.Logger.Level.INFO, "giving up claim shard {0}", shard);
                mClaims.releaseShard(shard);
            } else if (isOwner && !owned.contains(shard)) {
                acquireShard(shard);
            }
        }
    }

    private void acquireShard(int shard) {
        long now = mClock.nanoTime();
        if (now >= mNotBefore.getOrDefault(shard, now)) {
            load(shard);
        }
    }

    /** Takes a shard over, or joins the attempt that is under way. */
    private CompletableFuture<Void> load(int shard) {
        CompletableFuture<Void> running = mLoading.get(shard);
        if (running != null) {
            return running;
        }
        CompletableFuture<Void> loading = new CompletableFuture<>();
        mLoading.put(shard, loading);
        mClaims.acquireShard(shard)
                .whenComplete(
                        (done, failure) -> {
                            mLoading.remove(shard);
                            mNotBefore.put(shard, mClock.nanoTime() + TAKE_OVER_RETRY.toNanos());
                            if (failure == null) {
                                loading.complete(null);
                                return;
                            }
                            LOGGER.log(
                                    System.Logger.Level.INFO,
                                    "claim shard {0} not taken over: {1}",
                                    shard,
                                    SesamedeckException.from(failure).code());
                            loading.completeExceptionally(failure);
                        });
        return loading;
    }

    /** Gives up all shards and takes over no other. */
    public void stop() {
        mIsStopped = true;
        mClaims.close();
    }

    /**
     * Handles a claim.
     *
     * @param isFromEntry whether it comes from the entry process of this host
     */
    public CompletableFuture<Envelope> onClaim(ClaimRequest request, boolean isFromEntry) {
        ClaimKey key = ClaimKey.ofHash(request.getKeyHash().toByteArray());
        Optional<Member> owner = ownerOf(mClaims.shardOf(key));
        CompletableFuture<Envelope> reply;
        if (!isFromEntry || owner.isEmpty() || isSelf(owner.get())) {
            reply = claimHere(key, request);
        } else {
            Envelope message = Envelopes.builder().setClaimRequest(request).build();
            reply =
                    mTransport
                            .call(owner.get().address(), message, timeout(request))
                            .whenComplete(
                                    (answer, failure) -> {
                                        if (failure != null) {
                                            abandon(owner.get(), request);
                                        }
                                    });
        }
        return reply.exceptionally(failure -> unavailable(SesamedeckException.from(failure)));
    }

    private static Duration timeout(ClaimRequest request) {
        Duration deadline = Duration.ofMillis(request.getDeadlineMillis());
        return deadline.compareTo(MAX_TIMEOUT) < 0 ? deadline : MAX_TIMEOUT;
    }

    private CompletableFuture<Envelope> claimHere(ClaimKey key, ClaimRequest request) {
        long end = mClock.nanoTime() + Duration.ofMillis(request.getDeadlineMillis()).toNanos();
        int shard = mClaims.shardOf(key);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        claim(key, request, end)
                // A task of its own, because the service fails the claim before it drops the shard.
                .whenCompleteAsync(
                        (first, failure) -> {
                            boolean isLost =
                                    mIsStarted
                                            && failure != null
                                            && !mClaims.ownedShards().contains(shard);
                            boolean isOwner = ownerOf(shard).filter(this::isSelf).isPresent();
                            if (!isLost || !isOwner || mIsStopped) {
                                complete(result, first, failure);
                                return;
                            }
                            // Another node took the shard while it was first in its own view. An
                            // idle owner notices only now, so the same attempt asks once more.
                            load(shard)
                                    .thenCompose(loaded -> claim(key, request, end))
                                    .whenComplete(
                                            (second, secondFailure) ->
                                                    complete(result, second, secondFailure));
                        },
                        mScheduler);
        return result.whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                // It may still become durable, but the attempt is given up.
                                mClaims.abandon(key, request.getAttempt());
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

    private CompletableFuture<ClaimResult> claim(ClaimKey key, ClaimRequest request, long end) {
        return mClaims.claim(
                new ClaimAttempt(
                        key,
                        HexFormat.of().formatHex(request.getRequestDigest().toByteArray()),
                        request.getAttempt(),
                        Duration.ofNanos(Math.max(0, end - mClock.nanoTime()))));
    }

    /**
     * Frees a claim whose answer did not come: the entry process is told "unavailable" and never
     * forwards the attempt.
     */
    private void abandon(Member owner, ClaimRequest request) {
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
     * Handles the end of an attempt.
     *
     * @return completes with an acknowledgement when it is durable
     */
    public CompletableFuture<Envelope> onCompletion(
            ClaimCompletion completion, boolean isFromEntry) {
        ClaimKey key = ClaimKey.ofHash(completion.getKeyHash().toByteArray());
        Optional<Member> owner = ownerOf(mClaims.shardOf(key));
        if (owner.isEmpty()) {
            return CompletableFuture.failedFuture(
                    SesamedeckException.of(ResultCode.CLAIMS_UNAVAILABLE, "no owner is known"));
        }
        if (isFromEntry && !isSelf(owner.get())) {
            return mTransport.call(
                    owner.get().address(),
                    Envelopes.builder().setClaimCompletion(completion).build(),
                    MAX_TIMEOUT);
        }
        CompletableFuture<Void> done =
                completion.hasOutcome()
                        ? mClaims.complete(
                                key, completion.getAttempt(), toOutcome(completion.getOutcome()))
                        : mClaims.abandon(key, completion.getAttempt());
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
