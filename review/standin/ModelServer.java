import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A model server that follows the pages: stages, handles, orders with fences, reports, streams. */
final class ModelServer {
    static final String SERVICE = "models";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SWITCH_MILLIS = 3_000;
    private static final int REPORT_LAG_MILLIS = 200;

    /** Handles that were not taken yet, by ADDRESS/HANDLE, of all servers of a script. */
    private static final Set<String> HANDLES = ConcurrentHashMap.newKeySet();

    /** An order as it arrived. */
    record Order(long atMillis, String server, String holder, long fence, String result) {}

    /** Decides whether an order stays unanswered; returns the delay until it is carried out. */
    interface LateOrders {
        long delayMillis(String server, int orderNumber);
    }

    final String id;
    private final Lab mLab;
    private final Store mStore;
    private final String mZone;
    private final Http.Server mServer;
    private final List<Order> mOrders;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mActive = new AtomicInteger();
    volatile LateOrders lateOrders = (server, number) -> 0;
    volatile int prefillMillis = 30;
    volatile int tokenMillis = 15;
    volatile int events = 6;

    /** A part of prompts under which this server crashes; empty for none. */
    volatile String deadlyPart = "";

    /** Whether nothing tells of a crash; else it comes after an event, and connections end. */
    volatile boolean crashesSilently = true;

    /** Called when this server crashes, with the request that crashed it. */
    volatile Consumer<String> onCrash = request -> {};

    /** When each request began to run here, by its identifier. */
    final Map<String, Long> runs = new ConcurrentHashMap<>();

    private String mStage;
    private boolean mIsBusy;
    private volatile boolean mIsDark;
    private boolean mIsCrashed;
    private long mBusySinceMillis;
    private long mSequence;
    private long mHighestFence;
    private int mOrderNumber;
    private long mBeats;

    ModelServer(
            Lab lab, Store store, String id, String zone, String stage, List<Order> orders)
            throws IOException {
        mLab = lab;
        mStore = store;
        this.id = id;
        mZone = zone;
        mStage = stage;
        mOrders = orders;
        mServer = new Http.Server(this::handle);
        register();
    }

    String address() {
        return mServer.address();
    }

    synchronized void register() {
        mStore.put(
                "servers",
                id,
                "{\"service\":\""
                        + SERVICE
                        + "\",\"address\":\""
                        + mServer.address()
                        + "\",\"zone\":\""
                        + mZone
                        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"stage\":\""
                        + mStage
                        + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                        + "\"sequence\":"
                        + mSequence
                        + "}");
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket)
            throws Exception {
        mSockets.add(socket);
        awaitIfDark();
        String expected = request.header("Sesamedeck-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return Http.respond(out, 421, new byte[0], "Sesamedeck-Instance-Id", id);
        }
        String target = request.target();
        if (target.equals("/v1/report")) {
            return Http.json(out, 200, report());
        }
        if (target.equals("/v1/order")) {
            return order(request, out);
        }
        if (target.startsWith("/v1/kv-handle/")) {
            HANDLES.remove(address() + "/" + target.substring("/v1/kv-handle/".length()));
            return Http.json(out, 200, "{}");
        }
        if (target.equals("/health")) {
            return Http.respond(out, 200, new byte[0], "Sesamedeck-Instance-Id", id);
        }
        return run(request, out);
    }

    /** A host without power answers nothing, and nothing tells its peers. */
    private void awaitIfDark() {
        while (mIsDark) {
            Lab.sleep(60_000);
        }
    }

    private synchronized String report() {
        boolean isBusyReported =
                mIsBusy && mLab.millis() - mBusySinceMillis >= REPORT_LAG_MILLIS;
        return "{\"stage\":\""
                + mStage
                + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":"
                + isBusyReported
                + ",\"sequence\":"
                + mSequence
                + ",\"queued_requests\":0,\"active_requests\":"
                + mActive.get()
                + ",\"kv_used\":1000,\"kv_total\":514636,\"kv_handles\":0}";
    }

    private boolean order(Http.Message request, OutputStream out) throws IOException {
        JsonNode body = JSON.readTree(request.body());
        long delay;
        synchronized (this) {
            delay = lateOrders.delayMillis(id, ++mOrderNumber);
        }
        if (delay > 0) {
            note(body, "no answer, carried out in " + delay + " ms");
            Lab.daemon(
                    () -> {
                        Lab.sleep(delay);
                        mLab.record(id + ": late order: " + carryOut(body));
                    });
            Lab.sleep(30_000);
            return false;
        }
        int status = carryOut(body);
        note(body, String.valueOf(status));
        return Http.json(out, status, "{}");
    }

