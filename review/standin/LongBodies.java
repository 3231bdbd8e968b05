import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One gateway before two servers. Clients upload bodies that the configuration allows, each over a
 * link of 8 Mbit/s; others send small requests. For 14 s, 1.8 times as many upload.
 */
final class LongBodies {
    /** Less than max_body_bytes of the configuration. */
    private static final int BODY_BYTES = 4_000_000;

    private static final int USUAL_UPLOADS = 20;

    /** A burst of 1.8 times the usual uploads. */
    private static final int MORE_UPLOADS = 16;

    private static final int VISITORS = 10;
    private static final int PART_BYTES = 50_000;
    private static final int PART_MILLIS = 50;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int BURST_MILLIS = 14_000;

    private LongBodies() {}

    private record Visit(long sentMillis, long answerMillis) {}

    public static void main(String[] arguments) {
        Lab.main(arguments, LongBodies::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        store.put(
                "config",
                "main",
                Site.configuration(
                        7,
                        Site.plainRoute("upload", "/upload/", "unsafe", "logs", 10_000),
                        Site.plainRoute(
                                "visit", "/visit/", "unsafe", Site.APP_SERVICE, TIMEOUT_MILLIS)));
        new AppServer(lab, store, "i-1", Site.APP_SERVICE, "almaty-a");
        new AppServer(lab, store, "i-2", "logs", "almaty-a");
        Lab.Gateway gateway = lab.gateway("front-0", "almaty-a", store.port());
        gateway.awaitReady();
        List<Visit> visits = new ArrayList<>();
        AtomicInteger uploaded = new AtomicInteger();
        AtomicBoolean isBurst = new AtomicBoolean();
        for (int i = 0; i < VISITORS; i++) {
            Lab.daemon(() -> visit(lab, gateway, visits));
        }
        for (int i = 0; i < USUAL_UPLOADS; i++) {
            Lab.daemon(() -> upload(gateway, uploaded, new AtomicBoolean(true)));
            Lab.sleep(200);
        }
        Lab.sleep(10_000);
        lab.record("usual load: " + uploaded + " bodies uploaded");
        if (hasTrouble) {
            lab.record("1.8 times as many clients upload");
            isBurst.set(true);
            for (int i = 0; i < MORE_UPLOADS; i++) {
                Lab.daemon(() -> upload(gateway, uploaded, isBurst));
                Lab.sleep(50);
            }
        }
        for (int second = 0; second < 40; second++) {
            if (second == BURST_MILLIS / 1_000) {
                isBurst.set(false);
                lab.record("the burst is over");
            }
            Lab.sleep(1_000);
            long now = lab.millis();
            int served = 0;
            synchronized (visits) {
                for (Visit visit : visits) {
                    served +=
                            visit.answerMillis() > 0 && visit.sentMillis() > now - 1_000 ? 1 : 0;
                }
            }
            lab.record(
                    served
                            + " small requests answered in the last second, "
                            + uploaded
                            + " bodies uploaded; ready "
                            + gateway.isReady()
                            + ", alive "
                            + gateway.isAlive());
        }
        return judge(lab, visits) && gateway.isAlive();
    }

    /** CONFIG: of the requests unanswered at the timeout, half are answered half a second later. */
    private static boolean judge(Lab lab, List<Visit> visits) {
        int unanswered = 0;
        int stillUnanswered = 0;
        synchronized (visits) {
            for (Visit visit : visits) {
                boolean isAnswered = visit.answerMillis() > 0;
                long took = visit.answerMillis() - visit.sentMillis();
                unanswered += !isAnswered || took > TIMEOUT_MILLIS ? 1 : 0;
                stillUnanswered += !isAnswered || took > TIMEOUT_MILLIS + 500 ? 1 : 0;
            }
            lab.record(
                    visits.size()
                            + " small requests; "
                            + unanswered
                            + " had no answer at their timeout of 0.8 s, "
                            + stillUnanswered
                            + " none half a second later either");
        }
        return unanswered < 8 || stillUnanswered * 2 <= unanswered;
    }

    private static void visit(Lab lab, Lab.Gateway gateway, List<Visit> visits) {
        while (true) {
            long sent = lab.millis();
            long answered = 0;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Http.LOOPBACK, gateway.front), 1_000);
                Http.call(
                        socket,
                        DEADLINE_MILLIS,
                        "POST /visit/x",
                        new byte[100],
                        "Host",
                        Site.HOST,
                        "Sesamedeck-Request-Id",
                        Client.nextIdentifier(),
                        "Sesamedeck-Deadline-Ms",
                        String.valueOf(DEADLINE_MILLIS));
                answered = lab.millis();
            } catch (Exception noAnswer) {
                // Counts as unanswered.
            }
            synchronized (visits) {
                visits.add(new Visit(sent, answered));
            }
            Lab.sleep(50);
        }
    }

    private static void upload(Lab.Gateway gateway, AtomicInteger uploaded, AtomicBoolean goesOn) {
        while (goesOn.get()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Http.LOOPBACK, gateway.front), 1_000);
                socket.setSoTimeout(10_000);
                OutputStream out = socket.getOutputStream();
                out.write(
                        Http.head(
                                "POST /upload/x HTTP/1.1",
                                "Host",
                                Site.HOST,
                                "Sesamedeck-Request-Id",
                                Client.nextIdentifier(),
                                "Sesamedeck-Deadline-Ms",
                                "10000",
                                "Content-Length",
                                String.valueOf(BODY_BYTES)));
                for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
                    out.write(new byte[PART_BYTES]);
                    Lab.sleep(PART_MILLIS);
                }
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Optional<Http.Message> answer = Http.read(in, true);
                if (answer.isPresent() && answer.get().status() == 200) {
                    uploaded.incrementAndGet();
                }
            } catch (Exception failed) {
                Lab.sleep(200);
            }
        }
    }
}
