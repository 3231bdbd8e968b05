package org.sesamedeck.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one configuration, by their keys. Immutable. Without accounts in the
 * configuration, requests need no key.
 *
 * <p>Only digests of the keys are held, so that neither the time of a lookup nor a dump of the
 * memory tells how much of a key was right.
 */
public final class ClientAccounts {
    private static final ClientAccounts NONE = new ClientAccounts(false, Map.of());

    private final boolean mAreRequired;
    private final Map<KeyDigest, ClientAccount> mByKey;

    private ClientAccounts(boolean areRequired, Map<KeyDigest, ClientAccount> byKey) {
        mAreRequired = areRequired;
        mByKey = byKey;
    }

    /** Returns the accounts of a configuration that names none: no request needs a key. */
    public static ClientAccounts none() {
        return NONE;
    }

    /**
     * Returns the accounts of a configuration that names some. Empty keys are left out, since a
     * caller cannot send one.
     *
     * @param byKey the account that holds each key; may be empty, and then no key is known
     */
    public static ClientAccounts of(Map<String, ClientAccount> byKey) {
        Map<KeyDigest, ClientAccount> byDigest = new HashMap<>();
        byKey.forEach(
                (key, account) -> {
                    if (!key.isEmpty()) {
                        byDigest.put(KeyDigest.of(key), account);
                    }
                });
        return new ClientAccounts(true, byDigest);
    }

    /** Returns whether requests need a key, except on public routes. */
    public boolean areRequired() {
        return mAreRequired;
    }

    /** Returns the account that holds the key. Keys are compared exactly, case included. */
    public Optional<ClientAccount> holderOf(String key) {
        return Optional.ofNullable(mByKey.get(KeyDigest.of(key)));
    }
}