    private void note(JsonNode body, String result) {
        Order order =
                new Order(
                        mLab.millis(),
                        id,
                        body.path("holder").asText(),
                        body.path("fence").asLong(),
                        result);
        synchronized (mOrders) {
            mOrders.add(order);
        }
        mLab.record(id + ": order " + body + " -> " + result);
    }

    private synchronized int carryOut(JsonNode body) {
        long fence = body.path("fence").asLong();
        if (fence < mHighestFence) {
            return 412;
        }
        mHighestFence = fence;
        if (mStage.equals(body.path("stage").asText()) && !mIsBusy) {
            return 200;
        }
        if (mIsBusy || body.has("expected") && body.path("expected").asLong() != mSequence) {
            return 409;
        }
        mIsBusy = true;
        mBusySinceMillis = mLab.millis();
        mSequence++;
        String stage = body.path("stage").asText();
        Lab.daemon(
                () -> {
                    Lab.sleep(SWITCH_MILLIS);
                    synchronized (this) {
                        mIsBusy = false;
                        mStage = stage;
                    }
                    register();
                });
        return 202;
    }

    private boolean run(Http.Message request, OutputStream out) throws Exception {
        String requestId = request.header("Sesamedeck-Request-Id");
        boolean isPrefill = request.header("Sesamedeck-Serving-Stage").equals("prefill");
        String stage;
        boolean isBusy;
        synchronized (this) {
            stage = mStage;
            isBusy = mIsBusy;
        }
        if (isBusy) {
            return notRun(out, 503, requestId);
        }
        if (isPrefill != stage.equals("prefill")) {
            return notRun(out, 421, requestId);
        }
        if (isPrefill) {
            mActive.incrementAndGet();
            Lab.sleep(prefillMillis);
            mActive.decrementAndGet();
            String handle = UUID.randomUUID().toString().replace("-", "").substring(0, 12);
            HANDLES.add(address() + "/" + handle);
            byte[] body =
                    ("{\"kv_handle\":\"" + handle + "\",\"token_count\":1800,\"version\":1}")
                            .getBytes(StandardCharsets.UTF_8);
            return Http.respond(
                    out,
                    200,
                    body,
                    "Content-Type",
                    "application/json",
                    "Sesamedeck-Request-Id",
                    requestId);
        }
        String source = request.header("Sesamedeck-Kv-Source");
        if (!source.isEmpty() && !HANDLES.remove(source)) {
            return notRun(out, 503, requestId);
        }
        mActive.incrementAndGet();
        try {
            stream(request, out);
        } finally {
            mActive.decrementAndGet();
        }
        return true;
    }

    private boolean notRun(OutputStream out, int status, String requestId) throws IOException {
        return Http.respond(
                out,
                status,
                new byte[0],
                "Sesamedeck-Request-Id",
                requestId,
                "Sesamedeck-Instance-Id",
                id,
                "Sesamedeck-Not-Run",
                "1");
    }

    private void stream(Http.Message request, OutputStream out) throws IOException {
        if (request.header("Sesamedeck-Kv-Source").isEmpty()) {
            Lab.sleep(2L * prefillMillis);
        }
        byte[] head =
                Http.head(
                        "HTTP/1.1 200 OK",
                        "Content-Type",
                        "text/event-stream",
                        "Transfer-Encoding",
                        "chunked",
                        "Sesamedeck-Request-Id",
                        request.header("Sesamedeck-Request-Id"),
                        "Sesamedeck-Server-Stamp",
                        id + ".stamp",
                        "Sesamedeck-Weight-Versions",
                        "1");
        runs.put(request.header("Sesamedeck-Request-Id"), mLab.millis());
        boolean isDeadly =
                !deadlyPart.isEmpty()
                        && request.header("Sesamedeck-Prompt-Prefix").contains(deadlyPart);
        if (isDeadly && crashesSilently) {
            mIsDark = true;
            onCrash.accept(request.header("Sesamedeck-Request-Id"));
            awaitIfDark();
        }
        out.write(head);
        String last = request.header("Last-Event-Id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
                event <= events;
                event++) {
            Lab.sleep(tokenMillis);
            awaitIfDark();
            chunk(out, "id: " + event + "\ndata: token" + event + "\n\n");
            if (isDeadly) {
                Lab.sleep(tokenMillis / 2);
                crash(request.header("Sesamedeck-Request-Id"));
                return;
            }
        }
        chunk(out, "");
    }

    /** Ends as a process does: its listener and all its connections are closed. */
    private void crash(String requestId) throws IOException {
        synchronized (this) {
            if (mIsCrashed) {
                return;
            }
            mIsCrashed = true;
        }
        onCrash.accept(requestId);
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        String framed = Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n";
        out.write(framed.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
