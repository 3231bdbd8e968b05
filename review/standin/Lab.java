import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all scripts share: the record, the programs under test and the end of a run. */
final class Lab implements AutoCloseable {
    static final int EXIT_HELD = 0;
    static final int EXIT_BROKEN = 1;
    static final int EXIT_COULD_NOT_RUN = 2;

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mRecord;
    private final Path mWork;
    private final List<Gateway> mGateways = new ArrayList<>();
    private final List<Process> mHelpers = new ArrayList<>();

    /** A script; returns whether the rule held. */
    interface Script {
        boolean run(Lab lab, boolean hasTrouble) throws Exception;
    }

    private Lab(Path folder) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        mWork = Files.createTempDirectory("review");
    }

    /** Runs a script, writes its record and ends the process with the exit code of its result. */
    static void main(String[] arguments, Script script) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = EXIT_COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
            lab.record("run with" + (hasTrouble ? "" : "out") + " the disruption");
            boolean held = script.run(lab, hasTrouble);
            lab.record(held ? "the rule held" : "THE RULE WAS BROKEN");
            System.out.println(held ? "held" : "broken");
            exit = held ? EXIT_HELD : EXIT_BROKEN;
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }

    synchronized void record(String line) {
        mRecord.println(String.format(Locale.ROOT, "%9.3f  %s", millis() / 1e3, line));
    }

    /** A gateway process, started with the command and the template of the deploy file. */
    final class Gateway {
        final String name;
        final int front;
        final int ready;
        private final Path mSettings;
        private Process mProcess;

        private Gateway(String name, String zone, int storePort) throws IOException {
            this.name = name;
            front = freePort();
            ready = freePort();
            mSettings = mWork.resolve(name + ".ini");
            Map<String, String> values = new HashMap<>();
            values.put("node_name", name);
            values.put("zone", zone);
            values.put("region", zone.split("-")[0]);
            values.put("listen.front", "127.0.0.1:" + front);
            values.put("listen.ready", "127.0.0.1:" + ready);
            values.put("ip", "127.0.0.1");
            values.put("internal_port_range.0", String.valueOf(freePort()));
            values.put("platform.address", "127.0.0.1:" + storePort);
            values.put("bounds.stable_window_ms", "4000");
            values.put("bounds.config_apply_ms", "2500");
            values.put("bounds.drain_ms", "2500");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.retry_budget_slack", "56");
            values.put("bounds.grace_s", "8");
            String text = Files.readString(Path.of("deploy/node.ini.template"));
            text =
                    text.replace(
                            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
                            "almaty-a:almaty,astana-a:astana,shymkent-a:shymkent");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            Files.writeString(mSettings, text);
        }

        void start() throws IOException {
            Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no command");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.environment().put("SESAMEDECK_CONFIG", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mWork.resolve(name + ".log").toFile()));
            mProcess = builder.start();
            record("started " + name + ", process " + mProcess.pid() + ", front " + front);
        }

        /** Returns whether the platform's question is answered with 200 within a second. */
        boolean isReady() {
            try {
                return Http.call(ready, 1_000, "GET /v1/readiness", new byte[0], "Host", "x")
                                .status()
                        == 200;
            } catch (IOException noAnswer) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 200; i++) {
                if (isReady()) {
                    return;
                }
                sleep(100);
            }
            throw new IllegalStateException(name + " does not become ready");
        }

        void terminate() {
            mProcess.destroy();
            record("SIGTERM to " + name);
        }

        void kill() {
            mProcess.destroyForcibly();
        }

        boolean isAlive() {
            return mProcess.isAlive();
        }

        Process process() {
            return mProcess;
        }

        String log() throws IOException {
            return Files.readString(mWork.resolve(name + ".log"));
        }
    }

    Gateway gateway(String name, String zone, int storePort) throws IOException {
        Gateway gateway = new Gateway(name, zone, storePort);
        gateway.start();
        mGateways.add(gateway);
        return gateway;
    }

    /** Starts a link with a delay and a small window before a port; returns its own port. */
    int link(int target) throws IOException {
        int port = freePort();
        mHelpers.add(
                new ProcessBuilder(
                                "python3",
                                "review/standin/link.py",
                                String.valueOf(port),
                                String.valueOf(target))
                        .inheritIO()
                        .start());
        sleep(1_000);
        return port;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket();
                    DatagramSocket datagrams = new DatagramSocket(port, Http.LOOPBACK)) {
                socket.bind(new InetSocketAddress(Http.LOOPBACK, port));
                return port;
            } catch (SocketException taken) {
                // Tries another one.
            }
        }
        throw new IOException("no free port");
    }

    /** Ends all processes that were started and deletes the temporary folder. */
    @Override
    public synchronized void close() {
        mGateways.forEach(Gateway::kill);
        mHelpers.forEach(Process::destroyForcibly);
        try {
            for (Gateway gateway : mGateways) {
                gateway.process().waitFor(5, TimeUnit.SECONDS);
            }
            if (Files.exists(mWork)) {
                if (System.getenv("KEEP_LOGS") != null) {
                    return;
                }
                try (var files = Files.list(mWork)) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
                Files.delete(mWork);
            }
        } catch (IOException | InterruptedException ignored) {
            // The folder is a temporary one.
        }
    }
}
