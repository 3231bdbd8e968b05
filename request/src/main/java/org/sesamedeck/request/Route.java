package org.sesamedeck.request;

import java.time.Duration;
import java.util.List;

/**
 * The services, timeouts and latency targets for requests with one path prefix.
 *
 * @param name name in the configuration
 * @param host host name that the request must carry
 * @param pathPrefix prefix of the path, which begins and ends with a slash
 * @param kind whether requests may be retried and whether responses are streams
 * @param timeout limit on the time from arrival to the end of the response
 * @param targetLatency longest time from arrival to the response, or to the first event of a
 *     stream, that counts as on time
 * @param tokenIntervalTarget longest mean token interval of a stream that counts as on time
 * @param priority priority; 0 is the most urgent
 * @param maxAttempts maximum number of endpoints that may run one request
 * @param isPublic whether requests need no key of a client account
 * @param shares services that serve the route; at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        Duration tokenIntervalTarget,
        int priority,
        int maxAttempts,
        boolean isPublic,
        List<ServiceShare> shares) {
    /** Describes a route that is not public. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            RequestKind kind,
            Duration timeout,
            Duration targetLatency,
            Duration tokenIntervalTarget,
            int priority,
            int maxAttempts,
            List<ServiceShare> shares) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeout,
                targetLatency,
                tokenIntervalTarget,
                priority,
                maxAttempts,
                false,
                shares);
    }

    /**
     * Picks the service of one request by the weights.
     *
     * @param draw any number; equal numbers pick the same service
     */
    public String pickService(long draw) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        if (total <= 0) {
            return shares.get(0).service();
        }
        long point = Math.floorMod(draw, (long) total);
        for (ServiceShare share : shares) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
