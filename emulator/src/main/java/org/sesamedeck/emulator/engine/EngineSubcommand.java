package org.sesamedeck.emulator.engine;

import java.time.Duration;
import java.util.List;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.HostAddressConverter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Subcommand that runs one emulated engine. */
@Command(
        name = "engine",
        showDefaultValues = true,
        description = "Engine that simulates the cost of continuous batching.")
public final class EngineSubcommand implements Runnable {
    /** Whether an engine rejects commands with a stale fencing number. */
    public enum Fencing {
        CHECKED,
        IGNORED
    }

    private static final long NANOS_PER_MICRO = 1000;

    @Option(
            names = "--listen",
            required = true,
            converter = HostAddressConverter.class,
            paramLabel = "ADDRESS:PORT",
            description = "listen address; port 0 selects a free port")
    private HostAddress mListen;

    @Option(
            names = "--name",
            defaultValue = "engine",
            paramLabel = "NAME",
            description = "name of the engine in the host list")
    private String mName;

    @Option(
            names = "--models",
            split = ",",
            defaultValue = "model",
            paramLabel = "NAME",
            description = "models loaded at startup")
    private List<String> mModels;

    @Option(
            names = "--role",
            defaultValue = "MIXED",
            paramLabel = "ROLE",
            description = "initial role: prefill, decode or mixed")
    private EngineRole mRole;

    @Option(
            names = "--fencing",
            defaultValue = "CHECKED",
            paramLabel = "RULE",
            description =
                    "checked: reject commands with a stale fencing number; ignored: apply them")
    private Fencing mFencing;

    @Option(
            names = "--prefill-tokens-per-second",
            defaultValue = "12000",
            paramLabel = "N",
            description = "prompt tokens per second of an engine in the mixed role")
    private double mPrefillTokensPerSecond;

    @Option(
            names = "--decode-base-micros",
            defaultValue = "8000",
            paramLabel = "N",
            description = "fixed duration of a decode step, in microseconds")
    private long mDecodeBaseMicros;

    @Option(
            names = "--decode-sequence-micros",
            defaultValue = "200",
            paramLabel = "N",
            description = "additional duration of a decode step per sequence, in microseconds")
    private long mDecodeSequenceMicros;

    @Option(
            names = "--batch-size",
            defaultValue = "32",
            paramLabel = "N",
            description = "maximum number of running requests in the mixed role")
    private int mBatchSize;

    @Option(
            names = "--prompt-chunk-tokens",
            defaultValue = "256",
            paramLabel = "N",
            description = "maximum number of prompt tokens per step")
    private int mPromptChunkTokens;

    @Option(
            names = "--kv-tokens",
            defaultValue = "120000",
            paramLabel = "N",
            description = "KV cache capacity for running requests, in tokens")
    private int mKvTokens;

    @Option(
            names = "--cache-blocks",
            defaultValue = "2000",
            paramLabel = "N",
            description = "prefix cache capacity, in blocks of 64 prompt tokens")
    private int mCacheBlocks;

    @Option(
            names = "--queue-limit",
            defaultValue = "256",
            paramLabel = "N",
            description = "maximum number of queued requests")
    private int mQueueLimit;

    @Option(
            names = "--role-change-seconds",
            defaultValue = "4",
            paramLabel = "N",
            description = "duration of a role change in seconds; no request is served meanwhile")
    private double mRoleChangeSeconds;

    @Option(
            names = "--load-seconds",
            defaultValue = "2",
            paramLabel = "N",
            description = "duration of loading a model or an adapter, in seconds")
    private double mLoadSeconds;

    @Option(
            names = "--command-connection-seconds",
            defaultValue = "2",
            paramLabel = "N",
            description = "maximum age of a connection for commands, in seconds; 0 for no limit")
    private double mCommandConnectionSeconds;

    @Option(
            names = "--stream-retention-seconds",
            defaultValue = "30",
            paramLabel = "N",
            description = "how long a stream without a connection is retained, in seconds")
    private double mStreamRetentionSeconds;

    @Option(
            names = "--load-lag-millis",
            defaultValue = "500",
            paramLabel = "N",
            description = "minimum age of a load report, in milliseconds")
    private long mLoadLagMillis;

    @Option(
            names = "--cache-event-lag-millis",
            defaultValue = "500",
            paramLabel = "N",
            description = "minimum age of a published cache event, in milliseconds")
    private long mCacheEventLagMillis;

    @Option(
            names = "--cache-event-gaps",
            defaultValue = "0.02",
            paramLabel = "FRACTION",
            description = "fraction of cache events that are never published")
    private double mCacheEventGaps;

    @Option(
            names = "--kv-tokens-per-second",
            defaultValue = "200000",
            paramLabel = "N",
            description = "KV cache import rate, in tokens per second")
    private double mKvTokensPerSecond;

    /** Creates a subcommand; called by picocli. */
    public EngineSubcommand() {}

    /** Returns the settings given on the command line. */
    EngineSettings settings() {
        return new EngineSettings(
                mName,
                mListen,
                mModels,
                mRole,
                mFencing == Fencing.CHECKED,
                mPrefillTokensPerSecond,
                Duration.ofNanos(mDecodeBaseMicros * NANOS_PER_MICRO),
                Duration.ofNanos(mDecodeSequenceMicros * NANOS_PER_MICRO),
                mBatchSize,
                mPromptChunkTokens,
                mKvTokens,
                mCacheBlocks,
                mQueueLimit,
                seconds(mRoleChangeSeconds),
                seconds(mLoadSeconds),
                seconds(mCommandConnectionSeconds),
                seconds(mStreamRetentionSeconds),
                Duration.ofMillis(mLoadLagMillis),
                Duration.ofMillis(mCacheEventLagMillis),
                mCacheEventGaps,
                mKvTokensPerSecond);
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos(Math.round(seconds * 1e9));
    }

    @Override
    public void run() {
        EngineEmulator engine = EngineEmulator.start(settings(), SystemClock.create());
        System.out.println("engine " + mName + " listens on " + engine.address());
    }
}
