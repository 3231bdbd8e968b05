package org.sesamedeck.caller;

import jakarta.servlet.http.HttpServletRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.endpoint.EndpointRequest;

/**
 * A request as it is forwarded to a plain service.
 *
 * @param service name of the service
 * @param method HTTP method
 * @param path path below the service's base address, with the query
 * @param headers header values by name, without hop-by-hop headers and those for the entry
 */
record ServiceRequest(
        String service, String method, String path, Map<String, List<String>> headers) {
    private static final String PATH_PREFIX = "/services/";
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** Hop-by-hop headers, and the content length, which the HTTP client sets itself. */
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length");

    /**
     * Headers that are not forwarded. The API key is a secret between caller and entry; the others
     * are addressed to the entry, or set by it or by the HTTP client for each attempt.
     */
    private static final Set<String> ENTRY_HEADERS =
            Set.of(
                    "authorization",
                    "host",
                    "expect",
                    "x-request-id",
                    "x-deadline-millis",
                    "x-priority",
                    "x-attempt");

    /**
     * Extracts the request to forward.
     *
     * @throws CallerException with BAD_REQUEST when the path is malformed or has relative segments,
     *     which could lead out of the service
     */
    static ServiceRequest of(HttpServletRequest servletRequest) {
        String uriPath = servletRequest.getRequestURI();
        if (!uriPath.startsWith(PATH_PREFIX)) {
            throw CallerException.of(ResultCode.BAD_REQUEST, "the path is malformed");
        }
        uriPath = uriPath.substring(PATH_PREFIX.length());
        int slash = uriPath.indexOf('/');
        String serviceName = slash < 0 ? uriPath : uriPath.substring(0, slash);
        String path = slash < 0 ? "/" : uriPath.substring(slash);
        for (String segment : path.split("/")) {
            String decodedSegment = segment.toLowerCase(Locale.ROOT).replace("%2e", ".");
            if (decodedSegment.equals("..")
                    || decodedSegment.equals(".")
                    || segment.contains(";")) {
                throw CallerException.of(
                        ResultCode.BAD_REQUEST, "the path must not have relative segments");
            }
        }
        Map<String, List<String>> headers = new LinkedHashMap<>();
        Set<String> connectionOptions =
                connectionOptions(Collections.list(servletRequest.getHeaders("Connection")));
        for (String header : Collections.list(servletRequest.getHeaderNames())) {
            String lowerCaseName = header.toLowerCase(Locale.ROOT);
            if (!isHopByHop(lowerCaseName, connectionOptions)
                    && !ENTRY_HEADERS.contains(lowerCaseName)) {
                headers.put(header, Collections.list(servletRequest.getHeaders(header)));
            }
        }
        String query = servletRequest.getQueryString();
        return new ServiceRequest(
                serviceName,
                servletRequest.getMethod(),
                query == null ? path : path + "?" + query,
                headers);
    }

    /** Returns the lower-case names listed in the values of a {@code Connection} header. */
    static Set<String> connectionOptions(List<String> values) {
        return Set.copyOf(
                values.stream()
                        .flatMap(value -> List.of(value.split(",")).stream())
                        .map(name -> name.strip().toLowerCase(Locale.ROOT))
                        .toList());
    }

    /** Returns whether a header applies to a single connection and is not forwarded. */
    static boolean isHopByHop(String lowerCaseName, Set<String> connectionOptions) {
        return HOP_BY_HOP_HEADERS.contains(lowerCaseName)
                || connectionOptions.contains(lowerCaseName);
    }

    /** Returns whether the HTTP method is idempotent. */
    boolean isIdempotent() {
        return IDEMPOTENT_METHODS.contains(method);
    }

    /** Returns the endpoint request for one attempt, with additional headers. */
    EndpointRequest toEndpoint(
            HostAddress address,
            Map<String, String> additionalHeaders,
            Optional<byte[]> body,
            Optional<Long> streamedLength) {
        Map<String, List<String>> allHeaders = new LinkedHashMap<>(headers);
        additionalHeaders.forEach(
                (name, value) -> allHeaders.put(name, new ArrayList<>(List.of(value))));
        return new EndpointRequest(address, method, path, allHeaders, body, streamedLength);
    }
}
