import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two engines of eight are in trouble for some seconds: they send events without end. Requests to the
 * sound servers of another service must get their final answer at the timeout of their route.
 */
final class EndlessEvents {
    private static final int ENGINES = 8;
    private static final int PREFILL_ENGINES = 2;
    private static final int SERVERS = 3;

    private static final int IN_TROUBLE = 2;

    /** The eighth part of what the sheet says, for one machine of eight. */
    private static final double STREAMS_PER_SECOND = 69.1 / 8;

    private static final double PLAIN_PER_SECOND = 24.3 / 8;
    private static final double LONG_PART = 15.7 / 69.1;
    private static final double NOTE_PART = 23 / 69.1;

    private static final int LONG_MILLIS = 10_000;
    private static final int NOTE_MILLIS = 8_000;
    private static final int VERDICT_MILLIS = 2_500;

    /** The route's timeout, and how long the callers of small requests wait. */
    private static final int TIMEOUT_MILLIS = 1_500;

    private static final int DEADLINE_MILLIS = 3_000;

    /** The rule asks for an answer so long after the timeout. */
    private static final int ALLOWED_MILLIS = 500;

    /** Fewer late answers than this are not taken for a broken rule. */
    private static final int LEAST_LATE = 8;

    /** A caller leaves a stream after four times the aim without an event. */
    private static final int PATIENCE_MILLIS = 3_200;

    private static final int WARM_UP_SECONDS = 4;
    private static final double TROUBLE_SECONDS = 5.5;
    private static final int AFTER_SECONDS = 14;
    private static final int EVENTS_A_WRITE = 1_000;

    private static final AtomicInteger sEndless = new AtomicInteger();

    /** The server that ran each small request. */
    private static final Map<String, String> sRunBy = new ConcurrentHashMap<>();

    private static volatile boolean sIsInTrouble;

    /** How the small requests ended. */
    private static final class Answers {
        private final Map<String, Integer> ends = new TreeMap<>();
        private int unansweredAtTimeout;
        private int unansweredLater;
        private long longestMillis;

        synchronized void add(String end, long millis) {
            ends.merge(end, 1, Integer::sum);
            unansweredAtTimeout += millis > TIMEOUT_MILLIS ? 1 : 0;
            unansweredLater += millis > TIMEOUT_MILLIS + ALLOWED_MILLIS ? 1 : 0;
            longestMillis = Math.max(longestMillis, millis);
        }

        synchronized boolean areLate() {
            return unansweredLater >= LEAST_LATE && unansweredLater * 2 > unansweredAtTimeout;
        }

        @Override
        public synchronized String toString() {
            return ends
                    + ", unanswered at the timeout "
                    + unansweredAtTimeout
                    + ", half a second later "
                    + unansweredLater
                    + ", longest "
                    + longestMillis
                    + " ms";
        }
    }

    public static void main(String[] arguments) {
        Lab.runCase(arguments[0], EndlessEvents::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            MiniServer.Behaviour behaviour =
                    i >= ENGINES - IN_TROUBLE ? EndlessEvents::answer : MiniServer::engine;
            MiniServer engine = new MiniServer("i-e" + i, behaviour);
            String stage = i < PREFILL_ENGINES ? "prefill" : "decode";
            lab.registerEngine(engine.id, engine.port(), stage);
        }
        for (int i = 0; i < SERVERS; i++) {
            MiniServer server = new MiniServer("i-s" + i, EndlessEvents::run);
            lab.registerServer(server.id, server.port());
        }
        lab.store.put("config", "main", lab.configuration());
        Lab.Gateway gateway = lab.startGateway("front-1");
        Map<String, Integer> streams = new TreeMap<>();
        Answers answers = new Answers();
        Random random = new Random(1);
        long start = Lab.millis();
        int streamsSent = 0;
        int plainSent = 0;
        int recorded = 0;
        double now = 0;
        while (now < WARM_UP_SECONDS + TROUBLE_SECONDS + AFTER_SECONDS) {
            now = (Lab.millis() - start) / 1e3;
            sIsInTrouble =
                    Lab.hasTrouble()
                            && now >= WARM_UP_SECONDS
                            && now < WARM_UP_SECONDS + TROUBLE_SECONDS;
            if (streamsSent < now * STREAMS_PER_SECOND) {
                stream(gateway, streamsSent++, random.nextDouble(), streams);
            }
            if (plainSent < now * PLAIN_PER_SECOND) {
                plain(lab, gateway, plainSent++, answers);
            }
            if (now > recorded + 1) {
                recorded++;
                String state = "streams without end now " + sEndless + "; small requests " + answers;
                lab.record(state + "; ready " + Lab.isReady(gateway));
            }
            Thread.sleep(3);
        }
        Thread.sleep(DEADLINE_MILLIS);
        synchronized (streams) {
            lab.record("streams sent " + streamsSent + ", ended " + streams);
        }
        lab.record("small requests sent " + plainSent + ": " + answers);
        return answers.areLate() ? 1 : 0;
    }

