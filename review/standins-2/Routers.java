import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts routers by the `run` line of the deploy file, each on a loopback address of its own, and ends them. */
final class Routers implements AutoCloseable {
    final class Router {
        final String host;
        final String front;
        final String ready;
        final Path log;
        private final Path settings;
        Process process;

        private Router(int number) throws IOException {
            host = prefix + (number + 1);
            front = host + ":8740";
            ready = host + ":8749";
            log = folder.resolve(host + ".log");
            settings = folder.resolve(host + ".json");
            Files.writeString(settings, settings(host));
            settings.toFile().deleteOnExit();
            log.toFile().deleteOnExit();
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(Arrays.asList(runLine().split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LIMPETFOLD_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = endedWithThisProcess(builder.start());
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
        }

        boolean isReady() {
            try (Socket socket = Http.connect(ready)) {
                socket.setSoTimeout(1000);
                Http.send(socket.getOutputStream(), Http.head("GET /readiness HTTP/1.1", "Host", ready), new byte[0]);
                InputStream in = socket.getInputStream();
                Http.Message answer = Http.readHead(in);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(int seconds) throws Exception {
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            while (!isReady()) {
                if (System.nanoTime() > end || !process.isAlive()) throw new IOException("the router is not ready");
                Thread.sleep(50);
            }
        }
    }

    private final Path folder;
    private final String prefix;
    private final String store;
    private final int count;
    final List<Router> all = new ArrayList<>();

    Routers(Path folder, Store store, int count) throws IOException {
        this.folder = folder;
        this.store = store.address();
        this.count = count;
        folder.toFile().deleteOnExit();
        long pid = ProcessHandle.current().pid();
        prefix = "127." + (10 + pid / 250 % 200) + "." + (1 + pid % 250) + ".";
        for (int i = 0; i < count; i++) all.add(new Router(i));
    }

    /** Ends [process] at the latest when this one ends, also where that is told to stop. */
    static Process endedWithThisProcess(Process process) {
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return process;
    }

    Router get(int number) {
        return all.get(number);
    }

    private String settings(String host) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, count); i++) seeds.add("\"" + prefix + (i + 1) + ":8748\"");
        return "{\"node\":\"edge-" + host + "\",\"role\":\"router\",\"machineClass\":\"edge\",\"servedPlanes\":[\"edge\"],"
            + "\"ip\":\"" + host + "\",\"zone\":\"z1\",\"region\":\"r1\",\"zones\":{\"z1\":\"r1\"},"
            + "\"internalPorts\":[7200,7215],\"seedAddrs\":[" + String.join(",", seeds) + "],\"bootstrap\":true,"
            + "\"lossCounted\":false,\"discovery\":\"platform\",\"entryType\":\"vip\",\"heartbeatMs\":1200,"
            + "\"activeContracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
            + "\"tenants\",\"rollout\",\"pressure\",\"platform\"],"
            + "\"listen\":{\"front\":\"" + host + ":8740\",\"ready\":\"" + host + ":8749\"},"
            + "\"limits\":{\"cpuShare\":0.75,\"cpuCores\":1,\"memoryMb\":430,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
            + "\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
            + "\"contractParams\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
            + "\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\"rollbackSlackMs\":250,\"outerMs\":5000,"
            + "\"revokeStrict\":false,\"revokeMs\":5000,\"budgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":54,"
            + "\"exposeShare\":0.1,\"exposeSlack\":50,\"rollbackMs\":5000,\"recoverS\":12,\"passMs\":120,"
            + "\"reuseWindowS\":7.7,\"settle_ms\":1500},"
            + "\"platform\":{\"address\":\"" + store + "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,"
            + "\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}";
    }

    private static String runLine() throws IOException {
        for (String line : Files.readAllLines(new File("deploy/system.toml").toPath())) {
            if (line.startsWith("run = ")) return line.substring(7, line.length() - 1);
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    @Override
    public void close() throws Exception {
        for (Router router : all) {
            if (router.process != null) router.process.destroyForcibly().waitFor();
        }
    }
}
