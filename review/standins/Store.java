import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store. It answers as the users' pages say, and never fails by itself. */
final class Store implements AutoCloseable {
    /** Called for each request of a router before it is handled. */
    interface Listener {
        void onRequest(String method, String target) throws InterruptedException;
    }

    private record Event(long revision, String kind, Map<String, Object> object, boolean isTombstone) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final int pageItems;
    private long revision = 1;
    volatile Listener listener = (method, target) -> {};
    final Http.Server server;

    Store(String host, int pageItems) throws IOException {
        this.pageItems = pageItems;
        server = new Http.Server(host, 0, (connection, request) -> handle(connection, request));
    }

    String address() {
        return server.address();
    }

    /** Writes an object in place of an operator or a replica; returns the revision of the change. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> known = kind(kind).get(name);
        if (known != null && Json.write(known.get("spec")).equals(Json.write(spec))) return revision;
        return change(kind, name, spec, known == null ? null : known.get("status"), known);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kind(kind).remove(name);
        if (known == null) return;
        history.add(new Event(++revision, kind, known, true));
        notifyAll();
    }

    /** Returns the status that the system wrote, or null. */
    synchronized Object status(String kind, String name) {
        Map<String, Object> known = kind(kind).get(name);
        return known == null ? null : known.get("status");
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, it -> new TreeMap<>());
    }

    private long change(String kind, String name, Object spec, Object status, Map<String, Object> known) {
        revision++;
        Object created = known == null ? revision : Json.object(known.get("metadata")).get("created");
        Map<String, Object> metadata =
            Json.of("name", name, "revision", revision, "created", created, "finalizers", List.of(), "deletePending", false);
        Map<String, Object> object = Json.of("metadata", metadata, "spec", spec, "status", status);
        kind(kind).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    private Http.Message handle(Http.Connection connection, Http.Message request) throws Exception {
        String target = request.start[1];
        listener.onRequest(request.start[0], target);
        String[] path = target.split("\\?")[0].substring("/objects/".length()).split("/");
        Map<String, String> query = query(target);
        if (!request.start[0].equals("GET")) return write(request, path, query);
        if (path.length == 2) return read(path);
        if (query.containsKey("watch")) return watch(connection, path[0], query);
        return list(path[0], query.getOrDefault("after", ""));
    }

    private synchronized Http.Message read(String[] path) {
        Map<String, Object> object = kind(path[0]).get(path[1]);
        return object == null ? Http.response(404, "{}") : json(200, object);
    }

    private synchronized Http.Message list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        var rest = kind(kind).tailMap(after, false);
        for (Map<String, Object> object : rest.values()) {
            if (items.size() == pageItems) break;
            items.add(object);
        }
        return json(200, Json.of("items", items, "hasMore", rest.size() > items.size(), "asOf", revision));
    }

    private Http.Message watch(Http.Connection connection, String kind, Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("watch"));
        long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        synchronized (this) {
            while (true) {
                List<Object> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.revision <= after || !event.kind.equals(kind)) continue;
                    events.add(Json.of("object", event.object, "tombstone", event.isTombstone));
                }
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0 || connection.isSilent) {
                    return json(200, Json.of("events", events, "asOf", revision));
                }
                wait(left);
            }
        }
    }

    private synchronized Http.Message write(Http.Message request, String[] path, Map<String, String> query) {
        String kind = path[0];
        Map<String, Object> body = request.body.length == 0 ? Json.of() : Json.object(Json.parse(request.text()));
        Map<String, Object> metadata = Json.object(body.getOrDefault("metadata", Json.of()));
        boolean isCreate = request.start[0].equals("POST");
        String name = isCreate ? (String) metadata.get("name") : path[1];
        Map<String, Object> known = kind(kind).get(name);
        if (isCreate && known != null) return json(409, known);
        if (!isCreate && known == null) return Http.response(404, "{}");
        Object expected = metadata.containsKey("revision") ? metadata.get("revision") : query.get("revision");
        if (!isCreate && expected != null) {
            Object current = Json.object(known.get("metadata")).get("revision");
            if (!current.toString().equals(expected.toString())) return json(409, known);
        }
        if (request.start[0].equals("DELETE")) {
            remove(kind, name);
            return json(200, known);
        }
        boolean isStatus = path.length == 3;
        Object spec = isStatus ? known.get("spec") : body.get("spec");
        Object status = isStatus ? body.get("status") : known == null ? null : known.get("status");
        boolean isSame = known != null && Json.write(known.get("spec")).equals(Json.write(spec))
            && Json.write(known.get("status")).equals(Json.write(status));
        if (!isSame) change(kind, name, spec, status, known);
        return json(isCreate ? 201 : 200, kind(kind).get(name));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String part : target.substring(mark + 1).split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }

    private static Http.Message json(int status, Object body) {
        return Http.response(status, Json.write(body)).header("Content-Type", "application/json");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
