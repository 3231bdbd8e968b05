import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two gateways before ten model servers. A few requests have a part under which each server crashes as
 * it begins to write the answer: it loses its power, or its process ends after the first event. The
 * server is back after some seconds, under a new id.
 */
final class SilentCrash {
    private static final String DEADLY = "dead0001";
    private static final int STABLE_WINDOW_MILLIS = 4_000;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int RESTART_MILLIS = 6_000;
    private static final int TROUBLE_MILLIS = 22_000;
    private static final int RUN_MILLIS = 34_000;
    private static final int ALLOWED = 3;

    /** One request in 28 has the deadly part, less than a share of 0.05. */
    private static final int INTERVAL_MILLIS = 800;

    /** A request that is resumed takes down two servers; one in 67 has the deadly part. */
    private static final int INTERVAL_OF_RESUMED_MILLIS = 2_000;

    private static final int SOUND_INTERVAL_MILLIS = 30;
    private static final String[] ZONES = {"almaty-a", "astana-a", "shymkent-a"};

    private SilentCrash() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, (lab, hasTrouble) -> run(lab, hasTrouble, true));
    }

    static boolean run(Lab lab, boolean hasTrouble, boolean isSilent) throws Exception {
        int interval = isSilent ? INTERVAL_MILLIS : INTERVAL_OF_RESUMED_MILLIS;
        Store store = new Store(lab);
        store.put("config", "main", Site.configuration(7, Site.streamRoute()));
        List<Long> crashes = new ArrayList<>();
        AtomicInteger next = new AtomicInteger(10);
        for (int i = 0; i < 10; i++) {
            start(lab, store, i < 3 ? "prefill" : "decode", next, isSilent, crashes);
        }
        List<Lab.Gateway> gateways = new ArrayList<>();
        gateways.add(lab.gateway("front-0", "almaty-a", store.port()));
        gateways.add(lab.gateway("front-1", "astana-a", store.port()));
        for (Lab.Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        Lab.daemon(() -> load(lab, gateways, served, others));
        Lab.sleep(STABLE_WINDOW_MILLIS + 1_000);
        lab.record(served + " sound requests served, " + others + " not, before");
        int soundLostBefore = others.get();
        Set<String> deadly = ConcurrentHashMap.newKeySet();
        if (hasTrouble) {
            lab.record(
                    "requests with the deadly part come for 22 s, one each " + interval + " ms");
            Lab.daemon(
                    () -> {
                        for (int i = 0; i < TROUBLE_MILLIS / interval; i++) {
                            Lab.Gateway gateway = gateways.get(i % gateways.size());
                            Lab.daemon(() -> deadly.add(send(lab, gateway, DEADLY)[0]));
                            Lab.sleep(interval);
                        }
                    });
        }
        Lab.sleep(RUN_MILLIS);
        lab.record(crashes.size() + " servers crashed");
        int late = 0;
        if (crashes.size() >= 5) {
            long bound = crashes.get(4) + STABLE_WINDOW_MILLIS;
            for (Long crash : List.copyOf(crashes)) {
                late += crash > bound ? 1 : 0;
            }
            lab.record(
                    late
                            + " requests with the deadly part reached a server, and crashed it, later"
                            + " than 4 s after the fifth crash");
        }
        lab.record(
                (others.get() - soundLostBefore)
                        + " sound requests were not served meanwhile, "
                        + served
                        + " were served in all");
        if (served.get() < 100) {
            throw new IllegalStateException("the load was not served");
        }
        return late <= ALLOWED;
    }

    private static void start(
            Lab lab,
            Store store,
            String stage,
            AtomicInteger next,
            boolean isSilent,
            List<Long> crashes)
            throws Exception {
        int number = next.getAndIncrement();
        String zone = ZONES[number % ZONES.length];
        ModelServer server =
                new ModelServer(lab, store, "i-" + number, zone, stage, new ArrayList<>());
        server.crashesSilently = isSilent;
        server.deadlyPart = DEADLY;
        server.onCrash =
                request -> {
                    synchronized (crashes) {
                        crashes.add(lab.millis());
                    }
                    lab.record(
                            server.id
                                    + (isSilent ? " loses its power" : " crashes after an event")
                                    + " under "
                                    + request);
                    Lab.daemon(() -> replace(lab, store, server, stage, next, isSilent, crashes));
                };
    }

    /** Its entry is gone after three heartbeats; after some seconds it is back as a new one. */
    private static void replace(
            Lab lab,
            Store store,
            ModelServer server,
            String stage,
            AtomicInteger next,
            boolean isSilent,
            List<Long> crashes) {
        Lab.sleep(3L * HEARTBEAT_MILLIS);
        store.remove("servers", server.id);
        Lab.sleep(RESTART_MILLIS - 3L * HEARTBEAT_MILLIS);
        try {
            start(lab, store, stage, next, isSilent, crashes);
        } catch (Exception failure) {
            lab.record("cannot start again: " + failure);
        }
    }

    /** Sends as many sound requests a second as ever, whatever becomes of them. */
    private static void load(
            Lab lab, List<Lab.Gateway> gateways, AtomicInteger served, AtomicInteger others) {
        for (int i = 0; true; i++) {
            Lab.Gateway gateway = gateways.get(i % gateways.size());
            String part = "a" + Long.toHexString((long) (Math.random() * 8));
            Lab.daemon(
                    () ->
                            (send(lab, gateway, part)[1].equals("200") ? served : others)
                                    .incrementAndGet());
            Lab.sleep(SOUND_INTERVAL_MILLIS);
        }
    }

    /** Sends a request with the usual first part, a shared second one and one of its own. */
    private static String[] send(Lab lab, Lab.Gateway gateway, String part) {
        String id = Client.nextIdentifier();
        String status = "none";
        try {
            Http.Message answer =
                    Http.call(
                            gateway.front,
                            10_500,
                            "POST " + Site.STREAM_PATH + "x",
                            "{}".getBytes(),
                            "Host",
                            Site.HOST,
                            "Sesamedeck-Request-Id",
                            id,
                            "Sesamedeck-Model",
                            "m",
                            "Sesamedeck-Token-Counts",
                            "1800,60",
                            "Sesamedeck-Prompt-Prefix",
                            "5c1e07a2:341,"
                                    + part
                                    + ":512,"
                                    + Long.toHexString((long) (Math.random() * 1e12))
                                    + ":947",
                            "Sesamedeck-Deadline-Ms",
                            "10000");
            status = answer.isComplete() ? String.valueOf(answer.status()) : "cut";
        } catch (Exception failure) {
            status = String.valueOf(failure);
        }
        if (part.equals(DEADLY)) {
            lab.record("the request with the deadly part, " + id + ", ends: " + status);
        }
        return new String[] {id, status};
    }
}
