import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The platform's object store: lists, watches and conditional writes, linearizable, with one
 * revision counter. A PUT that changes nothing keeps the revision and makes no event.
 */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, TreeMap<String, Item>> mKinds = new HashMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Http.Server mServer;
    private final Lab mLab;
    private final Map<String, Integer> mWaiting = new HashMap<>();
    private int mCuts;
    private long mRevision = 100;

    private record Item(String name, long revision, long created, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\""
                    + name
                    + "\",\"revision\":"
                    + revision
                    + ",\"created\":"
                    + created
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
                    + spec
                    + ",\"status\":null}";
        }
    }

    private record Event(String kind, Item item, boolean isTombstone) {}

    Store(Lab lab) throws IOException {
        mLab = lab;
        mServer = new Http.Server(this::handle);
    }

    int port() {
        return mServer.port();
    }

    /** Writes an object as the operator or a server would; the spec is taken over byte by byte. */
    synchronized long put(String kind, String name, String spec) {
        TreeMap<String, Item> items = mKinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Item old = items.get(name);
        if (old != null && old.spec().equals(spec)) {
            return old.revision();
        }
        mRevision++;
        Item item = new Item(name, mRevision, old == null ? mRevision : old.created(), spec);
        items.put(name, item);
        mEvents.add(new Event(kind, item, false));
        notifyAll();
        return mRevision;
    }

    synchronized void remove(String kind, String name) {
        Item old = mKinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (old != null) {
            mRevision++;
            Item last = new Item(name, mRevision, old.created(), old.spec());
            mEvents.add(new Event(kind, last, true));
            notifyAll();
        }
    }

    /** Cuts off all watches that wait, once one of the kind does: their connections end. */
    synchronized void cutWatches(String kind) throws InterruptedException {
        while (mWaiting.getOrDefault(kind, 0) == 0) {
            wait();
        }
        mCuts++;
        notifyAll();
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket)
            throws Exception {
        String target = request.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        String[] parts = path.substring("/v1/objects/".length()).split("/", 2);
        String kind = parts[0];
        String name = parts.length > 1 ? parts[1] : "";
        switch (request.method()) {
            case "GET":
                if (query.containsKey("watch")) {
                    return watch(out, kind, name, query);
                }
                return name.isEmpty() ? list(out, kind, query) : get(out, kind, name);
            case "POST":
            case "PUT":
                return write(out, request, kind, name);
            case "DELETE":
                remove(kind, name);
                return Http.json(out, 200, "{}");
            default:
                return Http.json(out, 405, "{}");
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private boolean list(OutputStream out, String kind, Map<String, String> query)
            throws IOException {
        StringBuilder body = new StringBuilder("{\"items\":[");
        synchronized (this) {
            String separator = "";
            for (Item item :
                    mKinds.getOrDefault(kind, new TreeMap<>())
                            .tailMap(query.getOrDefault("after", ""), false)
                            .values()) {
                body.append(separator).append(item.json());
                separator = ",";
            }
            body.append("],\"truncated\":false,\"store_revision\":").append(mRevision).append('}');
        }
        return Http.json(out, 200, body.toString());
    }

    private boolean get(OutputStream out, String kind, String name) throws IOException {
        Item item;
        synchronized (this) {
            item = mKinds.getOrDefault(kind, new TreeMap<>()).get(name);
        }
        return item == null ? Http.json(out, 404, "{}") : Http.json(out, 200, item.json());
    }

    private boolean watch(OutputStream out, String kind, String name, Map<String, String> query)
            throws Exception {
        long since = Long.parseLong(query.get("watch"));
        long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
        StringBuilder body = new StringBuilder("{\"events\":[");
        synchronized (this) {
            List<Event> found = events(kind, name, since);
            long left = end - System.nanoTime();
            int cuts = mCuts;
            mWaiting.merge(kind, 1, Integer::sum);
            notifyAll();
            while (found.isEmpty() && left > 0 && cuts == mCuts) {
                TimeUnit.NANOSECONDS.timedWait(this, left);
                found = events(kind, name, since);
                left = end - System.nanoTime();
            }
            mWaiting.merge(kind, -1, Integer::sum);
            if (found.isEmpty() && cuts != mCuts) {
                return false;
            }
            String separator = "";
            for (Event event : found) {
                body.append(separator)
                        .append("{\"tombstone\":")
                        .append(event.isTombstone())
                        .append(",\"object\":")
                        .append(event.item().json())
                        .append('}');
                separator = ",";
            }
            body.append("],\"store_revision\":").append(mRevision).append('}');
        }
        return Http.json(out, 200, body.toString());
    }

    private List<Event> events(String kind, String name, long since) {
        return mEvents.stream()
                .filter(event -> event.item().revision() > since && event.kind().equals(kind))
                .filter(event -> name.isEmpty() || event.item().name().equals(name))
                .toList();
    }

    private boolean write(OutputStream out, Http.Message request, String kind, String pathName)
            throws IOException {
        JsonNode body = JSON.readTree(request.body());
        String name = body.path("metadata").path("name").asText(pathName);
        JsonNode condition = body.path("metadata").path("revision");
        String spec = JSON.writeValueAsString(body.path("spec"));
        synchronized (this) {
            Item old = mKinds.getOrDefault(kind, new TreeMap<>()).get(name);
            boolean isCreation = request.method().equals("POST");
            if (isCreation && old != null
                    || old != null
                            && condition.isNumber()
                            && condition.asLong() != old.revision()) {
                return Http.json(out, 409, old.json());
            }
            if (!isCreation && old == null) {
                return Http.json(out, 404, "{}");
            }
            long before = old == null ? 0 : old.revision();
            long revision = put(kind, name, spec);
            mLab.record(
                    "store: "
                            + request.method()
                            + " "
                            + kind
                            + "/"
                            + name
                            + " = "
                            + spec
                            + ", revision "
                            + before
                            + " -> "
                            + revision);
            return Http.json(
                    out, isCreation ? 201 : 200, mKinds.get(kind).get(name).json());
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
