package org.sesamedeck.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** An entry daemon that runs inside the test process. */
final class EntryFixture {
    static final String CHAT_PATH = "/v1/chat/completions";
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private final int mPort;
    private final int mAdminPort;

    private EntryFixture(int port, int adminPort) {
        mPort = port;
        mAdminPort = adminPort;
    }

    static EntryFixture start(Path directory, FakeControl control) throws Exception {
        int port = freePort();
        int adminPort = freePort();
        Path file = writeSettings(directory, control, port, adminPort);
        EntryMain.create().runDaemon(file.toString());
        EntryFixture fixture = new EntryFixture(port, adminPort);
        fixture.awaitReady();
        return fixture;
    }

    static Path writeSettings(Path directory, FakeControl control, int port, int adminPort)
            throws IOException {
        Path file = directory.resolve("entry-" + port + ".ini");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "[node]",
                        "name = entry-" + port,
                        "failure-domain = tunis-a",
                        "region = tunis",
                        "[http]",
                        "listen = 127.0.0.1:" + port,
                        "admin-listen = 127.0.0.1:" + adminPort,
                        "threads = 40",
                        "idle-limit = 2s",
                        "[control]",
                        "address = 127.0.0.1:" + control.port(),
                        "[resume]",
                        "key = 0123456789abcdef",
                        "[requests]",
                        "body-timeout = 500ms",
                        "deadline = 20s",
                        "[shutdown]",
                        "balancer-delay = 0s",
                        "[log]",
                        "level = ERROR",
                        ""));
        return file;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    void awaitReady() throws Exception {
        awaitReady(mAdminPort);
    }

    static void awaitReady(int adminPort) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < until) {
            try {
                if (get(adminPort, "/ready").statusCode() == 200) {
                    return;
                }
            } catch (IOException notListening) {
                Thread.onSpinWait();
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("the entry process did not become ready within 20 s");
    }

    int port() {
        return mPort;
    }

    static HttpResponse<String> get(int port, String path) throws Exception {
        return CLIENT.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    String metrics() throws Exception {
        return get(mAdminPort, "/prometheus").body();
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + path))
                .header("Authorization", "Bearer " + FakeControl.API_KEY);
    }

    static String chatBody(boolean isStream) {
        return "{\"model\":\"house-judge\",\"stream\":"
                + isStream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"taste this\"}]}";
    }

    HttpResponse<String> chat(String body, String... headers) throws Exception {
        HttpRequest.Builder request =
                request(CHAT_PATH).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
