package org.sesamedeck.entry;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.lifecycle.Managed;
import jakarta.servlet.DispatcherType;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.AbstractConnector;
import org.eclipse.jetty.server.Connector;
import org.sesamedeck.caller.ChatResource;
import org.sesamedeck.caller.EntryMetrics;
import org.sesamedeck.caller.ErrorMapper;
import org.sesamedeck.caller.ModelsResource;
import org.sesamedeck.caller.OpenRequests;
import org.sesamedeck.caller.RequestFilter;
import org.sesamedeck.caller.ServiceServlet;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.Settings;
import org.sesamedeck.daemon.BaseDaemon;
import org.sesamedeck.daemon.Drainable;
import org.sesamedeck.daemon.OptimizingCompiler;
import org.sesamedeck.endpoint.EndpointClient;
import org.sesamedeck.endpoint.LoadPoller;
import org.sesamedeck.entry.control.ControlClient;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.Router;

/** The data-path process: serves callers and relays their requests to endpoints. */
public final class EntryMain extends BaseDaemon {
    /**
     * Code that loops over the bytes of requests and responses. Other classes of the data path are
     * left out because the compiler includes the libraries that they call, and its memory grows.
     */
    private static final List<String> LOOPS_OVER_BYTES =
            List.of(
                    "com/fasterxml/jackson/core/*.*",
                    "org/sesamedeck/endpoint/EventReader.*",
                    "org/sesamedeck/caller/BodyReader.*",
                    "org/sesamedeck/caller/FowlerNollVo.*");

    private EntryMain() {}

    /** Returns a daemon that has not been started. */
    public static EntryMain create() {
        return new EntryMain();
    }

    /** Runs the process. The single argument is the path of the settings file. */
    public static void main(String... arguments) {
        create().runDaemon(arguments);
    }

    @Override
    public String getName() {
        return "sesamedeck-entry";
    }

    @Override
    protected List<Setting<?>> settings() {
        return EntrySettings.all();
    }

    @Override
    protected Optional<HostAddress> listen(Settings settings) {
        return Optional.of(settings.get(EntrySettings.LISTEN));
    }

    @Override
    protected long callerMemory(Settings settings) {
        return settings.get(EntrySettings.BODY_MEMORY);
    }

    @Override
    protected void prepare(Settings settings) {
        if (settings.get(EntrySettings.OPTIMIZED_CODE).equals(EntrySettings.HOT_LOOPS)) {
            OptimizingCompiler.limitTo(LOOPS_OVER_BYTES);
        }
    }

    @Override
    protected Drainable start(Settings settings, Environment environment) {
        Injector injector = Guice.createInjector(new EntryModule(settings, environment.metrics()));
        OpenRequests openRequests = injector.getInstance(OpenRequests.class);
        ControlClient control = injector.getInstance(ControlClient.class);
        EndpointClient endpointClient = injector.getInstance(EndpointClient.class);
        Clock clock = injector.getInstance(Clock.class);
        environment
                .servlets()
                .addFilter(
                        "request",
                        RequestFilter.of(
                                openRequests,
                                control,
                                injector.getInstance(EntryMetrics.class),
                                clock))
                .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
        environment
                .servlets()
                .addServlet("services", injector.getInstance(ServiceServlet.class))
                .addMapping("/services/*");
        environment.jersey().register(injector.getInstance(ChatResource.class));
        environment.jersey().register(injector.getInstance(ModelsResource.class));
        environment.jersey().register(ErrorMapper.create());
        LoadPoller poller =
                LoadPoller.start(endpointClient, injector.getInstance(Router.class), clock);
        AdmissionTimer timer =
                AdmissionTimer.start(injector.getInstance(AdmissionController.class));
        manage(environment, endpointClient);
        manage(environment, control);
        manage(environment, poller);
        manage(environment, timer);
        long idleMillis = settings.get(EntrySettings.IDLE_LIMIT).toMillis();
        environment
                .lifecycle()
                .addServerLifecycleListener(
                        server -> {
                            for (Connector connector : server.getConnectors()) {
                                if (connector instanceof AbstractConnector abstractConnector) {
                                    abstractConnector.setIdleTimeout(idleMillis);
                                }
                            }
                        });
        return new EntryDrain(openRequests, control);
    }

    private static void manage(Environment environment, AutoCloseable component) {
        environment
                .lifecycle()
                .manage(
                        new Managed() {
                            @Override
                            public void stop() throws Exception {
                                component.close();
                            }
                        });
    }
}
