import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's object store: objects by kind and name, lists, watches and conditional writes. */
final class Store implements AutoCloseable {
    /** What the store does with a call; the default serves it. */
    interface Gate {
        boolean admit(Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    private static final class Entry {
        long revision;
        long created;
        Object spec;
        Object status;
        boolean isRemoved;
    }

    private final Map<String, TreeMap<String, Entry>> kinds = new LinkedHashMap<>();
    private final Http.Server server;
    private long revision = 100;
    private long era = 0;
    private Map<String, TreeMap<String, Entry>> copy;
    private long copyRevision;
    volatile Gate gate = (request, socket, out) -> true;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, (request, socket, in, out) -> handle(request, socket, out));
    }

    String address() {
        return server.address();
    }

    synchronized long write(String kind, String name, Object spec) {
        Entry entry = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        Entry next = new Entry();
        next.spec = spec;
        next.status = entry == null || entry.isRemoved ? null : entry.status;
        next.created = entry == null || entry.isRemoved ? revision + 1 : entry.created;
        return put(kind, name, next);
    }

    synchronized void remove(String kind, String name) {
        Entry next = new Entry();
        next.isRemoved = true;
        put(kind, name, next);
    }

    synchronized Object spec(String kind, String name) {
        Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return entry == null || entry.isRemoved ? null : entry.spec;
    }

    synchronized Object status(String kind, String name) {
        Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return entry == null || entry.isRemoved ? null : entry.status;
    }

    synchronized List<String> names(String kind) {
        List<String> names = new ArrayList<>();
        kinds.getOrDefault(kind, new TreeMap<>()).forEach((name, entry) -> {
            if (!entry.isRemoved) names.add(name);
        });
        return names;
    }

    /** Keeps a copy of all objects, from which [restore] brings the store back. */
    synchronized void backUp() {
        copy = new LinkedHashMap<>();
        kinds.forEach((kind, entries) -> copy.put(kind, new TreeMap<>(entries)));
        copyRevision = revision;
    }

    /** Brings the store back from its copy, in a new era. */
    synchronized void restore() {
        kinds.clear();
        copy.forEach((kind, entries) -> kinds.put(kind, new TreeMap<>(entries)));
        revision = copyRevision;
        era++;
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private synchronized long put(String kind, String name, Entry next) {
        next.revision = ++revision;
        kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, next);
        notifyAll();
        return revision;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        if (!gate.admit(request, socket, out)) return false;
        String target = request.target();
        String path = target.split("\\?")[0];
        Map<String, String> query = new LinkedHashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
            }
        }
        String[] parts = path.substring("/objects/".length()).split("/");
        if (!request.method().equals("GET")) return change(request, parts, out);
        if (parts.length > 1) return get(parts, out);
        return query.containsKey("watch") ? watch(parts[0], query, out) : list(parts[0], out);
    }

    private boolean get(String[] parts, OutputStream out) throws IOException {
        String body;
        synchronized (this) {
            Entry entry = kinds.getOrDefault(parts[0], new TreeMap<>()).get(parts[1]);
            body = entry == null || entry.isRemoved ? null : Json.write(json(parts[1], entry));
        }
        return respond(out, body == null ? 404 : 200, body == null ? "{}" : body, era);
    }

    private boolean list(String kind, OutputStream out) throws IOException {
        Map<String, Object> page = new LinkedHashMap<>();
        long listedEra;
        synchronized (this) {
            List<Object> items = new ArrayList<>();
            kinds.getOrDefault(kind, new TreeMap<>()).forEach((name, entry) -> {
                if (!entry.isRemoved) items.add(json(name, entry));
            });
            page.put("items", items);
            page.put("hasMore", false);
            page.put("asOf", revision);
            listedEra = era;
        }
        return respond(out, 200, Json.write(page), listedEra);
    }

    private boolean watch(String kind, Map<String, String> query, OutputStream out) throws Exception {
        long from = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        Map<String, Object> page = new LinkedHashMap<>();
        long startEra;
        synchronized (this) {
            startEra = era;
            if (from > revision) return respond(out, 410, "{}", era);
            List<Object> events = events(kind, from);
            while (events.isEmpty() && era == startEra) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                wait(left);
                events = events(kind, from);
            }
            if (era != startEra) return false;
            page.put("events", events);
            page.put("asOf", revision);
        }
        return respond(out, 200, Json.write(page), startEra);
    }

    private List<Object> events(String kind, long from) {
        List<Map.Entry<String, Entry>> changed = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : kinds.getOrDefault(kind, new TreeMap<>()).entrySet()) {
            if (entry.getValue().revision > from) changed.add(entry);
        }
        changed.sort((a, b) -> Long.compare(a.getValue().revision, b.getValue().revision));
        List<Object> events = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : changed) {
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("object", json(entry.getKey(), entry.getValue()));
            event.put("tombstone", entry.getValue().isRemoved);
            events.add(event);
        }
        return events;
    }

    private boolean change(Http.Message request, String[] parts, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8)));
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        boolean isNew = request.method().equals("POST");
        String name = isNew ? (String) metadata.get("name") : parts[1];
        boolean isStatus = parts.length > 2;
        Object expected = metadata == null ? null : metadata.get("revision");
        int status;
        String answer;
        long writtenEra;
        synchronized (this) {
            writtenEra = era;
            Entry known = kinds.computeIfAbsent(parts[0], k -> new TreeMap<>()).get(name);
            if (known != null && known.isRemoved) known = null;
            if (isNew ? known != null : known != null && expected != null && (Long) expected != known.revision) {
                status = 409;
            } else if (!isNew && known == null) {
                status = 404;
            } else {
                status = 200;
                Entry next = new Entry();
                next.spec = isStatus ? known.spec : body.get("spec");
                next.status = isStatus ? body.get("status") : known == null ? null : known.status;
                next.created = known == null ? revision + 1 : known.created;
                boolean isSame =
                    known != null
                        && Json.write(known.spec).equals(Json.write(next.spec))
                        && Json.write(known.status).equals(Json.write(next.status));
                if (!isSame) put(parts[0], name, next);
                known = kinds.get(parts[0]).get(name);
            }
            answer = known == null ? "{}" : Json.write(json(name, known));
        }
        return respond(out, status, answer, writtenEra);
    }

    private Map<String, Object> json(String name, Entry entry) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
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

    private boolean respond(OutputStream out, int status, String body, long era) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Http.send(
            out,
            Http.head(
                "HTTP/1.1 " + status + " S",
                "Content-Type", "application/json",
                "Store-Era", Long.toString(era),
                "Content-Length", Integer.toString(bytes.length)),
            bytes);
        return true;
    }
}
