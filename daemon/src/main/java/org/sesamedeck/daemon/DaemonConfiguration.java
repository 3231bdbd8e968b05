package org.sesamedeck.daemon;

import com.fasterxml.jackson.databind.node.TextNode;
import io.dropwizard.core.Configuration;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.logging.common.ConsoleAppenderFactory;
import io.dropwizard.logging.common.DefaultLoggingFactory;
import io.dropwizard.logging.json.EventJsonLayoutBaseFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.DescriptorLimit;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Settings;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.daemon.caller.BoundedConnectorFactory;
import org.sesamedeck.daemon.caller.BoundedServerFactory;
import org.sesamedeck.daemon.caller.CallerLedger;
import org.sesamedeck.daemon.caller.CallerLimits;

/** Converts validated INI settings to the configuration object that Dropwizard expects. */
public final class DaemonConfiguration extends Configuration {
    /**
     * Dropwizard's default refuses methods that plain services may use. CONNECT is left out because
     * only proxies use it.
     */
    private static final Set<String> ALLOWED_METHODS =
            Set.of(
                    "GET",
                    "HEAD",
                    "POST",
                    "PUT",
                    "DELETE",
                    "OPTIONS",
                    "PATCH",
                    "TRACE",
                    "QUERY",
                    "PROPFIND",
                    "PROPPATCH",
                    "MKCOL",
                    "COPY",
                    "MOVE",
                    "LOCK",
                    "UNLOCK",
                    "REPORT",
                    "SEARCH",
                    "LINK",
                    "UNLINK",
                    "BIND",
                    "UNBIND",
                    "REBIND",
                    "ACL",
                    "MERGE",
                    "CHECKIN",
                    "CHECKOUT",
                    "UNCHECKOUT",
                    "UPDATE",
                    "LABEL",
                    "MKACTIVITY",
                    "MKCALENDAR",
                    "MKWORKSPACE",
                    "ORDERPATCH",
                    "BASELINE-CONTROL",
                    "VERSION-CONTROL");

    private static final int ADMIN_THREADS = 8;

    /** A balancer and a collector of metrics need a few connections. */
    private static final int ADMIN_CONNECTIONS = 64;

    /** A quarter of the threads; two more belong to the connector. */
    private static final int ADMIN_TRANSFERS = ADMIN_THREADS / 4;

    private final CallerLedger mCallers;

    private DaemonConfiguration(CallerLedger callers) {
        mCallers = callers;
    }

    /**
     * Returns the Dropwizard configuration of a daemon.
     *
     * @param listen address of the application port; without one, the application port is an
     *     ephemeral loopback port on which nothing is served
     * @param callerMemory memory for bodies of callers of the application port, in bytes
     */
    public static DaemonConfiguration of(
            Settings settings, Optional<HostAddress> listen, long callerMemory) {
        int maxThreads = Math.toIntExact(settings.get(DaemonSettings.THREADS));
        CallerLimits limits =
                CallerLimits.of(maxConnections(settings), maxThreads / 2, callerMemory);
        DaemonConfiguration configuration = new DaemonConfiguration(ledger(limits));
        BoundedServerFactory server = new BoundedServerFactory();
        server.setApplicationConnectors(
                List.of(
                        connector(
                                settings,
                                listen.orElse(HostAddress.of("127.0.0.1", 0)),
                                configuration.mCallers)));
        CallerLimits adminLimits =
                CallerLimits.of(ADMIN_CONNECTIONS, ADMIN_TRANSFERS, Long.MAX_VALUE);
        server.setAdminConnectors(
                List.of(
                        connector(
                                settings,
                                settings.get(DaemonSettings.ADMIN_LISTEN),
                                ledger(adminLimits))));
        server.setMaxThreads(maxThreads);
        server.setMinThreads(4);
        server.setAdminMaxThreads(ADMIN_THREADS);
        server.setAdminMinThreads(1);
        server.setRegisterDefaultExceptionMappers(false);
        server.setAllowedMethods(ALLOWED_METHODS);
        // With compression, a stream would reach the caller in one piece at its end.
        server.getGzipFilterFactory().setEnabled(false);
        // By then the shutdown sequence has waited for all running requests.
        server.setShutdownGracePeriod(Duration.seconds(1));
        LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
        requestLog.setAppenders(List.of());
        server.setRequestLogFactory(requestLog);
        configuration.setServerFactory(server);
        configuration.setLoggingFactory(logging(settings));
        return configuration;
    }

    private static CallerLedger ledger(CallerLimits limits) {
        return CallerLedger.of(SystemClock.create(), limits);
    }

    private static int maxConnections(Settings settings) {
        int connections = Math.toIntExact(settings.get(DaemonSettings.CONNECTIONS));
        return connections > 0
                ? connections
                : CallerLimits.defaultConnections(
                        Runtime.getRuntime().maxMemory(), DescriptorLimit.ofThisProcess());
    }

    private static ConnectorFactory connector(
            Settings settings, HostAddress address, CallerLedger callers) {
        return BoundedConnectorFactory.of(
                address, callers, Math.toIntExact(settings.get(DaemonSettings.FIELDS)));
    }

    /** Returns the ledger of the application port. */
    CallerLedger callers() {
        return mCallers;
    }

    private static DefaultLoggingFactory logging(Settings settings) {
        EventJsonLayoutBaseFactory layout = new EventJsonLayoutBaseFactory();
        layout.setAdditionalFields(Map.of("process", settings.get(DaemonSettings.NAME)));
        layout.setFlattenMdc(true);
        ConsoleAppenderFactory<ch.qos.logback.classic.spi.ILoggingEvent> console =
                new ConsoleAppenderFactory<>();
        console.setLayout(layout);
        DefaultLoggingFactory logging = new DefaultLoggingFactory();
        logging.setLevel(settings.get(DaemonSettings.LOG_LEVEL));
        logging.setLoggers(
                Map.of(
                        "org.eclipse.jetty",
                        TextNode.valueOf("WARN"),
                        "io.dropwizard",
                        TextNode.valueOf("WARN"),
                        "org.glassfish.jersey",
                        TextNode.valueOf("ERROR"),
                        // Logs a stack trace for each caller that disconnects, which the request
                        // log of the entry process records already.
                        "org.glassfish.jersey.server.ServerRuntime$Responder",
                        TextNode.valueOf("OFF"),
                        "org.hibernate",
                        TextNode.valueOf("WARN")));
        logging.setAppenders(List.of(console));
        return logging;
    }
}
