package org.sesamedeck.daemon;

import com.fasterxml.jackson.databind.node.TextNode;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ConsoleAppenderFactory;
import io.dropwizard.logging.common.DefaultLoggingFactory;
import io.dropwizard.logging.json.EventJsonLayoutBaseFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Settings;

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

    private DaemonConfiguration() {}

    /**
     * Returns the Dropwizard configuration of a daemon.
     *
     * @param listen address of the application port; without one, the application port is an
     *     ephemeral loopback port on which nothing is served
     */
    public static DaemonConfiguration of(Settings settings, Optional<HostAddress> listen) {
        DaemonConfiguration configuration = new DaemonConfiguration();
        DefaultServerFactory server = new DefaultServerFactory();
        server.setApplicationConnectors(
                List.of(connector(listen.orElse(HostAddress.of("127.0.0.1", 0)))));
        server.setAdminConnectors(List.of(connector(settings.get(DaemonSettings.ADMIN_LISTEN))));
        server.setMaxThreads(Math.toIntExact(settings.get(DaemonSettings.THREADS)));
        server.setMinThreads(4);
        server.setAdminMaxThreads(8);
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

    private static HttpConnectorFactory connector(HostAddress address) {
        HttpConnectorFactory connector = new HttpConnectorFactory();
        connector.setBindHost(address.address());
        connector.setPort(address.port());
        return connector;
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
