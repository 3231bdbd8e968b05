import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four engines of eight are in trouble for some seconds: after the events of a stream they send
 * trailer fields without end. The gateway must not end by itself and lose the requests that it has
 * passed on to the sound ones.
 */
final class EndlessTrailers {
    private static final int ENGINES = 8;
    private static final int PREFILL_ENGINES = 2;

    /** Streams a second of the whole site, by the sheet. */
    private static final int STREAMS_PER_SECOND = 69;

    private static final int LONG_PER_SECOND = 16;
    private static final int NOTES_PER_SECOND = 23;
    private static final int IN_TROUBLE = 4;
    private static final int SERVERS = 3;

    /** Small requests a second of the whole site, by the sheet. */
    private static final int PLAIN_PER_SECOND = 24;

    /** A caller leaves a stream after four times the aim without an event. */
    private static final int PATIENCE_MILLIS = 3_200;

    private static final int PLAIN_MILLIS = 1_500;
    private static final int WARM_UP_SECONDS = 4;
    private static final double TROUBLE_SECONDS = 5.0;
    private static final int CALM_SECONDS = 5;

    private static final int TOKENS_A_MILLI = 92;

    /** Beside the 15 ms of the stand-in. */
    private static final int PLAIN_WORK_MILLIS = 6;

    /** Four bytes on the wire. */
    private static final String FIELD = "a:\r\n";

    /** Fields that are sent at once; more come slowly, until the gateway closes. */
    private static final int FIRST_FIELDS = 30_000;

    /** Lost requests that the rule allows. */
    private static final int MOST_LOST = 3;

    /** Callers use a connection again that was idle for less than this; the limit is 15 s. */
    private static final int MAX_IDLE_MILLIS = 10_000;

    private static final AtomicInteger sEndless = new AtomicInteger();

    /** Requests that a sound engine has received, and those that one in trouble has. */
    private static final Set<String> sAtSound = ConcurrentHashMap.newKeySet();

    private static final Set<String> sAtTroubled = ConcurrentHashMap.newKeySet();
    private static final ConcurrentLinkedDeque<Kept> sKept = new ConcurrentLinkedDeque<>();
    private static final List<String> sLost = Collections.synchronizedList(new ArrayList<>());

    /** A connection that has served a request. */
    private record Kept(Caller caller, long sinceMillis) {}
    private static volatile boolean sIsInTrouble;

    public static void main(String[] arguments) {
        Lab.runCase(arguments[0], EndlessTrailers::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            MiniServer.Behaviour behaviour =
                    i >= ENGINES - IN_TROUBLE ? EndlessTrailers::answer : EndlessTrailers::sound;
            MiniServer engine = new MiniServer("i-e" + i, behaviour);
            String stage = i < PREFILL_ENGINES ? "prefill" : "decode";
            lab.registerEngine(engine.id, engine.port(), stage);
        }
        for (int i = 0; i < SERVERS; i++) {
            MiniServer server = new MiniServer("i-s" + i, EndlessTrailers::plain);
            lab.registerServer(server.id, server.port());
        }
        lab.store.put("config", "main", lab.configuration());
        Lab.Gateway gateway = lab.startGateway("front-1");
        Map<String, Integer> ends = new TreeMap<>();
        long start = Lab.millis();
        double troubleEnds = WARM_UP_SECONDS + TROUBLE_SECONDS;
        double end = troubleEnds + CALM_SECONDS;
        Random random = new Random(1);
        int sent = 0;
        int plainSent = 0;
        int maxEndless = 0;
        while ((Lab.millis() - start) / 1e3 < end && gateway.process().isAlive()) {
            double now = (Lab.millis() - start) / 1e3;
            sIsInTrouble = Lab.hasTrouble() && now >= WARM_UP_SECONDS && now < troubleEnds;
            if (sent < now * STREAMS_PER_SECOND) {
                String id = String.format("%016x", 0x9c41d07b00000000L + sent++);
                call(gateway, id, request(random, id), now >= WARM_UP_SECONDS, ends);
                if (sent % STREAMS_PER_SECOND == 0) {
                    lab.record("sent " + sent + ", answers without end now " + sEndless.get());
                }
            }
            if (plainSent < now * PLAIN_PER_SECOND) {
                String id = String.format("%016x", 0x7c41d07b00000000L + plainSent++);
                String request = Caller.plainRequest(id, "POST", "/once/a", PLAIN_MILLIS);
                call(gateway, id, request, now >= WARM_UP_SECONDS, ends);
            }
            maxEndless = Math.max(maxEndless, sEndless.get());
            Thread.sleep(3);
        }
        boolean isAlive = gateway.process().isAlive();
        Thread.sleep(isAlive ? 4_000 : 500);
        isAlive &= gateway.process().isAlive();
        synchronized (ends) {
            lab.record("streams sent " + sent + ", small requests " + plainSent + ": " + ends);
            lab.record("most answers without end at once: " + maxEndless);
            lab.record("requests at sound servers: " + sAtSound.size());
            lab.record("requests at engines in trouble: " + sAtTroubled.size());
        }
        int lost = 0;
        synchronized (sLost) {
            for (String id : sLost) {
                boolean isAtSound = sAtSound.contains(id) && !sAtTroubled.contains(id);
                lost += isAtSound ? 1 : 0;
                if (isAtSound) {
                    lab.record("request " + id + ", passed on to a sound server: no answer");
                }
            }
        }
        if (!isAlive) {
            lab.recordOutput(gateway, 3);
            lab.record("the gateway has ended by itself, status " + gateway.process().exitValue());
        }
        lab.record("lost on kept connections, with sound servers only: " + lost);
        return lost > MOST_LOST ? 1 : 0;
    }

