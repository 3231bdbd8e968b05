package org.sesamedeck.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A minimal HTTP server whose handler controls every byte and can break the connection. */
class FakeServer implements AutoCloseable {
    /** One request as it arrived. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Writes the response to a request. */
    interface Handler {
        /** Returns whether the connection stays open. */
        boolean handle(Request request, OutputStream output) throws Exception;
    }

    private final ServerSocket mSocket;
    private final Handler mHandler;
    private final List<Request> mRequests = new CopyOnWriteArrayList<>();
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();

    FakeServer(Handler handler) {
        mHandler = handler;
        try {
            mSocket = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
        start(this::accept);
    }

    int port() {
        return mSocket.getLocalPort();
    }

    List<Request> requests() {
        return mRequests;
    }

    List<Request> requests(String method, String pathStart) {
        return mRequests.stream()
                .filter(request -> request.method().equals(method))
                .filter(request -> request.path().startsWith(pathStart))
                .toList();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fake-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                mConnections.add(socket);
                start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            boolean isOpen = true;
            while (isOpen) {
                Request request = readRequest(input);
                if (request == null) {
                    return;
                }
                mRequests.add(request);
                isOpen = mHandler.handle(request, socket.getOutputStream());
            }
        } catch (Exception broken) {
            // The peer sees a broken connection, as it would with a crashed endpoint.
            return;
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int value = input.read();
        while (value >= 0 && value != '\n') {
            if (value != '\r') {
                line.write(value);
            }
            value = input.read();
        }
        return value < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input);
                line != null && !line.isEmpty();
                line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    static byte[] readBody(InputStream input, Map<String, String> headers) throws IOException {
        if (!"chunked".equals(headers.get("transfer-encoding"))) {
            return input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (String size = readLine(input); size != null; size = readLine(input)) {
            int length = Integer.parseInt(size.strip(), 16);
            body.write(input.readNBytes(length));
            readLine(input);
            if (length == 0) {
                return body.toByteArray();
            }
        }
        throw new IOException("the body ended early");
    }

    private static Request readRequest(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return null;
        }
        String[] parts = first.split(" ");
        Map<String, String> headers = readHeaders(input);
        return new Request(parts[0], parts[1], headers, readBody(input, headers));
    }

    static void respond(OutputStream output, int status, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        output.write(
                ("HTTP/1.1 "
                                + status
                                + " Status\r\n"
                                + headers
                                + "Content-Length: "
                                + bytes.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        output.write(bytes);
        output.flush();
    }

    static void startChunked(OutputStream output, String contentType) throws IOException {
        output.write(
                ("HTTP/1.1 200 OK\r\nContent-Type: "
                                + contentType
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    static void writeChunk(OutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        output.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        output.write(bytes);
        output.write("\r\n".getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    @Override
    public void close() {
        try {
            mSocket.close();
            for (Socket socket : mConnections) {
                socket.close();
            }
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
