package org.sesamedeck.request;

import java.util.OptionalInt;

/**
 * A client account of the configuration.
 *
 * @param name name of the account, as endpoints and usage reports carry it
 * @param priority priority of the account's requests, which replaces that of the route; 0 is the
 *     most urgent
 */
public record ClientAccount(String name, OptionalInt priority) {}
