package org.sesamedeck.routing.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which prompt part is held responsible for the ends of endpoints.
 *
 * <p>An endpoint ends with dozens of calls on it, and each of their prompts has parts that hundreds
 * of callers share, so being there is no proof. What tells the responsible part from the others is
 * that it is never answered: every endpoint that begins to answer it ends. Sound parts are answered
 * again soon, which refutes the ends before (see {@link PartEvidence}). Four more conditions
 * protect the sound parts that are rare:
 *
 * <ul>
 *   <li>Several ends at different times. One or two may be chance, and many at the same time are
 *       one failure of a failure domain.
 *   <li>More ends than any other suspect that was there, and of two with the same ends the one
 *       deeper in the prompt, since fewer requests have it. Otherwise the parts that always precede
 *       a harmful one would be refused together with it. Parts that were answered a short time ago
 *       are no rivals of one that was not.
 *   <li>No other part that is quarantined already accounts for the ends.
 *   <li>Calls without the part are answered meanwhile. If nothing is answered, the endpoints fail
 *       by themselves, and refusing the part would help nobody.
 * </ul>
 *
 * <p>A part that was answered a short time ago has to show more ends over a longer time.
 */
final class ResponsibilityPolicy {
    /** Ends that make a part responsible if it has not been answered lately. */
    static final int REQUIRED_ENDS = 3;

    /** Ends for a part that was answered lately, or that no depth tells from another suspect. */
    private static final int REQUIRED_ENDS_IN_DOUBT = 5;

    /** Least time from the first to the last of the ends in doubt. */
    private static final Duration REQUIRED_TIME_IN_DOUBT = Duration.ofSeconds(2);

    /** Time for which an answer speaks for a part. */
    static final Duration ANSWER_MEMORY = Duration.ofMinutes(1);

    private ResponsibilityPolicy() {}

    /** A suspect with the ends that count against it. */
    private record Suspect(
            PartEvidence evidence, List<EndpointEnd> ends, boolean isAnsweredLately) {
        boolean sharesEndWith(Suspect other) {
            Set<String> endpoints = evidence.endedEndpoints();
            return other.ends.stream().anyMatch(end -> endpoints.contains(end.endpoint()));
        }
    }

    /**
     * Returns the part that is to be quarantined next; empty when the evidence suffices for none.
     */
    static Optional<PartEvidence> responsible(Collection<PartEvidence> evidences, long nowNanos) {
        Set<String> explained = new HashSet<>();
        evidences.stream()
                .filter(evidence -> evidence.quarantine().isPresent())
                .forEach(evidence -> explained.addAll(evidence.endedEndpoints()));
        List<Suspect> suspects =
                evidences.stream()
                        .filter(evidence -> evidence.quarantine().isEmpty())
                        .filter(evidence -> !evidence.ends().isEmpty())
                        .map(
                                evidence ->
                                        new Suspect(
                                                evidence,
                                                evidence.countedEnds(explained, nowNanos),
                                                evidence.isAnsweredWithin(ANSWER_MEMORY, nowNanos)))
                        .filter(suspect -> !suspect.ends.isEmpty())
                        .toList();
        return suspects.stream()
                .filter(ResponsibilityPolicy::isProven)
                .filter(suspect -> isLeading(suspect, suspects))
                .max(
                        Comparator.<Suspect>comparingInt(suspect -> suspect.ends.size())
                                .thenComparingInt(suspect -> suspect.evidence.depth()))
                .map(Suspect::evidence);
    }

    private static boolean isProven(Suspect suspect) {
        if (!suspect.evidence.wasAnsweredWithoutPart()) {
            return false;
        }
        return suspect.isAnsweredLately
                ? isProvenInDoubt(suspect)
                : suspect.ends.size() >= REQUIRED_ENDS;
    }

    private static boolean isProvenInDoubt(Suspect suspect) {
        int count = suspect.ends.size();
        return count >= REQUIRED_ENDS_IN_DOUBT
                && suspect.ends.get(count - 1).atNanos() - suspect.ends.get(0).atNanos()
                        >= REQUIRED_TIME_IN_DOUBT.toNanos();
    }

    private static boolean isLeading(Suspect suspect, List<Suspect> suspects) {
        for (Suspect other : suspects) {
            boolean isSound = other.isAnsweredLately && !suspect.isAnsweredLately;
            if (other == suspect || isSound || !suspect.sharesEndWith(other)) {
                continue;
            }
            int more = other.ends.size() - suspect.ends.size();
            int deeper = other.evidence.depth() - suspect.evidence.depth();
            boolean isEqual = more == 0 && deeper == 0;
            if (more > 0 || more == 0 && deeper > 0 || isEqual && !isProvenInDoubt(suspect)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a quarantined part is innocent now that another one accounts for its ends.
     */
    static boolean isExplainedBy(PartEvidence quarantined, PartEvidence other) {
        Set<String> ends = quarantined.endedEndpoints();
        Set<String> otherEnds = other.endedEndpoints();
        return quarantined != other
                && otherEnds.size() > ends.size()
                && otherEnds.containsAll(ends);
    }
}
