import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a replica: it answers after a fixed time, and runs only requests that are meant for it. */
final class Replica implements AutoCloseable {
    /** One request that began to run, without its body, at a time of {@link System#nanoTime}. */
    record Run(long atNanos, Http.Message request, int status) {}

    final String id;
    final String version;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    volatile double failureShare;
    volatile long workMillis = 10;

    /** Requests beyond this number at a time are shed. */
    volatile int slots = Integer.MAX_VALUE;

    /** The share of shed answers that are sent once more, where the next answer on the channel is expected. */
    volatile double extraShare;
    private final AtomicInteger running = new AtomicInteger();
    final Http.Server server;

    Replica(String host, String id, String version) throws IOException {
        this.id = id;
        this.version = version;
        server = new Http.Server(host, 0, this::handle);
    }

    /** Returns the entry that the replica writes about itself. */
    Map<String, Object> entry(String service, String state) {
        return Json.of(
            "service", service, "address", server.address(), "zone", "z1", "version", version, "capacitySlots", 64L,
            "state", state, "coldMs", 0L, "callSeq", 0L);
    }

    private Http.Message handle(Http.Connection connection, Http.Message request) throws Exception {
        Http.Message extra = connection.extra;
        connection.extra = null;
        if (extra != null) Http.write(connection.socket.getOutputStream(), extra);
        String attempt = request.get("Attempt-Id");
        if (request.start[1].equals("/health")) return Http.response(200, "").header("Replica-Id", id);
        String expected = request.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) return echo(Http.response(421, "").header("Replica-Id", id), attempt);
        if (attempt == null) return Http.response(400, "").header("Not-Executed", "1");
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            return shed(connection);
        }
        try {
            return run(request, attempt);
        } finally {
            running.decrementAndGet();
        }
    }

    private Http.Message shed(Http.Connection connection) {
        Http.Message response = Http.response(503, "").header("Not-Executed", "1");
        if (Math.random() < extraShare) connection.extra = response;
        return response;
    }

    private Http.Message run(Http.Message request, String attempt) throws InterruptedException {
        long atNanos = System.nanoTime();
        int status = Math.random() < failureShare ? 500 : 200;
        request.body = new byte[0];
        runs.add(new Run(atNanos, request, status));
        Thread.sleep(workMillis);
        return echo(Http.response(status, "answer of " + id), attempt).header("Response-Seal", "seal." + id + "." + attempt);
    }

    private static Http.Message echo(Http.Message response, String attempt) {
        return attempt == null ? response : response.header("Attempt-Id", attempt);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
