package org.sesamedeck.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamedeck.entry.CallerCrowd.Door;
import org.sesamedeck.entry.CallerCrowd.Kind;

/**
 * An entry process with a small heap, few threads and few descriptors meets callers that misbehave
 * at each of its doors at once. Nothing that is checked depends on the speed of the machine.
 */
@Timeout(value = 240, unit = TimeUnit.SECONDS)
class CallerCrowdTest {
    private static final int HEAP_MEGABYTES = 64;
    private static final int DESCRIPTORS = 600;
    private static final int CALLERS_PER_DOOR = 16;

    /** Six doors: more connections than the process has descriptors. */
    private static final int SILENT_CALLERS_PER_DOOR = 120;

    /** The heap, as much again for direct buffers, and what the JVM needs for itself. */
    private static final long MAX_MEMORY_MEGABYTES = 2 * HEAP_MEGABYTES + 140;

    private static final int MAX_DESCRIPTORS = DESCRIPTORS - 20;

    private static final int PROCESSORS = 48;

    private static final long SENDING_MILLIS = 3_000;

    @TempDir Path mDirectory;

    /**
     * Guards against a process that runs out of memory, threads or descriptors, or that answers
     * nothing any more, while callers hold their connections or after they have left.
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "MANY_JSON_FIELDS")
    void processServesOthersBesideCrowd(Kind kind) throws Exception {
        assertServesOthersBeside(kind);
    }

    /**
     * Guards against ordinary requests that wait behind large bodies, whose parsing takes several
     * times their size.
     */
    @Test
    void processServesOthersBesideManyJsonFields() throws Exception {
        assertServesOthersBeside(Kind.MANY_JSON_FIELDS);
    }

    /**
     * Guards against memory that grows with the number of processors, such as that of the threads
     * of the JVM's compilers, under the crowd that makes most code hot.
     */
    @Test
    void memoryDoesNotGrowWithProcessors() throws Exception {
        assertServesOthersBeside(
                Kind.REQUESTS_AHEAD_UNREAD,
                control ->
                        EntryProcess.startOnProcessors(
                                mDirectory, control, HEAP_MEGABYTES, DESCRIPTORS, PROCESSORS));
    }

    private void assertServesOthersBeside(Kind kind) throws Exception {
        assertServesOthersBeside(
                kind,
                control -> EntryProcess.start(mDirectory, control, HEAP_MEGABYTES, DESCRIPTORS));
    }

    /** Starts an entry process for a control process on the given port. */
    private interface Starter {
        EntryProcess start(int controlPort) throws IOException;
    }

    private void assertServesOthersBeside(Kind kind, Starter starter) throws Exception {
        boolean isSmall = kind == Kind.SILENT || kind == Kind.BODY_BEGUN || kind == Kind.SLOW_HEADS;
        int callers = isSmall ? SILENT_CALLERS_PER_DOOR : CALLERS_PER_DOOR;
        try (FakeEngine engine = new FakeEngine();
                DiscardingService service = DiscardingService.start();
                FakeControl control =
                        new FakeControl()
                                .withEngine("engine-1", engine.port())
                                .withService("service-1", service.port());
                EntryProcess entry = starter.start(control.port())) {
            assertServes(entry, "before the crowd " + kind);
            List<Door> doors =
                    List.of(
                            new Door(entry.port(), EntryFixture.CHAT_PATH),
                            new Door(entry.port(), "/services/cookbook-app/large"),
                            new Door(entry.port(), "/no-route/x"),
                            new Door(entry.adminPort(), "/ready"),
                            new Door(entry.adminPort(), "/prometheus"),
                            new Door(entry.adminPort(), "/tasks/log-level"));
            try (CallerCrowd crowd = CallerCrowd.of(kind, callers, doors)) {
                crowd.awaitSent(SENDING_MILLIS);
                assertServes(entry, "beside the crowd " + kind);
            }
            assertServes(entry, "after the crowd " + kind);
        }
    }

    private static void assertServes(EntryProcess entry, String when) throws Exception {
        boolean isReady = entry.becomesReady();
        boolean servesChat = isReady && entry.servesChat();
        boolean servesService = servesChat && entry.servesService();
        String log = when + "; log of the process:\n" + entry.log();
        assertThat("lives " + log, entry.isAlive(), equalTo(true));
        assertThat("ready " + log, isReady, equalTo(true));
        assertThat("serves completions " + log, servesChat, equalTo(true));
        assertThat("serves a plain service " + log, servesService, equalTo(true));
        assertThat("descriptors " + when, entry.openDescriptors(), lessThan(MAX_DESCRIPTORS));
        assertThat("MB " + when, entry.peakMemoryMegabytes(), lessThan(MAX_MEMORY_MEGABYTES));
    }

    /**
     * A plain service that reads bodies without keeping them, and answers a path that ends in
     * "large" with more bytes than the buffers of a connection hold.
     */
    private static final class DiscardingService implements AutoCloseable {
        private static final int LARGE_BYTES = 4 << 20;
        private static final byte[] PART = new byte[16 * 1_024];

        private final ServerSocket mSocket;

        private DiscardingService() throws IOException {
            mSocket = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
        }

        static DiscardingService start() throws IOException {
            DiscardingService service = new DiscardingService();
            startThread(service::accept);
            return service;
        }

        int port() {
            return mSocket.getLocalPort();
        }

        private static void startThread(Runnable task) {
            Thread thread = new Thread(task, "discarding-service");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Socket socket = mSocket.accept();
                    startThread(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private static void serve(Socket socket) {
            try (socket) {
                InputStream input = new BufferedInputStream(socket.getInputStream());
                String first = FakeServer.readLine(input);
                while (first != null) {
                    discardBody(input, FakeServer.readHeaders(input));
                    respond(socket.getOutputStream(), first.contains("large") ? LARGE_BYTES : 1);
                    first = FakeServer.readLine(input);
                }
            } catch (IOException broken) {
                // The entry process closes the connection when it ends the caller.
            }
        }

        private static void discardBody(InputStream input, Map<String, String> headers)
                throws IOException {
            if (!"chunked".equals(headers.get("transfer-encoding"))) {
                input.skipNBytes(Long.parseLong(headers.getOrDefault("content-length", "0")));
                return;
            }
            int length = -1;
            while (length != 0) {
                String size = FakeServer.readLine(input);
                if (size == null) {
                    throw new IOException("the body ended early");
                }
                length = Integer.parseInt(size.strip(), 16);
                input.skipNBytes(length);
                FakeServer.readLine(input);
            }
        }

        private static void respond(OutputStream output, int length) throws IOException {
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
            output.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int sent = 0; sent < length; sent += PART.length) {
                output.write(PART, 0, Math.min(PART.length, length - sent));
            }
            output.flush();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }
}
