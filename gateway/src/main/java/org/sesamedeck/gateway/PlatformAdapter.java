package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.Set;
import java.util.function.Predicate;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.routing.EndpointDescription;

/** The interface between the gateway and the platform that it runs on. */
public interface PlatformAdapter {
    /** Returns the codec for the headers of callers and endpoints. */
    HeaderCodec headerCodec();

    /** Returns the feed of configurations. */
    Feed<ServingConfiguration> configurations();

    /** Returns the feed of endpoints. */
    Feed<EndpointDescription> endpoints();

    /** Returns the feed of the datagram addresses of all gateway processes, including this one. */
    Feed<HostAddress> peers();

    /** Returns the store for the product's own objects. */
    ObjectStore objects();

    /** Returns the client for engine commands. */
    EngineCommandClient engineCommandClient();

    /** Returns the duties that the platform asks for. */
    Set<Duty> duties();

    /**
     * Returns a client of the platform's API of duties; only where the platform asks for some.
     *
     * @param isUsable whether a call may still be sent on a right
     * @param timeout time after which a call is abandoned
     */
    DutyClient dutyClient(Predicate<DutyRight> isUsable, Duration timeout);

    /** Returns the path of the platform's readiness check. */
    String readinessPath();
}
