package org.sesamedeck.emulator.load;

/**
 * Operation identifiers of the requests of a load test. Their prefix tells, in the ledgers of the
 * endpoints, which operations may run at most once.
 */
public final class OperationId {
    private static final String AT_MOST_ONCE_PREFIX = "once-";
    private static final String REPEATABLE_PREFIX = "any-";

    private OperationId() {}

    static String create(String runName, int number, boolean isAtMostOnce) {
        return (isAtMostOnce ? AT_MOST_ONCE_PREFIX : REPEATABLE_PREFIX) + runName + "-" + number;
    }

    /**
     * Returns whether the operation may run at most once: it has an Idempotency-Key, or it is a
     * POST to a plain service, which neither the caller nor the system retries without a key.
     */
    public static boolean isAtMostOnce(String operation) {
        return operation.startsWith(AT_MOST_ONCE_PREFIX);
    }
}
