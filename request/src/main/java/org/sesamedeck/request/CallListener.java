package org.sesamedeck.request;

/** Receives what becomes of a call, on the thread that made it. */
public interface CallListener {
    /** No byte of the request has left: it cannot have run. Ends the call. */
    void notSent(String cause);

    /** The head of the answer has arrived. */
    void answered(AnswerHead head);

    /** Bytes of the answer's body. */
    void body(byte[] bytes);

    /** The answer is whole. Ends the call. */
    void ended();

    /** The call broke after bytes had left: the request may have run. Ends the call. */
    void broken(String cause);
}
