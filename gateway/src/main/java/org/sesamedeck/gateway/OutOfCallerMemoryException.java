package org.sesamedeck.gateway;

/** The memory for callers is used up, so that a request cannot be received. */
final class OutOfCallerMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The decoder wraps it for one request; a stack trace would cost more than the refusal. */
    OutOfCallerMemoryException() {
        super("memory for callers is used up", null, false, false);
    }
}
