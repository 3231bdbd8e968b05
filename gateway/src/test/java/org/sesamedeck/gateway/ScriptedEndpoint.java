package org.sesamedeck.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.sesamedeck.core.HostAddress;

/** An endpoint that responds to requests with the bytes that the test supplies. */
final class ScriptedEndpoint implements AutoCloseable {
    private final ServerSocket mListener;
    private final Script mScript;
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final Map<Socket, String> mLastRequests = new ConcurrentHashMap<>();
    private final CountDownLatch mConnectionClosed = new CountDownLatch(1);

    /** Responds to one request; called on the connection's thread. */
    interface Script {
        /**
         * Writes the response.
         *
         * @param number number of the request at this endpoint, from 1
         */
        void respond(int number, Socket socket, OutputStream output) throws Exception;
    }

    private ScriptedEndpoint(ServerSocket listener, Script script) {
        mListener = listener;
        mScript = script;
    }

    static ScriptedEndpoint start(Script script) throws IOException {
        ScriptedEndpoint endpoint =
                new ScriptedEndpoint(
                        new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
        Thread thread = new Thread(endpoint::accept, "stand-in");
        thread.setDaemon(true);
        thread.start();
        return endpoint;
    }

    HostAddress address() {
        return HostAddress.of("127.0.0.1", mListener.getLocalPort());
    }

    /** Returns the requests with their bodies, as they were received. */
    List<String> requests() {
        return mRequests;
    }

    /** Returns the identifier of the last request on a connection. */
    String lastIdentifier(Socket socket) {
        return mLastRequests.get(socket).replaceAll("(?s).*\r\nId: (\\w+)\r\n.*", "$1");
    }

    /** Reaches zero when the first connection has ended or its script has failed. */
    CountDownLatch connectionClosed() {
        return mConnectionClosed;
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                Thread thread = new Thread(() -> serve(socket), "stand-in connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String request = read(input);
            while (request != null) {
                mRequests.add(request);
                mLastRequests.put(socket, request);
                mScript.respond(mRequests.size(), socket, socket.getOutputStream());
                request = read(input);
            }
            mConnectionClosed.countDown();
        } catch (Exception broken) {
            mConnectionClosed.countDown();
        }
    }

    private static String read(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int value = input.read();
            if (value < 0) {
                return null;
            }
            head.write(value);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        int start = text.toLowerCase(Locale.ROOT).indexOf("content-length:");
        if (start < 0) {
            return text;
        }
        int end = text.indexOf("\r\n", start);
        int length = Integer.parseInt(text.substring(start + 15, end).strip());
        return text + new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }
}
