import java.util.ArrayList;
import java.util.List;

/**
 * Two gateways before two servers. Another writer leaves an entry of kind servers whose bytes are no
 * JSON: its number of slots is written in the digits of another language. Then a route is added.
 */
final class UnreadableEntry {
    private static final int CONFIG_APPLY_MILLIS = 2_500;
    private static final int STABLE_WINDOW_MILLIS = 4_000;
    private static final int ROUNDS = 8;

    private UnreadableEntry() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, UnreadableEntry::run);
    }

    private static boolean run(Lab lab, boolean hasTrouble) throws Exception {
        Store store = new Store(lab);
        String oldRoute = Site.plainRoute("old", "/old/", "safe", Site.APP_SERVICE);
        String newRoute = Site.plainRoute("new", "/new/", "safe", Site.APP_SERVICE);
        store.put("config", "main", Site.configuration(7, oldRoute));
        AppServer first = new AppServer(lab, store, "i-1", Site.APP_SERVICE, "almaty-a");
        new AppServer(lab, store, "i-2", Site.APP_SERVICE, "astana-a");
        List<Lab.Gateway> gateways = new ArrayList<>();
        gateways.add(lab.gateway("front-0", "almaty-a", store.port()));
        gateways.add(lab.gateway("front-1", "astana-a", store.port()));
        for (Lab.Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        Lab.sleep(STABLE_WINDOW_MILLIS + 1_000);
        for (Lab.Gateway gateway : gateways) {
            Client.Result result = Client.send(lab, gateway, "GET", "/old/x", 1_500);
            lab.record(gateway.name + ": GET /old/x -> " + result.status());
            if (result.status() != 200) {
                throw new IllegalStateException("not served before the disruption");
            }
        }
        if (hasTrouble) {
            String bytes = first.spec("ready", "\u0666\u0664");
            store.put("servers", "foreign", bytes);
            lab.record("another writer leaves servers/foreign: " + bytes);
        }
        Lab.sleep(1_000);
        store.put("config", "main", Site.configuration(9, oldRoute, newRoute));
        long acknowledged = lab.millis();
        lab.record("the store acknowledges version 9, which adds /new/");
        Lab.sleep(CONFIG_APPLY_MILLIS + 100);
        int broken = 0;
        int unanswered = 0;
        for (int i = 0; i < ROUNDS; i++) {
            for (Lab.Gateway gateway : gateways) {
                boolean isReady = gateway.isReady();
                Client.Result result = Client.send(lab, gateway, "GET", "/new/x", 1_500);
                lab.record(
                        gateway.name
                                + ": GET /new/x sent "
                                + (result.sentMillis() - acknowledged)
                                + " ms after the acknowledgement -> "
                                + result.status()
                                + ", readiness "
                                + (isReady ? "200" : "not answered within 1 s"));
                broken += result.status() == 404 ? 1 : 0;
                unanswered += isReady ? 0 : 1;
            }
            Lab.sleep(200);
        }
        for (Lab.Gateway gateway : gateways) {
            lab.record(
                    gateway.name
                            + ": processor time "
                            + gateway.process().info().totalCpuDuration().orElseThrow());
        }
        lab.record(broken + " of " + 2 * ROUNDS + " requests were answered 404 after the bound");
        lab.record(unanswered + " of " + 2 * ROUNDS + " questions for readiness had no answer");
        return broken == 0;
    }
}
