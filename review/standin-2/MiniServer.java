import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Stand-in for a server: reads requests one at a time on each connection and lets a script answer. */
final class MiniServer implements AutoCloseable {
    /** Events of a long stream, by the sheet. */
    private static final int COUNT = 38;

    /** A step of a busy engine takes 5 ms, and an event has ten tokens. */
    private static final int PAUSE_MILLIS = 50;

    /** Answers a request. */
    interface Behaviour {
        /** Returns whether the connection stays open. */
        boolean answer(MiniServer server, Message request, Socket socket, OutputStream output)
                throws IOException, InterruptedException;
    }

    final String id;
    final AtomicInteger running = new AtomicInteger();
    private final ServerSocket mListener;
    private volatile Behaviour mBehaviour;

    MiniServer(String id, Behaviour behaviour) throws IOException {
        this.id = id;
        mBehaviour = behaviour;
        mListener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(id, this::accept);
    }

    void setBehaviour(Behaviour behaviour) {
        mBehaviour = behaviour;
    }

    int port() {
        return mListener.getLocalPort();
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                Lab.daemon(id + " call", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            boolean isOpen = true;
            while (isOpen) {
                Optional<Message> request = Message.read(input, false);
                if (request.isEmpty() || !request.get().isComplete) {
                    return;
                }
                isOpen = answer(request.get(), socket, output);
            }
        } catch (IOException | InterruptedException gone) {
            return;
        }
    }

    private boolean answer(Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        Optional<String> expected = request.header("Sesamedeck-Expect-Instance");
        if (expected.isPresent() && !expected.get().equals(id)) {
            write(output, head(request, 421, "Sesamedeck-Not-Run: 1") + "Content-Length: 0\r\n\r\n");
            return true;
        }
        running.incrementAndGet();
        try {
            return mBehaviour.answer(this, request, socket, output);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Returns the begin of a head, to which the framing is added. */
    String head(Message request, int status, String extra) {
        return "HTTP/1.1 "
                + status
                + " OK\r\nSesamedeck-Request-Id: "
                + request.header("Sesamedeck-Request-Id").orElse("")
                + "\r\nSesamedeck-Server-Load: "
                + Math.min(64, running.get())
                + ",0,64\r\n"
                + (extra.isEmpty() ? "" : extra + "\r\n");
    }

    /** Returns the stamp of this server on a request. */
    String stamp(Message request) {
        return "Sesamedeck-Server-Stamp: " + id + "." + request.header("Sesamedeck-Request-Id").orElse("");
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** Answers as a sound plain server. */
    static boolean plain(MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        Thread.sleep(15);
        String body = "done " + request.header("Sesamedeck-Request-Id").orElse("");
        write(
                output,
                server.head(request, 200, server.stamp(request))
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        return true;
    }

    /** Answers as a sound engine: reads prompts, and makes ten events. */
    static boolean engine(MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        if (request.method().equals("DELETE")) {
            write(output, server.head(request, 200, "") + "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (request.header("Sesamedeck-Serving-Stage").orElse("").equals("prefill")) {
            Thread.sleep(20);
            String body =
                    "{\"kv_handle\":\""
                            + Long.toHexString(System.nanoTime())
                            + "\",\"token_count\":100,\"version\":1}";
            write(
                    output,
                    server.head(request, 200, "Content-Type: application/json")
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
            return true;
        }
        events(server, request, output);
        write(output, "0\r\n\r\n");
        return true;
    }

    /** Sends the head and the events of a stream, but not its end. */
    static void events(MiniServer server, Message request, OutputStream output)
            throws IOException, InterruptedException {
        events(server, request, output, () -> PAUSE_MILLIS);
    }

    /** Sends the head and the events of a stream with pauses that may change, but not its end. */
    static void events(
            MiniServer server, Message request, OutputStream output, IntSupplier pauseMillis)
            throws IOException, InterruptedException {
        Thread.sleep(20);
        write(
                output,
                server.head(request, 200, server.stamp(request))
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        long last = Long.parseLong(request.header("Last-Event-Id").orElse("0"));
        int most = Integer.parseInt(request.header("Sesamedeck-Token-Counts").orElse("0,100").split(",")[1]) / 10;
        int count = Math.min(most, COUNT);
        for (long number = last + 1; number <= count; number++) {
            chunk(output, "id: " + number + "\ndata: token\n\n");
            Thread.sleep(pauseMillis.getAsInt());
        }
    }

    static void chunk(OutputStream output, String text) throws IOException {
        write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }
}
