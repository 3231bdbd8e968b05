package org.sesamedeck.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.node.AcceptedChange;
import org.sesamedeck.node.AcceptedConfiguration;
import org.sesamedeck.platform.StoredObject;

/**
 * One change as the audit command prints it.
 *
 * @param time time of the change, as ISO 8601 in UTC
 * @param actor node that made the change
 * @param cause who or what requested it
 * @param object name of the changed object
 * @param before value before the change; empty when there was none
 * @param after value after the change
 * @param fencingNumber fencing number under which the change was made
 */
record AuditRow(
        String time,
        String actor,
        String cause,
        String object,
        String before,
        String after,
        long fencingNumber) {

    private static final Comparator<AuditRow> LATEST_FIRST =
            Comparator.comparing(AuditRow::time).reversed();

    /**
     * Merges the audit objects with the changes that the accepted configuration carries; the latter
     * cover changes whose audit objects are delayed by an outage.
     */
    static List<AuditRow> merge(
            List<StoredObject> objects, Optional<AcceptedConfiguration> accepted) {
        List<AuditRow> rows = new ArrayList<>();
        objects.forEach(object -> rows.add(of(ConfigurationClient.parse(object))));
        accepted.ifPresent(
                configuration -> configuration.audit().forEach(entry -> rows.add(of(entry))));
        rows.sort(LATEST_FIRST);
        return rows;
    }

    private static AuditRow of(JsonNode value) {
        return new AuditRow(
                value.path("time").asText(""),
                value.path("actor").asText(""),
                value.path("cause").asText(""),
                value.path("object").asText(""),
                value.path("oldValue").asText(""),
                value.path("newValue").asText(""),
                value.path("fencingNumber").asLong());
    }

    private static AuditRow of(AcceptedChange entry) {
        String cause =
                entry.note().isEmpty() ? entry.author() : entry.author() + ": " + entry.note();
        return new AuditRow(
                entry.time(),
                entry.holder(),
                cause,
                "configuration/accepted",
                describeVersion(entry.version() - 1, entry.previousDigest()),
                describeVersion(entry.version(), entry.digest()),
                entry.fencingNumber());
    }

    private static String describeVersion(long version, String digest) {
        return digest.isEmpty() ? "" : "version " + version + " (" + digest.substring(0, 12) + ")";
    }
}
