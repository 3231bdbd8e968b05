package org.sesamedeck.node;

/**
 * Value of {@code configuration/lists}: the lists that an operator proposes.
 *
 * @param plans text of the list of plans and client accounts
 * @param entitlements text of the list of entitlements
 * @param author author of the lists
 * @param note reason that the author gave
 */
public record CandidateLists(String plans, String entitlements, String author, String note) {
    /** Replaces absent fields by empty texts. */
    public CandidateLists {
        plans = plans == null ? "" : plans;
        entitlements = entitlements == null ? "" : entitlements;
        author = author == null ? "" : author;
        note = note == null ? "" : note;
    }

    /** Returns the JSON form. */
    public String toJson() {
        return JsonCodec.format(this);
    }

    /**
     * Reads the JSON form.
     *
     * @throws org.sesamedeck.core.SesamedeckException with INVALID_CONFIGURATION when the text is
     *     not valid JSON of this type
     */
    public static CandidateLists parse(String json) {
        return JsonCodec.parse("configuration/lists", json, CandidateLists.class);
    }
}
