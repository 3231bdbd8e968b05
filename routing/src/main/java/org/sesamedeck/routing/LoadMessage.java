package org.sesamedeck.routing;

import java.util.List;
import java.util.Optional;

/**
 * Load, prefix updates, progress in the store and usage of client accounts that one process sends
 * to another.
 *
 * @param sender name of the sending process
 * @param incarnation identifies one run of the sender; differs after each restart
 * @param sequence increases within an incarnation
 * @param scope processes that the load is summed over
 * @param loads load by endpoint; endpoints without load are left out
 * @param prefixUpdates prefix updates since the last message
 * @param storeProgress how far the fleet has followed the store, as the sender knows
 * @param usage usage of client accounts by the same processes; most messages carry none
 * @param processes number of processes that the load is summed over; 0 if unknown
 * @param sentMillis monotonic time of the sender since a moment of its own, in milliseconds; 0 if
 *     unknown
 */
public record LoadMessage(
        String sender,
        long incarnation,
        long sequence,
        LoadScope scope,
        List<EndpointLoad> loads,
        List<PrefixUpdate> prefixUpdates,
        List<StoreProgress> storeProgress,
        Optional<UsageSummary> usage,
        int processes,
        long sentMillis) {
    /** Returns a message of a single process without progress in the store, usage or time. */
    public LoadMessage(
            String sender,
            long incarnation,
            long sequence,
            LoadScope scope,
            List<EndpointLoad> loads,
            List<PrefixUpdate> prefixUpdates) {
        this(
                sender,
                incarnation,
                sequence,
                scope,
                loads,
                prefixUpdates,
                List.of(),
                Optional.empty(),
                1,
                0);
    }
}
