package org.sesamedeck.control;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.setup.Environment;
import java.util.List;
import java.util.Optional;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.Settings;
import org.sesamedeck.daemon.BaseDaemon;
import org.sesamedeck.daemon.Drainable;

/** Entry point of the program sesamedeck-control. */
public final class ControlMain extends BaseDaemon {
    private ControlMain() {}

    /** Returns a daemon that has not been started. */
    public static ControlMain create() {
        return new ControlMain();
    }

    /** Runs the program; the single argument is the settings file. */
    public static void main(String[] arguments) {
        create().runDaemon(arguments);
    }

    /** Returns the version of this program. */
    static String version() {
        return Optional.ofNullable(ControlMain.class.getPackage().getImplementationVersion())
                .orElse("0.1.0");
    }

    @Override
    public String getName() {
        return "sesamedeck-control";
    }

    @Override
    protected List<Setting<?>> settings() {
        return ControlSettings.all();
    }

    @Override
    protected Optional<HostAddress> listen(Settings settings) {
        return Optional.empty();
    }

    @Override
    protected Drainable start(Settings settings, Environment environment) {
        Injector injector =
                Guice.createInjector(ControlModule.of(settings), PlatformModule.of(settings));
        ControlDaemon daemon = injector.getInstance(ControlDaemon.class);
        daemon.registerMetrics(environment.metrics());
        environment.healthChecks().register("control-thread", new ControlThreadHealth(daemon));
        daemon.start();
        return daemon;
    }

    private static final class ControlThreadHealth extends HealthCheck {
        private final ControlDaemon mDaemon;

        private ControlThreadHealth(ControlDaemon daemon) {
            mDaemon = daemon;
        }

        @Override
        protected Result check() {
            return mDaemon.isStalled()
                    ? Result.unhealthy("the control thread has not run for 2 s")
                    : Result.healthy();
        }
    }
}
