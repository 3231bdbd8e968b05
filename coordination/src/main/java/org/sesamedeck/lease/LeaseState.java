package org.sesamedeck.lease;

import java.util.List;

/** The part of the lease object that the holder changes while it holds the lease. */
final class LeaseState {
    private String mPayload;
    private List<String> mUnsettled;
    private boolean mIsReleased;

    LeaseState(String payload, List<String> unsettled) {
        mPayload = payload;
        mUnsettled = List.copyOf(unsettled);
    }

    String payload() {
        return mPayload;
    }

    void setPayload(String payload) {
        mPayload = payload;
    }

    List<String> unsettled() {
        return mUnsettled;
    }

    void setUnsettled(List<String> unsettled) {
        mUnsettled = List.copyOf(unsettled);
    }

    boolean isReleased() {
        return mIsReleased;
    }

    void setReleased() {
        mIsReleased = true;
    }
}
