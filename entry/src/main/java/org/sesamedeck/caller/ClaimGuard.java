package org.sesamedeck.caller;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.sesamedeck.core.Execution;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.entry.control.ControlClient;
import org.sesamedeck.wire.generated.ClaimCompletion;
import org.sesamedeck.wire.generated.ClaimReply;
import org.sesamedeck.wire.generated.ClaimRequest;
import org.sesamedeck.wire.generated.StoredOutcome;

/**
 * Ensures that a request with an {@code Idempotency-Key} runs at most once. Nothing is sent to an
 * endpoint without a granted claim. When the result of a claim call is unknown, the claim is
 * abandoned and the attempt never runs.
 */
final class ClaimGuard {
    /** Header with the idempotency key; a request that has it must not run twice. */
    static final String HEADER = "Idempotency-Key";

    /** Largest response body that is stored with a claim, in bytes. */
    static final int MAX_STORED_BYTES = 4 * 1024;

    private static final int MAX_KEY_BYTES = 200;
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);

    private final ControlClient mControl;
    private final ByteString mKeyHash;
    private final String mAttemptId;
    private boolean mIsHeld;

    private ClaimGuard(ControlClient control, ByteString keyHash, String attemptId) {
        mControl = control;
        mKeyHash = keyHash;
        mAttemptId = attemptId;
    }

    /**
     * Returns a guard for an idempotency key.
     *
     * @param attemptId identifier under which the claim is made, unique among all requests
     * @throws CallerException with BAD_REQUEST when the key is empty or too long
     */
    static ClaimGuard of(
            ControlClient control, String clientAccount, String idempotencyKey, String attemptId) {
        byte[] keyBytes = idempotencyKey.getBytes(StandardCharsets.UTF_8);
        if (keyBytes.length == 0 || keyBytes.length > MAX_KEY_BYTES) {
            throw CallerException.of(
                    ResultCode.BAD_REQUEST, HEADER + " must have 1 to " + MAX_KEY_BYTES + " bytes");
        }
        byte[] hash =
                Digests.sha256OfParts(clientAccount.getBytes(StandardCharsets.UTF_8), keyBytes);
        return new ClaimGuard(control, ByteString.copyFrom(hash), attemptId);
    }

    /**
     * Claims the right to run the request.
     *
     * @return the stored outcome of an earlier attempt; empty when the claim was granted
     * @throws CallerException when this attempt may not run
     */
    Optional<StoredOutcome> claim(byte[] requestDigest, Duration remaining) {
        Duration wait = remaining.compareTo(MAX_CLAIM_WAIT) < 0 ? remaining : MAX_CLAIM_WAIT;
        ClaimRequest request =
                ClaimRequest.newBuilder()
                        .setKeyHash(mKeyHash)
                        .setRequestDigest(ByteString.copyFrom(requestDigest))
                        .setAttempt(mAttemptId)
                        .setDeadlineMillis(Math.max(1, remaining.toMillis()))
                        .build();
        ClaimReply reply;
        try {
            reply = mControl.claim(request, wait).join();
        } catch (CompletionException failure) {
            SesamedeckException cause = SesamedeckException.from(failure);
            abandon();
            throw CallerException.of(
                    ResultCode.CLAIMS_UNAVAILABLE,
                    "the claim could not be confirmed: " + cause.code().name());
        }
        Optional<Duration> retryAfter =
                Optional.of(reply.getRetryAfterMillis())
                        .filter(millis -> millis > 0)
                        .map(Duration::ofMillis);
        switch (reply.getState()) {
            case GRANTED -> {
                mIsHeld = true;
                return Optional.empty();
            }
            case DONE -> {
                return Optional.of(reply.getOutcome());
            }
            case IN_PROGRESS ->
                    throw CallerException.retryAfter(
                            ResultCode.IN_PROGRESS,
                            "an earlier attempt with this key is still running",
                            retryAfter);
            case OUTCOME_UNKNOWN ->
                    throw CallerException.of(
                            ResultCode.OUTCOME_UNKNOWN,
                            "an earlier attempt with this key has ended without a known outcome");
            case KEY_REUSED ->
                    throw CallerException.of(
                            ResultCode.KEY_REUSED, "this key was used for another request");
            default ->
                    throw CallerException.retryAfter(
                            ResultCode.CLAIMS_UNAVAILABLE,
                            reply.getMessage().isEmpty()
                                    ? "claims cannot be recorded now"
                                    : reply.getMessage(),
                            retryAfter);
        }
    }

    /** Adopts the claim of the attempt whose stream this request resumes. */
    void resume() {
        mIsHeld = true;
    }

    /** Stores the outcome; a body larger than {@link #MAX_STORED_BYTES} is omitted. */
    void recordOutcome(int status, String contentType, byte[] body, boolean isTruncated) {
        if (!mIsHeld) {
            return;
        }
        mIsHeld = false;
        boolean isTooLarge = isTruncated || body.length > MAX_STORED_BYTES;
        mControl.complete(
                ClaimCompletion.newBuilder()
                        .setKeyHash(mKeyHash)
                        .setAttempt(mAttemptId)
                        .setOutcome(
                                StoredOutcome.newBuilder()
                                        .setStatus(status)
                                        .setContentType(contentType)
                                        .setBody(
                                                isTooLarge
                                                        ? ByteString.EMPTY
                                                        : ByteString.copyFrom(body))
                                        .setIsTruncated(isTooLarge))
                        .build());
    }

    /**
     * Ends a claim after a failure. The claim is abandoned, which frees the key, only if the
     * attempt certainly did not run.
     */
    void failed(CallerException failure) {
        if (mIsHeld && failure.execution() == Execution.NO) {
            abandon();
        }
        mIsHeld = false;
    }

    private void abandon() {
        mControl.complete(
                ClaimCompletion.newBuilder().setKeyHash(mKeyHash).setAttempt(mAttemptId).build());
    }

    /** Returns the failure for a stored outcome whose body was too large to store. */
    static CallerException truncatedOutcome() {
        return CallerException.of(
                ResultCode.OUTCOME_UNKNOWN,
                Execution.YES,
                "an earlier attempt with this key was executed; its answer was too large to keep");
    }
}
