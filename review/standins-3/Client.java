import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A requester that opens a channel for each request. */
final class Client {
    private static final AtomicInteger NEXT = new AtomicInteger(1);
    private static final int CONNECT_MILLIS = 1_000;

    private Client() {}

    /** How a request ended: a status, or "abandoned", "deadline" or "closed". */
    record Result(String attempt, String end, Map<String, String> fields, int events, long millis) {}

    /**
     * Sends one request and waits for its answer.
     *
     * @param patienceMillis a stream is abandoned after a longer gap, also before its first event; 0 for none.
     */
    static Result call(
        Fleet fleet, Router router, String method, String path, Map<String, String> fields, String body,
        long deadlineMillis, long patienceMillis) {
        String attempt = String.format("%016x", 0x9c41d07be2000000L + NEXT.getAndIncrement());
        long start = Clock.millis();
        fleet.record.add("sends " + attempt + " " + method + " " + path + " to " + router.host + " " + fields);
        Map<String, String> answered = new LinkedHashMap<>();
        int[] events = {0};
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.host, router.frontPort()), CONNECT_MILLIS);
            socket.setTcpNoDelay(true);
            end = exchange(socket, attempt, method, path, fields, body, start + deadlineMillis, patienceMillis, answered, events);
        } catch (SocketTimeoutException e) {
            end = Clock.millis() >= start + deadlineMillis ? "deadline" : "abandoned";
        } catch (Exception e) {
            end = "closed";
        }
        Result result = new Result(attempt, end, answered, events[0], Clock.millis() - start);
        fleet.record.add("ends " + attempt + " " + end + " events=" + events[0] + " ms=" + result.millis + " " + answered);
        return result;
    }

    private static String exchange(
        Socket socket, String attempt, String method, String path, Map<String, String> fields, String body,
        long deadline, long patienceMillis, Map<String, String> answered, int[] events) throws Exception {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n");
        head.append("Attempt-Id: ").append(attempt).append("\r\n");
        head.append("Deadline-Ms: ").append(deadline - Clock.millis()).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (!method.equals("GET")) head.append("Content-Length: ").append(bytes.length).append("\r\n");
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        InputStream in = new BufferedInputStream(socket.getInputStream());
        awaitWithin(socket, deadline, patienceMillis);
        Http.Head response = Http.readHead(in);
        if (response == null) return "closed";
        answered.putAll(response.fields);
        if (response.get("Transfer-Encoding") == null) {
            Http.readBody(response, in);
            return Integer.toString(response.status());
        }
        while (true) {
            awaitWithin(socket, deadline, patienceMillis);
            byte[] chunk = Http.readChunk(in);
            if (chunk.length == 0) return Integer.toString(response.status());
            events[0] += new String(chunk, StandardCharsets.UTF_8).split("\n\n").length;
        }
    }

    private static void awaitWithin(Socket socket, long deadline, long patienceMillis) throws Exception {
        long left = Math.max(1, deadline - Clock.millis());
        socket.setSoTimeout((int) (patienceMillis > 0 ? Math.min(left, patienceMillis) : left));
    }
}
