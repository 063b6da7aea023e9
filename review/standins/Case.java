import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** What all cases share: the record, the configuration, the exit status, and the end of all processes. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final String KEY = "key-of-tenant-a";
    static final String TENANT = "tenant-a";
    static final String HOST = "app.example";

    /** The case couldn't run, for a reason that says nothing about the rule. */
    static final class NotRun extends Exception {
        NotRun(String message) {
            super(message);
        }
    }

    private static final AtomicLong ATTEMPTS = new AtomicLong();

    private final long startNanos = System.nanoTime();
    private PrintWriter record;
    final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    final String network = Fleet.freeNetwork();
    Store store;
    Fleet fleet;

    Case() throws IOException {}

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    /** The items of a page of the store's lists. */
    int pageItems() {
        return 500;
    }

    /** Plays the case, writes `record.txt` into {@code folder}, and ends the process with the result. */
    final void runAndExit(String folder) throws IOException {
        record = new PrintWriter(Path.of(folder, "record.txt").toFile());
        store = new Store(network + "250", pageItems());
        fleet = new Fleet(network, store.address());
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        int result = NOT_RUN;
        try {
            result = play() ? BROKEN : HELD;
        } catch (Exception e) {
            log("could not run: " + e);
        }
        log("result " + result + (isTroubled ? "" : " (without the disruption)"));
        System.exit(result);
    }

    private void close() {
        try {
            fleet.close();
        } catch (IOException e) {
            log("close: " + e);
        }
        record.flush();
    }

    /** Writes a line with the time since the start to the record. */
    final synchronized void log(String line) {
        String text = String.format("%8.3f %s", (System.nanoTime() - startNanos) / 1e9, line);
        record.println(text);
        record.flush();
        System.out.println(text);
    }

    /** Writes a line to the record alone. */
    final synchronized void detail(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    static Map<String, Object> route(String name, String prefix, String type, long timeoutMillis, String service) {
        return Json.of(
            "name", name, "host", HOST, "pathPrefix", prefix, "routeType", type, "timeoutMs", timeoutMillis, "goalMs", 400L,
            "priority", 1L, "service", service, "maxAttempts", 1L, "public", false, "sessionAffinity", false,
            "streamResume", false);
    }

    static Map<String, Object> service(String name) {
        return Json.of("name", name, "healthPath", "/health", "maxConns", 360L, "protocol", "h1", "tlsEnabled", false);
    }

    static Map<String, Object> config(long version, List<?> routes, List<?> services) {
        return Json.of(
            "version", version, "routes", routes, "services", services,
            "limits", Json.of("headerBytes", 16384L, "bodyBytes", 4194304L, "headerMs", 3000L, "idleMs", 15000L),
            "tenants", List.of(Json.of("name", TENANT, "apiKeys", List.of(KEY), "priority", 1L)));
    }

    /** A request of the tenant with an id of its own. */
    static Http.Message request(String method, String path, long deadlineMillis) {
        return new Http.Message(method, path, "HTTP/1.1")
            .header("Host", HOST)
            .header("Attempt-Id", String.format("%016x", ATTEMPTS.incrementAndGet()))
            .header("Deadline-Ms", Long.toString(deadlineMillis))
            .header("Authorization", "Token " + KEY);
    }
}
