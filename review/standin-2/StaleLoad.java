import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The processes of the system are killed and started again, and soon after one engine of eight is
 * slow for some seconds. Long after both, the one machine that is left must serve.
 */
final class StaleLoad {
    private static final int ENGINES = 8;
    private static final int DECODE_ENGINES = 1;

    /** Half of what the sheet says for the two kinds of streams with longer answers. */
    private static final int STREAMS_PER_SECOND = 20;

    private static final int LONG_PER_SECOND = 8;
    private static final double SLOW_FACTOR = 5;

    /** A step takes 3.03 ms, and an event has ten tokens. */
    private static final int PAUSE_MILLIS = 31;

    private static final double KILL_AT_SECONDS = 8;
    private static final double SLOW_AT_SECONDS = 12;
    private static final double SLOW_SECONDS = 6.5;

    /** {@code recover_s} of the site. */
    private static final double RECOVER_SECONDS = 12;

    /** Part of the streams that must be served, by the rule. */
    private static final double LEAST_PART = 0.25;

    private static final double END_SECONDS = 45;
    private static final int PATIENCE_MILLIS = 3_200;

    private static final AtomicInteger sBegun = new AtomicInteger();
    private static volatile int sPauseMillis = PAUSE_MILLIS;

    public static void main(String[] arguments) {
        Lab.runCase(arguments[0], StaleLoad::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            boolean isDecode = i >= ENGINES - DECODE_ENGINES;
            MiniServer engine =
                    new MiniServer("i-e" + i, isDecode ? StaleLoad::decode : MiniServer::engine);
            lab.registerEngine(engine.id, engine.port(), isDecode ? "decode" : "prefill");
        }
        lab.store.put("config", "main", lab.configuration());
        Lab.Gateway gateway = lab.startGateway("front-1");
        Map<String, Integer> before = new TreeMap<>();
        Map<String, Integer> meanwhile = new TreeMap<>();
        Map<String, Integer> after = new TreeMap<>();
        Random random = new Random(1);
        long start = Lab.millis();
        double backAt = Double.MAX_VALUE;
        int sent = 0;
        double now = 0;
        while (now < END_SECONDS) {
            now = (Lab.millis() - start) / 1e3;
            boolean isSlow =
                    Lab.hasTrouble()
                            && now >= SLOW_AT_SECONDS
                            && now < SLOW_AT_SECONDS + SLOW_SECONDS;
            sPauseMillis = (int) (PAUSE_MILLIS * (isSlow ? SLOW_FACTOR : 1));
            if (Lab.hasTrouble() && backAt == Double.MAX_VALUE && now >= KILL_AT_SECONDS) {
                lab.record("the gateway is killed and started again");
                gateway = lab.restart(gateway);
                backAt = (Lab.millis() - start) / 1e3;
                sent = (int) (backAt * STREAMS_PER_SECOND);
            }
            double recoveredAt =
                    Lab.hasTrouble()
                            ? backAt + RECOVER_SECONDS
                            : KILL_AT_SECONDS + RECOVER_SECONDS;
            if (sent < now * STREAMS_PER_SECOND) {
                Map<String, Integer> ends =
                        now < KILL_AT_SECONDS - 2
                                ? before
                                : now > recoveredAt ? after : meanwhile;
                call(gateway, request(random, sent++), ends);
                if (sent % (3 * STREAMS_PER_SECOND) == 0) {
                    record(lab, before, meanwhile, after);
                }
            }
            Thread.sleep(3);
        }
        Thread.sleep(PATIENCE_MILLIS);
        lab.recordOutput(gateway, 2);
        record(lab, before, meanwhile, after);
        if (servedPart(before) < LEAST_PART) {
            return 2;
        }
        return servedPart(after) < LEAST_PART ? 1 : 0;
    }

    private static void record(
            Lab lab,
            Map<String, Integer> before,
            Map<String, Integer> meanwhile,
            Map<String, Integer> after) {
        lab.record("an event each " + sPauseMillis + " ms; streams run so far: " + sBegun);
        lab.record("  ends of the streams that were sent");
        lab.record("  before the kill: " + copy(before));
        lab.record("  until recover_s after the machine was back: " + copy(meanwhile));
        lab.record("  later: " + copy(after));
    }

    private static Map<String, Integer> copy(Map<String, Integer> ends) {
        synchronized (ends) {
            return new TreeMap<>(ends);
        }
    }

    private static double servedPart(Map<String, Integer> ends) {
        synchronized (ends) {
            int all = ends.values().stream().mapToInt(Integer::intValue).sum();
            return ends.getOrDefault("200", 0) / (double) Math.max(1, all);
        }
    }

    private static String request(Random random, int number) {
        String id = String.format("%016x", 0x9c41d07b00000000L + number);
        return random.nextInt(STREAMS_PER_SECOND) < LONG_PER_SECOND
                ? Caller.streamRequest(id, "/long/a", 5_382, 6_610, 38, 10_000)
                : Caller.streamRequest(id, "/note/a", 198, 628, 29, 8_000);
    }

    private static void call(Lab.Gateway gateway, String request, Map<String, Integer> ends) {
        Lab.daemon(
                "caller",
                () -> {
                    String result;
                    try (Caller caller = new Caller(gateway.callers(), PATIENCE_MILLIS)) {
                        result = caller.call(request).map(StaleLoad::describe).orElse("closed");
                    } catch (IOException gone) {
                        result = "no connection, or no event in time";
                    }
                    synchronized (ends) {
                        ends.merge(result, 1, Integer::sum);
                    }
                });
    }

    private static String describe(Message answer) {
        if (answer.status() == 503) {
            return "503 (" + answer.text().strip() + ")";
        }
        return answer.status() + (answer.isComplete ? "" : " cut off");
    }

    /** Answers as a sound engine whose events come at the present pace. */
    private static boolean decode(
            MiniServer server, Message request, Socket socket, OutputStream output)
            throws IOException, InterruptedException {
        boolean isStream =
                !request.method().equals("DELETE")
                        && request.header("Sesamedeck-Serving-Stage").isEmpty();
        if (!isStream) {
            return MiniServer.engine(server, request, socket, output);
        }
        sBegun.incrementAndGet();
        MiniServer.events(server, request, output, () -> sPauseMillis);
        MiniServer.write(output, "0\r\n\r\n");
        return true;
    }
}
