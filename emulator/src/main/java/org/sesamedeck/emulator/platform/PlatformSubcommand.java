package org.sesamedeck.emulator.platform;

import java.time.Duration;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.HostAddressConverter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Subcommand that runs the emulated platform. */
@Command(
        name = "platform",
        showDefaultValues = true,
        description = "Platform with an object API and a host list.")
public final class PlatformSubcommand implements Runnable {
    @Option(
            names = "--listen",
            required = true,
            converter = HostAddressConverter.class,
            paramLabel = "ADDRESS:PORT",
            description = "listen address; port 0 selects a free port")
    private HostAddress mListen;

    @Option(
            names = "--writes-per-second",
            defaultValue = "400",
            paramLabel = "N",
            description = "rate limit of writes, per second")
    private double mWritesPerSecond;

    @Option(
            names = "--reads-per-second",
            defaultValue = "2000",
            paramLabel = "N",
            description =
                    "rate limit of reads, per second; each waiting watch uses one read per second")
    private double mReadsPerSecond;

    @Option(
            names = "--host-lag-millis",
            defaultValue = "1000",
            paramLabel = "N",
            description = "delay until a change of the host list is visible, in milliseconds")
    private long mHostLagMillis;

    /** Creates a subcommand; called by picocli. */
    public PlatformSubcommand() {}

    @Override
    public void run() {
        PlatformEmulator platform =
                PlatformEmulator.start(
                        mListen,
                        SystemClock.create(),
                        new PlatformLimits(
                                mWritesPerSecond,
                                mReadsPerSecond,
                                Duration.ofMillis(mHostLagMillis)));
        System.out.println("platform listens on " + platform.address());
    }
}
