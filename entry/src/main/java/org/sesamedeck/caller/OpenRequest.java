package org.sesamedeck.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;

/** State of one open request, for the request log, the metrics and the drain. */
final class OpenRequest {
    /** Name of the servlet request attribute that holds the state. */
    static final String ATTRIBUTE = "org.sesamedeck.request";

    private static final System.Logger LOGGER = System.getLogger(OpenRequest.class.getName());

    private final String mId;
    private final String mUniqueId;
    private final String mMethodAndPath;
    private final long mStartNanos;
    private volatile String mClientAccount = "";
    private volatile String mEndpoint = "";
    private volatile ResultCode mCode;
    private volatile boolean mCallerDisconnected;
    private final Deque<Runnable> mCleanups = new ArrayDeque<>();

    private OpenRequest(String id, String uniqueId, String methodAndPath, long startNanos) {
        mId = id;
        mUniqueId = uniqueId;
        mMethodAndPath = methodAndPath;
        mStartNanos = startNanos;
    }

    /**
     * Returns the state of a new request.
     *
     * @param id identifier that the caller sees; callers can set it, so it may not be unique
     * @param randomSuffix suffix that makes the identifiers sent to endpoints unique
     */
    static OpenRequest of(String id, String randomSuffix, String methodAndPath, long startNanos) {
        return new OpenRequest(id, id + "." + randomSuffix, methodAndPath, startNanos);
    }

    String id() {
        return mId;
    }

    /** Returns the identifier that is unique among all requests. */
    String uniqueId() {
        return mUniqueId;
    }

    /** Returns the request identifier that is sent to the endpoint for an attempt. */
    String streamId(int attempt) {
        return mUniqueId + "." + attempt;
    }

    String methodAndPath() {
        return mMethodAndPath;
    }

    long startNanos() {
        return mStartNanos;
    }

    String clientAccount() {
        return mClientAccount;
    }

    void setClientAccount(String clientAccount) {
        mClientAccount = clientAccount;
    }

    String endpoint() {
        return mEndpoint;
    }

    void setEndpoint(String endpoint) {
        mEndpoint = endpoint;
    }

    /** Returns the result code of the failure; empty when the request has not failed. */
    Optional<ResultCode> code() {
        return Optional.ofNullable(mCode);
    }

    void setCode(ResultCode code) {
        mCode = code;
    }

    /** Registers a cleanup; cleanups run in reverse order of registration. */
    void onClose(Runnable cleanup) {
        mCleanups.push(cleanup);
    }

    /** Runs all cleanups, even when one of them fails. */
    void close() {
        while (!mCleanups.isEmpty()) {
            try {
                mCleanups.pop().run();
            } catch (RuntimeException failure) {
                LOGGER.log(
                        System.Logger.Level.ERROR,
                        "cleanup of request " + mId + " failed",
                        failure);
            }
        }
    }

    boolean isCallerDisconnected() {
        return mCallerDisconnected;
    }

    void setCallerDisconnected() {
        mCallerDisconnected = true;
    }
}
