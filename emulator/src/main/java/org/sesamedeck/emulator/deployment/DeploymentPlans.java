package org.sesamedeck.emulator.deployment;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** The two deployments of section 1.1 of the design, with sample configuration lists. */
public final class DeploymentPlans {
    private static final int NODES = 8;
    private static final int ENGINES = 8;
    private static final int SERVICES = 3;

    private DeploymentPlans() {}

    /**
     * Returns the deployment with the given name.
     *
     * @throws IllegalArgumentException if there is no such deployment
     */
    public static DeploymentPlan of(String name) {
        switch (name) {
            case "zitouna":
                return zitouna();
            case "qoima":
                return qoima();
            default:
                throw new IllegalArgumentException(
                        "unknown deployment "
                                + name
                                + "; available deployments: zitouna and qoima");
        }
    }

    /** Returns the plan of the deployment zitouna, the recipe testing router. */
    public static DeploymentPlan zitouna() {
        List<String> regions = List.of("tunis", "sfax", "sousse");
        List<String> keys = List.of("key-tunis-kitchen", "key-sfax-kitchen", "key-sousse-press");
        String plans =
                planSection("kitchens", 60, 6)
                        + planSection("press", 40, 4)
                        + clientAccountSection("tunis-kitchen", "kitchens", keys.get(0))
                        + clientAccountSection("sfax-kitchen", "kitchens", keys.get(1))
                        + clientAccountSection("sousse-press", "press", keys.get(2));
        List<String> models = List.of("house-judge", "notes-writer");
        String entitlements =
                entitlementSection("kitchens", models, "cookbook-app", regions)
                        + entitlementSection("press", models, "cookbook-app", regions);
        return new DeploymentPlan(
                "zitouna",
                regions,
                "tasting-models",
                models,
                "cookbook-app",
                NODES,
                ENGINES,
                SERVICES,
                1.0,
                plans,
                entitlements,
                keys,
                List.of());
    }

    /** Returns the plan of the deployment qoima, the pump check desk. */
    public static DeploymentPlan qoima() {
        List<String> regions = List.of("almaty", "astana", "shymkent");
        List<String> keys = List.of("key-almaty-desk", "key-astana-desk", "key-shymkent-sensors");
        String plans =
                planSection("desks", 70, 6)
                        + planSection("sensors", 30, 4)
                        + clientAccountSection("almaty-desk", "desks", keys.get(0))
                        + clientAccountSection("astana-desk", "desks", keys.get(1))
                        + clientAccountSection("shymkent-sensors", "sensors", keys.get(2));
        List<String> models = List.of("pump-judge", "log-reader");
        String entitlements =
                entitlementSection("desks", models, "visit-app", regions)
                        + entitlementSection("sensors", models, "visit-app", regions);
        return new DeploymentPlan(
                "qoima",
                regions,
                "pump-models",
                models,
                "visit-app",
                NODES,
                ENGINES,
                SERVICES,
                0.2,
                plans,
                entitlements,
                keys,
                List.of());
    }

    private static String planSection(String name, int share, int priority) {
        return "[plan "
                + name
                + "]\nshare = "
                + share
                + "\npriority = "
                + priority
                + "\nrequests-per-minute = 60000\ntokens-per-minute = 40000000\n"
                + "concurrent-requests = 1000\nfirst-token-goal = 450ms\n"
                + "token-interval-goal = 31ms\n\n";
    }

    private static String clientAccountSection(String name, String plan, String key) {
        return "[customer " + name + "]\nplan = " + plan + "\nkey-sha256 = " + sha256(key) + "\n\n";
    }

    private static String entitlementSection(
            String plan, List<String> models, String service, List<String> regions) {
        return "[plan "
                + plan
                + "]\nmodels = "
                + String.join(", ", models)
                + "\nservices = "
                + service
                + "\nregions = "
                + String.join(", ", regions)
                + "\n\n";
    }

    private static String sha256(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
