package org.sesamedeck.lease;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.platform.ObjectKey;

/**
 * Acquires and holds leases on behalf of this process. All methods are called on the control
 * thread, and futures and listeners complete there.
 */
public interface LeaseManager extends AutoCloseable {
    /**
     * Becomes a candidate for the lease that is stored in the given object, and stays one until the
     * lease is acquired or {@link #withdraw} is called. Store outages only delay the acquisition. A
     * further call for the same object replaces the listener and returns the same future; a lost
     * lease is not acquired again without a further call.
     *
     * @param key for example {@code lease/configuration} or {@code engine-group/3}
     * @return completes with the held lease; cancelled by {@link #withdraw} and {@link #close}
     */
    CompletableFuture<Lease> acquire(ObjectKey key, LeaseListener listener);

    /** Stops being a candidate. Has no effect on a lease that is held. */
    void withdraw(ObjectKey key);

    /** Withdraws all candidacies and stops renewing the leases that are held. */
    @Override
    void close();
}
