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
 * Content of a document {@code engine-group/<n>}.
 *
 * @param engines states of the engines, ordered by name
 */
public record EngineGroupDocument(List<EngineState> engines) {
    /** Start of the keys of these documents, and kind of the objects with the group leases. */
    public static final String KIND = EngineGroupKeys.KIND;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    // A holder renews its lease long before it has published 4 million versions.
    private static final int COUNTER_BITS = 22;

    /** Orders the engines, so that equal states have equal documents. */
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
     * Returns the version of a document: a later holder has a larger fencing number, so whatever a
     * former holder still publishes never replaces its documents.
     *
     * @param counter counts the versions of this holder
     */
    static long version(long fencingNumber, long counter) {
        return (fencingNumber << COUNTER_BITS) + counter;
    }

    VersionedDocument toDocument(int group, long version) {
        try {
            return VersionedDocument.of(keyOf(group), version, MAPPER.writeValueAsString(this));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot write an engine group", impossible);
        }
    }

    /**
     * Reads the content of a document.
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
