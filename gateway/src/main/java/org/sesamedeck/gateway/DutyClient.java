package org.sesamedeck.gateway;

import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's API of duties. A future that fails tells nothing: the call may have been
 * accepted, or may be accepted seconds later.
 */
public interface DutyClient {
    /** Reports the usage of one window; an exact repeat is ignored by the platform. */
    CompletableFuture<DutyResult> reportUsage(UsageReport report, DutyRight right);

    /** Orders servers or gives some back. */
    CompletableFuture<DutyResult> orderServers(ServerOrder order, DutyRight right);
}
