import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 9: the operator orders a version that fails a portion of the bookings, and that is sound on the other route. */
final class BadVersion {
    private static final int ROUTERS = 3;
    private static final int REPLICAS = 3;
    private static final double DURATION_S = 12;
    private static final double BOOKINGS_PER_SECOND = 24.8;
    private static final double READS_PER_SECOND = 9.95;
    private static final double BAD_SHARE = 0.1;
    private static final int WORK_MS = 43;
    private static final double EXPOSE_SHARE = 0.1;
    private static final int EXPOSE_SLACK = 50;
    private static final int CALM_S = 12;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final List<String> record = new CopyOnWriteArrayList<>();
    private final long start = System.nanoTime();
    private final Random random = new Random();
    private final AtomicInteger reached = new AtomicInteger();
    private final AtomicInteger reachedNew = new AtomicInteger();
    private final AtomicInteger bad = new AtomicInteger();
    private final Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    private volatile boolean isCounting;
    private volatile boolean isOver;

    private void note(String line) {
        record.add(String.format("%8.3f %s", (System.nanoTime() - start) / 1e9, line));
    }

    public static void main(String[] args) throws Exception {
        BadVersion run = new BadVersion();
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
        Path folder = Files.createTempDirectory("review-9");
        try (Store store = new Store("127.0.0.1")) {
            List<Http.Server> old = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                old.add(replica("i-old" + i, false));
                store.write("servers", "i-old" + i, entry(old.get(i), "v1"));
            }
            store.write("config", "main", config());
            Routers routers = new Routers(folder, store, ROUTERS);
            try {
                for (Routers.Router router : routers.all) router.start();
                for (Routers.Router router : routers.all) router.awaitReady(30);
                Thread.sleep(5000);
                requesters(routers);
                Thread.sleep(CALM_S * 1000);
                return order(store, old);
            } finally {
                isOver = true;
                routers.close();
                for (Routers.Router router : routers.all) {
                    Path log = output.resolve("router-" + routers.all.indexOf(router) + ".log");
                    Files.copy(router.log, log, StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
    }

    private int order(Store store, List<Http.Server> old) throws Exception {
        note("answers before the order: " + answers);
        isCounting = true;
        long orderedAt = System.nanoTime();
        store.write("rollouts", "app", Json.parse("{\"service\":\"app\",\"target\":\"v2\",\"durationS\":" + (int) DURATION_S + "}"));
        note("the operator orders v2 within " + (int) DURATION_S + " s");
        for (int i = 0; i < REPLICAS; i++) store.write("servers", "i-new" + i, entry(replica("i-new" + i, true), "v2"));
        String state = "";
        int badAtRevert = -1;
        while (System.nanoTime() - orderedAt < DURATION_S * 1e9) {
            Thread.sleep(20);
            Object status = store.status("rollouts", "app");
            String now = status == null ? "" : String.valueOf(Json.object(status).get("state"));
            if (now.equals(state)) continue;
            state = now;
            if (state.equals("reverted")) badAtRevert = bad.get();
            note("status " + state + " at " + (System.nanoTime() - orderedAt) / 1_000_000 + " ms; reached v2 " + reachedNew
                + " of " + reached + ", bad answers " + bad);
            if (!state.equals("completed")) continue;
            for (int i = 0; i < REPLICAS; i++) {
                old.get(i).close();
                store.remove("servers", "i-old" + i);
            }
        }
        isCounting = false;
        double allowed = EXPOSE_SHARE * reached.get() + EXPOSE_SLACK;
        note("until the deadline " + reachedNew + " of " + reached + " requests reached v2, allowed " + allowed
            + "; bad answers of v2 " + bad + ", when it was reverted " + badAtRevert + "; status " + state);
        note("answers by status: " + answers);
        if (reached.get() < 300) return 2;
        return TROUBLE && reachedNew.get() > allowed ? 1 : 0;
    }

    private void requesters(Routers routers) {
        for (int i = 0; i < 12; i++) {
            String front = routers.get(i % ROUTERS).front;
            int number = i;
            Http.thread("books " + i, () -> request(front, "POST", "/book/x", "b" + number, BOOKINGS_PER_SECOND / 12));
            Http.thread("reads " + i, () -> request(front, "GET", "/read/x", "r" + number, READS_PER_SECOND / 12));
        }
    }

    private void request(String front, String method, String path, String name, double perSecond) {
        Socket socket = null;
        InputStream in = null;
        for (int count = 0; !isOver; count++) {
            try {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / perSecond));
                if (socket == null) {
                    socket = Http.connect(front);
                    socket.setSoTimeout(3000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                byte[] head = Http.head(method + " " + path + " HTTP/1.1", "Host", "app.example", "Attempt-Id", name + "-" + count,
                    "Deadline-Ms", "1000", "Authorization", "Token k1", "Content-Length", method.equals("POST") ? "0" : null);
                Http.send(socket.getOutputStream(), head, new byte[0]);
                Http.Message answer = Http.read(in, true);
                if (answer == null) throw new IOException("closed");
                answers.computeIfAbsent(answer.status(), s -> new AtomicInteger()).incrementAndGet();
                if (!"close".equalsIgnoreCase(answer.header("Connection"))) continue;
                socket.close();
                socket = null;
            } catch (IOException e) {
                if (isOver) return;
                answers.computeIfAbsent(0, s -> new AtomicInteger()).incrementAndGet();
                if (socket != null) Http.reset(socket);
                socket = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Http.Server replica(String id, boolean isNew) throws IOException {
        return new Http.Server("127.0.0.1", 0, (request, socket, in, out) -> {
            String attempt = request.header("Attempt-Id");
            if (!id.equals(request.header("Expect-Instance"))) {
                Http.send(out, Http.head("HTTP/1.1 421 Misdirected Request", "Attempt-Id", attempt, "Replica-Id", id,
                    "Content-Length", "0"), new byte[0]);
                return true;
            }
            if (isCounting) reached.incrementAndGet();
            if (isCounting && isNew) reachedNew.incrementAndGet();
            Thread.sleep(WORK_MS / 2 + random.nextInt(WORK_MS));
            boolean isBad = TROUBLE && isNew && request.target().startsWith("/book/") && random.nextDouble() < BAD_SHARE;
            if (isBad && isCounting) bad.incrementAndGet();
            byte[] body = new byte[800];
            Http.send(out, Http.head("HTTP/1.1 " + (isBad ? "500 Internal Server Error" : "200 OK"), "Attempt-Id", attempt,
                "Response-Seal", "seal-" + id, "Content-Type", "application/octet-stream", "Content-Length", "" + body.length), body);
            return true;
        });
    }

    private static Object entry(Http.Server server, String version) {
        return Json.parse("{\"service\":\"app\",\"address\":\"" + server.address() + "\",\"zone\":\"z1\",\"version\":\"" + version
            + "\",\"capacitySlots\":6,\"state\":\"ready\",\"coldMs\":0,\"callSeq\":1}");
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":[" + route("r-book", "/book/", "non_idempotent", 1) + ","
            + route("r-read", "/read/", "idempotent", 2)
            + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"priority\":1}]}");
    }

    private static String route(String name, String prefix, String type, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"app.example\",\"pathPrefix\":\"" + prefix + "\",\"routeType\":\"" + type
            + "\",\"timeoutMs\":1000,\"goalMs\":193,\"priority\":2,\"service\":\"app\",\"maxAttempts\":" + attempts
            + ",\"public\":false}";
    }
}
