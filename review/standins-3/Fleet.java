import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Routers, the store and replicas of a small deployment, each on a loopback address of its own. */
final class Fleet implements AutoCloseable {
    static final long CONTACT_MILLIS = 3_000;
    private static final long START_MILLIS = 25_000;

    final Path root;
    final Path directory;
    final Record record;
    final Store store;
    final List<Router> routers = new ArrayList<>();
    final List<Replica> replicas = new ArrayList<>();
    private final String network;
    private int nextHost = 1;

    Fleet(Path root, Path caseDirectory) throws Exception {
        this.root = root;
        this.directory = Files.createTempDirectory("review-3-");
        this.record = new Record(caseDirectory.resolve("record.txt"));
        long pid = ProcessHandle.current().pid();
        this.network = "127." + (20 + pid % 200) + "." + (pid / 200 % 250) + ".";
        this.store = new Store(host());
    }

    String host() {
        return network + nextHost++;
    }

    /** Starts routers and waits until all are ready; returns false if they don't become so. */
    boolean startRouters(int count) throws Exception {
        for (int i = 1; i <= count; i++) {
            String zone = "z" + i;
            Router router = new Router(this, host(), "edge-" + zone + "-1", zone);
            routers.add(router);
            router.start();
        }
        long end = Clock.millis() + START_MILLIS;
        while (Clock.millis() < end) {
            if (routers.stream().allMatch(Router::isReady)) return true;
            Threads.sleep(200);
        }
        return false;
    }

    /** Takes the last router out for good and adds one at a new address, which is not started yet. */
    void replaceLastRouter() throws Exception {
        Router gone = routers.remove(routers.size() - 1);
        routers.add(new Router(this, host(), "edge-z3-2", "z3"));
        record.say("the machine " + gone.host + " is lost for good, " + routers.get(routers.size() - 1).host + " replaces it");
    }

    Replica replica(String service, String version, Replica.Work work) throws Exception {
        Replica replica = new Replica(this, host(), service, version, "z" + (1 + replicas.size() % 3), work);
        replicas.add(replica);
        return replica;
    }

    /** The settings of a process as the pages show them, with the bounds of the small deployments. */
    String settings(String node, String host, String zone, int frontPort, int readyPort, int peerPort) {
        return "{\"node\":\"" + node + "\",\"role\":\"router\",\"machineClass\":\"edge\",\"servedPlanes\":[\"edge\"],"
            + "\"ip\":\"" + host + "\",\"zone\":\"" + zone + "\",\"region\":\"r1\","
            + "\"zones\":{\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":\"r1\"},"
            + "\"listen\":{\"front\":\"" + host + ":" + frontPort + "\",\"ready\":\"" + host + ":" + readyPort + "\"},"
            + "\"internalPorts\":[" + peerPort + "," + (peerPort + 15) + "],\"seedAddrs\":[],\"bootstrap\":true,"
            + "\"lossCounted\":false,\"limits\":{\"cpuShare\":0.75,\"cpuCores\":1,\"memoryMb\":430,\"maxFds\":4100,"
            + "\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entryType\":\"vip\","
            + "\"heartbeatMs\":1200,\"activeContracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
            + "\"engine\",\"stream\",\"tenants\",\"rollout\",\"pressure\",\"platform\"],"
            + "\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
            + "\"contractParams\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":" + CONTACT_MILLIS
            + ",\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,"
            + "\"rollbackSlackMs\":250,\"outerMs\":5000,\"revokeStrict\":false,\"revokeMs\":5000,\"budgetRatio\":0.2,"
            + "\"budgetWindowS\":10,\"budgetSlack\":54,\"exposeShare\":0.1,\"exposeSlack\":50,\"rollbackMs\":5000,"
            + "\"recoverS\":12,\"passMs\":120,\"reuseWindowS\":7.7,\"settle_ms\":1500},"
            + "\"platform\":{\"address\":\"" + store.address() + "\",\"form\":\"objects\",\"writesPerS\":400,"
            + "\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}";
    }

    @Override
    public void close() throws Exception {
        for (Router router : routers) router.kill();
        String kept = System.getenv("KEEP");
        if (kept != null) {
            System.out.println("kept " + directory);
        } else {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
            }
        }
        record.close();
    }
}
