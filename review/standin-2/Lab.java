import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: gateways as processes of their own, started with the command and the
 * template of the deploy file, a store, and the record of a case.
 */
final class Lab implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "ficu95.example";
    static final String ENGINES = "huvo11a";
    static final String SERVERS = "wuno96b";

    private static final long START_NANOS = System.nanoTime();

    final MiniStore store = new MiniStore();
    private final PrintWriter mRecord;
    private final Path mFolder;
    private final List<Gateway> mGateways = new ArrayList<>();
    private long mVersion;

    /** A case: returns 1 if the rule was broken and 0 if it held. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case, ends all processes that it started, and exits with its result; 2 if it fails. */
    static void runCase(String record, Case tested) {
        int status = 2;
        try (Lab lab = new Lab(Path.of(record))) {
            Runtime.getRuntime().addShutdownHook(new Thread(lab::endGateways));
            try {
                status = tested.run(lab);
            } catch (Exception failure) {
                lab.record("the case could not run: " + failure);
            }
        } catch (Exception failure) {
            System.err.println("the case could not run: " + failure);
            status = 2;
        }
        System.exit(status);
    }

    /** A gateway process. */
    record Gateway(String name, int callers, int status, Process process, Path output) {}

    Lab(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record));
        mFolder = Files.createTempDirectory("review-lab");
    }

    static Thread daemon(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    /** Returns whether the disruption of the case shall happen. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Writes a line with the time to the record. */
    synchronized void record(String text) {
        mRecord.println(String.format("%8.3f s  %s", millis() / 1e3, text));
        mRecord.flush();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the configuration of a small deployment: two kinds of streams and two plain ones. */
    ObjectNode configuration() {
        ObjectNode spec = JSON.createObjectNode();
        spec.put("version", ++mVersion);
        ArrayNode routes = spec.putArray("routes");
        stream(routes, "long", 10_000, 2, true);
        stream(routes, "note", 8_000, 1, false);
        plain(routes, "once", "unsafe");
        plain(routes, "safe", "safe");
        ArrayNode services = spec.putArray("services");
        ObjectNode engines = services.addObject();
        engines.put("name", ENGINES).put("health_path", "/health").put("max_connections", 370);
        engines.put("protocol", "h1").put("tls", false);
        engines.putObject("engine")
                .put("slots", 64)
                .put("kv_tokens", 514_636)
                .put("kv_token_bytes", 35_136)
                .put("link_mbps", 1_100_000.0)
                .put("kv_hold_s", 5.0)
                .put("switch_s", 3.0)
                .putArray("models")
                .addObject()
                .put("name", "m");
        services.addObject()
                .put("name", SERVERS)
                .put("health_path", "/health")
                .put("max_connections", 110)
                .put("protocol", "h1")
                .put("tls", false);
        spec.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 4_194_304)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
        return spec;
    }

    private static void stream(
            ArrayNode routes, String name, int timeout, int attempts, boolean mayResume) {
        routes.addObject()
                .put("name", "r-" + name)
                .put("host", HOST)
                .put("path_prefix", "/" + name + "/")
                .put("kind", "stream")
                .put("timeout_ms", timeout)
                .put("target_latency_ms", 800)
                .put("priority", 1)
                .put("service", ENGINES)
                .put("max_attempts", attempts)
                .put("sticky", true)
                .put("can_resume", mayResume)
                .put("gap_target_ms", 300);
    }

    private static void plain(ArrayNode routes, String name, String kind) {
        routes.addObject()
                .put("name", "r-" + name)
                .put("host", HOST)
                .put("path_prefix", "/" + name + "/")
                .put("kind", kind)
                .put("timeout_ms", 1_500)
                .put("target_latency_ms", 150)
                .put("priority", 2)
                .put("service", SERVERS)
                .put("max_attempts", 2);
    }

    /** Registers a plain server in the store. */
    void registerServer(String id, int port) {
        store.put("servers", id, entry(SERVERS, port, 6));
    }

    /** Registers an engine in the store. */
    void registerEngine(String id, int port, String stage) {
        ObjectNode spec = entry(ENGINES, port, 64).put("stage", stage);
        ObjectNode model = spec.putArray("models").addObject().put("name", "m").put("version", 1);
        model.putArray("adapters");
        store.put("servers", id, spec);
    }

    private static ObjectNode entry(String service, int port, int slots) {
        return JSON.createObjectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", "almaty-a")
                .put("version", "v1")
                .put("slots", slots)
                .put("state", "ready")
                .put("cold_remaining_ms", 0)
                .put("sequence", 1);
    }

    /** Starts a gateway with the command of the deploy file and returns it when it is ready. */
    Gateway startGateway(String name) throws Exception {
        int callers = freePort();
        int status = freePort();
        Map<String, String> fields = new HashMap<>();
        fields.put("node_name", name);
        fields.put("zone", "almaty-a");
        fields.put("region", "almaty");
        fields.put("ip", "127.0.0.1");
        fields.put("listen.front", "127.0.0.1:" + callers);
        fields.put("listen.ready", "127.0.0.1:" + status);
        fields.put("internal_port_range.0", String.valueOf(freePort()));
        fields.put("platform.address", "127.0.0.1:" + store.port());
        fields.put("bounds.stable_window_ms", "4000");
        fields.put("bounds.config_apply_ms", "2500");
        fields.put("bounds.drain_ms", "2500");
        fields.put("bounds.retry_budget_ratio", "0.2");
        fields.put("bounds.retry_budget_slack", "56");
        fields.put("bounds.grace_s", "8");
        fields.put("limits.max_fds", "4100");
        String template = Files.readString(Path.of("deploy/gateway.ini.template"));
        Files.writeString(mFolder.resolve(name + ".ini"), fill(template, fields));
        return start(name, callers, status);
    }

    private Gateway start(String name, int callers, int status) throws Exception {
        Path settings = mFolder.resolve(name + ".ini");
        Path output = mFolder.resolve(name + ".out");
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().clear();
        for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (System.getenv(variable) != null) {
                builder.environment().put(variable, System.getenv(variable));
            }
        }
        builder.environment().put("SESAMEDECK_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(output.toFile());
        Gateway gateway = new Gateway(name, callers, status, builder.start(), output);
        mGateways.add(gateway);
        long end = System.nanoTime() + 20_000_000_000L;
        while (!isReady(gateway)) {
            if (System.nanoTime() > end || !gateway.process().isAlive()) {
                throw new IOException("gateway does not start: " + Files.readString(output));
            }
            Thread.sleep(50);
        }
        record("gateway " + name + " is ready, process " + gateway.process().pid());
        return gateway;
    }

    /** Kills a gateway and starts it again with the same settings, as the platform does. */
    Gateway restart(Gateway killed) throws Exception {
        killed.process().destroyForcibly().waitFor();
        Thread.sleep(500);
        return start(killed.name(), killed.callers(), killed.status());
    }

    /** Returns the command that the deploy file states for the gateway. */
    private static List<String> command() throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(text);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        return List.of(run.group(1).split(" "));
    }

    /** Fills in the template; sections of what a small deployment lacks are left out. */
    private static String fill(String template, Map<String, String> fields) {
        String text = template.replaceAll("(?s)\\{\\{#cloud_api\\.address}}.*\\{\\{/cloud_api\\.address}}", "");
        text = text.replaceAll("(?s)\\{\\{#zones}}.*?\\{\\{/zones}}", "almaty-a:almaty");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        return text;
    }

    static boolean isReady(Gateway gateway) {
        try (Socket socket = new Socket("127.0.0.1", gateway.status())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(
                            "GET /v1/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return Message.read(socket.getInputStream(), true)
                    .map(answer -> answer.status() == 200)
                    .orElse(false);
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Copies the last lines that a gateway has written to the record. */
    void recordOutput(Gateway gateway, int lines) throws IOException {
        List<String> all = Files.readAllLines(gateway.output());
        for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
            record("  " + gateway.name() + " wrote: " + line);
        }
    }

    private void endGateways() {
        mGateways.forEach(gateway -> gateway.process().destroyForcibly());
    }

    @Override
    public void close() throws Exception {
        endGateways();
        for (Gateway gateway : mGateways) {
            gateway.process().waitFor();
            Files.deleteIfExists(mFolder.resolve(gateway.name() + ".ini"));
            Files.deleteIfExists(gateway.output());
        }
        store.close();
        Files.deleteIfExists(mFolder);
        mRecord.close();
    }
}
