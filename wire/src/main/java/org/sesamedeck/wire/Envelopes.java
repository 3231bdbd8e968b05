package org.sesamedeck.wire;

import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.wire.generated.Acknowledgement;
import org.sesamedeck.wire.generated.Envelope;
import org.sesamedeck.wire.generated.ErrorReply;

/** Builds envelopes and converts between failures and error replies. */
public final class Envelopes {
    /** Major version of the protocol; a message of another version gets an error reply. */
    public static final int PROTOCOL_VERSION = 1;

    private Envelopes() {}

    /** Returns a builder with the protocol version set. */
    public static Envelope.Builder builder() {
        return Envelope.newBuilder().setProtocolVersion(PROTOCOL_VERSION);
    }

    /** Returns a reply that confirms a message and has no content. */
    public static Envelope acknowledgement() {
        return builder().setAcknowledgement(Acknowledgement.getDefaultInstance()).build();
    }

    /** Returns the error reply for a failure. */
    public static Envelope error(SesamedeckException failure) {
        ErrorReply.Builder reply =
                ErrorReply.newBuilder()
                        .setCode(failure.code().number())
                        .setMessage(String.valueOf(failure.getMessage()));
        failure.retryAfter()
                .ifPresent(retryAfter -> reply.setRetryAfterMillis(retryAfter.toMillis()));
        return builder().setErrorReply(reply).build();
    }

    /** Returns the failure that an error reply describes. */
    public static SesamedeckException toFailure(ErrorReply reply) {
        ResultCode code = ResultCode.ofNumber(reply.getCode()).orElse(ResultCode.INTERNAL_ERROR);
        if (reply.getRetryAfterMillis() > 0) {
            return SesamedeckException.retryAfter(
                    code,
                    reply.getMessage(),
                    java.time.Duration.ofMillis(reply.getRetryAfterMillis()));
        }
        return SesamedeckException.of(code, reply.getMessage());
    }
}
