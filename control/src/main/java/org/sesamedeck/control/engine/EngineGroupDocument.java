package org.sesamedeck.control.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Comparator;
import java.util.List;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.endpoint.command.EngineGroupKeys;
import org.sesamedeck.node.VersionedDocument;

/**
 * Content of a document {@code engine-group/<n>}: the last known states of the engines of a group.
 *
 * @param engines states of the engines, ordered by name
 */
public record EngineGroupDocument(List<EngineState> engines) {
    /** Prefix of the keys of these documents, and kind of the objects that store group leases. */
    public static final String KIND = EngineGroupKeys.KIND;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    // The counter overflows into the fencing number after 4 million (2^22) versions. A holder
    // renews its lease long before that, and each renewal raises the fencing number that the next
    // holder receives, so the versions of the next holder are still higher.
    private static final int COUNTER_BITS = 22;

    /** Sorts the engines by name, so that equal states have equal documents. */
    public EngineGroupDocument {
        engines =
                engines == null
                        ? List.of()
                        : engines.stream().sorted(Comparator.comparing(EngineState::name)).toList();
    }

    /** Returns the key of the document of a group. */
    public static String keyOf(int group) {
        return KIND + "/" + group;
    }

    /**
     * Returns the version of a document. A later holder has a larger fencing number, so documents
     * that a former holder still publishes never replace those of its successor.
     *
     * @param counter number of the version, counted by this holder
     */
    static long version(long fencingNumber, long counter) {
        return (fencingNumber << COUNTER_BITS) + counter;
    }

    VersionedDocument toDocument(int group, long version) {
        try {
            return VersionedDocument.of(keyOf(group), version, MAPPER.writeValueAsString(this));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(
                    "cannot serialize an engine group document", impossible);
        }
    }

    /**
     * Parses the content of a document.
     *
     * @throws SesamedeckException with BAD_REQUEST when it is malformed
     */
    public static EngineGroupDocument parse(VersionedDocument document) {
        try {
            return MAPPER.readValue(document.content(), EngineGroupDocument.class);
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST,
                    "document " + document.key() + " is malformed",
                    failure);
        }
    }
}
