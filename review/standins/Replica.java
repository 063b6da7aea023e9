import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A stand-in of a replica: it answers after a fixed time, and runs only requests that are meant for it. */
final class Replica implements AutoCloseable {
    /** One request that began to run, without its body, at a time of {@link System#nanoTime}. */
    record Run(long atNanos, Http.Message request, int status) {}

    /** One token of a model's output. */
    static final String TOKEN = "token ";

    final String id;
    final String version;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    volatile double failureShare;
    volatile long workMillis = 10;

    /** The tokens in an event of a stream; 0 where a model request is answered with one body. */
    volatile int tokensPerEvent;

    final Http.Server server;

    Replica(String host, String id, String version) throws IOException {
        this.id = id;
        this.version = version;
        server = new Http.Server(host, 0, (connection, request) -> handle(request));
    }

    /** Returns the entry that the replica writes about itself. */
    Map<String, Object> entry(String service, String state) {
        return Json.of(
            "service", service, "address", server.address(), "zone", "z1", "version", version, "capacitySlots", 64L,
            "state", state, "coldMs", 0L, "callSeq", 0L);
    }

    private Http.Message handle(Http.Message request) throws InterruptedException {
        String attempt = request.get("Attempt-Id");
        if (request.start[1].equals("/health")) return Http.response(200, "").header("Replica-Id", id);
        String expected = request.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) return echo(Http.response(421, "").header("Replica-Id", id), attempt);
        if (attempt == null) return Http.response(400, "").header("Not-Executed", "1");
        return run(request, attempt);
    }

    private Http.Message run(Http.Message request, String attempt) throws InterruptedException {
        long atNanos = System.nanoTime();
        int status = Math.random() < failureShare ? 500 : 200;
        request.body = new byte[0];
        runs.add(new Run(atNanos, request, status));
        Thread.sleep(workMillis);
        String tokens = request.get("Token-Count");
        Http.Message response = tokens == null || status != 200
            ? Http.response(status, "answer of " + id)
            : generated(Integer.parseInt(tokens.split(",")[1]));
        return echo(response, attempt).header("Response-Seal", "seal." + id + "." + attempt);
    }

    /** Returns the whole output of a model request, each token of it as the word {@link #TOKEN}. */
    private Http.Message generated(int tokens) {
        if (tokensPerEvent == 0) return Http.response(200, TOKEN.repeat(tokens)).header("Content-Type", "text/plain");
        StringBuilder events = new StringBuilder();
        for (int sent = 0; sent < tokens; sent += tokensPerEvent) {
            events.append("id: ").append(sent / tokensPerEvent + 1).append("\ndata: ");
            events.append(TOKEN.repeat(Math.min(tokensPerEvent, tokens - sent))).append("\n\n");
        }
        return Http.response(200, events.toString()).header("Content-Type", "text/event-stream");
    }

    private static Http.Message echo(Http.Message response, String attempt) {
        return attempt == null ? response : response.header("Attempt-Id", attempt);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
