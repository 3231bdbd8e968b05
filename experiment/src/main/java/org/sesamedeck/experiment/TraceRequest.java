package org.sesamedeck.experiment;

import org.sesamedeck.core.Plan;

/**
 * One request of a trace.
 *
 * @param arrivalNanos time of arrival, in nanoseconds from the start
 * @param entry index of the entry process that the load balancer selected
 * @param plan plan of the client account
 * @param clientAccount name of the client account
 * @param requestClass class of the request
 * @param promptTokens number of prompt tokens
 * @param outputTokens number of output tokens
 */
record TraceRequest(
        long arrivalNanos,
        int entry,
        Plan plan,
        String clientAccount,
        RequestClass requestClass,
        int promptTokens,
        int outputTokens) {
    double workSeconds() {
        return EngineCostModel.workSeconds(promptTokens, outputTokens);
    }
}
