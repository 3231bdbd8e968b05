package org.sesamedeck.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry process with a small heap, few threads and few descriptors. */
final class EntryProcess implements AutoCloseable {
    /** Maximum size of a body in the settings of the process. */
    static final int BODY_LIMIT = 1 << 20;

    private static final Pattern PEAK_MEMORY = Pattern.compile("(?m)^VmHWM:\\s+(\\d+) kB$");
    private static final int MAX_LOG_CHARACTERS = 3_000;
    private static final int ATTEMPTS = 60;
    private static final int ATTEMPT_MILLIS = 1_000;

    private final int mPort = EntryFixture.freePort();
    private final int mAdminPort = EntryFixture.freePort();
    private final Path mFolder;
    private final Process mProcess;

    private EntryProcess(
            Path folder,
            int controlPort,
            int heapMegabytes,
            int descriptors,
            List<String> moreOptions)
            throws IOException {
        mFolder = folder;
        Path settings = folder.resolve("entry.ini");
        Files.writeString(settings, settings(controlPort));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "bash",
                                "-c",
                                "ulimit -n " + descriptors + " && exec \"$@\"",
                                "bash",
                                java,
                                "-Xmx" + heapMegabytes + "m",
                                "-XX:+UseSerialGC",
                                "-XX:+ExitOnOutOfMemoryError"));
        command.addAll(moreOptions);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        EntryMain.class.getName(),
                        settings.toString()));
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start();
    }

    static EntryProcess start(Path folder, int controlPort, int heapMegabytes, int descriptors)
            throws IOException {
        return new EntryProcess(folder, controlPort, heapMegabytes, descriptors, List.of());
    }

    /** Starts a process that sees a number of processors other than that of the machine. */
    static EntryProcess startOnProcessors(
            Path folder, int controlPort, int heapMegabytes, int descriptors, int processors)
            throws IOException {
        return new EntryProcess(
                folder,
                controlPort,
                heapMegabytes,
                descriptors,
                List.of("-XX:ActiveProcessorCount=" + processors));
    }

    /** The timeouts are longer than the test, so that they do not end what limits must end. */
    private String settings(int controlPort) {
        return """
        [node]
        name = entry
        failure-domain = tunis-a
        region = tunis
        [http]
        listen = 127.0.0.1:%d
        admin-listen = 127.0.0.1:%d
        threads = 40
        idle-limit = 5m
        [control]
        address = 127.0.0.1:%d
        [resume]
        key = 0123456789abcdef
        [requests]
        body-limit = %d
        body-timeout = 5m
        body-memory = %d
        deadline = 5m
        [log]
        level = WARN
        """
                .formatted(mPort, mAdminPort, controlPort, BODY_LIMIT, 8 * BODY_LIMIT);
    }

    int port() {
        return mPort;
    }

    int adminPort() {
        return mAdminPort;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    long peakMemoryMegabytes() throws IOException {
        Matcher peak = PEAK_MEMORY.matcher(Files.readString(procPath("status")));
        return peak.find() ? Long.parseLong(peak.group(1)) / 1_024 : Long.MAX_VALUE;
    }

    int openDescriptors() throws IOException {
        try (var entries = Files.list(procPath("fd"))) {
            return (int) entries.count();
        }
    }

    private Path procPath(String name) {
        return Path.of("/proc", String.valueOf(mProcess.pid()), name);
    }

    /** Returns the last lines of the log. */
    String log() throws IOException {
        String text = Files.readString(mFolder.resolve("log"));
        return text.substring(Math.max(0, text.length() - MAX_LOG_CHARACTERS));
    }

    /** Returns whether the process says within the attempts that it is ready. */
    boolean becomesReady() throws InterruptedException {
        return answers(mAdminPort, "GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n");
    }

    /** Returns whether a completion is served within the attempts. */
    boolean servesChat() throws InterruptedException {
        return answers(mPort, post(EntryFixture.CHAT_PATH, EntryFixture.chatBody(false)));
    }

    /** Returns whether a request to a plain service is served within the attempts. */
    boolean servesService() throws InterruptedException {
        return answers(mPort, post("/services/cookbook-app/small", "hello"));
    }

    private static String post(String path, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
                + FakeControl.API_KEY
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Callers that are refused or closed come back; each attempt is a new connection. */
    private boolean answers(int port, String request) throws InterruptedException {
        for (int i = 0; i < ATTEMPTS && isAlive(); i++) {
            if (attempt(port, request).startsWith("HTTP/1.1 200")) {
                return true;
            }
            Thread.sleep(ATTEMPT_MILLIS / 2);
        }
        return false;
    }

    private static String attempt(int port, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ATTEMPT_MILLIS);
            socket.setSoTimeout(ATTEMPT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = socket.getInputStream();
            return new String(input.readNBytes(12), StandardCharsets.ISO_8859_1);
        } catch (IOException noAnswer) {
            return noAnswer.toString();
        }
    }

    @Override
    public void close() throws IOException {
        mProcess.destroyForcibly();
    }
}
