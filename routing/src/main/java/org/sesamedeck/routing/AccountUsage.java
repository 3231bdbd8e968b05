package org.sesamedeck.routing;

/**
 * Work that a client account has started lately.
 *
 * @param account name of the account
 * @param work decayed work, in prompt tokens
 */
public record AccountUsage(String account, long work) {}
