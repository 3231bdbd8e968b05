package org.sesamedeck.request;

import java.time.Duration;

/**
 * What decides when a waiting request starts.
 *
 * @param priority rank of its route, 0 is the most urgent
 * @param dueNanos monotonic time until which it must start to be on time, in nanoseconds
 * @param longestWait after which its answer would come too late, or its caller is gone
 */
record StartTerms(int priority, long dueNanos, Duration longestWait) {}
