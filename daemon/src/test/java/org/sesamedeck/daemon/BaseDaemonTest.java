package org.sesamedeck.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.dropwizard.core.setup.Environment;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.Setting;
import org.sesamedeck.core.SettingTypes;
import org.sesamedeck.core.Settings;

class BaseDaemonTest {
    private static final Setting<HostAddress> LISTEN =
            Setting.required("http", "listen", SettingTypes.address(), "Application port.");

    @TempDir java.nio.file.Path mDirectory;

    /** A daemon whose readiness is set by the test. */
    private static final class FakeDaemon extends BaseDaemon implements Drainable {
        private volatile boolean mIsReady;

        @Override
        protected List<Setting<?>> settings() {
            return List.of(LISTEN);
        }

        @Override
        protected Optional<HostAddress> listen(Settings settings) {
            return Optional.of(settings.get(LISTEN));
        }

        @Override
        protected Drainable start(Settings settings, Environment environment) {
            environment.jersey().register(new HelloResource());
            environment.metrics().counter("requests").inc();
            return this;
        }

        @Override
        public boolean isReady() {
            return mIsReady;
        }

        @Override
        public void stopAccepting() {
            mIsReady = false;
        }

        @Override
        public List<String> workInProgress() {
            return List.of();
        }

        @Override
        public void release() {
            mIsReady = false;
        }
    }

    /** Responds with a fixed text. */
    @Path("/hello")
    public static final class HelloResource {
        /** Returns the text. */
        @GET
        public String hello() {
            return "hello";
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static HttpResponse<String> get(int port, String path) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Guards against a load balancer sending requests to a process that is not ready, and against
     * metrics that are registered but not served.
     */
    @Test
    void readinessFollowsTheDaemonAndMetricsCanBeScraped() throws Exception {
        int port = freePort();
        int adminPort = freePort();
        java.nio.file.Path file = mDirectory.resolve("daemon.ini");
        Files.writeString(
                file,
                "[node]\nname = fake\nfailure-domain = tunis-a\nregion = tunis\n[http]\nlisten ="
                        + " 127.0.0.1:"
                        + port
                        + "\nadmin-listen = 127.0.0.1:"
                        + adminPort
                        + "\nthreads = 16\n");
        FakeDaemon daemon = new FakeDaemon();
        daemon.runDaemon(file.toString());

        assertThat(get(port, "/hello").body(), is("hello"));
        assertThat(get(adminPort, "/ready").statusCode(), is(503));
        daemon.mIsReady = true;
        assertThat(get(adminPort, "/ready").statusCode(), is(200));
        assertThat(get(adminPort, "/prometheus").body(), containsString("requests"));
    }
}
