package org.sesamedeck.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.request.CallerRequest;
import org.sesamedeck.request.RequestExplanation;

/**
 * Answers where a request would go now. One explanation is computed at a time, so that questions
 * cannot hold up the requests of callers. Confined to the thread of the status server.
 */
final class ExplanationPage {
    static final String PATH = "/explain";

    private final Executor mStatusThread;
    private final Function<CallerRequest, CompletionStage<RequestExplanation>> mExplanations;
    private final ExplanationEncoder mEncoder = new ExplanationEncoder();
    private boolean mIsBusy;

    /**
     * Creates a page.
     *
     * @param statusThread runs tasks on the thread of the status server
     * @param explanations explains a request on whichever thread it needs
     */
    ExplanationPage(
            Executor statusThread,
            Function<CallerRequest, CompletionStage<RequestExplanation>> explanations) {
        mStatusThread = statusThread;
        mExplanations = explanations;
    }

    /** Returns the response, which completes on the thread of the status server. */
    CompletionStage<StatusPage> respond(String uri) {
        CallerRequest request;
        try {
            request = ExplanationQuery.parse(uri);
        } catch (SesamedeckException malformed) {
            return CompletableFuture.completedFuture(
                    StatusPage.text(HttpResponseStatus.BAD_REQUEST, malformed.getMessage() + "\n"));
        }
        if (mIsBusy) {
            return CompletableFuture.completedFuture(
                    StatusPage.text(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "another explanation is being computed\n"));
        }
        CompletionStage<RequestExplanation> explanation = mExplanations.apply(request);
        mIsBusy = true;
        return explanation.handleAsync(this::page, mStatusThread);
    }

    private StatusPage page(RequestExplanation explanation, Throwable failure) {
        mIsBusy = false;
        return failure == null
                ? new StatusPage(
                        HttpResponseStatus.OK, "application/json", mEncoder.encode(explanation))
                : StatusPage.text(
                        HttpResponseStatus.INTERNAL_SERVER_ERROR,
                        "cannot explain: " + failure + "\n");
    }
}
