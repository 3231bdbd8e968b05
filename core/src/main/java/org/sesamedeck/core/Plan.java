package org.sesamedeck.core;

import java.time.Duration;

/**
 * The share, priority, limits and latency goals that apply to the client accounts of a plan.
 *
 * @param name name of the plan
 * @param share weight of the plan while engines are contended; the plan receives its share divided
 *     by the sum of the shares of all plans with demand, as a fraction of the engine time
 * @param priority 0 to 9, 9 is highest; determines the order of load shedding and engine priority
 * @param requestsPerMinute limit on requests per minute over all entry hosts
 * @param tokensPerMinute limit on prompt and output tokens per minute over all entry hosts
 * @param concurrentRequests limit on concurrent requests over all entry hosts
 * @param firstTokenGoal latency goal for the first token
 * @param tokenIntervalGoal latency goal for the mean time between tokens
 */
public record Plan(
        String name,
        double share,
        int priority,
        long requestsPerMinute,
        long tokensPerMinute,
        long concurrentRequests,
        Duration firstTokenGoal,
        Duration tokenIntervalGoal) {}
