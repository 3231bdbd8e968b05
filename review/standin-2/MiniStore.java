import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for the platform's store, with lists, watches and conditional writes. */
final class MiniStore implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Change(long revision, String kind, ObjectNode object, boolean isTombstone) {}

    private final ServerSocket mListener;
    private final Map<String, TreeMap<String, ObjectNode>> mObjects = new HashMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile String mMode = "";
    private long mForgotten;
    private long mRevision = 100;

    MiniStore() throws IOException {
        mListener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Lab.daemon("store", this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    /** Writes an object as the operator or a server would. */
    synchronized long put(String kind, String name, JsonNode spec) {
        ObjectNode object = JSON.createObjectNode();
        mRevision++;
        object.putObject("metadata")
                .put("name", name)
                .put("revision", mRevision)
                .put("created", mRevision)
                .put("deleting", false)
                .putArray("finalizers");
        object.set("spec", spec);
        object.putNull("status");
        mObjects.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        mHistory.add(new Change(mRevision, kind, object, false));
        notifyAll();
        return mRevision;
    }

    /** Removes an object. */
    synchronized void remove(String kind, String name) {
        ObjectNode object = mObjects.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (object != null) {
            mRevision++;
            mHistory.add(new Change(mRevision, kind, object, true));
            notifyAll();
        }
    }

    /**
     * Changes how calls are treated: empty for as usual, "reset" to reset connections, "silent" not to
     * answer, "busy" to answer 503.
     */
    void setMode(String mode) {
        mMode = mode;
        if (mode.equals("reset")) {
            mOpen.forEach(MiniStore::reset);
        }
    }

    /** Resets all connections once. */
    void resetAll() {
        mOpen.forEach(MiniStore::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException gone) {
            return;
        }
    }

    /** Drops the history: watches from before get 410. */
    synchronized void forgetHistory() {
        mForgotten = mRevision;
        mHistory.clear();
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                Lab.daemon("store call", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            mOpen.add(socket);
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Optional<Message> request = Message.read(input, false);
            while (request.isPresent()) {
                if (mMode.equals("reset")) {
                    reset(socket);
                    return;
                }
                Object[] answer =
                        mMode.equals("busy")
                                ? new Object[] {503, JSON.createObjectNode()}
                                : answer(request.get());
                if (mMode.equals("silent")) {
                    Thread.sleep(30_000);
                    return;
                }
                byte[] body = JSON.writeValueAsBytes(answer[1]);
                String head =
                        "HTTP/1.1 "
                                + answer[0]
                                + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n";
                output.write(head.getBytes(StandardCharsets.US_ASCII));
                output.write(body);
                output.flush();
                request = Message.read(input, false);
            }
        } catch (IOException | InterruptedException gone) {
            return;
        } finally {
            mOpen.remove(socket);
        }
    }

    private Object[] answer(Message request) throws IOException, InterruptedException {
        String[] parts = request.target().split("\\?", 2);
        String[] path = parts[0].split("/");
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
            }
        }
        String kind = path[3];
        String name = path.length > 4 ? path[4] : "";
        switch (request.method()) {
            case "GET":
                return query.containsKey("watch")
                        ? watch(kind, name, query)
                        : read(kind, name, query.getOrDefault("after", ""));
            case "POST":
            case "PUT":
                return write(request, kind, name);
            case "DELETE":
                remove(kind, name);
                return new Object[] {200, JSON.createObjectNode()};
            default:
                return new Object[] {400, JSON.createObjectNode()};
        }
    }

    private synchronized Object[] read(String kind, String name, String after) {
        TreeMap<String, ObjectNode> objects = mObjects.getOrDefault(kind, new TreeMap<>());
        if (!name.isEmpty()) {
            ObjectNode object = objects.get(name);
            return object == null
                    ? new Object[] {404, JSON.createObjectNode()}
                    : new Object[] {200, object};
        }
        ObjectNode body = JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        objects.tailMap(after, false).values().forEach(items::add);
        body.put("truncated", false).put("store_revision", mRevision);
        return new Object[] {200, body};
    }

    private synchronized Object[] watch(String kind, String name, Map<String, String> query)
            throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long end =
                System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (since < mForgotten) {
                return new Object[] {410, JSON.createObjectNode()};
            }
            ArrayNode events = JSON.createArrayNode();
            for (Change change : mHistory) {
                boolean isWatched =
                        change.revision() > since
                                && change.kind().equals(kind)
                                && (name.isEmpty()
                                        || change.object()
                                                .path("metadata")
                                                .path("name")
                                                .asText()
                                                .equals(name));
                if (isWatched) {
                    ObjectNode event = events.addObject();
                    event.put("tombstone", change.isTombstone());
                    event.set("object", change.object());
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                ObjectNode body = JSON.createObjectNode();
                body.set("events", events);
                body.put("store_revision", mRevision);
                return new Object[] {200, body};
            }
            wait(left);
        }
    }

    private synchronized Object[] write(Message request, String kind, String nameInPath)
            throws IOException {
        JsonNode body = JSON.readTree(request.body);
        boolean isCreate = request.method().equals("POST");
        String name = isCreate ? body.path("metadata").path("name").asText() : nameInPath;
        ObjectNode known = mObjects.getOrDefault(kind, new TreeMap<>()).get(name);
        if (isCreate && known != null) {
            return new Object[] {409, known};
        }
        if (!isCreate && known == null) {
            return new Object[] {404, JSON.createObjectNode()};
        }
        JsonNode expected = body.path("metadata").path("revision");
        boolean isOther =
                !isCreate
                        && expected.isNumber()
                        && expected.asLong() != known.path("metadata").path("revision").asLong();
        if (isOther) {
            return new Object[] {409, known};
        }
        boolean isSame = known != null && known.path("spec").equals(body.path("spec"));
        if (!isSame) {
            put(kind, name, body.path("spec"));
        }
        return new Object[] {200, mObjects.get(kind).get(name)};
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }
}
