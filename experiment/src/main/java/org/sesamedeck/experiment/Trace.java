package org.sesamedeck.experiment;

import java.util.List;

/**
 * A sequence of requests and engine crashes to run a policy against.
 *
 * @param kind kind of trace
 * @param workload workload of a deployment
 * @param seed seed from which it was drawn
 * @param seconds duration, in seconds
 * @param requests requests in order of arrival
 * @param crashes engine crashes
 * @param reportDelayMillis age of a load report when it arrives, in milliseconds
 */
record Trace(
        TraceKind kind,
        Workload workload,
        long seed,
        double seconds,
        List<TraceRequest> requests,
        List<EngineCrash> crashes,
        long reportDelayMillis) {}
