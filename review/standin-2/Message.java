import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An HTTP/1.1 message as it was read from a connection. */
final class Message {
    /** The first line. */
    String start = "";

    /** Header lines in order, as name and value. */
    final List<String[]> headers = new ArrayList<>();

    byte[] body = new byte[0];

    /** Whether the message ended as its framing says, and not with a broken connection. */
    boolean isComplete;

    Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header[0].equalsIgnoreCase(name))
                .map(header -> header[1])
                .findFirst();
    }

    String method() {
        return start.split(" ")[0];
    }

    String target() {
        return start.split(" ")[1];
    }

    int status() {
        String[] words = start.split(" ");
        return words.length > 1 ? Integer.parseInt(words[1]) : 0;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the first line and the headers; empty at the end of the connection. */
    static Optional<Message> readHead(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return Optional.empty();
        }
        Message message = new Message();
        message.start = first;
        String line = readLine(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.add(
                    new String[] {line.substring(0, colon), line.substring(colon + 1).strip()});
            line = readLine(input);
        }
        if (line == null) {
            throw new EOFException("connection ended within a head");
        }
        return Optional.of(message);
    }

    /** Reads a whole message; one that is cut off is returned as incomplete. */
    static Optional<Message> read(InputStream input, boolean isResponse) throws IOException {
        Optional<Message> head = readHead(input);
        if (head.isPresent()) {
            head.get().readBody(input, isResponse);
        }
        return head;
    }

    private void readBody(InputStream input, boolean isResponse) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            Optional<String> length = header("Content-Length");
            if (header("Transfer-Encoding").orElse("").equalsIgnoreCase("chunked")) {
                readChunks(input, bytes);
                isComplete = true;
            } else if (length.isPresent()) {
                copy(input, bytes, Integer.parseInt(length.get()));
                isComplete = true;
            } else if (isResponse) {
                int next = input.read();
                while (next >= 0) {
                    bytes.write(next);
                    next = input.read();
                }
                isComplete = true;
            } else {
                isComplete = true;
            }
        } catch (IOException cutOff) {
            isComplete = false;
        }
        body = bytes.toByteArray();
    }

    private static void readChunks(InputStream input, ByteArrayOutputStream bytes)
            throws IOException {
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new EOFException("connection ended before a chunk");
            }
            int size = Integer.parseInt(line.strip(), 16);
            copy(input, bytes, size);
            readLine(input);
            if (size == 0) {
                return;
            }
        }
    }

    private static void copy(InputStream input, ByteArrayOutputStream bytes, int length)
            throws IOException {
        byte[] buffer = new byte[8192];
        int left = length;
        while (left > 0) {
            int count = input.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("connection ended within a body");
            }
            bytes.write(buffer, 0, count);
            left -= count;
        }
    }

    /** Returns a line without its end; null at the end of the connection. */
    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return line.toString();
    }
}
