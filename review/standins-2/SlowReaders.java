import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: requesters read nothing of their reports for 10 s; then bookings are sent to the router, when it has been calm for longer
 * than `contactMs`.
 */
final class SlowReaders {
    private static final int READERS = 960;
    private static final int READERS_PER_SECOND = 80;
    private static final int PAUSE_MS = 10_000;
    private static final int ANSWER_BYTES = 260_000;
    private static final int TIMEOUT_MS = 4_000;
    private static final int LATE_MS = 500;
    private static final int CALM_MS = 12_000;
    private static final int CHECKED = 100;
    private static final int LEAST = 20;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final List<String> record = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final long start = System.nanoTime();

    private void note(String line) {
        record.add(String.format("%8.3f %s", (System.nanoTime() - start) / 1e9, line));
    }

    public static void main(String[] args) throws Exception {
        SlowReaders run = new SlowReaders();
        int code = 2;
        try {
            code = run.play(Path.of(args[0]));
        } catch (Exception e) {
            run.note("could not run: " + e);
        } finally {
            Files.write(Path.of(args[0]).resolve("record.txt"), run.record);
        }
        System.exit(code);
    }

    private int play(Path output) throws Exception {
        Path folder = Files.createTempDirectory("review-6");
        try (Store store = new Store("127.0.0.1");
                Http.Server a = endpoint("i-a");
                Http.Server b = endpoint("i-b")) {
            store.write("servers", "i-a", entry(a));
            store.write("servers", "i-b", entry(b));
            store.write("config", "main", config());
            Routers routers = new Routers(folder, store, 1);
            try {
                Routers.Router router = routers.get(0);
                router.start();
                router.awaitReady(30);
                Thread.sleep(4000);
                return check(router);
            } finally {
                routers.close();
                Files.copy(routers.get(0).log, output.resolve("router.log"), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private int check(Routers.Router router) throws Exception {
        Bookings before = bookings(router, "before", 20);
        note("bookings before: " + before);
        if (before.inTime.get() < 20) return 2;
        note(READERS + " reports of " + ANSWER_BYTES + " bytes are asked for, " + READERS_PER_SECOND + " a second, and read "
            + (TROUBLE ? "after " + PAUSE_MS + " ms" : "at once"));
        Process readers =
            Routers.endedWithThisProcess(new ProcessBuilder("python3", "review/standins-2/slow_readers.py", router.host, "8740",
                "" + READERS, "" + READERS_PER_SECOND, "" + (TROUBLE ? PAUSE_MS : 0))
                .redirectErrorStream(true).start());
        String ends = new String(readers.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        if (readers.waitFor() != 0) throw new IOException("the readers failed: " + ends);
        note("all readers have ended: " + ends);
        Thread.sleep(CALM_MS);
        note("calm for " + CALM_MS + " ms; the process runs: " + router.process.isAlive() + ", ready: " + router.isReady());
        Bookings after = bookings(router, "after", CHECKED);
        note("bookings after: " + after);
        if (after.sent.get() < CHECKED / 2) return 2;
        int unansweredAtTimeout = after.late.get() + after.never.get();
        return unansweredAtTimeout >= LEAST && after.never.get() * 2 > unansweredAtTimeout ? 1 : 0;
    }

    /** How bookings ended: answered by their route's timeout, by half a second past it, or neither; others were closed. */
    private static final class Bookings {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger inTime = new AtomicInteger();
        final AtomicInteger late = new AtomicInteger();
        final AtomicInteger never = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " sent, " + inTime + " answered within " + TIMEOUT_MS + " ms, " + late + " within " + LATE_MS + " ms more, "
                + never + " not answered by then";
        }
    }

    /** Sends [count] bookings on new channels, 20 a second. */
    private Bookings bookings(Routers.Router router, String name, int count) throws Exception {
        Bookings bookings = new Bookings();
        Thread[] threads = new Thread[count];
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            threads[i] = new Thread(() -> book(router.front, id, bookings));
            threads[i].start();
            Thread.sleep(50);
        }
        for (Thread thread : threads) thread.join();
        return bookings;
    }

    private void book(String front, String id, Bookings bookings) {
        String end;
        try (Socket socket = Http.connect(front)) {
            socket.setSoTimeout(TIMEOUT_MS + LATE_MS);
            byte[] head = Http.head("POST /book/x HTTP/1.1", "Host", "app.example", "Attempt-Id", id,
                "Deadline-Ms", "" + TIMEOUT_MS, "Authorization", "Token k1", "Content-Length", "0");
            Http.send(socket.getOutputStream(), head, new byte[0]);
            long sentAt = System.nanoTime();
            bookings.sent.incrementAndGet();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            try {
                Http.Message answer = Http.read(in, true);
                long afterMs = (System.nanoTime() - sentAt) / 1_000_000;
                if (answer != null) (afterMs <= TIMEOUT_MS ? bookings.inTime : bookings.late).incrementAndGet();
                end = (answer == null ? "closed" : answer.status()) + " after " + afterMs + " ms";
            } catch (SocketTimeoutException e) {
                bookings.never.incrementAndGet();
                end = "no answer";
            }
        } catch (IOException e) {
            end = "no channel (" + e.getMessage() + ")";
        }
        note("booking " + id + ": " + end + ", runs " + runs.getOrDefault(id, 0));
    }

    private Http.Server endpoint(String id) throws IOException {
        return new Http.Server("127.0.0.1", 0, (request, socket, in, out) -> {
            String attempt = request.header("Attempt-Id");
            if (!id.equals(request.header("Expect-Instance"))) {
                Http.send(out, Http.head("HTTP/1.1 421 Misdirected Request", "Attempt-Id", attempt, "Replica-Id", id,
                    "Content-Length", "0"), new byte[0]);
                return true;
            }
            runs.merge(attempt, 1, Integer::sum);
            byte[] body = new byte[request.target().startsWith("/report/") ? ANSWER_BYTES : 800];
            Arrays.fill(body, (byte) 'x');
            Thread.sleep(20);
            Http.send(out, Http.head("HTTP/1.1 200 OK", "Attempt-Id", attempt, "Response-Seal", "seal-" + id,
                "Content-Type", "application/json", "Content-Length", "" + body.length), body);
            return true;
        });
    }

    private static Object entry(Http.Server server) {
        return Json.parse("{\"service\":\"app\",\"address\":\"" + server.address() + "\",\"zone\":\"z1\","
            + "\"version\":\"v1\",\"capacitySlots\":32,\"state\":\"ready\",\"coldMs\":0,\"callSeq\":1}");
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":["
            + route("r-book", "/book/", "non_idempotent", TIMEOUT_MS, 1) + ","
            + route("r-report", "/report/", "idempotent", 12_000, 2)
            + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":360}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"priority\":1}]}");
    }

    private static String route(String name, String prefix, String type, int timeoutMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"app.example\",\"pathPrefix\":\"" + prefix
            + "\",\"routeType\":\"" + type + "\",\"timeoutMs\":" + timeoutMs + ",\"goalMs\":600,\"priority\":1,"
            + "\"service\":\"app\",\"maxAttempts\":" + attempts + ",\"public\":false}";
    }
}
