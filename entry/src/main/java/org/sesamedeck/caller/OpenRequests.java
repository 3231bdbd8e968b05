package org.sesamedeck.caller;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Registry of open requests; refuses new ones once the process is stopping. Thread-safe. */
public final class OpenRequests {
    private final Set<OpenRequest> mOpen = ConcurrentHashMap.newKeySet();
    private volatile boolean mStopping;

    private OpenRequests() {}

    /** Returns an empty registry. */
    public static OpenRequests create() {
        return new OpenRequests();
    }

    /** Adds the request unless the process is stopping; the drain waits for added requests. */
    boolean tryOpen(OpenRequest request) {
        mOpen.add(request);
        if (mStopping) {
            mOpen.remove(request);
            return false;
        }
        return true;
    }

    void close(OpenRequest request) {
        mOpen.remove(request);
    }

    /** Refuses new requests from now on. */
    public void stopAccepting() {
        mStopping = true;
    }

    /** Returns whether new requests are refused because the process is stopping. */
    public boolean isStopping() {
        return mStopping;
    }

    /** Returns the number of open requests. */
    public int count() {
        return mOpen.size();
    }

    /** Describes each open request in one line. */
    public List<String> describe() {
        return mOpen.stream()
                .map(
                        request ->
                                String.join(
                                        " ",
                                        request.id(),
                                        request.methodAndPath(),
                                        request.clientAccount(),
                                        request.endpoint()))
                .toList();
    }
}
