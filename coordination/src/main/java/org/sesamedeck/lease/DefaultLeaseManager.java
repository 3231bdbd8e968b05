package org.sesamedeck.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.platform.ControlScheduler;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;

/**
 * Implements leases on top of conditional updates in the object store.
 *
 * <p>The store provides mutual exclusion: the process that replaces the version of the former
 * holder becomes the holder, and all writes that depend on the lease go to the same object, so they
 * fail once another process has acquired it. Time only decides when a candidate may try to acquire
 * the lease and how long a holder may act outside of the store. Both sides use their own monotonic
 * clocks and exchange no timestamps. The holder counts from before it sends a write and the
 * candidate from after it sees the result, and the holder stops the safety margin earlier. So it
 * stops before any candidate starts, provided that the two clocks drift apart by less than the
 * margin over one lease duration. This does not stop a holder that is paused between its lease
 * check and its action; the action itself must carry the fencing number or be bounded in another
 * way (see the command executor).
 */
public final class DefaultLeaseManager implements LeaseManager {
    private final LeaseContext mContext;
    private final String mNode;
    private final String mAddress;
    private final String mProcessToken;
    private final Map<ObjectKey, LeaseCandidacy> mCandidacies = new HashMap<>();
    private final Map<ObjectKey, HeldLease> mHeldLeases = new HashMap<>();
    private long mAcquisitionCount;

    private DefaultLeaseManager(
            LeaseContext context, String node, String address, String processToken) {
        mContext = context;
        mNode = node;
        mAddress = address;
        mProcessToken = processToken;
    }

    /**
     * Returns a manager that holds no leases.
     *
     * @param node name of this node in the host list
     * @param address address of this control process, shown to operators
     * @param processToken token that is unique for each start of a process, for example a random
     *     UUID
     */
    public static DefaultLeaseManager create(
            ObjectStore store,
            ControlScheduler scheduler,
            Clock clock,
            LeaseSettings settings,
            String node,
            HostAddress address,
            String processToken) {
        return new DefaultLeaseManager(
                new LeaseContext(store, scheduler, clock, settings),
                node,
                address.toString(),
                processToken);
    }

    @Override
    public CompletableFuture<Lease> acquire(ObjectKey key, LeaseListener listener) {
        LeaseCandidacy pending = mCandidacies.get(key);
        if (pending != null) {
            pending.setListener(listener);
            return pending.future();
        }
        HeldLease held = mHeldLeases.get(key);
        if (held != null && held.isHeld()) {
            return CompletableFuture.completedFuture(held);
        }
        LeaseCandidacy candidacy = LeaseCandidacy.start(mContext, key, this::nextOwner, listener);
        mCandidacies.put(key, candidacy);
        candidacy
                .future()
                .whenComplete(
                        (lease, failure) -> {
                            mCandidacies.remove(key, candidacy);
                            if (failure == null) {
                                mHeldLeases.put(key, (HeldLease) lease);
                            }
                        });
        return candidacy.future();
    }

    private LeaseOwner nextOwner() {
        mAcquisitionCount++;
        return new LeaseOwner(
                mNode + "/" + mProcessToken + "/" + mAcquisitionCount,
                mNode,
                mAddress,
                mContext.settings().duration().toMillis());
    }

    @Override
    public void withdraw(ObjectKey key) {
        LeaseCandidacy candidacy = mCandidacies.remove(key);
        if (candidacy != null) {
            candidacy.withdraw();
        }
    }

    @Override
    public void close() {
        for (ObjectKey key : mCandidacies.keySet().toArray(ObjectKey[]::new)) {
            withdraw(key);
        }
        mHeldLeases.values().forEach(HeldLease::stopRenewing);
        mHeldLeases.clear();
    }
}
