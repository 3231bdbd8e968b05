package org.sesamedeck.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.Clock;

/**
 * Chooses the process of a group to send to: the first by rank that responds.
 *
 * <p>No process announces that it fails, so a candidate that has been sent to without a response
 * for some time is left out for a while. Until a candidate has responded, the next one is sent to
 * as well, so that the loss of a relay costs at most the time that one response takes. Not
 * thread-safe.
 */
final class RelayChoice {
    /** Several rounds of messages. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(700);

    /** Time after which a silent candidate is tried again. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(4);

    /** Candidates that are tried at the same time while none responds. */
    private static final int MAX_TRIALS = 2;

    private final Clock mClock;
    private final Map<String, Candidate> mCandidates = new HashMap<>();

    /** Times in nanoseconds of monotonic time; 0 when the event has not happened. */
    private static final class Candidate {
        private long mHeardNanos;
        private long mTriedSinceNanos;
        private long mSilentSinceNanos;
    }

    RelayChoice(Clock clock) {
        mClock = clock;
    }

    /** Records a message from the candidate in its function as a relay. */
    void heard(String name) {
        Candidate candidate = mCandidates.computeIfAbsent(name, key -> new Candidate());
        candidate.mHeardNanos = mClock.nanoTime();
        candidate.mTriedSinceNanos = 0;
        candidate.mSilentSinceNanos = 0;
    }

    /** Returns whether the candidate has responded recently. */
    boolean isResponding(String name) {
        Candidate candidate = mCandidates.get(name);
        return candidate != null
                && candidate.mHeardNanos != 0
                && mClock.nanoTime() - candidate.mHeardNanos < MAX_SILENCE.toNanos();
    }

    /** Forgets candidates that are no longer registered. */
    void retain(List<String> names) {
        mCandidates.keySet().retainAll(names);
    }

    /**
     * Returns the candidates to send to now: the first that responds, and the first before it that
     * may be tried. While none responds, the first two that may be tried.
     *
     * @param ranked candidates by rank
     * @param self name of this process, which always responds
     */
    List<String> choose(List<String> ranked, String self) {
        Optional<String> responding =
                ranked.stream().filter(name -> name.equals(self) || isResponding(name)).findFirst();
        int trials = responding.isPresent() ? 1 : MAX_TRIALS;
        List<String> chosen = new ArrayList<>();
        for (String name : ranked) {
            if (chosen.size() >= trials || responding.map(name::equals).orElse(false)) {
                break;
            }
            if (mayTry(name)) {
                chosen.add(name);
            }
        }
        responding.ifPresent(chosen::add);
        return chosen;
    }

    private boolean mayTry(String name) {
        Candidate candidate = mCandidates.computeIfAbsent(name, key -> new Candidate());
        long now = mClock.nanoTime();
        if (candidate.mSilentSinceNanos != 0) {
            if (now - candidate.mSilentSinceNanos < RETRY_DELAY.toNanos()) {
                return false;
            }
            candidate.mSilentSinceNanos = 0;
            candidate.mTriedSinceNanos = 0;
        }
        if (candidate.mTriedSinceNanos == 0) {
            candidate.mTriedSinceNanos = now;
        } else if (now - candidate.mTriedSinceNanos > MAX_SILENCE.toNanos()) {
            candidate.mSilentSinceNanos = now;
            return false;
        }
        return true;
    }
}
