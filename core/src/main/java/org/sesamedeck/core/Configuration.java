package org.sesamedeck.core;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the two lists, plans and entitlements. Instances are immutable and always valid.
 *
 * @param version the accepted version; versions only increase
 * @param plans plans by name
 * @param clientAccounts client accounts by name
 * @param entitlements entitlements by plan name; every plan has one
 * @param clientAccountsByKey client accounts by the SHA-256 of their key
 */
public record Configuration(
        long version,
        Map<String, Plan> plans,
        Map<String, ClientAccount> clientAccounts,
        Map<String, Entitlement> entitlements,
        Map<String, ClientAccount> clientAccountsByKey) {
    /** Returns the configuration without plans that is in force before a version is accepted. */
    public static Configuration empty() {
        return new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns the client account whose key has the given SHA-256 in lower-case hexadecimal. */
    public Optional<ClientAccount> clientAccountByKeySha256(String keySha256) {
        return Optional.ofNullable(clientAccountsByKey.get(keySha256));
    }

    /**
     * Returns the plan of a client account.
     *
     * @throws IllegalArgumentException if the plan of the account is not in this configuration
     */
    public Plan planOf(ClientAccount clientAccount) {
        Plan plan = plans.get(clientAccount.plan());
        if (plan == null) {
            throw new IllegalArgumentException(
                    "client account "
                            + clientAccount.name()
                            + " has unknown plan "
                            + clientAccount.plan());
        }
        return plan;
    }

    /** Returns the entitlement of the client account's plan. */
    public Entitlement entitlementOf(ClientAccount clientAccount) {
        return entitlements.get(clientAccount.plan());
    }
}
