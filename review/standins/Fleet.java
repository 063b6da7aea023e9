import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Routers of the project as separate processes, each with a loopback address of its own. */
final class Fleet implements AutoCloseable {
    private static final int FRONT_PORT = 8740;
    private static final int READY_PORT = 8749;
    private static final int PEER_PORT = 7200;
    private static final int METRICS_PORT = 9464;

    /** One router and its process. */
    final class Router {
        final String ip;
        private final Path settings;
        private final Path log;
        Process process;

        private Router(String ip) {
            this.ip = ip;
            settings = directory.resolve(ip + ".json");
            log = directory.resolve(ip + ".txt");
        }

        String front() {
            return ip + ":" + FRONT_PORT;
        }

        /** Starts the program with the command of the deploy file. */
        void start() throws IOException {
            Files.writeString(settings, Json.write(settingsOf(ip)));
            ProcessBuilder builder = new ProcessBuilder(runCommand()).directory(new File("."));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("LIMPETFOLD_NODE_FILE", settings.toString());
            process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        }

        boolean isReady() {
            try (Http.Client client = new Http.Client(ip + ":" + READY_PORT, 500)) {
                return client.call(new Http.Message("GET", "/readiness", "HTTP/1.1").header("Host", ip)).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long timeoutMillis) throws Exception {
            long end = System.currentTimeMillis() + timeoutMillis;
            while (!isReady()) {
                if (System.currentTimeMillis() > end) throw new Case.NotRun("router " + ip + " isn't ready; its log: " + log());
                Thread.sleep(100);
            }
        }

        String log() throws IOException {
            return Files.exists(log) ? Files.readString(log) : "";
        }
    }

    private final Path directory = Files.createTempDirectory("limpetfold-review");
    private final String storeAddress;
    private final String network;
    final List<Router> routers = new ArrayList<>();

    /** @param network the first three bytes of the loopback addresses of the routers, with a dot at the end. */
    Fleet(String network, String storeAddress) throws IOException {
        this.network = network;
        this.storeAddress = storeAddress;
    }

    /** Chooses a part of the loopback range in which the ports of the routers are free. */
    static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 100; i++) {
            String network = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            if (Stream.of(FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT).allMatch(port -> isFree(network + "1", port))) return network;
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts {@code count} routers at the same time, and waits until all are ready. */
    void start(int count) throws Exception {
        for (int i = 1; i <= count; i++) routers.add(new Router(network + i));
        for (Router router : routers) router.start();
        for (Router router : routers) router.awaitReady(30_000);
    }

    private static List<String> runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IOException("deploy/system.toml has no run line");
        return List.of(matcher.group(1).split(" "));
    }

    /** The settings of an instance as the platform fills in `deploy/settings.json`, with the bounds of the users' site. */
    private Map<String, Object> settingsOf(String ip) {
        return Json.of(
            "node", "edge-" + ip, "role", "router", "machineClass", "edge", "servedPlanes", List.of("edge"), "ip", ip,
            "zone", "z1", "region", "r1", "zones", Json.of("z1", "r1"),
            "listen", Json.of("front", ip + ":" + FRONT_PORT, "ready", ip + ":" + READY_PORT),
            "internalPorts", List.of((long) PEER_PORT, PEER_PORT + 15L), "seedAddrs", List.of(), "bootstrap", true,
            "limits", Json.of("cpuShare", 0.75, "cpuCores", 1L, "memoryMb", 430L, "maxFds", 4100L, "linkMbps", 1000.0, "diskMb", 0L),
            "discovery", "platform", "entryType", "vip", "heartbeatMs", 1200L,
            "contractParams", Json.of(
                "contactMs", 3000L, "drainMs", 2000L, "graceS", 8L, "lossSlackMs", 200L, "configMs", 2000L, "budgetRatio", 0.2,
                "budgetWindowS", 10L, "budgetSlack", 54L, "exposeShare", 0.1, "exposeSlack", 50L, "rollbackMs", 5000L, "recoverS", 12L),
            "platform", Json.of(
                "address", storeAddress, "form", "objects", "writesPerS", 400L, "readsPerS", 2000L, "historyS", 20L,
                "valueBytes", 1048576L, "ttlMinMs", 1000L));
    }

    @Override
    public void close() throws IOException {
        for (Router router : routers) if (router.process != null) router.process.destroyForcibly();
        for (Router router : routers) if (router.process != null) router.process.onExit().join();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
