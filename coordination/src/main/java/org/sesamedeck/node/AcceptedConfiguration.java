package org.sesamedeck.node;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.sesamedeck.core.Configuration;
import org.sesamedeck.core.ConfigurationParser;

/**
 * Value of {@code configuration/accepted} and, without the audit, of the document {@code
 * configuration}.
 *
 * @param version accepted version; the next one is always larger by one
 * @param plans text of the list of plans and client accounts
 * @param entitlements text of the list of entitlements
 * @param candidateVersion object version of the candidate it came from
 * @param digest SHA-256 of both texts in hexadecimal
 * @param nodes nodes of the host list when it was accepted; a majority of them had acknowledged the
 *     version
 * @param audit last changes, the latest first
 */
public record AcceptedConfiguration(
        long version,
        String plans,
        String entitlements,
        long candidateVersion,
        String digest,
        List<String> nodes,
        List<AcceptedChange> audit) {
    /** Key of the document that disseminates the accepted configuration. */
    public static final String DOCUMENT_KEY = "configuration";

    /** Maximum number of changes in the audit. */
    public static final int MAX_AUDIT_ENTRIES = 50;

    /** Replaces absent fields by empty ones. */
    public AcceptedConfiguration {
        plans = plans == null ? "" : plans;
        entitlements = entitlements == null ? "" : entitlements;
        digest = digest == null ? "" : digest;
        nodes = nodes == null ? List.of() : List.copyOf(nodes);
        audit = audit == null ? List.of() : List.copyOf(audit);
    }

    /** Returns the state before any version was accepted. */
    public static AcceptedConfiguration none() {
        return new AcceptedConfiguration(0, "", "", 0, "", List.of(), List.of());
    }

    /** Returns the JSON form. */
    public String toJson() {
        return JsonCodec.format(this);
    }

    /** Returns the document that disseminates this version. */
    public VersionedDocument toDocument() {
        AcceptedConfiguration content =
                new AcceptedConfiguration(
                        version, plans, entitlements, candidateVersion, digest, nodes, List.of());
        return VersionedDocument.of(DOCUMENT_KEY, version, content.toJson());
    }

    /**
     * Reads the JSON form.
     *
     * @throws org.sesamedeck.core.SesamedeckException with INVALID_CONFIGURATION when the text is
     *     not valid JSON of this type
     */
    public static AcceptedConfiguration parse(String json) {
        return JsonCodec.parse("configuration/accepted", json, AcceptedConfiguration.class);
    }

    /**
     * Returns the parsed lists; empty lists for version 0.
     *
     * @throws org.sesamedeck.core.SesamedeckException with INVALID_CONFIGURATION when a list has
     *     errors
     */
    public Configuration toConfiguration() {
        return version == 0
                ? Configuration.empty()
                : ConfigurationParser.parse(version, plans, entitlements).orThrow();
    }

    /**
     * Returns the SHA-256 of two texts in hexadecimal. The length of the first text is part of the
     * input, so that the digest changes when characters move from one text to the other.
     */
    public static String digestOf(String plans, String entitlements) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((plans.length() + ":").getBytes(StandardCharsets.UTF_8));
            digest.update(plans.getBytes(StandardCharsets.UTF_8));
            digest.update(entitlements.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", impossible);
        }
    }
}
