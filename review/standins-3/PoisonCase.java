import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of many prompts crashes each replica that begins to write an answer on it; checks the rule BUDGET. */
final class PoisonCase {
    private static final int REPLICAS = 8;
    private static final int SOUND_PER_S = 20;
    private static final long BASELINE_MILLIS = 8_000;
    private static final int FIFTH = 5;
    private static final int ALLOWED = 3;
    private static final String POISON = "dead07a2";

    private record Arrival(long atMillis, String attempt) {}

    /** How often requests with the part come, how long a replica is down, and whether it starts again under its id. */
    private enum Kind {
        HOT(50, 4_000, 24_000, false),
        SELDOM(4_000, 2_000, 60_000, true);

        final long intervalMillis;
        final long downMillis;
        final long troubleMillis;
        final boolean isIdKept;

        Kind(long intervalMillis, long downMillis, long troubleMillis, boolean isIdKept) {
            this.intervalMillis = intervalMillis;
            this.downMillis = downMillis;
            this.troubleMillis = troubleMillis;
            this.isIdKept = isIdKept;
        }
    }

    private final Fleet fleet;
    private final Kind kind;
    private final boolean isTroubled;
    private final ConcurrentLinkedQueue<Arrival> poisoned = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> crashes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();

    private PoisonCase(Fleet fleet, Kind kind, boolean isTroubled) {
        this.fleet = fleet;
        this.kind = kind;
        this.isTroubled = isTroubled;
    }

    static int run(Path root, Path caseDirectory, String kind, boolean isTroubled) throws Exception {
        try (Fleet fleet = new Fleet(root, caseDirectory)) {
            return new PoisonCase(fleet, Kind.valueOf(kind.toUpperCase()), isTroubled).execute();
        }
    }

    private int execute() throws Exception {
        fleet.store.write(
            "config",
            "main",
            "{\"version\":7,\"routes\":["
                + "{\"name\":\"r-plan\",\"host\":\"h.example\",\"pathPrefix\":\"/plan/\",\"routeType\":\"streaming\","
                + "\"timeoutMs\":4000,\"goalMs\":600,\"priority\":1,\"service\":\"jezik\","
                + "\"maxAttempts\":1,\"public\":false,\"sessionAffinity\":true,\"streamResume\":false,"
                + "\"gapTargetMs\":400}],"
                + "\"services\":[{\"name\":\"jezik\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\","
                + "\"tlsEnabled\":false,\"inferenceEngine\":{\"capacitySlots\":64,\"kvCapacity\":438927,\"stride\":6,"
                + "\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"prepaidTokens\":900000000}]}");
        for (int i = 0; i < REPLICAS; i++) fleet.replica("jezik", "v1", this::work);
        if (!fleet.startRouters(3)) {
            fleet.record.say("the routers did not become ready");
            return 2;
        }
        Threads.sleep(Fleet.CONTACT_MILLIS + 1_500);
        long start = Clock.millis();
        Threads.start(() -> send(start, 1_000 / SOUND_PER_S, true));
        Clock.sleepUntil(start + BASELINE_MILLIS);
        fleet.record.say("requests with the part begin at " + Clock.millis());
        Threads.start(() -> send(start + BASELINE_MILLIS, kind.intervalMillis, false));
        Clock.sleepUntil(start + BASELINE_MILLIS + kind.troubleMillis);
        return judge();
    }

    private void send(long start, long intervalMillis, boolean isSound) {
        for (int i = 0; ; i++) {
            Clock.sleepUntil(start + i * intervalMillis);
            int number = i;
            Threads.start(() -> sendOne(number, isSound));
        }
    }

    /** No two requests are alike: each has a last part of its own. */
    private void sendOne(int number, boolean isSound) {
        Router router = fleet.routers.get(number % fleet.routers.size());
        String own = String.format("%s%07x:430", isSound ? "e" : "f", number);
        String session = isSound ? String.format("91bd%04x:79", number % 20) : POISON + ":79";
        Map<String, String> fields =
            Map.of(
                "Authorization", "Token key-1", "Model", "m", "Token-Count", "628,60",
                "Prompt-Prefix", "5c1e07a2:119," + session + "," + own);
        if (isSound) soundSent.incrementAndGet();
        Client.Result result = Client.call(fleet, router, "POST", "/plan/1", fields, "plan", 4_000, 3_200);
        if (isSound && result.end().equals("200")) soundServed.incrementAndGet();
    }

    private void work(Replica replica, Replica.Run run) throws Exception {
        boolean isPoisoned = run.field("Prompt-Prefix").contains(POISON);
        if (isPoisoned) poisoned.add(new Arrival(Clock.millis(), run.attempt));
        Threads.sleep(60);
        if (isPoisoned && isTroubled) {
            if (replica.isUp()) {
                crashes.add(Clock.millis());
                fleet.record.add("crashes " + replica.id + " on " + run.attempt);
                replica.crash(kind.downMillis, kind.isIdKept);
            }
            return;
        }
        run.startStream();
        for (int i = 1; i <= 9; i++) {
            run.event(i);
            Threads.sleep(40);
        }
        run.endStream();
    }

    private int judge() {
        List<Long> times = crashes.stream().sorted().toList();
        fleet.record.say("sound requests: " + soundSent + " sent, " + soundServed + " served");
        if (!isTroubled) {
            fleet.record.say("requests with the part at replicas: " + poisoned.size() + ", crashes: " + times.size());
            return times.isEmpty() && soundServed.get() > 0 && !poisoned.isEmpty() ? 0 : 1;
        }
        if (times.size() < FIFTH) {
            fleet.record.say("crashes: " + times.size());
            return times.isEmpty() ? 2 : 0;
        }
        long from = times.get(FIFTH - 1) + Fleet.CONTACT_MILLIS;
        long late = poisoned.stream().filter(a -> a.atMillis > from).count();
        fleet.record.say("crashes: " + times.size() + " at " + times);
        fleet.record.say(
            "requests with the part that reached replicas later than " + Fleet.CONTACT_MILLIS
                + " ms after the fifth crash: " + late + ", allowed: " + ALLOWED);
        return late > ALLOWED ? 1 : 0;
    }
}
