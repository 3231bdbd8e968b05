package org.sesamedeck.request;

import java.time.Duration;
import org.sesamedeck.routing.RequestPhase;
import org.sesamedeck.routing.RequestProfile;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.StartEstimate;

/** Decides whether the engines can take another answer, and until when one is worth starting. */
final class StartGate {
    /** Answers that hardly take part in a batch need not wait for room in it. */
    private static final int SHORT_ANSWER_EVENTS = 5;

    /** Part of the time left that may pass in line; later most answers would not end in time. */
    private static final double LONGEST_WAITING_PART = 0.3;

    /** A line that moves may still reach a request whose answer is expected to be very long. */
    private static final double SHORTEST_WAITING_PART = 0.1;

    /** Time from the end of a prompt's work to the caller's first event, on an idle engine. */
    private static final long FIRST_EVENT_NANOS = Duration.ofMillis(100).toNanos();

    private final Router mRouter;
    private final PhaseSplitPolicy mPhaseSplit;
    private final long mAnswerPaceNanos;

    private StartGate(Router router, PhaseSplitPolicy phaseSplit, RequestSettings settings) {
        mRouter = router;
        mPhaseSplit = phaseSplit;
        mAnswerPaceNanos = settings.answerPace().toNanos();
    }

    static StartGate of(Router router, PhaseSplitPolicy phaseSplit, RequestSettings settings) {
        return new StartGate(router, phaseSplit, settings);
    }

    /**
     * Returns the terms of a request that arrives now.
     *
     * @param nowNanos monotonic time of its arrival
     * @param deadlineNanos monotonic time of its deadline
     */
    StartTerms terms(Route route, RequestProfile profile, long nowNanos, long deadlineNanos) {
        long timeLeft = deadlineNanos - nowNanos;
        // A caller that returns after a refusal counts from its first attempt.
        long elapsed = Math.max(0, route.timeout().toNanos() - timeLeft);
        long first = promptNanos(profile) + FIRST_EVENT_NANOS;
        long answer = profile.expectedOutputTokens() * mAnswerPaceNanos;
        long untilTarget = route.targetLatency().toNanos() - elapsed - first;
        long untilTooLong = timeLeft - first - answer;
        long least = (long) (timeLeft * SHORTEST_WAITING_PART);
        long most = (long) (timeLeft * LONGEST_WAITING_PART);
        long untilAnswerIsLate = Math.max(least, Math.min(most, untilTooLong));
        long untilCallerLeaves = Math.max(0, route.firstEventPatience().toNanos() - first);
        return new StartTerms(
                route.priority(),
                nowNanos + Math.min(untilTarget, Math.max(least, untilTooLong)),
                Duration.ofNanos(Math.min(untilAnswerIsLate, untilCallerLeaves)));
    }

    private long promptNanos(RequestProfile profile) {
        RequestPhase phase = mPhaseSplit.firstPhase(profile, true);
        return mRouter.estimateStart(profile, phase).map(StartEstimate::promptNanos).orElse(0L);
    }

    /** Returns whether a request takes part in a batch for long enough to wait for room in it. */
    boolean needsRoom(RequestProfile profile) {
        return profile.isModelRequest() && profile.expectedOutputTokens() > SHORT_ANSWER_EVENTS;
    }

    /** Returns whether the engines can take another answer at the pace that is asked for. */
    boolean hasRoom(RequestProfile profile) {
        return mRouter.answerRoom(profile).isLeft();
    }
}
