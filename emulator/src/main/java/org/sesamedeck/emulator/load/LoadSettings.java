package org.sesamedeck.emulator.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;

/**
 * Settings of a load test.
 *
 * @param entries addresses of the entry processes
 * @param admins admin addresses in the same order; empty when readiness is not to be checked
 * @param keys API keys of the callers, used in turn
 * @param models requested models, used in turn
 * @param service plain service to call; none when empty
 * @param requestsPerSecond mean rate of arrivals
 * @param duration period during which requests arrive
 * @param mixPeriod period of the oscillation between long prompts and long outputs
 * @param mixAmplitude 0 for a constant mix, 1 for a mix that alternates fully between the two
 * @param idempotencyShare share of the requests that carry an Idempotency-Key
 * @param firstTokenGoal goal for the time to the first token
 * @param tokenIntervalGoal goal for the mean time between the tokens of a response
 * @param clientTimeout maximum duration of a request, including its retries
 * @param seed seed of the arrival times and request contents
 */
public record LoadSettings(
        List<HostAddress> entries,
        List<HostAddress> admins,
        List<String> keys,
        List<String> models,
        Optional<String> service,
        double requestsPerSecond,
        Duration duration,
        Duration mixPeriod,
        double mixAmplitude,
        double idempotencyShare,
        Duration firstTokenGoal,
        Duration tokenIntervalGoal,
        Duration clientTimeout,
        long seed) {}
