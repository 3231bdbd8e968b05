package org.sesamedeck.endpoint;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;

/**
 * One HTTP request to an endpoint.
 *
 * @param address network address of the endpoint
 * @param method HTTP method
 * @param path path and query
 * @param headers header values by name, without those that state the body's length
 * @param body the complete body; empty when there is none or it is streamed
 * @param streamedLength present when the body is written to {@link EndpointExchange#requestBody()};
 *     its length in bytes, or -1 when that is unknown
 */
public record EndpointRequest(
        HostAddress address,
        String method,
        String path,
        Map<String, List<String>> headers,
        Optional<byte[]> body,
        Optional<Long> streamedLength) {
    /** Returns a request without a body. */
    public static EndpointRequest withoutBody(
            HostAddress address, String method, String path, Map<String, List<String>> headers) {
        return new EndpointRequest(
                address, method, path, headers, Optional.empty(), Optional.empty());
    }

    /** Returns a request with a body in memory. */
    public static EndpointRequest withBody(
            HostAddress address,
            String method,
            String path,
            Map<String, List<String>> headers,
            byte[] body) {
        return new EndpointRequest(
                address, method, path, headers, Optional.of(body), Optional.empty());
    }
}
