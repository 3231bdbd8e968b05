package org.sesamedeck.lease;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;

/**
 * Value of an object that holds a lease.
 *
 * @param owner token of the acquisition that wrote the value
 * @param node name of the holder's node
 * @param address address of the holder's control process
 * @param durationMillis time without a new version after which another process may acquire the
 *     lease
 * @param isReleased whether the holder released the lease
 * @param unsettled nodes of earlier holders whose lease ended without a release and that have not
 *     been settled since; see {@link Lease#unsettled}
 * @param changes number of changes made under this owner
 * @param payload text that the user of the lease stores
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record LeaseObject(
        String owner,
        String node,
        String address,
        long durationMillis,
        boolean isReleased,
        List<String> unsettled,
        long changes,
        String payload) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Reads a stored value.
     *
     * @throws SesamedeckException with INTERNAL_ERROR when it is not the value of a lease
     */
    public static LeaseObject parse(String value) {
        try {
            LeaseObject object = MAPPER.readValue(value, LeaseObject.class);
            if (object == null || object.owner() == null || object.durationMillis() <= 0) {
                throw SesamedeckException.of(
                        ResultCode.INTERNAL_ERROR,
                        "lease object has no owner or no positive durationMillis");
            }
            return new LeaseObject(
                    object.owner(),
                    object.node() == null ? "" : object.node(),
                    object.address() == null ? "" : object.address(),
                    object.durationMillis(),
                    object.isReleased(),
                    object.unsettled() == null ? List.of() : List.copyOf(object.unsettled()),
                    object.changes(),
                    object.payload() == null ? "" : object.payload());
        } catch (JsonProcessingException failure) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR,
                    "lease object cannot be read: " + failure.getOriginalMessage(),
                    failure);
        }
    }

    /** Returns the value to store. */
    public String format() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("lease object cannot be written", failure);
        }
    }
}
