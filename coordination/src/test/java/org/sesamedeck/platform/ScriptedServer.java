package org.sesamedeck.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamedeck.core.HostAddress;

/**
 * A server that sends the same HTTP response to every request, or closes the connection instead.
 */
public final class ScriptedServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 100;

    private final ServerSocket mSocket;
    private final Optional<String> mResponse;
    private final AtomicInteger mRequests = new AtomicInteger();
    private volatile String mRequest = "";

    private ScriptedServer(Optional<String> response) throws IOException {
        mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mResponse = response;
        Thread thread = new Thread(this::serve, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns a server that sends the given response.
     *
     * @param status status code and reason phrase
     * @param headers further header lines, each with its line end
     */
    public static ScriptedServer respondingWith(String status, String headers, String body)
            throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return new ScriptedServer(
                Optional.of(
                        "HTTP/1.1 "
                                + status
                                + "\r\n"
                                + headers
                                + "Connection: close\r\n"
                                + (status.startsWith("204")
                                        ? ""
                                        : "Content-Length: " + length + "\r\n")
                                + "\r\n"
                                + body));
    }

    /** Returns a server that reads a request and closes the connection. */
    public static ScriptedServer closingAfterRequest() throws IOException {
        return new ScriptedServer(Optional.empty());
    }

    /** Returns the address of the server. */
    public HostAddress address() {
        return HostAddress.of("127.0.0.1", mSocket.getLocalPort());
    }

    /** Returns the last request. */
    public String request() {
        return mRequest;
    }

    /** Returns the number of requests. */
    public int requests() {
        return mRequests.get();
    }

    private void serve() {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            try (Socket connection = mSocket.accept()) {
                String request = read(connection.getInputStream());
                if (request.isEmpty()) {
                    continue;
                }
                mRequest = request;
                mRequests.incrementAndGet();
                if (mResponse.isPresent()) {
                    connection
                            .getOutputStream()
                            .write(mResponse.get().getBytes(StandardCharsets.UTF_8));
                    connection.getOutputStream().flush();
                }
            } catch (IOException failure) {
                if (mSocket.isClosed()) {
                    return;
                }
            }
        }
    }

    private static String read(InputStream input) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return request.toString();
            }
            request.append((char) next);
        }
        int body = request.length();
        int start =
                request.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length:");
        if (start >= 0) {
            int end = request.indexOf("\r\n", start);
            int length = Integer.parseInt(request.substring(start + 15, end).strip());
            while (request.length() < body + length) {
                request.append((char) input.read());
            }
        }
        return request.toString();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
