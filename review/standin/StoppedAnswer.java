import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One gateway before one server whose answers have 3 MB. The clients are 3 ms away and have a
 * window of 64 KB, so that an answer takes 0.3 s on its way. The gateway gets SIGTERM.
 */
final class StoppedAnswer {
    private static final int ANSWER_BYTES = 3_000_000;
    private static final int BUFFER_BYTES = 65_536;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int CLIENTS = 20;
    private static final int PAUSE_MILLIS = 2_400;

    private StoppedAnswer() {}

    private record Attempt(String id, long sentMillis, long endMillis, int bytes, String end) {}

    public static void main(String[] arguments) {
        Lab.main(arguments, StoppedAnswer::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        store.put(
                "config",
                "main",
                Site.configuration(
                        7, Site.plainRoute("read", "/read/", "safe", Site.APP_SERVICE)));
        AppServer server = new AppServer(lab, store, "i-1", Site.APP_SERVICE, "almaty-a");
        server.body = new byte[ANSWER_BYTES];
        server.workMillis = 300;
        Lab.Gateway gateway = lab.gateway("front-0", "almaty-a", store.port());
        gateway.awaitReady();
        int linkPort = lab.link(gateway.front);
        AtomicBoolean isInRotation = new AtomicBoolean(true);
        Lab.daemon(() -> askForReadiness(lab, gateway, isInRotation));
        List<Attempt> attempts = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Lab.daemon(() -> load(lab, linkPort, isInRotation, attempts));
            Lab.sleep(150);
        }
        Lab.sleep(6_000);
        long stopped = lab.millis();
        if (hasTrouble) {
            gateway.terminate();
        }
        Lab.sleep(9_000);
        int lost = 0;
        int whole = 0;
        synchronized (attempts) {
            for (Attempt attempt : attempts) {
                whole += attempt.bytes() == ANSWER_BYTES ? 1 : 0;
                if (server.runs.containsKey(attempt.id()) && attempt.bytes() < ANSWER_BYTES) {
                    lost++;
                    lab.record(
                            "LOST: request "
                                    + attempt.id()
                                    + ", sent "
                                    + (attempt.sentMillis() - stopped)
                                    + " ms after SIGTERM and run by i-1, ends "
                                    + (attempt.endMillis() - stopped)
                                    + " ms after it: "
                                    + attempt.bytes()
                                    + " of "
                                    + ANSWER_BYTES
                                    + " bytes, "
                                    + attempt.end());
                }
            }
        }
        lab.record(whole + " answers were whole, " + lost + " were cut");
        if (whole < 10) {
            throw new IllegalStateException("the load was not served");
        }
        return lost == 0;
    }

    /** Two answers in a row other than 200 take the machine out, as the platform does it. */
    private static void askForReadiness(
            Lab lab, Lab.Gateway gateway, AtomicBoolean isInRotation) {
        int misses = 0;
        while (true) {
            misses = gateway.isReady() ? 0 : misses + 1;
            if (isInRotation.getAndSet(misses < 2) && misses >= 2) {
                lab.record("the platform takes the machine out of rotation");
            }
            Lab.sleep(1_000);
        }
    }

    /** Keeps its connection until an answer says close; opens new ones while in rotation. */
    private static void load(
            Lab lab, int linkPort, AtomicBoolean isInRotation, List<Attempt> attempts) {
        while (isInRotation.get()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Http.LOOPBACK, linkPort), 1_000);
                socket.setSoTimeout(DEADLINE_MILLIS);
                boolean isKept = true;
                while (isKept) {
                    isKept = attempt(lab, socket, attempts);
                    Lab.sleep(PAUSE_MILLIS);
                }
            } catch (IOException closed) {
                Lab.sleep(PAUSE_MILLIS);
            }
        }
    }

    /** Sends one request and reads the answer window by window; returns whether to go on. */
    private static boolean attempt(Lab lab, Socket socket, List<Attempt> attempts)
            throws IOException {
        String id = Client.nextIdentifier();
        long sent = lab.millis();
        int bytes = 0;
        String end = "closed without an answer";
        boolean isKept = false;
        try {
            socket.getOutputStream()
                    .write(
                            Http.head(
                                    "GET /read/x HTTP/1.1",
                                    "Host",
                                    Site.HOST,
                                    "Sesamedeck-Request-Id",
                                    id,
                                    "Sesamedeck-Deadline-Ms",
                                    String.valueOf(DEADLINE_MILLIS)));
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            int next = in.read();
            while (next >= 0 && head.indexOf("\r\n\r\n") < 0) {
                head.append((char) next);
                next = head.indexOf("\r\n\r\n") < 0 ? in.read() : next;
            }
            if (next >= 0) {
                end = head.substring(0, head.indexOf("\r\n")) + ", then the connection ends";
                isKept = !head.toString().toLowerCase(Locale.ROOT).contains("connection: close");
            }
            while (next >= 0 && bytes < ANSWER_BYTES) {
                byte[] part = in.readNBytes(Math.min(BUFFER_BYTES, ANSWER_BYTES - bytes));
                bytes += part.length;
                next = part.length == 0 ? -1 : 0;
            }
        } catch (IOException failure) {
            end += ", " + failure;
        }
        synchronized (attempts) {
            attempts.add(new Attempt(id, sent, lab.millis(), bytes, end));
        }
        return isKept && bytes == ANSWER_BYTES;
    }
}
