package org.sesamedeck.emulator.load;

import java.util.Optional;
import org.sesamedeck.emulator.response.ResponseText;

/** Compares a response with the expected text while it arrives, character by character. */
final class ResponseVerifier {
    private final ResponseText mExpected;
    private final int mLength;
    private int mReceived;
    private String mLastText = "";
    private boolean mIsEnded;
    private ResponseFault mFault;

    private ResponseVerifier(ResponseText expected) {
        mExpected = expected;
        mLength = expected.tokens() * ResponseText.TOKEN_BYTES;
    }

    static ResponseVerifier of(ResponseText expected) {
        return new ResponseVerifier(expected);
    }

    /** Verifies the next chunk of text. */
    void addText(String text) {
        if (text.isEmpty() || mFault != null) {
            return;
        }
        if (mIsEnded || mReceived + text.length() > mLength) {
            mFault = ResponseFault.DUPLICATED;
            return;
        }
        for (int i = 0; i < text.length(); i++) {
            int position = mReceived + i;
            String token = mExpected.token(position / ResponseText.TOKEN_BYTES);
            if (text.charAt(i) != token.charAt(position % ResponseText.TOKEN_BYTES)) {
                mFault = text.equals(mLastText) ? ResponseFault.DUPLICATED : ResponseFault.FOREIGN;
                return;
            }
        }
        mReceived += text.length();
        mLastText = text;
    }

    /** Verifies that the end marker comes after the full text and only once. */
    void addEnd() {
        if (mFault == null && mIsEnded) {
            mFault = ResponseFault.DUPLICATED;
        } else if (mFault == null && mReceived < mLength) {
            mFault = ResponseFault.TRUNCATED;
        }
        mIsEnded = true;
    }

    boolean isEnded() {
        return mIsEnded;
    }

    Optional<ResponseFault> fault() {
        return Optional.ofNullable(mFault);
    }
}
