package org.sesamedeck.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import java.util.TreeSet;
import org.sesamedeck.entry.control.ControlClient;

/** Lists the models that the client account is entitled to use. */
@Path("/v1/models")
public final class ModelsResource {
    private static final ObjectMapper MAPPER = Json.newMapper();

    private final Authenticator mAuthenticator;

    /** Builds the resource. */
    @Inject
    ModelsResource(ControlClient control) {
        mAuthenticator = Authenticator.of(control);
    }

    /** Returns the list in OpenAI style, sorted by name. */
    @GET
    @Produces(MediaType.APPLICATION_JSON)
    public String models(@Context HttpServletRequest servletRequest) {
        Caller caller = mAuthenticator.authenticate(servletRequest);
        ObjectNode list = MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = list.putArray("data");
        for (String model : new TreeSet<>(caller.entitlement().models())) {
            data.addObject()
                    .put("id", model)
                    .put("object", "model")
                    .put("created", 0)
                    .put("owned_by", "sesamedeck");
        }
        return list.toString();
    }
}
