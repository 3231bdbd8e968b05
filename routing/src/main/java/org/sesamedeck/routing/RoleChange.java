package org.sesamedeck.routing;

/**
 * A planned role change whose gain exceeds its cost.
 *
 * @param engine engine to change
 * @param from its current role
 * @param to its new role
 * @param gain expected gain, in engine-seconds of served work
 * @param cost expected cost with the weight applied, in engine-seconds
 */
public record RoleChange(
        String engine, EndpointRole from, EndpointRole to, double gain, double cost) {}
