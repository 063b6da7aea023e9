import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 7: in a drill the store is away for a moment and comes back from a copy some seconds old. While it is away one router is killed
 * (DENIED). With KILL=all, all routers are killed right after the drill instead, when a configuration was acknowledged (the final
 * fault, RECOVER).
 */
final class DrillAndKill {
    private static final int ROUTERS = 3;
    private static final int REQUESTERS = 24;
    private static final int PAUSE_MS = 700;
    private static final int INPUT_TOKENS = 1460;
    private static final int OUTPUT_TOKENS = 80;
    private static final long PREPAID_TOKENS = 4_562_340;
    private static final int COPY_AGE_MS = 4000;
    private static final int AWAY_MS = 2000;
    private static final int DOWN_MS = 1400;
    private static final int RECOVER_MS = 12_000;
    private static final int CHECK_MS = 15_000;
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final boolean IS_ONE_KILLED = !"all".equals(System.getenv("KILL"));

    private final List<String> record = new CopyOnWriteArrayList<>();
    private final long start = System.nanoTime();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicLong delivered = new AtomicLong();
    private final Map<String, Integer> answers = new TreeMap<>();
    private volatile boolean isOver;
    private volatile String phase = "before";

    private void note(String line) {
        record.add(String.format("%8.3f %s", (System.nanoTime() - start) / 1e9, line));
    }

