import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A caller: sends requests on one connection, one after the other. */
final class Caller implements AutoCloseable {
    private final Socket mSocket;
    private final InputStream mInput;

    Caller(int port, int patienceMillis) throws IOException {
        mSocket = new Socket("127.0.0.1", port);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(patienceMillis);
        mInput = new BufferedInputStream(mSocket.getInputStream());
    }

    /** Returns a request for a stream, of which part of the prompt is shared with others. */
    static String streamRequest(
            String id, String path, int sharedTokens, int ownTokens, int events, int millis) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: "
                + Lab.HOST
                + "\r\nSesamedeck-Request-Id: "
                + id
                + "\r\nSesamedeck-Model: m\r\nSesamedeck-Token-Counts: "
                + (sharedTokens + ownTokens)
                + ","
                + events * 10
                + "\r\nSesamedeck-Prompt-Prefix: 5c1e07a2:"
                + sharedTokens
                + ","
                + id.substring(8)
                + ":"
                + ownTokens
                + "\r\nSesamedeck-Deadline-Ms: "
                + millis
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    static String plainRequest(String id, String method, String path, int timeoutMillis) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + Lab.HOST
                + "\r\nSesamedeck-Request-Id: "
                + id
                + "\r\nSesamedeck-Deadline-Ms: "
                + timeoutMillis
                + "\r\n"
                + (method.equals("POST") ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
    }

    void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        mSocket.getOutputStream().flush();
    }

    Socket socket() {
        return mSocket;
    }

    /** Returns the answer; empty if the connection ended without one. */
    Optional<Message> receive() throws IOException {
        return Message.read(mInput, true);
    }

    Optional<Message> call(String text) throws IOException {
        send(text);
        return receive();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
