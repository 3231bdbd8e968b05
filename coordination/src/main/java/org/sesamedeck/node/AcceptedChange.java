package org.sesamedeck.node;

/**
 * One accepted change of the configuration.
 *
 * @param version version that the change produced
 * @param candidateVersion object version of the candidate
 * @param author author of the candidate
 * @param note reason that the author gave
 * @param time wall-clock time of the acceptance, ISO 8601
 * @param holder node that accepted it
 * @param fencingNumber fencing number of its lease
 * @param digest SHA-256 of both texts
 * @param previousDigest SHA-256 of both texts before; empty for the first version
 */
public record AcceptedChange(
        long version,
        long candidateVersion,
        String author,
        String note,
        String time,
        String holder,
        long fencingNumber,
        String digest,
        String previousDigest) {
    /** Returns the number that identifies the audit entry for this change. */
    public String auditNumber() {
        return "configuration-" + version;
    }
}
