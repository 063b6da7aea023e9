import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** A router process, started with the command of the deploy file. */
final class Router {
    private static final Queue<Process> STARTED = new ConcurrentLinkedQueue<>();
    private static final int FRONT_PORT = 8740;
    private static final int READY_PORT = 8749;
    private static final int PEER_PORT = 7200;

    private final Fleet fleet;
    final String host;
    private final Path settings;
    private final Path log;
    private Process process;

    Router(Fleet fleet, String host, String node, String zone) throws Exception {
        this.fleet = fleet;
        this.host = host;
        this.settings = fleet.directory.resolve(node + ".json");
        this.log = fleet.directory.resolve(node + ".out");
        Files.writeString(settings, fleet.settings(node, host, zone, FRONT_PORT, READY_PORT, PEER_PORT));
    }

    int frontPort() {
        return FRONT_PORT;
    }

    synchronized void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(runCommand()).directory(fleet.root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("LIMPETFOLD_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        STARTED.add(process);
        fleet.record.add("starts router " + host);
    }

    /** Ends all processes that this run has started. */
    static void killAll() {
        STARTED.forEach(Process::destroyForcibly);
    }

    private List<String> runCommand() throws Exception {
        for (String line : Files.readAllLines(fleet.root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String quoted = line.substring("run = ".length()).trim();
                return List.of(quoted.substring(1, quoted.length() - 1).split(" "));
            }
        }
        throw new IllegalStateException("deploy/system.toml has no run line");
    }

    synchronized void kill() throws Exception {
        if (process == null) return;
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        fleet.record.add("kills router " + host);
    }

    /** Sends a signal to this process by its id. */
    synchronized void signal(String name) throws Exception {
        fleet.record.add("signal " + name + " to router " + host);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, READY_PORT), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(("GET /readiness HTTP/1.1\r\nHost: " + host + "\r\n\r\n").getBytes());
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    String log() throws Exception {
        return Files.readString(log);
    }
}
