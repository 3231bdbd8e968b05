package org.sesamedeck.endpoint.command;

import org.sesamedeck.core.HostAddress;

/**
 * Name and address of an engine that receives commands.
 *
 * @param name name in the host list
 * @param address address of its HTTP interface
 */
public record EngineTarget(String name, HostAddress address) {}
