package org.sesamedeck.platform;

import java.util.concurrent.CompletableFuture;

/** A change of an owned object that is not yet known to be durable. */
final class SubmittedChange<S> {
    private final OwnedChange<S> mChange;
    private final CompletableFuture<Long> mFuture = new CompletableFuture<>();
    private long mNumber;

    private SubmittedChange(OwnedChange<S> change) {
        mChange = change;
    }

    static <S> SubmittedChange<S> of(OwnedChange<S> change) {
        return new SubmittedChange<>(change);
    }

    OwnedChange<S> change() {
        return mChange;
    }

    CompletableFuture<Long> future() {
        return mFuture;
    }

    long number() {
        return mNumber;
    }

    void setNumber(long number) {
        mNumber = number;
    }
}
