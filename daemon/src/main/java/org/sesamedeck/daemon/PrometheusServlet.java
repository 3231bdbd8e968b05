package org.sesamedeck.daemon;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Serves the metrics of the process in the Prometheus text format. */
final class PrometheusServlet extends HttpServlet {
    private static final long serialVersionUID = 1L;

    private final transient PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final transient PrometheusTextFormatWriter mWriter =
            PrometheusTextFormatWriter.create();

    private PrometheusServlet(MetricRegistry metrics) {
        DropwizardExports.builder().dropwizardRegistry(metrics).register(mRegistry);
    }

    static PrometheusServlet of(MetricRegistry metrics) {
        return new PrometheusServlet(metrics);
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        response.setContentType(mWriter.getContentType());
        mWriter.write(response.getOutputStream(), mRegistry.scrape());
    }
}
