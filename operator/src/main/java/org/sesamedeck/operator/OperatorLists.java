package org.sesamedeck.operator;

import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.ListChange;
import org.sesamedeck.core.ListsDifference;
import org.sesamedeck.node.AcceptedChange;
import org.sesamedeck.node.AcceptedConfiguration;
import org.sesamedeck.node.CandidateLists;

/**
 * Both lists as operators wrote them.
 *
 * @param version version of the object with the candidate lists, or of the accepted configuration;
 *     0 when it does not exist yet
 * @param plansIni text of the list of plans and client accounts
 * @param entitlementsIni text of the list of entitlements
 * @param author who wrote this version
 * @param note the author's reason for the change
 */
record OperatorLists(
        long version, String plansIni, String entitlementsIni, String author, String note) {
    /** Returns the lists of a stored candidate. */
    static OperatorLists of(long version, CandidateLists candidate) {
        return new OperatorLists(
                version,
                candidate.plans(),
                candidate.entitlements(),
                candidate.author(),
                candidate.note());
    }

    /** Returns the lists of an accepted configuration; the author is that of its last change. */
    static OperatorLists of(AcceptedConfiguration accepted) {
        Optional<AcceptedChange> change = accepted.audit().stream().findFirst();
        return new OperatorLists(
                accepted.version(),
                accepted.plans(),
                accepted.entitlements(),
                change.map(AcceptedChange::author).orElse(""),
                change.map(AcceptedChange::note).orElse(""));
    }

    CandidateLists toCandidate() {
        return new CandidateLists(plansIni, entitlementsIni, author, note);
    }

    static OperatorLists none() {
        return new OperatorLists(0, "", "", "", "");
    }

    /** Returns every value that differs from an earlier version, in both lists. */
    List<ListChange> changesSince(OperatorLists earlier) {
        return ListsDifference.betweenBoth(
                earlier.plansIni, earlier.entitlementsIni, plansIni, entitlementsIni);
    }
}
