package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one configuration, by their keys. Immutable. Without accounts in the
 * configuration, requests need no key.
 */
public final class ClientAccounts {
    private static final ClientAccounts NONE = new ClientAccounts(false, Map.of());

    private final boolean mAreRequired;
    private final Map<String, ClientAccount> mByKey;

    private ClientAccounts(boolean areRequired, Map<String, ClientAccount> byKey) {
        mAreRequired = areRequired;
        mByKey = byKey;
    }

    /** Returns the accounts of a configuration that names none: no request needs a key. */
    public static ClientAccounts none() {
        return NONE;
    }

    /**
     * Returns the accounts of a configuration that names some.
     *
     * @param byKey the account that holds each key; may be empty
     */
    public static ClientAccounts of(Map<String, ClientAccount> byKey) {
        return new ClientAccounts(true, new HashMap<>(byKey));
    }

    /** Returns whether requests need a key, except on public routes. */
    public boolean areRequired() {
        return mAreRequired;
    }

    /** Returns the account that holds the key. */
    public Optional<ClientAccount> holderOf(String key) {
        return Optional.ofNullable(mByKey.get(key));
    }
}
