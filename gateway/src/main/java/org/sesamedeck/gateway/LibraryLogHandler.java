package org.sesamedeck.gateway;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.sesamedeck.core.Clock;
import org.sesamedeck.request.Decision;
import org.sesamedeck.request.DecisionLog;
import org.sesamedeck.request.LogEntry;

/** Redirects warnings and errors logged by libraries to the decision log. */
public final class LibraryLogHandler extends Handler {
    private final SimpleFormatter mFormatter = new SimpleFormatter();
    private final Clock mClock;
    private final DecisionLog mLog;

    private LibraryLogHandler(Clock clock, DecisionLog log) {
        mClock = clock;
        mLog = log;
        setLevel(Level.WARNING);
    }

    /** Returns a handler that is not installed. */
    static LibraryLogHandler of(Clock clock, DecisionLog log) {
        return new LibraryLogHandler(clock, log);
    }

    /**
     * Makes the decision log the only destination of library logging; must be called before the
     * libraries are used.
     */
    public static void install(Clock clock, DecisionLog log) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(of(clock, log));
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        LogEntry entry =
                LogEntry.of(Decision.LIBRARY_MESSAGE, mClock.nanoTime())
                        .with("level", record.getLevel().getName())
                        .with("logger", String.valueOf(record.getLoggerName()))
                        .with("message", mFormatter.formatMessage(record));
        Optional.ofNullable(record.getThrown())
                .ifPresent(thrown -> entry.with("cause", thrown.toString()));
        mLog.record(entry);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
