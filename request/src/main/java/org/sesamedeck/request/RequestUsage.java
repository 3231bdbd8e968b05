package org.sesamedeck.request;

/** Tells the observer of usage once that a request has begun to run, for its client account. */
final class RequestUsage {
    private final UsageObserver mObserver;
    private final RequestAccess mAccess;
    private boolean mHasBegun;

    RequestUsage(UsageObserver observer, RequestAccess access) {
        mObserver = observer;
        mAccess = access;
    }

    /** An endpoint has begun to run the request, or has most likely done so. */
    void began() {
        if (!mHasBegun) {
            mHasBegun = true;
            mAccess.account().map(ClientAccount::name).ifPresent(mObserver::requestBegan);
        }
    }
}