    /** Returns a request of one of the three kinds of the sheet, by their shares of the traffic. */
    private static String request(Random random, String id) {
        int draw = random.nextInt(STREAMS_PER_SECOND);
        if (draw < LONG_PER_SECOND) {
            return Caller.streamRequest(id, "/long/a", 5_382, 6_610, 38, 10_000);
        }
        return draw < LONG_PER_SECOND + NOTES_PER_SECOND
                ? Caller.streamRequest(id, "/note/a", 198, 628, 29, 8_000)
                : Caller.streamRequest(id, "/note/b", 568, 1_800, 2, 2_500);
    }

    /** Sends a request on a kept connection, if there is one; at first each caller opens its own. */
    private static void call(
            Lab.Gateway gateway,
            String id,
            String request,
            boolean mayKeep,
            Map<String, Integer> ends) {
        Lab.daemon(
                "caller",
                () -> {
                    String result;
                    try {
                        Kept kept = mayKeep ? sKept.pollFirst() : null;
                        boolean isKept =
                                kept != null
                                        && Lab.millis() - kept.sinceMillis() < MAX_IDLE_MILLIS;
                        Caller caller =
                                isKept
                                        ? kept.caller()
                                        : new Caller(gateway.callers(), PATIENCE_MILLIS);
                        result = call(caller, isKept, id, request);
                    } catch (IOException refused) {
                        result = "no connection";
                    }
                    synchronized (ends) {
                        ends.merge(result, 1, Integer::sum);
                    }
                });
    }

    private static String call(Caller caller, boolean isKept, String id, String request)
            throws IOException {
        try {
            Optional<Message> answer = caller.call(request);
            if (answer.isPresent() && answer.get().isComplete) {
                sKept.add(new Kept(caller, Lab.millis()));
                return String.valueOf(answer.get().status());
            }
            caller.close();
            if (answer.isPresent()) {
                return answer.get().status() + " cut off";
            }
        } catch (SocketTimeoutException late) {
            caller.close();
            return "no event in time";
        } catch (IOException reset) {
            caller.close();
        }
        if (isKept) {
            sLost.add(id);
        }
        return "closed without an answer";
    }

    /** Answers as a sound server, whose work takes 21 ms. */
    private static boolean plain(
            MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        sAtSound.add(request.header("Sesamedeck-Request-Id").orElse(""));
        Thread.sleep(PLAIN_WORK_MILLIS);
        return MiniServer.plain(server, request, socket, output);
    }

    /** Answers as a sound engine, which reads 92 tokens of a prompt in a millisecond. */
    private static boolean sound(
            MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        sAtSound.add(request.header("Sesamedeck-Request-Id").orElse(""));
        if (request.header("Sesamedeck-Serving-Stage").isPresent()) {
            String[] counts = request.header("Sesamedeck-Token-Counts").orElse("0,0").split(",");
            Thread.sleep(Integer.parseInt(counts[0]) / TOKENS_A_MILLI);
        }
        return MiniServer.engine(server, request, socket, output);
    }

    private static boolean answer(
            MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        boolean isStream =
                !request.method().equals("DELETE")
                        && request.header("Sesamedeck-Serving-Stage").isEmpty();
        if (!sIsInTrouble || !isStream) {
            return sound(server, request, socket, output);
        }
        sAtTroubled.add(request.header("Sesamedeck-Request-Id").orElse(""));
        MiniServer.events(server, request, output);
        sEndless.incrementAndGet();
        try {
            MiniServer.write(output, "0\r\n");
            output.write(FIELD.repeat(FIRST_FIELDS).getBytes(StandardCharsets.US_ASCII));
            while (true) {
                MiniServer.write(output, FIELD.repeat(10));
                Thread.sleep(50);
            }
        } finally {
            sEndless.decrementAndGet();
        }
    }
}
