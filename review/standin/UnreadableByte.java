import java.util.ArrayList;
import java.util.List;

/**
 * One gateway before two servers. Another writer leaves an entry of kind servers with a byte that no
 * JSON text has. Then one of the two servers drains and exits.
 */
final class UnreadableByte {
    private static final int STABLE_WINDOW_MILLIS = 4_000;
    private static final int DRAIN_MILLIS = 2_500;

    /** A draining server serves on for the drain time and a little longer. */
    private static final int LINGER_MILLIS = 6_000;

    private static final int CLIENTS = 6;

    private UnreadableByte() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, UnreadableByte::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        store.put(
                "config",
                "main",
                Site.configuration(
                        7, Site.plainRoute("visit", "/visit/", "unsafe", Site.APP_SERVICE)));
        AppServer leaving = new AppServer(lab, store, "i-1", Site.APP_SERVICE, "almaty-a");
        AppServer staying = new AppServer(lab, store, "i-2", Site.APP_SERVICE, "almaty-a");
        leaving.workMillis = 100;
        staying.workMillis = 100;
        Lab.Gateway gateway = lab.gateway("front-0", "almaty-a", store.port());
        gateway.awaitReady();
        Lab.sleep(STABLE_WINDOW_MILLIS);
        List<Client.Result> results = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Lab.daemon(() -> load(lab, gateway, results));
        }
        Lab.sleep(1_000);
        if (hasTrouble) {
            String bytes = leaving.spec("ready", "64").replace("v1", "v\u0001");
            store.put("servers", "foreign", bytes);
            lab.record("another writer leaves servers/foreign, whose version has a byte 01");
        }
        Lab.sleep(3_000);
        leaving.register("draining");
        long acknowledged = lab.millis();
        lab.record("the store acknowledges that i-1 is draining");
        Lab.sleep(LINGER_MILLIS);
        leaving.close();
        store.remove("servers", "i-1");
        lab.record("i-1 exits, its entry is removed");
        Lab.sleep(2_000);
        int late = 0;
        int lost = 0;
        int served = 0;
        synchronized (results) {
            for (Client.Result result : results) {
                served += result.status() == 200 ? 1 : 0;
                Long reached = leaving.runs.get(result.identifier());
                if (reached != null && reached > acknowledged + DRAIN_MILLIS) {
                    late++;
                    lost += result.status() == 200 ? 0 : 1;
                }
            }
        }
        lab.record(served + " requests were served");
        lab.record(
                late
                        + " unsafe requests reached i-1 more than 2.5 s after the acknowledgement; "
                        + lost
                        + " of them were running as it exited and are lost");
        Lab.Gateway second = lab.gateway("front-1", "astana-a", store.port());
        Lab.sleep(15_000);
        lab.record(
                "a gateway that was started 15 s ago is "
                        + (second.isReady() ? "ready" : "not ready, with the store sound"));
        if (served < 100) {
            throw new IllegalStateException("the load was not served");
        }
        return late == 0;
    }

    private static void load(Lab lab, Lab.Gateway gateway, List<Client.Result> results) {
        while (true) {
            Client.Result result = Client.send(lab, gateway, "POST", "/visit/x", 1_500);
            synchronized (results) {
                results.add(result);
            }
            Lab.sleep(30);
        }
    }
}
