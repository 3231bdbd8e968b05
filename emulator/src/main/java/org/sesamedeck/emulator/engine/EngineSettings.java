package org.sesamedeck.emulator.engine;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HostAddress;

/**
 * Settings of an emulated engine.
 *
 * @param name name of the engine in the host list
 * @param listen listen address; port 0 selects a free port
 * @param models models loaded at startup
 * @param role initial role
 * @param isFencingChecked whether commands with a stale fencing number are rejected
 * @param prefillTokensPerSecond prompt tokens per second of an engine in the mixed role
 * @param decodeBaseDuration fixed duration of a decode step
 * @param decodeSequenceDuration additional duration of a decode step per sequence
 * @param batchSize maximum number of running sequences in the mixed role
 * @param promptChunkTokens maximum number of prompt tokens per step
 * @param kvTokens KV cache capacity for running sequences, in tokens
 * @param cacheBlocks prefix cache capacity, in blocks of 64 prompt tokens
 * @param queueLimit maximum number of queued requests
 * @param roleChangeDuration duration of a role change, during which no request is served
 * @param modelLoadDuration duration of loading a model, adapter or version
 * @param commandConnectionLimit maximum age of a connection for commands and maximum wait for the
 *     first request on any connection; no limit if zero
 * @param streamRetention how long a stream without a connection is retained
 * @param loadLag minimum age of a load report
 * @param cacheEventLag minimum age of a published cache event
 * @param cacheEventGaps fraction of cache events that are never published
 * @param kvTokensPerSecond KV cache import rate, in tokens per second
 */
public record EngineSettings(
        String name,
        HostAddress listen,
        List<String> models,
        EngineRole role,
        boolean isFencingChecked,
        double prefillTokensPerSecond,
        Duration decodeBaseDuration,
        Duration decodeSequenceDuration,
        int batchSize,
        int promptChunkTokens,
        int kvTokens,
        int cacheBlocks,
        int queueLimit,
        Duration roleChangeDuration,
        Duration modelLoadDuration,
        Duration commandConnectionLimit,
        Duration streamRetention,
        Duration loadLag,
        Duration cacheEventLag,
        double cacheEventGaps,
        double kvTokensPerSecond) {}
