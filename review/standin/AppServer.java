import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a plain service: registers in the store, runs requests, signs its answers. */
final class AppServer implements AutoCloseable {
    final String id;
    private final Lab mLab;
    private final Store mStore;
    private final String mService;
    private final String mZone;
    private final Http.Server mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mRunning = new AtomicInteger();

    /** When each request began to run, by its identifier. */
    final Map<String, Long> runs = new ConcurrentHashMap<>();

    volatile int workMillis = 15;
    volatile byte[] body = new byte[800];

    AppServer(Lab lab, Store store, String id, String service, String zone) throws IOException {
        mLab = lab;
        mStore = store;
        this.id = id;
        mService = service;
        mZone = zone;
        mServer = new Http.Server(this::handle);
        register("ready");
    }

    String address() {
        return mServer.address();
    }

    void register(String state) {
        mStore.put("servers", id, spec(state, "64"));
    }

    /** Returns the entry of this server with the given bytes as its number of slots. */
    String spec(String state, String slots) {
        return "{\"service\":\""
                + mService
                + "\",\"address\":\""
                + mServer.address()
                + "\",\"zone\":\""
                + mZone
                + "\",\"version\":\"v1\",\"slots\":"
                + slots
                + ",\"state\":\""
                + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":0}";
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket)
            throws Exception {
        mSockets.add(socket);
        String expected = request.header("Sesamedeck-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return Http.respond(out, 421, new byte[0], "Sesamedeck-Instance-Id", id);
        }
        String identifier = request.header("Sesamedeck-Request-Id");
        runs.put(identifier, mLab.millis());
        int running = mRunning.incrementAndGet();
        try {
            Lab.sleep(workMillis);
            return Http.respond(
                    out,
                    200,
                    body,
                    "Content-Type",
                    "application/octet-stream",
                    "Sesamedeck-Request-Id",
                    identifier,
                    "Sesamedeck-Server-Stamp",
                    id + ".stamp",
                    "Sesamedeck-Server-Load",
                    running + ",0,64");
        } finally {
            mRunning.decrementAndGet();
        }
    }

    /** Ends as a process does: its listener and its connections are gone. */
    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
