import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Traffic at three routers, a roll-out of a service to the version `v2`, and the check of the rule EXPOSURE. */
abstract class RollOutCase extends Case {
    static final int ROUTERS = 3;
    static final long DURATION_SECONDS = 12;
    private static final int CLIENTS_PER_ROUTER = 8;
    private static final int REPLICAS = 4;
    private static final long START_MILLIS = 300;
    private static final long PAUSE_MILLIS = 85;
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;
    private static final String SERVICE = "bookings";

    private final List<Replica> replicas = new ArrayList<>();
    private final AtomicInteger succeeded = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean isTrafficOn = true;
    private long orderedAt;

    RollOutCase() throws IOException {}

    /** Starts the fleet with the old version and puts the traffic on. */
    void startFleet() throws Exception {
        store.put("config", "main", config(
            1, List.of(route("book", "/book/", "non_idempotent", 4_000, SERVICE)), List.of(service(SERVICE))));
        for (int i = 0; i < REPLICAS; i++) addReplica("v1-" + i, "v1", 0);
        fleet.start(ROUTERS);
        for (Fleet.Router router : fleet.routers) {
            for (int i = 0; i < CLIENTS_PER_ROUTER; i++) Http.start("client", () -> sendRequests(router));
        }
        log("routers ready, traffic on");
        Thread.sleep(3_000);
    }

    /** Orders the roll-out to `v2`, whose replicas start a moment later and fail {@code failureShare} of their requests. */
    void order(double failureShare) throws Exception {
        orderedAt = System.nanoTime();
        store.put("rollouts", SERVICE, Json.of("service", SERVICE, "target", "v2", "durationS", DURATION_SECONDS));
        log("ordered: " + SERVICE + " to v2 in " + DURATION_SECONDS + " s");
        Thread.sleep(START_MILLIS);
        for (int i = 0; i < REPLICAS; i++) addReplica("v2-" + i, "v2", failureShare);
        log("the replicas of v2 are listed, and fail " + failureShare + " of their requests");
    }

    /** Waits for the deadline; returns whether the bad version got more requests than the rule allows. */
    boolean isExposedTooFar() throws InterruptedException {
        long deadline = orderedAt + DURATION_SECONDS * 1_000_000_000L;
        Thread.sleep(Math.max(0, (deadline - System.nanoTime()) / 1_000_000));
        log("deadline; status in the store: " + Json.write(store.status("rollouts", SERVICE)));
        isTrafficOn = false;
        Thread.sleep(500);
        int[] oldRuns = new int[(int) DURATION_SECONDS];
        int[] newRuns = new int[(int) DURATION_SECONDS];
        for (Replica replica : replicas) {
            for (Replica.Run run : replica.runs) {
                detail("run at " + (run.atNanos() - orderedAt) / 1_000_000 + " ms after the order: "
                    + run.request().get("Attempt-Id") + " at " + replica.id + ", status " + run.status());
                if (run.atNanos() < orderedAt || run.atNanos() >= deadline) continue;
                int second = (int) ((run.atNanos() - orderedAt) / 1_000_000_000L);
                (replica.version.equals("v2") ? newRuns : oldRuns)[second]++;
            }
        }
        int total = 0;
        int exposed = 0;
        for (int i = 0; i < DURATION_SECONDS; i++) {
            log("second " + i + " of the roll-out: other versions got " + oldRuns[i] + ", v2 got " + newRuns[i]);
            total += oldRuns[i] + newRuns[i];
            exposed += newRuns[i];
        }
        double limit = EXPOSE_SHARE * total + EXPOSE_SLACK;
        log("answers 200: " + succeeded + ", other answers: " + failed + ", no answer: " + unanswered);
        log("requests that reached the service from the order to its deadline: " + total + ", v2 got " + exposed + ", limit for a bad version "
            + Math.round(limit));
        return exposed > limit;
    }

    private void addReplica(String id, String version, double failureShare) throws IOException {
        Replica replica = new Replica(network + "250", id, version);
        replica.failureShare = failureShare;
        replicas.add(replica);
        store.put("servers", id, replica.entry(SERVICE, "ready"));
    }

    private void sendRequests(Fleet.Router router) {
        while (isTrafficOn) {
            try (Http.Client client = new Http.Client(router.front(), 5_000)) {
                while (isTrafficOn) {
                    int status = client.call(request("POST", "/book/slot", 4_000)).status();
                    (status == 200 ? succeeded : failed).incrementAndGet();
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (Exception e) {
                unanswered.incrementAndGet();
            }
        }
    }
}
