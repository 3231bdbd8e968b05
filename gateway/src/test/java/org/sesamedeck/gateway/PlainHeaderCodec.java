package org.sesamedeck.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.request.CallOptions;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.ProcessedPrompt;
import org.sesamedeck.request.ResponseHead;
import org.sesamedeck.routing.EndpointDescription;
import org.sesamedeck.routing.EndpointSigns;

/**
 * A minimal header codec with a request identifier, which also serves as the signature of a
 * response, and a header for requests that were not executed.
 */
final class PlainHeaderCodec implements HeaderCodec {
    @Override
    public CallerRequest decodeRequest(HttpRequest head) {
        return new CallerRequest(
                head.headers().get("Id", ""),
                head.headers().get("Host", ""),
                head.uri(),
                Optional.ofNullable(head.headers().get("Key")),
                Optional.of(Duration.ofSeconds(10)),
                Optional.empty(),
                0,
                0,
                List.of(),
                OptionalLong.empty());
    }

    @Override
    public HttpHeaders endpointHeaders(
            HttpRequest head, EndpointDescription endpoint, CallOptions options) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", head.headers().get("Host", ""));
        headers.set("Id", head.headers().get("Id", ""));
        return headers;
    }

    @Override
    public boolean belongsToOtherRequest(HttpResponse response, String requestIdentifier) {
        String responseIdentifier = response.headers().get("Id");
        return responseIdentifier != null && !responseIdentifier.equals(requestIdentifier);
    }

    @Override
    public boolean namesRequest(HttpResponse response, String requestIdentifier) {
        return requestIdentifier.equals(response.headers().get("Id"));
    }

    @Override
    public ResponseHead decodeResponseHead(
            HttpResponse response, String requestIdentifier, long receivedAtNanos) {
        return new ResponseHead(
                response.status().code(),
                response.headers().contains("Not-Run"),
                false,
                namesRequest(response, requestIdentifier),
                ResponseFraming.endsWithConnection(response),
                signs(response),
                response);
    }

    /** Decodes the header "Leaving", and the retry-after delay of a 503 in milliseconds. */
    private static EndpointSigns signs(HttpResponse response) {
        boolean isRefusal = response.status().code() == 503;
        Integer millis = response.headers().getInt("Retry-After-Millis");
        return new EndpointSigns(
                response.headers().contains("Leaving"),
                Optional.ofNullable(isRefusal ? millis : null).map(Duration::ofMillis),
                Optional.empty());
    }

    @Override
    public HttpHeaders callerHeaders(HttpResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Id", response.headers().get("Id", ""));
        return headers;
    }

    @Override
    public Optional<String> decodeProcessedPromptHandle(byte[] body) {
        return Optional.empty();
    }

    @Override
    public String releasePath(ProcessedPrompt prompt) {
        return "/" + prompt.handle();
    }
}
