package org.sesamedeck.emulator.load;

import java.util.Optional;
import org.sesamedeck.emulator.response.ResponseText;

/**
 * One request of a load test.
 *
 * @param operation operation identifier chosen by the caller
 * @param kind kind of the request
 * @param arrivalNanos planned arrival time since the start of the run, in nanoseconds
 * @param path request path
 * @param body JSON body
 * @param apiKey API key of the caller
 * @param idempotencyKey Idempotency-Key of a request that may run at most once
 * @param expectedResponse expected response of a model; absent for a service call
 * @param expectedResult expected result of a service call; empty for a model
 */
record PlannedRequest(
        String operation,
        LoadTestRequestKind kind,
        long arrivalNanos,
        String path,
        String body,
        String apiKey,
        Optional<String> idempotencyKey,
        Optional<ResponseText> expectedResponse,
        String expectedResult) {}