    public static void main(String[] args) throws Exception {
        DrillAndKill run = new DrillAndKill();
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
        Path folder = Files.createTempDirectory("review-7");
        try (Store store = new Store("127.0.0.1");
                Http.Server a = replica("i-a");
                Http.Server b = replica("i-b")) {
            store.write("servers", "i-a", entry(a));
            store.write("servers", "i-b", entry(b));
            store.write("config", "main", config(7));
            Routers routers = new Routers(folder, store, ROUTERS);
            try {
                for (Routers.Router router : routers.all) router.start();
                for (Routers.Router router : routers.all) router.awaitReady(30);
                Thread.sleep(5000);
                for (int i = 0; i < REQUESTERS; i++) {
                    String front = routers.get(i % ROUTERS).front;
                    int number = i;
                    Http.thread("requester " + i, () -> request(front, number));
                }
                Thread.sleep(10_000);
                note("before: " + answers);
                if (TROUBLE) drill(store, routers);
                Thread.sleep(RECOVER_MS);
                for (Routers.Router router : routers.all) note(router.host + " ready: " + router.isReady());
                return check(store);
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

    private void drill(Store store, Routers routers) throws Exception {
        store.backUp();
        Thread.sleep(COPY_AGE_MS);
        phase = "drill";
        store.gate = (request, socket, out) -> {
            Http.reset(socket);
            return false;
        };
        note("the store is away");
        Thread.sleep(AWAY_MS / 2);
        List<Routers.Router> killed = IS_ONE_KILLED ? routers.all.subList(ROUTERS - 1, ROUTERS) : routers.all;
        if (IS_ONE_KILLED) kill(killed);
        Thread.sleep(AWAY_MS / 2);
        store.restore();
        store.gate = (request, socket, out) -> true;
        note("the store is back, from a copy that is " + (COPY_AGE_MS + AWAY_MS) + " ms old");
        if (!IS_ONE_KILLED) {
            Thread.sleep(100);
            store.write("config", "main", config(9));
            note("configuration 9 is acknowledged");
            kill(killed);
            Thread.sleep(DOWN_MS);
        }
        for (Routers.Router router : killed) router.start();
        for (Routers.Router router : killed) router.awaitReady(30);
        note("all routers are back and ready");
    }

    private void kill(List<Routers.Router> killed) throws Exception {
        for (Routers.Router router : killed) router.signal("KILL");
        for (Routers.Router router : killed) router.process.waitFor();
        note("killed: " + killed.stream().map(router -> router.host).toList());
    }

    private int check(Store store) throws Exception {
        int before = sent.get();
        phase = "check";
        Thread.sleep(CHECK_MS);
        phase = "after";
        Thread.sleep(1000);
        int refused;
        int served;
        int count = 0;
        synchronized (answers) {
            refused = answers.getOrDefault("check 402", 0);
            served = answers.getOrDefault("check 200", 0);
            for (Map.Entry<String, Integer> answer : answers.entrySet()) {
                if (answer.getKey().startsWith("check")) count += answer.getValue();
            }
            note("answers by phase: " + answers);
        }
        long most = (long) sent.get() * (INPUT_TOKENS + OUTPUT_TOKENS);
        note("requests sent " + sent + " (" + before + " before the check), " + most + " tokens at their most, delivered at most "
            + delivered + ", paid " + PREPAID_TOKENS);
        note("ledger: " + Json.write(store.spec("budget", "t1")));
        note("in the check " + served + " of " + count + " are served, " + refused + " refused with 402");
        if (most > PREPAID_TOKENS * 97 / 100 || count < 100) return 2;
        return (IS_ONE_KILLED ? refused > 5 + sent.get() / 500 : served * 4 < count) ? 1 : 0;
    }

    private void request(String front, int number) {
        for (int count = 0; !isOver; count++) {
            try {
                Thread.sleep(PAUSE_MS / 2 + (number * 31 + count * 17) % PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
            String sentIn = phase;
            sent.incrementAndGet();
            String end;
            try (Socket socket = Http.connect(front)) {
                socket.setSoTimeout(4500);
                byte[] head = Http.head("POST /plan/x HTTP/1.1", "Host", "llm.example", "Attempt-Id", "a" + number + "-" + count,
                    "Model", "m", "Token-Count", INPUT_TOKENS + "," + OUTPUT_TOKENS,
                    "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e" + number + "a" + count + ":250",
                    "Deadline-Ms", "4000", "Authorization", "Token k1", "Content-Length", "0");
                Http.send(socket.getOutputStream(), head, new byte[0]);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer = Http.read(in, true);
                end = answer == null ? "closed" : "" + answer.status();
                if (answer != null && answer.status() == 200) delivered.addAndGet(INPUT_TOKENS + OUTPUT_TOKENS);
            } catch (IOException e) {
                end = "cut";
            }
            synchronized (answers) {
                answers.merge(sentIn + " " + end, 1, Integer::sum);
            }
        }
    }

    private Http.Server replica(String id) throws IOException {
        return new Http.Server("127.0.0.1", 0, (request, socket, in, out) -> {
            String attempt = request.header("Attempt-Id");
            if (!id.equals(request.header("Expect-Instance"))) {
                Http.send(out, Http.head("HTTP/1.1 421 Misdirected Request", "Attempt-Id", attempt, "Replica-Id", id,
                    "Content-Length", "0"), new byte[0]);
                return true;
            }
            byte[] head = Http.head("HTTP/1.1 200 OK", "Attempt-Id", attempt, "Response-Seal", "seal-" + id,
                "Content-Type", "text/event-stream", "Transfer-Encoding", "chunked");
            Http.send(out, head, new byte[0]);
            for (int i = 1; i <= 10; i++) {
                Thread.sleep(10);
                String event = "id: " + i + "\ndata: " + "x".repeat(40) + "\n\n";
                String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" + (i == 10 ? "0\r\n\r\n" : "");
                Http.send(out, new byte[0], chunk.getBytes(StandardCharsets.ISO_8859_1));
            }
            return true;
        });
    }

    private static Object entry(Http.Server server) {
        return Json.parse("{\"service\":\"llm\",\"address\":\"" + server.address() + "\",\"zone\":\"z1\",\"version\":\"v1\","
            + "\"capacitySlots\":64,\"state\":\"ready\",\"coldMs\":0,\"stage\":\"both\","
            + "\"models\":[{\"name\":\"m\",\"version\":1,\"loraAdapters\":[]}],\"callSeq\":1}");
    }

    private static Object config(int version) {
        return Json.parse("{\"version\":" + version + ",\"routes\":[{\"name\":\"r-plan\",\"host\":\"llm.example\",\"pathPrefix\":\"/plan/\","
            + "\"routeType\":\"streaming\",\"timeoutMs\":4000,\"goalMs\":600,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":1,"
            + "\"public\":false,\"sessionAffinity\":true,\"streamResume\":false,\"gapTargetMs\":400}],"
            + "\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tlsEnabled\":false,"
            + "\"inferenceEngine\":{\"capacitySlots\":64,\"kvCapacity\":438927,\"kvBytes\":35136,\"linkMbps\":550000.0,"
            + "\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,"
            + "\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"priority\":1,\"prepaidTokens\":" + PREPAID_TOKENS + "}]}");
    }
}
