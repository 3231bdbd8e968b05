package org.sesamedeck.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The endpoint processes that have stated that they are leaving. A statement holds until another
 * process starts under the same name, also while the endpoint table does not list the endpoint: an
 * entry that expired during an outage of the store may return. Thread-safe.
 */
final class LeavingEndpoints {
    /** Above the number of endpoints of the largest deployment; the oldest statement is dropped. */
    private static final int MAX_STATEMENTS = 8_192;

    private final Map<String, EndpointDescription> mByName =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, EndpointDescription> eldest) {
                    return size() > MAX_STATEMENTS;
                }
            };

    /** Records a statement and returns whether it is the first one of this process. */
    synchronized boolean add(EndpointDescription endpoint) {
        boolean isNew = !contains(endpoint);
        mByName.put(endpoint.name(), endpoint);
        return isNew;
    }

    /**
     * Returns whether the described process has stated that it is leaving. A start that was not
     * known before is kept, so that it tells the next process with the name apart.
     */
    synchronized boolean contains(EndpointDescription endpoint) {
        EndpointDescription leaving = mByName.get(endpoint.name());
        if (leaving == null || !leaving.isSameProcess(endpoint)) {
            return false;
        }
        if (leaving.startedAt().isEmpty()) {
            mByName.put(endpoint.name(), endpoint);
        }
        return true;
    }
}
