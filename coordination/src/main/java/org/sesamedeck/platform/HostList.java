package org.sesamedeck.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts, which may be out of date. */
public interface HostList {
    /** Reads the list; fails with STORE_UNAVAILABLE or STORE_RATE_LIMITED. */
    CompletableFuture<List<HostEntry>> read();
}
