package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which prompt part is held responsible for the crashes of endpoints.
 *
 * <p>An endpoint crashes with dozens of calls on it, and each of their prompts has parts that
 * hundreds of callers share, so being there is no proof. What tells the responsible part from the
 * others is that it is never answered: every endpoint that begins to answer it crashes. Sound parts
 * are answered again soon, which refutes the crashes before (see {@link PartEvidence}). Four more
 * conditions protect the sound parts that are rare:
 *
 * <ul>
 *   <li>Several crashes at different times. One or two may be chance, and many at the same time are
 *       one failure of a failure domain.
 *   <li>More crashes than any other suspect that was there, and of two with the same crashes the
 *       one deeper in the prompt, since fewer requests have it. Otherwise the parts that always
 *       precede a harmful one would be refused together with it. Parts that were answered a short
 *       time ago are no rivals of one that was not.
 *   <li>No other part that is quarantined already accounts for the crashes.
 *   <li>Calls without the part are answered meanwhile. If nothing is answered, the endpoints fail
 *       by themselves, and refusing the part would help nobody.
 * </ul>
 *
 * <p>A part that was answered a short time ago has to show more crashes over a longer time. One
 * whose answers had begun at the crashes has to show one more: dozens of sound answers are on their
 * way then, and their parts are no rivals of one whose answers never begin.
 */
final class ResponsibilityPolicy {
    /** Crashes that make a part responsible if it has not been answered lately. */
    static final int REQUIRED_CRASHES = 3;

    /** Crashes for a part whose answers had begun. */
    private static final int REQUIRED_CRASHES_IF_BEGUN = 4;

    /** Crashes for a part that was answered lately, or that no depth tells from another suspect. */
    private static final int REQUIRED_CRASHES_IN_DOUBT = 5;

    /** Least time from the first to the last of the crashes in doubt. */
    private static final Duration REQUIRED_TIME_IN_DOUBT = Duration.ofSeconds(2);

    /** Time for which an answer speaks for a part. */
    static final Duration ANSWER_MEMORY = Duration.ofMinutes(1);

    private ResponsibilityPolicy() {}

    /** A suspect with the crashes that count against it. */
    private record Suspect(
            PartEvidence evidence, List<EndpointCrash> crashes, boolean isAnsweredLately) {
        int unbegunCrashes() {
            return (int) crashes.stream().filter(crash -> !crash.hadBegun()).count();
        }

        /** Returns whether enough endpoints crashed before they began to answer the part. */
        boolean isUnbegun() {
            return unbegunCrashes() >= REQUIRED_CRASHES;
        }

        boolean sharesCrashWith(Suspect other) {
            Set<String> endpoints = evidence.crashedEndpoints();
            return other.crashes.stream().anyMatch(crash -> endpoints.contains(crash.endpoint()));
        }
    }

    /**
     * Returns the part that is to be quarantined next; empty when the evidence suffices for none.
     */
    static Optional<PartEvidence> responsible(Collection<PartEvidence> evidences, long nowNanos) {
        Set<String> explained = new HashSet<>();
        evidences.stream()
                .filter(evidence -> evidence.quarantine().isPresent())
                .forEach(evidence -> explained.addAll(evidence.crashedEndpoints()));
        List<Suspect> suspects =
                evidences.stream()
                        .filter(evidence -> evidence.quarantine().isEmpty())
                        .filter(evidence -> !evidence.crashes().isEmpty())
                        .map(
                                evidence ->
                                        new Suspect(
                                                evidence,
                                                evidence.countedCrashes(explained, nowNanos),
                                                evidence.isAnsweredWithin(ANSWER_MEMORY, nowNanos)))
                        .filter(suspect -> !suspect.crashes.isEmpty())
                        .toList();
        return suspects.stream()
                .filter(ResponsibilityPolicy::isProven)
                .filter(suspect -> isLeading(suspect, suspects))
                .max(
                        Comparator.<Suspect>comparingInt(suspect -> suspect.crashes.size())
                                .thenComparingInt(suspect -> suspect.evidence.depth()))
                .map(Suspect::evidence);
    }

    private static boolean isProven(Suspect suspect) {
        if (!suspect.evidence.wasAnsweredWithoutPart()) {
            return false;
        }
        return suspect.isAnsweredLately
                ? isProvenInDoubt(suspect)
                : suspect.isUnbegun() || suspect.crashes.size() >= REQUIRED_CRASHES_IF_BEGUN;
    }

    private static boolean isProvenInDoubt(Suspect suspect) {
        int count = suspect.crashes.size();
        return count >= REQUIRED_CRASHES_IN_DOUBT
                && suspect.crashes.get(count - 1).atNanos() - suspect.crashes.get(0).atNanos()
                        >= REQUIRED_TIME_IN_DOUBT.toNanos();
    }

    private static boolean isLeading(Suspect suspect, List<Suspect> suspects) {
        for (Suspect other : suspects) {
            boolean isSound = other.isAnsweredLately && !suspect.isAnsweredLately;
            if (other == suspect || isSound || !suspect.sharesCrashWith(other)) {
                continue;
            }
            int more =
                    suspect.isUnbegun()
                            ? other.unbegunCrashes() - suspect.unbegunCrashes()
                            : other.crashes.size() - suspect.crashes.size();
            int deeper = other.evidence.depth() - suspect.evidence.depth();
            boolean isEqual = more == 0 && deeper == 0;
            if (more > 0 || more == 0 && deeper > 0 || isEqual && !isProvenInDoubt(suspect)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a quarantined part is innocent now that another one accounts for its crashes.
     */
    static boolean isExplainedBy(PartEvidence quarantined, PartEvidence other) {
        Set<String> crashes = quarantined.crashedEndpoints();
        Set<String> otherCrashes = other.crashedEndpoints();
        return quarantined != other
                && otherCrashes.size() > crashes.size()
                && otherCrashes.containsAll(crashes);
    }
}
