package org.sesamedeck.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.sesamedeck.caller.CallerSettings;
import org.sesamedeck.caller.EntryMetrics;
import org.sesamedeck.caller.OpenRequests;
import org.sesamedeck.caller.RelayContext;
import org.sesamedeck.caller.ResumeTokenCodec;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Settings;
import org.sesamedeck.core.SystemClock;
import org.sesamedeck.daemon.DaemonSettings;
import org.sesamedeck.endpoint.EndpointClient;
import org.sesamedeck.endpoint.HttpEndpointClient;
import org.sesamedeck.entry.control.ControlClient;
import org.sesamedeck.entry.control.TransportControlClient;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.AdmissionSettings;
import org.sesamedeck.routing.DefaultAdmissionController;
import org.sesamedeck.routing.DefaultRouter;
import org.sesamedeck.routing.EngineTimeEstimator;
import org.sesamedeck.routing.RetryBudget;
import org.sesamedeck.routing.Router;
import org.sesamedeck.routing.RouterSettings;
import org.sesamedeck.routing.quarantine.PartQuarantine;

/** Guice bindings for the components of an entry process. */
final class EntryModule extends AbstractModule {
    private final Settings mSettings;
    private final MetricRegistry mMetrics;

    EntryModule(Settings settings, MetricRegistry metrics) {
        mSettings = settings;
        mMetrics = metrics;
    }

    @Override
    protected void configure() {
        bind(Clock.class).toInstance(SystemClock.create());
        bind(OpenRequests.class).toInstance(OpenRequests.create());
        bind(EngineTimeEstimator.class).toInstance(EngineTimeEstimator.create());
        bind(CallerSettings.class)
                .toInstance(
                        new CallerSettings(
                                mSettings.get(EntrySettings.BODY_LIMIT),
                                mSettings.get(EntrySettings.BODY_TIMEOUT),
                                mSettings.get(EntrySettings.MAX_OUTPUT_TOKENS),
                                mSettings.get(EntrySettings.DEADLINE)));
        bind(Router.class).to(DefaultRouter.class);
    }

    @Provides
    @Singleton
    DefaultRouter router(Clock clock) {
        String name = mSettings.get(DaemonSettings.NAME);
        return DefaultRouter.create(
                clock,
                RouterSettings.defaults(mSettings.get(DaemonSettings.REGION)),
                name,
                name.hashCode());
    }

    @Provides
    @Singleton
    AdmissionController admissionController(
            Clock clock, DefaultRouter router, EngineTimeEstimator estimator) {
        return DefaultAdmissionController.create(
                clock, router, estimator, AdmissionSettings.defaults());
    }

    @Provides
    @Singleton
    EndpointClient endpointClient() {
        return HttpEndpointClient.create();
    }

    @Provides
    @Singleton
    EntryMetrics metrics(OpenRequests openRequests) {
        return EntryMetrics.of(mMetrics, openRequests);
    }

    @Provides
    @Singleton
    ControlClient control(
            Clock clock,
            Router router,
            AdmissionController admissionController,
            EntryMetrics metrics,
            OpenRequests openRequests) {
        return TransportControlClient.start(
                mSettings.get(DaemonSettings.NAME),
                mSettings.get(EntrySettings.CONTROL),
                clock,
                router,
                admissionController,
                () ->
                        metrics.takeUsageReport()
                                .setOpenRequests(openRequests.count())
                                .setIsStopping(openRequests.isStopping()));
    }

    @Provides
    @Singleton
    RelayContext relayContext(
            EndpointClient endpointClient, Router router, Clock clock, EntryMetrics metrics) {
        return new RelayContext(
                endpointClient,
                router,
                clock,
                PartQuarantine.create(
                        clock, mSettings.get(DaemonSettings.NAME), new QuarantineLogger()),
                ResumeTokenCodec.of(mSettings.get(EntrySettings.RESUME_KEY)),
                RetryBudget.create(),
                metrics,
                mSettings.get(DaemonSettings.REGION));
    }
}
