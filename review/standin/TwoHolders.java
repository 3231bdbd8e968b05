import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four gateways, eight model servers. The prompts get longer, so that all gateways want one more
 * server for prefill. The first two orders get no answer and are carried out late.
 */
final class TwoHolders {
    private static final int LEASE_MILLIS = 3_000;
    private static final int RUN_MILLIS = 45_000;
    private static final String[] ZONES = {"almaty-a", "astana-a", "shymkent-a"};

    private TwoHolders() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, TwoHolders::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        store.put("config", "main", Site.configuration(7, Site.streamRoute()));
        List<ModelServer.Order> orders = new ArrayList<>();
        List<ModelServer> servers = new ArrayList<>();
        AtomicInteger orderCount = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            String stage = i < 2 ? "prefill" : "decode";
            ModelServer server =
                    new ModelServer(
                            lab, store, "i-" + (i + 10), ZONES[i % ZONES.length], stage, orders);
            if (hasTrouble) {
                // The first two orders get no answer and are carried out 11.5 s later.
                server.lateOrders =
                        (id, number) -> orderCount.getAndIncrement() < 2 ? 11_500 : 0;
            }
            servers.add(server);
        }
        List<Lab.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            gateways.add(lab.gateway("front-" + i, ZONES[i % ZONES.length], store.port()));
            Lab.sleep(75);
        }
        for (Lab.Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        for (Lab.Gateway gateway : gateways) {
            for (int client = 0; client < 3; client++) {
                Lab.daemon(() -> load(gateway, served, others));
            }
        }
        Lab.sleep(6_000);
        lab.record("prompts take longer from now on");
        servers.forEach(server -> server.prefillMillis = 280);
        Lab.sleep(RUN_MILLIS);
        lab.record(served + " requests were served, " + others + " not");
        if (served.get() < 100) {
            throw new IllegalStateException("the load was not served");
        }
        return judge(lab, orders);
    }

    private static void load(Lab.Gateway gateway, AtomicInteger served, AtomicInteger others) {
        while (true) {
            try {
                Http.Message answer =
                        Http.call(
                                gateway.front,
                                11_000,
                                "POST " + Site.STREAM_PATH + "x",
                                "{}".getBytes(),
                                "Host",
                                Site.HOST,
                                "Sesamedeck-Request-Id",
                                UUID.randomUUID().toString().substring(0, 18).replace("-", ""),
                                "Sesamedeck-Model",
                                "m",
                                "Sesamedeck-Token-Counts",
                                "1800,60",
                                "Sesamedeck-Prompt-Prefix",
                                "5c1e07a2:341,"
                                        + Long.toHexString((long) (Math.random() * 1e12))
                                        + ":1459",
                                "Sesamedeck-Deadline-Ms",
                                "10000");
                (answer.status() == 200 ? served : others).incrementAndGet();
            } catch (Exception failed) {
                others.incrementAndGet();
            }
            Lab.sleep(60);
        }
    }

    /** ONE: on one server, orders of two holders within the lease are turns of two holders. */
    private static boolean judge(Lab lab, List<ModelServer.Order> orders) {
        boolean held = true;
        synchronized (orders) {
            lab.record(orders.size() + " orders arrived");
            for (ModelServer.Order later : orders) {
                for (ModelServer.Order earlier : orders) {
                    long gap = later.atMillis() - earlier.atMillis();
                    if (earlier.server().equals(later.server())
                            && !earlier.holder().equals(later.holder())
                            && gap >= 0
                            && gap < LEASE_MILLIS) {
                        lab.record(
                                "BROKEN: at "
                                        + later.server()
                                        + " an order of "
                                        + earlier.holder()
                                        + " (fence "
                                        + earlier.fence()
                                        + ") and "
                                        + gap
                                        + " ms later one of "
                                        + later.holder()
                                        + " (fence "
                                        + later.fence()
                                        + ")");
                        held = false;
                    }
                }
            }
        }
        return held;
    }
}
