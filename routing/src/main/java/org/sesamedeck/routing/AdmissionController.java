package org.sesamedeck.routing;

import java.util.concurrent.CompletableFuture;
import org.sesamedeck.core.Configuration;

/** Decides which requests are admitted, which are queued and which are refused. Thread-safe. */
public interface AdmissionController {
    /**
     * Submits a request.
     *
     * <p>The future completes with a ticket when the request is admitted. It fails, before anything
     * was sent to an endpoint, with NOT_ENTITLED, OVER_PLAN_LIMIT, OVERLOADED, UNAVAILABLE or
     * DEADLINE_EXCEEDED. Cancelling the future removes a queued request from its queue.
     */
    CompletableFuture<AdmissionTicket> submit(RequestProfile profile);

    /** Applies a configuration. */
    void updateConfiguration(Configuration configuration);

    /**
     * Updates the usage summed over all entry processes.
     *
     * @param entries number of live entry processes
     */
    void updateTotals(UsageSnapshot totals, int entries);

    /**
     * Fails queued requests whose deadline has passed and admits those for which there is capacity.
     * To be called about every 10 ms; submitted requests, and tickets that start or close, trigger
     * the same for their own queue.
     */
    default void advance() {}

    /** Returns the usage of this process since the previous call. */
    UsageSnapshot takeUsage();
}
