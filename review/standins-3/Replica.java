import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a service. What it does with a request that it runs is given as {@link Work}. */
final class Replica {
    /** What a replica does with a request. */
    interface Work {
        void run(Replica replica, Run run) throws Exception;
    }

    private static final AtomicInteger NEXT = new AtomicInteger(1);
    private static final long ENTRY_LAPSE_MILLIS = 3 * 1_200;

    final Fleet fleet;
    final String service;
    final String version;
    final String zone;
    private final Work work;
    private final Http.Server server;
    volatile String id;
    private volatile long bornMillis;
    private volatile boolean isUp;
    volatile boolean isDraining;

    Replica(Fleet fleet, String host, String service, String version, String zone, Work work) throws Exception {
        this.fleet = fleet;
        this.service = service;
        this.version = version;
        this.zone = zone;
        this.work = work;
        this.server = new Http.Server(host, 0, this::handle);
        begin(false);
    }

    private void begin(boolean isIdKept) {
        if (!isIdKept) id = String.format("i-%08x", 0x7f000000 + NEXT.getAndIncrement());
        bornMillis = System.currentTimeMillis();
        isUp = true;
        isDraining = false;
        writeEntry();
    }

    void writeEntry() {
        String entry =
            "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"capacitySlots\":64,\"state\":\""
                + (isDraining ? "draining" : "ready") + "\",\"coldMs\":0,\"callSeq\":1,\"born\":" + bornMillis + "}";
        fleet.store.write("servers", id, entry);
    }

    /**
     * Ends the process at once and starts a new one after a while, under its id or a new one. The entry of an id that is
     * not used again lapses.
     */
    synchronized void crash(long downMillis, boolean isIdKept) {
        if (!isUp) return;
        isUp = false;
        String ended = id;
        server.reset();
        Threads.start(
            () -> {
                Threads.sleep(ENTRY_LAPSE_MILLIS);
                if (!isUp || !ended.equals(id)) fleet.store.remove("servers", ended);
            });
        Threads.start(
            () -> {
                Threads.sleep(downMillis);
                server.listenAgain();
                begin(isIdKept);
            });
    }

    /** Ends for good without a word; its entry is removed at once. */
    synchronized void stop() {
        isUp = false;
        fleet.store.remove("servers", id);
        server.reset();
    }

    boolean isUp() {
        return isUp;
    }

    private void handle(Http.Request request, Http.Connection connection) throws Exception {
        String attempt = request.head.get("Attempt-Id");
        String expected = request.head.get("Expect-Instance");
        if (attempt == null) {
            int status = isDraining ? 503 : 200;
            connection.respond(status, Map.of("Replica-Id", id), new byte[0]);
            return;
        }
        Run run = new Run(this, request, connection, attempt);
        if (expected != null && !expected.equals(id)) {
            run.respond(421, Map.of("Replica-Id", id), "");
            return;
        }
        fleet.record.add("reaches " + id + " " + version + " " + attempt);
        work.run(this, run);
    }

    /** One request at a replica. */
    static final class Run {
        final Replica replica;
        final Http.Request request;
        final String attempt;
        final long arrivedMillis = Clock.millis();
        private final Http.Connection connection;

        Run(Replica replica, Http.Request request, Http.Connection connection, String attempt) {
            this.replica = replica;
            this.request = request;
            this.connection = connection;
            this.attempt = attempt;
        }

        String field(String name) {
            return request.head.get(name);
        }

        private Map<String, String> fields(Map<String, String> added) {
            Map<String, String> all = new LinkedHashMap<>();
            all.put("Attempt-Id", attempt);
            all.put("Response-Seal", "seal." + replica.id + "." + attempt);
            all.putAll(added);
            return all;
        }

        void respond(int status, Map<String, String> added, String body) throws Exception {
            connection.respond(status, fields(added), body.getBytes(StandardCharsets.UTF_8));
        }

        void startStream() throws Exception {
            connection.startChunks(200, fields(Map.of("Content-Type", "text/event-stream")));
        }

        void event(int number) throws Exception {
            connection.chunk(("id: " + number + "\ndata: event " + number + "\n\n").getBytes(StandardCharsets.UTF_8));
        }

        void endStream() throws Exception {
            connection.endChunks();
        }
    }
}
