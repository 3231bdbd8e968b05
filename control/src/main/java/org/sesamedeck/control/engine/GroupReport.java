package org.sesamedeck.control.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.VersionedDocument;

/**
 * Report of the holder of a group to a planning process (see {@link RolePlanCoordinator}). It is
 * sent on request only: load changes every second, and disseminating it would exceed the control
 * traffic allowed for a node.
 *
 * @param group number of the group
 * @param fencingNumber fencing number of the holder's lease
 * @param poll number of the last poll of the engines, counted from the acquisition of the lease
 * @param engines the engines that responded
 */
public record GroupReport(int group, long fencingNumber, long poll, List<Engine> engines) {
    /** Prefix of the keys under which reports are requested. */
    public static final String KIND = "engine-report";

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    /**
     * State and load of one engine. The components without a description here are those of {@link
     * EngineObservation}.
     *
     * @param ageNanos time since the older of state and load was read, in nanoseconds
     */
    public record Engine(
            EngineState state,
            boolean hasHistory,
            long queuedPromptTokens,
            int runningRequests,
            long ageNanos) {
        /**
         * Returns the observation, with the age converted to a time on the clock of this process.
         * The holder makes the report after it was requested, so that time is a lower bound.
         *
         * @param requestedAtNanos monotonic time at which the report was requested, in nanoseconds
         */
        EngineObservation toObservation(long requestedAtNanos) {
            return new EngineObservation(
                    state,
                    hasHistory,
                    queuedPromptTokens,
                    runningRequests,
                    requestedAtNanos - ageNanos);
        }
    }

    /** Replaces a missing list of engines by an empty one. */
    public GroupReport {
        engines = engines == null ? List.of() : List.copyOf(engines);
    }

    static String keyOf(int group) {
        return KIND + "/" + group;
    }

    VersionedDocument toDocument() {
        try {
            return VersionedDocument.of(
                    keyOf(group),
                    EngineGroupDocument.version(fencingNumber, poll),
                    MAPPER.writeValueAsString(this));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot serialize a group report", impossible);
        }
    }

    /**
     * Parses a report.
     *
     * @throws SesamedeckException with BAD_REQUEST when it is malformed
     */
    static GroupReport parse(VersionedDocument document) {
        try {
            return MAPPER.readValue(document.content(), GroupReport.class);
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST,
                    "document " + document.key() + " is malformed",
                    failure);
        }
    }
}
