import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** HTTP/1.1 over blocking sockets, enough for the stand-ins. */
final class Http {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private Http() {}

    /** The first line, the headers (names in lower case) and the body of a message. */
    record Message(String start, Map<String, String> headers, byte[] body, boolean isComplete) {
        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request; the connection is closed if it returns false. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket mSocket = new ServerSocket();
        private final Handler mHandler;

        Server(Handler handler) throws IOException {
            mHandler = handler;
            mSocket.bind(new InetSocketAddress(LOOPBACK, 0), 512);
            Lab.daemon(this::accept);
        }

        int port() {
            return mSocket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Socket socket = mSocket.accept();
                    socket.setTcpNoDelay(true);
                    Lab.daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                OutputStream out = socket.getOutputStream();
                Optional<Message> request = read(in, false);
                while (request.isPresent() && mHandler.handle(request.get(), out, socket)) {
                    request = read(in, false);
                }
            } catch (Exception closed) {
                // The peer has gone.
            }
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    /** Reads a message; empty at the end of the connection before its first byte. */
    static Optional<Message> read(InputStream in, boolean isResponse) throws IOException {
        String start = line(in);
        if (start == null) {
            return Optional.empty();
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line = line(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = line(in);
        }
        if (line == null) {
            throw new EOFException("head is cut");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete = true;
        try {
            if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
                isComplete = chunks(in, body);
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                body.writeBytes(in.readNBytes(length));
                isComplete = body.size() == length;
            } else if (isResponse) {
                in.transferTo(body);
            }
        } catch (IOException cut) {
            isComplete = false;
        }
        return Optional.of(new Message(start, headers, body.toByteArray(), isComplete));
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                return false;
            }
            int length = Integer.parseInt(size.strip(), 16);
            byte[] chunk = in.readNBytes(length);
            body.writeBytes(chunk);
            if (chunk.length < length || line(in) == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return next < 0 ? null : line.toString(StandardCharsets.UTF_8);
    }

    static byte[] head(String start, String... headers) {
        StringBuilder text = new StringBuilder(start).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        return text.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    static boolean respond(OutputStream out, int status, byte[] body, String... headers)
            throws IOException {
        String[] all = new String[headers.length + 2];
        System.arraycopy(headers, 0, all, 0, headers.length);
        all[headers.length] = "Content-Length";
        all[headers.length + 1] = String.valueOf(body.length);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(head("HTTP/1.1 " + status + " X", all));
        whole.writeBytes(body);
        out.write(whole.toByteArray());
        out.flush();
        return true;
    }

    static boolean json(OutputStream out, int status, String body) throws IOException {
        return respond(
                out,
                status,
                body.getBytes(StandardCharsets.UTF_8),
                "Content-Type",
                "application/json");
    }

    /** Sends one request on a new connection and reads the response. */
    static Message call(int port, int timeoutMillis, String start, byte[] body, String... headers)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            return call(socket, timeoutMillis, start, body, headers);
        }
    }

    static Message call(
            Socket socket, int timeoutMillis, String start, byte[] body, String... headers)
            throws IOException {
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        String[] all = new String[headers.length + 2];
        System.arraycopy(headers, 0, all, 0, headers.length);
        all[headers.length] = "Content-Length";
        all[headers.length + 1] = String.valueOf(body.length);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(head(start + " HTTP/1.1", all));
        whole.writeBytes(body);
        socket.getOutputStream().write(whole.toByteArray());
        InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
        return read(in, true).orElseThrow(() -> new EOFException("closed without an answer"));
    }
}
