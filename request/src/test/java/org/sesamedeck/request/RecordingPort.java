package org.sesamedeck.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.routing.EndpointDescription;

/** Records the calls that are made for one request; the test simulates the endpoints. */
final class RecordingPort implements RequestPort {
    private final List<SentCall> mCalls = new ArrayList<>();
    private final List<ProcessedPrompt> mReleased = new ArrayList<>();
    private final ByteArrayOutputStream mStream = new ByteArrayOutputStream();
    private Optional<ErrorResponse> mErrorResponse = Optional.empty();
    private Optional<ResponseHead> mResponse = Optional.empty();
    private int mOutcomes;
    private boolean mIsStreamEnded;
    private boolean mIsAborted;

    /** One call to an endpoint. */
    static final class SentCall implements EndpointCall {
        private final EndpointDescription mEndpoint;
        private final CallOptions mOptions;
        private final CallListener mListener;
        private boolean mIsConnected = true;
        private boolean mIsCancelled;

        SentCall(EndpointDescription endpoint, CallOptions options, CallListener listener) {
            mEndpoint = endpoint;
            mOptions = options;
            mListener = listener;
        }

        EndpointDescription endpoint() {
            return mEndpoint;
        }

        CallOptions options() {
            return mOptions;
        }

        CallListener listener() {
            return mListener;
        }

        boolean isCancelled() {
            return mIsCancelled;
        }

        void setConnected(boolean isConnected) {
            mIsConnected = isConnected;
        }

        @Override
        public boolean cancel() {
            mIsCancelled = true;
            return !mIsConnected;
        }
    }

    List<SentCall> calls() {
        return mCalls;
    }

    SentCall lastCall() {
        return mCalls.get(mCalls.size() - 1);
    }

    Optional<ErrorResponse> errorResponse() {
        return mErrorResponse;
    }

    Optional<ResponseHead> response() {
        return mResponse;
    }

    List<ProcessedPrompt> released() {
        return mReleased;
    }

    String streamedText() {
        return mStream.toString(StandardCharsets.UTF_8);
    }

    boolean isStreamEnded() {
        return mIsStreamEnded;
    }

    boolean isAborted() {
        return mIsAborted;
    }

    /** Returns how many final results, such as a response or a refusal, the caller received. */
    int outcomes() {
        return mOutcomes;
    }

    @Override
    public EndpointCall send(
            EndpointDescription endpoint, CallOptions options, CallListener listener) {
        SentCall call = new SentCall(endpoint, options, listener);
        mCalls.add(call);
        return call;
    }

    @Override
    public Optional<String> processedPromptHandle(ResponseHead head, byte[] body) {
        return body.length == 0
                ? Optional.empty()
                : Optional.of(new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void release(ProcessedPrompt prompt) {
        mReleased.add(prompt);
    }

    @Override
    public void respond(ResponseHead head, byte[] body) {
        mResponse = Optional.of(head);
        mOutcomes++;
    }

    @Override
    public void beginStream(ResponseHead head) {}

    @Override
    public void streamEvents(byte[] bytes) {
        mStream.writeBytes(bytes);
    }

    @Override
    public void endStream() {
        mIsStreamEnded = true;
        mOutcomes++;
    }

    @Override
    public void sendError(ErrorResponse error) {
        mErrorResponse = Optional.of(error);
        mOutcomes++;
    }

    @Override
    public void abort() {
        mIsAborted = true;
        mOutcomes++;
    }
}
