package org.sesamedeck.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.quarantine.PartKey;
import org.sesamedeck.routing.quarantine.PartQuarantine;
import org.sesamedeck.routing.quarantine.QuarantinedPart;

/**
 * Applies the quarantine of prompt parts to one chat request. Its messages are the parts, each for
 * the client account that sent it, so that no caller can have the messages of another account
 * refused.
 */
final class ChatPromptGuard {
    /** An engine that crashes under a message does so well within this time of its first event. */
    private static final Duration LONG_ANSWER_TIME = Duration.ofSeconds(1);

    private final PartQuarantine mQuarantine;
    private final Router mRouter;
    private final Clock mClock;
    private final List<PartKey> mParts;
    private boolean mIsTest;
    private long mBeganNanos;
    private long mLastEventNanos;
    private boolean mHasBegun;

    private ChatPromptGuard(
            PartQuarantine quarantine, Router router, Clock clock, List<PartKey> parts) {
        mQuarantine = quarantine;
        mRouter = router;
        mClock = clock;
        mParts = parts;
    }

    static ChatPromptGuard of(RelayContext context, ChatRequest request, String clientAccount) {
        List<PartKey> parts = new ArrayList<>();
        for (long hash : request.messageHashes()) {
            parts.add(PartKey.of(request.model(), hash * 31 + clientAccount.hashCode()));
        }
        return new ChatPromptGuard(
                context.quarantine(), context.router(), context.clock(), List.copyOf(parts));
    }

    /**
     * Lets the request pass unless one of its messages is quarantined.
     *
     * @throws CallerException with PART_QUARANTINED and the time until the message is tested
     */
    void check() {
        QuarantinedPart part = mQuarantine.find(mParts).orElse(null);
        mIsTest = part != null && mQuarantine.tryTest(mParts);
        if (part != null && !mIsTest) {
            throw CallerException.retryAfter(
                    ResultCode.PART_QUARANTINED,
                    part.endpoints().size()
                            + " engines crashed under requests with message "
                            + mParts.indexOf(part.part()),
                    Optional.of(part.retryAfter()));
        }
    }

    /** Returns whether the request may be sent to another engine after one has crashed. */
    boolean mayRepeat() {
        return !mIsTest && mQuarantine.mayRepeat(mParts);
    }

    /**
     * Records that an engine was lost after it had received the request and before it had answered
     * for long.
     */
    void interrupted(String endpoint) {
        boolean isLongAnswer = mLastEventNanos - mBeganNanos >= LONG_ANSWER_TIME.toNanos();
        if (!isLongAnswer && mRouter.isServing(endpoint)) {
            mQuarantine.interrupted(mParts, endpoint, mHasBegun);
        }
    }

    /** Records an event of an answer by its number, from 1. */
    void received(long number) {
        mLastEventNanos = mClock.nanoTime();
        if (number == 1) {
            mHasBegun = true;
            mBeganNanos = mLastEventNanos;
        }
    }

    /** Records the end of an answer that is complete. */
    void answered() {
        mQuarantine.answered(mParts, mBeganNanos);
    }
}
