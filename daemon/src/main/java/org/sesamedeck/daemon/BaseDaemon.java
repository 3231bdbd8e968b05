package org.sesamedeck.daemon;

import io.dropwizard.core.Application;
import io.dropwizard.core.cli.ServerCommand;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.server.SizeLimitHandler;
import org.glassfish.jersey.server.ServerProperties;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.Settings;

/**
 * Base class of the long-running server processes. Subclasses declare their settings and register
 * their resources; startup, logging, metrics, health checks and the shutdown sequence are common.
 */
public abstract class BaseDaemon extends Application<DaemonConfiguration> {
    /** Exit status for an invalid command line. */
    public static final int EXIT_USAGE = 2;

    /** Exit status for invalid settings; nothing was started. */
    public static final int EXIT_SETTINGS = 3;

    /** Exit status when a component could not be started. */
    public static final int EXIT_START = 4;

    private static final long MAX_ADMIN_BODY_BYTES = 64 * 1_024;
    private static final long NO_LIMIT = -1;

    private Settings mSettings;

    /** Returns the settings of the daemon in addition to {@link DaemonSettings#all()}. */
    protected abstract List<Setting<?>> settings();

    /** Returns the address of the application port, if the daemon has one. */
    protected abstract Optional<HostAddress> listen(Settings settings);

    /**
     * Returns the memory in bytes that callers of the application port may reserve for their
     * bodies; without limit unless the daemon keeps bodies.
     */
    protected long callerMemory(Settings settings) {
        return Long.MAX_VALUE;
    }

    /** Prepares the process before any component is built; nothing unless a daemon needs it. */
    protected void prepare(Settings settings) {}

    /**
     * Builds and registers the components of the daemon. The lifecycle of the environment manages
     * those that need closing.
     *
     * @return the work that the shutdown sequence stops and waits for
     */
    protected abstract Drainable start(Settings settings, Environment environment) throws Exception;

    /**
     * Runs the daemon until the process ends. The single argument is the settings file.
     *
     * <p>Invalid settings end the process with {@link #EXIT_SETTINGS} after all errors are printed.
     */
    public final void runDaemon(String... arguments) {
        if (arguments.length != 1 || arguments[0].startsWith("-")) {
            System.err.println("usage: " + getName() + " SETTINGS_FILE");
            System.exit(EXIT_USAGE);
        }
        try {
            mSettings = Settings.load(Path.of(arguments[0]), schema());
        } catch (SesamedeckException invalid) {
            System.err.println(invalid.getMessage());
            System.exit(EXIT_SETTINGS);
        }
        DaemonConfiguration configuration =
                DaemonConfiguration.of(mSettings, listen(mSettings), callerMemory(mSettings));
        Bootstrap<DaemonConfiguration> bootstrap = new Bootstrap<>(this);
        initialize(bootstrap);
        configuration.getLoggingFactory().configure(bootstrap.getMetricRegistry(), getName());
        prepare(mSettings);
        try {
            new DirectServerCommand(this).start(bootstrap, configuration);
        } catch (Exception failure) {
            System.getLogger(getName()).log(System.Logger.Level.ERROR, "startup failed", failure);
            System.exit(EXIT_START);
        }
    }

    /** Returns the full schema, used to validate a file and to write the settings reference. */
    public final List<Setting<?>> schema() {
        List<Setting<?>> schema = new ArrayList<>(DaemonSettings.all());
        schema.addAll(settings());
        return schema;
    }

    @Override
    public final void run(DaemonConfiguration configuration, Environment environment)
            throws Exception {
        // By default Jersey holds a flushed stream back until its end.
        environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        environment.jersey().property(ServerProperties.WADL_FEATURE_DISABLE, true);
        // The servlet for tasks keeps the whole body.
        environment
                .getAdminContext()
                .insertHandler(new SizeLimitHandler(MAX_ADMIN_BODY_BYTES, NO_LIMIT));
        environment
                .admin()
                .addServlet("prometheus", PrometheusServlet.of(environment.metrics()))
                .addMapping("/prometheus");
        CallerMetrics.register(environment.metrics(), configuration.callers());
        Drainable drainable = start(mSettings, environment);
        environment.healthChecks().register("accepting", AcceptingHealthCheck.of(drainable));
        ShutdownSequence sequence =
                ShutdownSequence.of(drainable, mSettings.get(DaemonSettings.BALANCER_DELAY));
        environment
                .admin()
                .addServlet("ready", ReadinessServlet.of(sequence, drainable))
                .addMapping("/ready");
        sequence.install();
    }

    /** Runs the server with a configuration built in memory instead of one read from a file. */
    private static final class DirectServerCommand extends ServerCommand<DaemonConfiguration> {
        private DirectServerCommand(Application<DaemonConfiguration> application) {
            super(application, "server", "runs the daemon");
        }

        private void start(
                Bootstrap<DaemonConfiguration> bootstrap, DaemonConfiguration configuration)
                throws Exception {
            run(bootstrap, new net.sourceforge.argparse4j.inf.Namespace(Map.of()), configuration);
        }
    }
}
