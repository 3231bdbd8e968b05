package org.sesamedeck.gateway;

import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.request.ServingConfiguration;
import org.sesamedeck.routing.EndpointDescription;

/** What the gateway needs of the platform that it runs on. */
public interface PlatformAdapter {
    /** Returns the translation of callers' and endpoints' headers. */
    CallerFormat callerFormat();

    /** Returns the feed of configurations. */
    Feed<ServingConfiguration> configurations();

    /** Returns the feed of endpoints. */
    Feed<EndpointDescription> endpoints();

    /** Returns the feed of the addresses at which the other processes take datagrams. */
    Feed<HostAddress> peers();

    /** Returns the store, for objects of the product's own. */
    ObjectStore objects();

    /** Returns the way to give orders to engines. */
    EngineOrders engineOrders();

    /** Returns the path under which the platform asks whether this process takes callers. */
    String readinessPath();
}
