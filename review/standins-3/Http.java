import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 with one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or a response head with its fields. */
    static final class Head {
        final String firstLine;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        Head(String firstLine) {
            this.firstLine = firstLine;
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String get(String name) {
            return fields.get(name);
        }
    }

    /** A received request. */
    static final class Request {
        final Head head;
        final byte[] body;

        Request(Head head, byte[] body) {
            this.head = head;
            this.body = body;
        }
    }

    /** Returns the next head, or null at the end of the stream before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) return null;
        Head head = new Head(first);
        while (true) {
            String line = readLine(in, false);
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (mayEnd && line.size() == 0) return null;
                throw new EOFException("the stream ended inside a line");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a chunk; an empty one ends the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        byte[] chunk = readExactly(in, size);
        readLine(in, false);
        return chunk;
    }

    static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body is shorter than its length");
        return bytes;
    }

    /** Reads a body by its length or chunks; without either it is empty. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if (head.get("Transfer-Encoding") != null) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) return all.toByteArray();
                all.write(chunk);
            }
        }
        String length = head.get("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    /** One accepted connection, for writing a response. */
    static final class Connection {
        final Socket socket;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void respond(int status, Map<String, String> fields, byte[] body) throws IOException {
            StringBuilder head = head(status, fields);
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            write(all.toByteArray());
        }

        void startChunks(int status, Map<String, String> fields) throws IOException {
            StringBuilder head = head(status, fields);
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        void chunk(byte[] bytes) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            write(all.toByteArray());
        }

        void endChunks() throws IOException {
            write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }

        private void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        private static StringBuilder head(int status, Map<String, String> fields) {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
            fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            return head;
        }
    }

    interface Handler {
        void handle(Request request, Connection connection) throws Exception;
    }

    /** A server on one loopback address. */
    static final class Server {
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private ServerSocket listener;
        final String host;
        final int port;

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            listen(port);
            this.port = listener.getLocalPort();
        }

        String address() {
            return host + ":" + port;
        }

        /** Listens again after {@link #reset}. */
        synchronized void listenAgain() throws IOException {
            listen(port);
        }

        private void listen(int port) throws IOException {
            ServerSocket created = new ServerSocket();
            created.setReuseAddress(true);
            created.bind(new InetSocketAddress(host, port), 200);
            listener = created;
            Threads.start(() -> accept(created));
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Threads.start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Connection connection = new Connection(socket);
                while (true) {
                    Head head = readHead(in);
                    if (head == null) return;
                    handler.handle(new Request(head, readBody(head, in)), connection);
                }
            } catch (Exception e) {
                // The peer or this server has closed the connection.
            } finally {
                open.remove(socket);
            }
        }

        /** Closes the listener and resets all connections, as the end of the process does. */
        synchronized void reset() {
            closeQuietly(listener);
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    // It is closed already.
                }
                closeQuietly(socket);
            }
        }
    }

    static void closeQuietly(java.io.Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }
}
