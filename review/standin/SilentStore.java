import java.util.ArrayList;
import java.util.List;

/**
 * One gateway before two servers of one service and one of another. All open connections to the
 * store go silent for good, new ones work. Half a second later the operator moves a route to the
 * other service, and one server begins to drain.
 */
final class SilentStore {
    private static final int STABLE_WINDOW_MILLIS = 4_000;
    private static final int CONFIG_APPLY_MILLIS = 2_500;
    private static final int DRAIN_MILLIS = 2_500;
    private static final int TRANSIT_MILLIS = 100;

    /** A draining server serves on for the drain time and a little longer. */
    private static final int LINGER_MILLIS = 5_300;

    private static final int CLIENTS = 6;

    private SilentStore() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, SilentStore::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        SilentProxy proxy = new SilentProxy(store.port());
        String kept = Site.plainRoute("kept", "/kept/", "unsafe", Site.APP_SERVICE);
        store.put(
                "config",
                "main",
                Site.configuration(
                        7, kept, Site.plainRoute("moved", "/moved/", "safe", "old-app")));
        AppServer leaving = new AppServer(lab, store, "i-1", Site.APP_SERVICE, "almaty-a");
        leaving.workMillis = 100;
        new AppServer(lab, store, "i-2", Site.APP_SERVICE, "almaty-a").workMillis = 100;
        AppServer old = new AppServer(lab, store, "i-3", "old-app", "almaty-a");
        new AppServer(lab, store, "i-4", "new-app", "almaty-a");
        Lab.Gateway gateway = lab.gateway("front-0", "almaty-a", proxy.port());
        gateway.awaitReady();
        Lab.sleep(STABLE_WINDOW_MILLIS + 2_000);
        List<Client.Result> results = new ArrayList<>();
        long silent = lab.millis();
        if (hasTrouble) {
            lab.record("all " + proxy.silence() + " open connections to the store go silent");
        }
        Lab.sleep(500);
        store.put(
                "config",
                "main",
                Site.configuration(
                        9, kept, Site.plainRoute("moved", "/moved/", "safe", "new-app")));
        leaving.register("draining");
        long acknowledged = lab.millis();
        lab.record("the store acknowledges version 9 and that i-1 is draining");
        for (int client = 0; client < CLIENTS; client++) {
            Lab.daemon(() -> load(lab, gateway, results));
        }
        Lab.sleep(acknowledged + LINGER_MILLIS - lab.millis());
        leaving.close();
        lab.record("i-1 exits");
        Lab.sleep(silent + 12_000 - lab.millis());
        long inTouch = silent + STABLE_WINDOW_MILLIS + TRANSIT_MILLIS;
        int byOldVersion = 0;
        int atLeaving = 0;
        int lost = 0;
        long last = 0;
        List<Client.Result> all;
        synchronized (results) {
            all = List.copyOf(results);
        }
        for (Client.Result result : all) {
            boolean isInTouch = result.sentMillis() > inTouch;
            if (isInTouch
                    && result.sentMillis() > acknowledged + CONFIG_APPLY_MILLIS
                    && old.runs.containsKey(result.identifier())) {
                byOldVersion++;
                last = result.sentMillis();
            }
            Long reached = leaving.runs.get(result.identifier());
            if (isInTouch && reached != null && reached > acknowledged + DRAIN_MILLIS) {
                atLeaving++;
                lost += result.status() == 200 ? 0 : 1;
                last = result.sentMillis();
            }
        }
        lab.record(all.size() + " requests");
        lab.record(
                byOldVersion
                        + " requests, sent more than 4.1 s after the silence and 2.5 s after the"
                        + " acknowledgement, were run by the old service");
        lab.record(
                atLeaving
                        + " such requests reached the draining server more than 2.5 s after the"
                        + " acknowledgement; "
                        + lost
                        + " of them, all unsafe, were running as it exited and are lost");
        lab.record("the last of them was sent " + (last - silent) + " ms after the silence");
        return byOldVersion == 0 && atLeaving == 0;
    }

    private static void load(Lab lab, Lab.Gateway gateway, List<Client.Result> results) {
        while (true) {
            Client.Result moved = Client.send(lab, gateway, "GET", "/moved/x", 1_500);
            Client.Result kept = Client.send(lab, gateway, "POST", "/kept/x", 1_500);
            synchronized (results) {
                results.add(moved);
                results.add(kept);
            }
            Lab.sleep(40);
        }
    }
}
