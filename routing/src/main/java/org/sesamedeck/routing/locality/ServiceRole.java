package org.sesamedeck.routing.locality;

import org.sesamedeck.routing.EndpointRole;

/** Endpoints of one role of a service; requests to them share one outflow. */
public record ServiceRole(String service, EndpointRole role) {}
