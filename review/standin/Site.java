/** The configuration of the scripts: a small deployment with one host of clients. */
final class Site {
    static final String HOST = "desk.example";
    static final String STREAM_PATH = "/judge/";
    static final String APP_SERVICE = "visits";

    private Site() {}

    static String route(String name, String prefix, String kind, String service, String more) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\""
                + HOST
                + "\",\"path_prefix\":\""
                + prefix
                + "\",\"kind\":\""
                + kind
                + "\",\"service\":\""
                + service
                + "\","
                + more
                + "}";
    }

    static String streamRoute() {
        return route(
                "judge",
                STREAM_PATH,
                "stream",
                ModelServer.SERVICE,
                "\"timeout_ms\":10000,\"target_latency_ms\":800,\"priority\":2,"
                        + "\"max_attempts\":2,\"sticky\":true,\"can_resume\":true,"
                        + "\"gap_target_ms\":300");
    }

    static String plainRoute(String name, String prefix, String kind, String service) {
        return plainRoute(name, prefix, kind, service, 5_000);
    }

    static String plainRoute(
            String name, String prefix, String kind, String service, int timeoutMillis) {
        return route(
                name,
                prefix,
                kind,
                service,
                "\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":150,\"priority\":2,"
                        + "\"max_attempts\":2");
    }

    static String configuration(int version, String... routes) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + String.join(",", routes)
                + "],\"services\":[{\"name\":\""
                + ModelServer.SERVICE
                + "\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_tokens\":514636,"
                + "\"kv_token_bytes\":35136,\"switch_s\":3.0,\"kv_hold_s\":5.0,"
                + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\""
                + APP_SERVICE
                + "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
