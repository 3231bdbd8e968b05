import java.util.ArrayList;
import java.util.List;

/**
 * One gateway before two servers. The store cuts off the watches that wait, twice, 4.6 s apart, and
 * serves all else. Between the two, one of the servers leaves without reporting that it drains.
 */
final class CutWatches {
    private static final int STABLE_WINDOW_MILLIS = 4_000;
    private static final int DRAIN_MILLIS = 2_500;
    private static final int TRANSIT_MILLIS = 100;

    /** The entry goes more than the stable window after the first cut. */
    private static final int FIRST_CUT_TO_REMOVAL_MILLIS = 4_200;

    private static final int REMOVAL_TO_SECOND_CUT_MILLIS = 400;

    /** The server serves on for the drain time and a little longer. */
    private static final int LINGER_MILLIS = 5_000;

    private static final int CLIENTS = 12;

    private CutWatches() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, CutWatches::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        store.put(
                "config",
                "main",
                Site.configuration(
                        7, Site.plainRoute("book", "/book/", "unsafe", Site.APP_SERVICE)));
        AppServer leaving = new AppServer(lab, store, "i-1", Site.APP_SERVICE, "almaty-a");
        leaving.workMillis = 100;
        new AppServer(lab, store, "i-2", Site.APP_SERVICE, "almaty-a").workMillis = 100;
        Lab.Gateway gateway = lab.gateway("front-0", "almaty-a", store.port());
        gateway.awaitReady();
        Lab.sleep(STABLE_WINDOW_MILLIS + 2_000);
        List<Client.Result> results = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Lab.daemon(() -> load(lab, gateway, results));
        }
        Lab.sleep(1_000);
        cut(lab, store, hasTrouble);
        Lab.sleep(FIRST_CUT_TO_REMOVAL_MILLIS);
        store.remove("servers", leaving.id);
        long removed = lab.millis();
        lab.record("i-1 leaves: the store removes its entry and acknowledges that");
        Lab.sleep(REMOVAL_TO_SECOND_CUT_MILLIS);
        cut(lab, store, hasTrouble);
        long lastCut = lab.millis();
        Lab.sleep(removed + LINGER_MILLIS - lab.millis());
        leaving.close();
        lab.record("i-1 exits");
        Lab.sleep(4_000);
        List<Client.Result> all;
        synchronized (results) {
            all = List.copyOf(results);
        }
        int late = 0;
        int lateAfterWindow = 0;
        int lost = 0;
        long last = 0;
        for (Client.Result result : all) {
            Long reached = leaving.runs.get(result.identifier());
            last = Math.max(last, reached == null ? 0 : reached);
            if (reached != null && reached > removed + DRAIN_MILLIS) {
                late++;
                lost += result.status() == 200 ? 0 : 1;
                boolean isAfterWindow =
                        result.sentMillis() > lastCut + STABLE_WINDOW_MILLIS + TRANSIT_MILLIS;
                lateAfterWindow += isAfterWindow ? 1 : 0;
            }
        }
        long other = all.stream().filter(result -> result.status() != 200).count() - lost;
        lab.record(all.size() + " unsafe requests; " + other + " others without a 200");
        lab.record(late + " reached i-1 more than 2.5 s after the acknowledgement");
        lab.record("the last one reached i-1 " + (last - removed) + " ms after it");
        lab.record(lateAfterWindow + " of them were sent more than 4.1 s after the second cut");
        lab.record(lost + " of them were running as i-1 exited and are lost");
        // Also where a cut counts as a reset of the machine's connections, the rule holds for these.
        return lateAfterWindow == 0;
    }

    private static void cut(Lab lab, Store store, boolean hasTrouble) throws InterruptedException {
        if (hasTrouble) {
            store.cutWatches("servers");
            lab.record("the store cuts off the watches that wait");
        }
    }

    private static void load(Lab lab, Lab.Gateway gateway, List<Client.Result> results) {
        while (true) {
            Client.Result result = Client.send(lab, gateway, "POST", "/book/x", 1_500);
            synchronized (results) {
                results.add(result);
            }
            Lab.sleep(30);
        }
    }
}
