package org.sesamedeck.control.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.VersionedDocument;
import org.sesamedeck.routing.EndpointRole;

/**
 * A planned role change for the holder of the engine's group, disseminated as the document {@code
 * role-plan/<service>}. It is valid only under the lease with the given fencing number, and for 5 s
 * after the given poll.
 *
 * @param service service of the engine
 * @param engine name of the engine
 * @param group group of the engine
 * @param fencingNumber fencing number of the group's lease in the report the plan is based on
 * @param poll number of the poll in that report
 * @param from role of the engine in that report
 * @param to the desired role
 * @param cause reason for the change, for the audit trail
 */
public record RolePlan(
        String service,
        String engine,
        int group,
        long fencingNumber,
        long poll,
        EndpointRole from,
        EndpointRole to,
        String cause) {
    /** Prefix of the keys of these documents. */
    public static final String KIND = "role-plan";

    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    VersionedDocument toDocument(long version) {
        try {
            return VersionedDocument.of(
                    KIND + "/" + service, version, MAPPER.writeValueAsString(this));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot serialize a role plan", impossible);
        }
    }

    /**
     * Parses a plan.
     *
     * @throws SesamedeckException with BAD_REQUEST when it is malformed
     */
    static RolePlan parse(VersionedDocument document) {
        try {
            return MAPPER.readValue(document.content(), RolePlan.class);
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.BAD_REQUEST,
                    "document " + document.key() + " is malformed",
                    failure);
        }
    }
}
