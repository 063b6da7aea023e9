import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: linearizable, and it keeps its whole history. */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private static final class Entry {
        String name;
        long created;
        long revision;
        Object spec;
        Object status;

        Entry copy() {
            Entry copy = new Entry();
            copy.name = name;
            copy.created = created;
            copy.revision = revision;
            copy.spec = spec;
            copy.status = status;
            return copy;
        }
    }

    private record Event(long revision, String kind, Map<String, Object> object, boolean isTombstone) {}

    /** What the store held at one time. */
    record Copy(Map<String, TreeMap<String, Entry>> kinds, long revision) {}

    private Map<String, TreeMap<String, Entry>> kinds = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    private long era = 1;
    private volatile boolean isAway;
    private final Http.Server server;

    Store(String host) throws Exception {
        server = new Http.Server(host, 0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes an object unconditionally, as the operator and the replicas do. */
    synchronized void write(String kind, String name, String spec) {
        Entry entry = kind(kind).get(name);
        Object parsed = Json.parse(spec);
        if (entry == null) {
            entry = new Entry();
            entry.name = name;
            entry.created = revision + 1;
            kind(kind).put(name, entry);
        } else if (Json.write(entry.spec).equals(Json.write(parsed))) {
            return;
        }
        entry.spec = parsed;
        changed(kind, entry, false);
    }

    synchronized void remove(String kind, String name) {
        Entry entry = kind(kind).remove(name);
        if (entry != null) changed(kind, entry, true);
    }

    /** The status of an object as text, or null. */
    synchronized String status(String kind, String name) {
        Entry entry = kind(kind).get(name);
        return entry == null || entry.status == null ? null : Json.write(entry.status);
    }

    synchronized Copy copy() {
        return new Copy(copyOf(kinds), revision);
    }

    private static Map<String, TreeMap<String, Entry>> copyOf(Map<String, TreeMap<String, Entry>> kinds) {
        Map<String, TreeMap<String, Entry>> copied = new LinkedHashMap<>();
        kinds.forEach(
            (kind, entries) -> {
                TreeMap<String, Entry> own = new TreeMap<>();
                entries.forEach((name, entry) -> own.put(name, entry.copy()));
                copied.put(kind, own);
            });
        return copied;
    }

    /** The store answers nothing from now on, and closes its channels when a call arrives. */
    void goAway() {
        isAway = true;
    }

    /** Comes back from [copy]: what was written since is gone, and its revisions are given out again. */
    synchronized void comeBackFrom(Copy copy) {
        kinds = copyOf(copy.kinds);
        revision = copy.revision;
        events.removeIf(event -> event.revision > revision);
        era++;
        isAway = false;
        notifyAll();
    }

    synchronized String dump(String kind) {
        StringBuilder out = new StringBuilder();
        kind(kind).values().forEach(entry -> out.append(Json.write(encode(entry))).append('\n'));
        return out.toString();
    }

    private TreeMap<String, Entry> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void changed(String kind, Entry entry, boolean isTombstone) {
        entry.revision = ++revision;
        events.add(new Event(revision, kind, encode(entry), isTombstone));
        notifyAll();
    }

    private Map<String, Object> encode(Entry entry) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", entry.name);
        metadata.put("revision", entry.revision);
        metadata.put("created", entry.created);
        metadata.put("finalizers", List.of());
        metadata.put("deletePending", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", entry.spec);
        object.put("status", entry.status);
        return object;
    }

    private void handle(Http.Request request, Http.Connection connection) throws Exception {
        if (isAway) throw new IllegalStateException("the store is away");
        String[] parts = request.head.target().split("\\?", 2);
        String[] path = parts[0].substring(1).split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] both = pair.split("=", 2);
                query.put(both[0], both.length > 1 ? decode(both[1]) : "");
            }
        }
        String kind = decode(path[1]);
        String name = path.length > 2 ? decode(path[2]) : null;
        boolean isStatus = path.length > 3;
        Answer answer =
            switch (request.head.method()) {
                case "GET" ->
                    name != null ? get(kind, name) : query.containsKey("watch") ? watch(kind, query) : list(kind, query);
                case "POST", "PUT" -> update(kind, name, isStatus, request);
                case "DELETE" -> delete(kind, name, query);
                default -> answer(400, null);
            };
        if (isAway) throw new IllegalStateException("the store is away");
        byte[] body = answer.body == null ? new byte[0] : Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
        connection.respond(answer.status, Map.of("Content-Type", "application/json", "Store-Era", Long.toString(answer.era)), body);
    }

    private record Answer(int status, Object body, long era) {}

    private Answer answer(int status, Object body) {
        return new Answer(status, body, era);
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private synchronized Answer get(String kind, String name) {
        Entry entry = kind(kind).get(name);
        return entry == null ? answer(404, null) : answer(200, encode(entry));
    }

    private synchronized Answer list(String kind, Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        List<Object> items = new ArrayList<>();
        boolean hasMore = false;
        for (Entry entry : kind(kind).tailMap(after, false).values()) {
            if (items.size() == PAGE_ITEMS) {
                hasMore = true;
                break;
            }
            items.add(encode(entry));
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("hasMore", hasMore);
        page.put("asOf", revision);
        return answer(200, page);
    }

    private synchronized Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long begunEra = era;
        if (from > revision) return answer(410, null);
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        List<Object> found = eventsAfter(kind, from);
        while (found.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            if (era != begunEra) throw new IllegalStateException("the watch is cut off");
            found = eventsAfter(kind, from);
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("events", found);
        page.put("asOf", revision);
        return answer(200, page);
    }

    private List<Object> eventsAfter(String kind, long from) {
        List<Object> found = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision > from; i--) {
            Event event = events.get(i);
            if (!event.kind.equals(kind)) continue;
            Map<String, Object> encoded = new LinkedHashMap<>();
            encoded.put("tombstone", event.isTombstone);
            encoded.put("object", event.object);
            found.add(0, encoded);
        }
        return found;
    }

    private synchronized Answer update(String kind, String pathName, boolean isStatus, Http.Request request) {
        Map<String, Object> body = Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8)));
        Map<String, Object> metadata = Json.object(body.getOrDefault("metadata", Map.of()));
        boolean isNew = request.head.method().equals("POST");
        String name = isNew ? (String) metadata.get("name") : pathName;
        Entry entry = kind(kind).get(name);
        if (isNew && entry != null) return answer(409, encode(entry));
        if (!isNew && entry == null) return answer(404, null);
        if (!isNew && metadata.get("revision") instanceof Json.Num expected && expected.asLong() != entry.revision) {
            return answer(409, encode(entry));
        }
        if (isNew) {
            entry = new Entry();
            entry.name = name;
            entry.created = revision + 1;
            entry.spec = body.get("spec");
            kind(kind).put(name, entry);
        } else {
            Object before = isStatus ? entry.status : entry.spec;
            Object after = body.get(isStatus ? "status" : "spec");
            if (Json.write(before).equals(Json.write(after))) return answer(200, encode(entry));
            if (isStatus) entry.status = after;
            else entry.spec = after;
        }
        changed(kind, entry, false);
        return answer(isNew ? 201 : 200, encode(entry));
    }

    private synchronized Answer delete(String kind, String name, Map<String, String> query) {
        Entry entry = kind(kind).get(name);
        if (entry == null) return answer(404, null);
        String expected = query.get("revision");
        if (expected != null && Long.parseLong(expected) != entry.revision) return answer(409, encode(entry));
        remove(kind, name);
        return answer(200, encode(entry));
    }
}
