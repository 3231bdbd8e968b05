package org.sesamedeck.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sesamedeck.request.AnswerHead;
import org.sesamedeck.request.CallOptions;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.ProcessedPrompt;
import org.sesamedeck.routing.EndpointDescription;

/** A format with a request identifier, a signature and a statement that nothing ran. */
final class PlainFormat implements CallerFormat {
    @Override
    public CallerRequest decodeRequest(HttpRequest head) {
        return new CallerRequest(
                head.headers().get("Id", ""),
                head.headers().get("Host", ""),
                head.uri(),
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
    public boolean belongsToOther(HttpResponse answer, String requestIdentifier) {
        String named = answer.headers().get("Id");
        return named != null && !named.equals(requestIdentifier);
    }

    @Override
    public AnswerHead decodeAnswer(
            HttpResponse answer, String requestIdentifier, long receivedAtNanos) {
        return new AnswerHead(
                answer.status().code(),
                answer.headers().contains("Not-Run"),
                false,
                requestIdentifier.equals(answer.headers().get("Id")),
                Optional.empty(),
                answer);
    }

    @Override
    public HttpHeaders callerHeaders(HttpResponse answer) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Id", answer.headers().get("Id", ""));
        return headers;
    }

    @Override
    public Optional<String> decodeProcessedPrompt(byte[] body) {
        return Optional.empty();
    }

    @Override
    public String releasePath(ProcessedPrompt prompt) {
        return "/" + prompt.handle();
    }
}
