package org.sesamedeck.core;

/**
 * A client account: a paying customer with a key and a plan. The list of plans contains it as a
 * {@code [customer]} section.
 *
 * @param name name of the account
 * @param plan name of the account's plan
 * @param keySha256 SHA-256 of the account's key in lower-case hexadecimal
 */
public record ClientAccount(String name, String plan, String keySha256) {}
