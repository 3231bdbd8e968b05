package org.sesamedeck.request;

/** Receives the requests that began to run at an endpoint, for the usage of client accounts. */
public interface UsageObserver {
    /** Ignores all requests. */
    UsageObserver NONE = account -> {};

    /** A request of the account began to run now; called once for each request that has run. */
    void requestBegan(String account);
}
