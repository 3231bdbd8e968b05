package org.sesamedeck.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;
import org.sesamedeck.request.Timers;

/** Registers this process's datagram address in the store, where its peers discover it. */
final class PeerRegistration {
    /** Kind of the stored objects; the value is the datagram address. */
    static final String KIND = "gateways";

    private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

    private final ObjectStore mStore;
    private final Timers mTimers;
    private final ObjectKey mKey;
    private final String mAddress;

    PeerRegistration(ObjectStore store, Timers timers, String node, HostAddress address) {
        mStore = store;
        mTimers = timers;
        mKey = ObjectKey.of(KIND, node);
        mAddress = address.toString();
    }

    /** Registers the address and retries until the write succeeds. */
    void start() {
        mStore.get(mKey)
                .thenCompose(this::write)
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                mTimers.schedule(RETRY_DELAY, this::start);
                            }
                        });
    }

    private CompletableFuture<Long> write(Optional<StoredObject> stored) {
        if (stored.isEmpty()) {
            return mStore.create(mKey, mAddress);
        }
        boolean isUpToDate = stored.get().value().equals(mAddress);
        return isUpToDate
                ? CompletableFuture.completedFuture(stored.get().version())
                : mStore.update(mKey, stored.get().version(), mAddress);
    }
}
