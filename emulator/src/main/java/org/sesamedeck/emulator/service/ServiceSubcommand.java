package org.sesamedeck.emulator.service;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.emulator.HostAddressConverter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Subcommand that runs one emulated plain service. */
@Command(
        name = "service",
        showDefaultValues = true,
        description = "Plain service that delays and records its calls.")
public final class ServiceSubcommand implements Runnable {
    @Option(
            names = "--listen",
            required = true,
            converter = HostAddressConverter.class,
            paramLabel = "ADDRESS:PORT",
            description = "listen address; port 0 selects a free port")
    private HostAddress mListen;

    @Option(
            names = "--name",
            defaultValue = "service",
            paramLabel = "NAME",
            description = "name of the service in the host list")
    private String mName;

    @Option(
            names = "--delay-millis",
            defaultValue = "20",
            paramLabel = "N",
            description = "duration of a call, in milliseconds")
    private long mDelayMillis;

    @Option(
            names = "--concurrency",
            defaultValue = "128",
            paramLabel = "N",
            description = "maximum number of concurrent calls")
    private int mConcurrency;

    @Option(
            names = "--ledger-file",
            paramLabel = "FILE",
            description = "file that preserves the ledger across a kill; in memory only if absent")
    private Path mLedgerFile;

    /** Creates a subcommand; called by picocli. */
    public ServiceSubcommand() {}

    @Override
    public void run() {
        ServiceEmulator service =
                ServiceEmulator.start(
                        mName,
                        mListen,
                        SystemClock.create(),
                        Duration.ofMillis(mDelayMillis),
                        mConcurrency,
                        Optional.ofNullable(mLedgerFile));
        System.out.println("service " + mName + " listens on " + service.address());
    }
}