    /** Sends a request for a stream of one of the three kinds of the sheet, as it is drawn. */
    private static void stream(
            Lab.Gateway gateway, int number, double draw, Map<String, Integer> ends) {
        String id = String.format("%016x", 0x9c41d07b00000000L + number);
        String request = Caller.streamRequest(id, "/note/b", 568, 1_800, 2, VERDICT_MILLIS);
        long deadline = VERDICT_MILLIS;
        if (draw < LONG_PART) {
            deadline = LONG_MILLIS;
            request = Caller.streamRequest(id, "/long/a", 5_382, 6_610, 38, LONG_MILLIS);
        } else if (draw < LONG_PART + NOTE_PART) {
            deadline = NOTE_MILLIS;
            request = Caller.streamRequest(id, "/note/a", 198, 628, 29, NOTE_MILLIS);
        }
        String text = request;
        long end = Lab.millis() + deadline;
        Lab.daemon(
                "stream",
                () -> {
                    String result;
                    try (Caller caller = new Caller(gateway.callers(), PATIENCE_MILLIS)) {
                        caller.send(text);
                        result = read(caller.socket(), end);
                    } catch (IOException gone) {
                        result = "no event in time";
                    }
                    synchronized (ends) {
                        ends.merge(result, 1, Integer::sum);
                    }
                });
    }

    /** Reads a stream to its end or to the caller's deadline. */
    private static String read(Socket socket, long endMillis) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[64 * 1_024];
        String tail = "";
        while (Lab.millis() < endMillis) {
            int count = input.read(buffer);
            if (count < 0) {
                return "cut off";
            }
            String text = new String(buffer, 0, count, StandardCharsets.US_ASCII);
            tail = (tail + text).substring(Math.max(0, tail.length() + count - 7));
            if (tail.endsWith("\r\n0\r\n\r\n")) {
                return "complete";
            }
            if (tail.endsWith("\n") && text.startsWith("HTTP/1.1 5")) {
                return text.substring(9, 12);
            }
        }
        return "deadline";
    }

    private static void plain(Lab lab, Lab.Gateway gateway, int number, Answers answers) {
        String id = String.format("%016x", 0x7c41d07b00000000L + number);
        String request = Caller.plainRequest(id, "GET", "/safe/a", DEADLINE_MILLIS);
        Lab.daemon(
                "plain",
                () -> {
                    long begun = Lab.millis();
                    String result;
                    try (Caller caller = new Caller(gateway.callers(), DEADLINE_MILLIS)) {
                        Optional<Message> answer = caller.call(request);
                        result = answer.map(it -> "" + it.status()).orElse("closed");
                    } catch (IOException gone) {
                        result = "no answer at the deadline";
                    }
                    long millis = Lab.millis() - begun;
                    answers.add(result, millis);
                    String runBy = sRunBy.getOrDefault(id, "no server yet");
                    lab.record(
                            String.format(
                                    "small request %s, sent at %.3f s: %s after %d ms, run by %s",
                                    id, begun / 1e3, result, millis, runBy));
                });
    }

    private static boolean run(
            MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        sRunBy.put(request.header("Sesamedeck-Request-Id").orElse(""), server.id);
        return MiniServer.plain(server, request, socket, output);
    }

    private static boolean answer(
            MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        boolean isStream =
                !request.method().equals("DELETE")
                        && request.header("Sesamedeck-Serving-Stage").isEmpty();
        if (!sIsInTrouble || !isStream) {
            return MiniServer.engine(server, request, socket, output);
        }
        sEndless.incrementAndGet();
        try {
            MiniServer.write(
                    output,
                    server.head(request, 200, server.stamp(request))
                            + "Content-Type: text/event-stream\r\n\r\n");
            long number = 1;
            while (true) {
                StringBuilder events = new StringBuilder();
                for (int i = 0; i < EVENTS_A_WRITE; i++) {
                    events.append("id: ").append(number++).append("\ndata: x\n\n");
                }
                MiniServer.write(output, events.toString());
            }
        } finally {
            sEndless.decrementAndGet();
        }
    }
}
