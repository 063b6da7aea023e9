import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 implementation for stand-ins: blocking, one thread for each connection. */
final class Http {
    /** Head and body of a short message go out in one write. */
    private static final int ONE_WRITE_BYTES = 16_384;

    private Http() {}

    /** A request or response. {@code start} holds the three parts of the first line. */
    static final class Message {
        final String[] start;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        Message(String... start) {
            this.start = start;
        }

        Message header(String name, String value) {
            headers.add(new String[] {name, value});
            return this;
        }

        /** Returns the first value of the header field, or null. */
        String get(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(start[1]);
        }
    }

    static Message response(int status, String body) {
        Message message = new Message("HTTP/1.1", Integer.toString(status), "Status");
        message.body = body.getBytes(StandardCharsets.UTF_8);
        return message;
    }

    /** Reads one message; returns null when the connection ended before its first byte. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        String[] parts = line.split(" ", 3);
        Message message = new Message(parts);
        while (true) {
            String header = readLine(in);
            if (header == null) throw new IOException("the head is incomplete");
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.header(header.substring(0, colon), header.substring(colon + 1).trim());
        }
        message.body = readBody(in, message);
        return message;
    }

    private static byte[] readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.get("Transfer-Encoding"))) return readChunks(in);
        String length = message.get("Content-Length");
        if (length == null) return new byte[0];
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) throw new IOException("the body is incomplete");
        return body;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new IOException("the body is incomplete");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            body.write(in.readNBytes(size));
            if (readLine(in) == null) throw new IOException("the body is incomplete");
            if (size == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new IOException("the line is incomplete");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, Message message) throws IOException {
        StringBuilder head = new StringBuilder(String.join(" ", message.start)).append("\r\n");
        for (String[] header : message.headers) head.append(header[0]).append(": ").append(header[1]).append("\r\n");
        if (message.get("Content-Length") == null) head.append("Content-Length: ").append(message.body.length).append("\r\n");
        head.append("\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] first = Arrays.copyOf(headBytes, headBytes.length + Math.min(message.body.length, ONE_WRITE_BYTES));
        int bodyBytes = first.length - headBytes.length;
        System.arraycopy(message.body, 0, first, headBytes.length, bodyBytes);
        out.write(first);
        if (bodyBytes < message.body.length) out.write(message.body, bodyBytes, message.body.length - bodyBytes);
        out.flush();
    }

    /** Answers the requests of one connection in turn; returns null to leave a request without an answer. */
    interface Handler {
        Message handle(Connection connection, Message request) throws Exception;
    }

    /** One accepted connection. A silent one stays open and delivers nothing more in either direction. */
    static final class Connection {
        final Socket socket;
        volatile boolean isSilent;

        Connection(Socket socket) {
            this.socket = socket;
        }
    }

    /** A server on a loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final Handler handler;
        final Set<Connection> connections = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port), 1024);
            start("accept", this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Makes all open connections silent for good; connections that are opened later work. */
        int silenceOpenConnections() {
            connections.forEach(it -> it.isSilent = true);
            return connections.size();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Connection connection = new Connection(listener.accept());
                    connections.add(connection);
                    start("serve", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try (Socket socket = connection.socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                while (true) {
                    Message request = read(in);
                    if (request == null) return;
                    if (connection.isSilent) continue;
                    Message response = handler.handle(connection, request);
                    if (response != null && !connection.isSilent) write(socket.getOutputStream(), response);
                }
            } catch (Exception e) {
                // The caller closed the connection.
            } finally {
                connections.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Connection connection : connections) connection.socket.close();
        }
    }

    /** A client connection that may carry several requests, one after the other. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(String address, int timeoutMillis) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                Math.min(timeoutMillis, 1000));
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(Message request) throws IOException {
            write(socket.getOutputStream(), request);
        }

        /** Sends the head at once and the body in pieces with a pause after each. */
        void sendSlowly(Message request, int pieceBytes, long pauseMillis) throws IOException, InterruptedException {
            OutputStream out = socket.getOutputStream();
            Message head = new Message(request.start);
            head.headers.addAll(request.headers);
            head.header("Content-Length", Integer.toString(request.body.length));
            write(out, head);
            for (int sent = 0; sent < request.body.length; sent += pieceBytes) {
                out.write(request.body, sent, Math.min(pieceBytes, request.body.length - sent));
                Thread.sleep(pauseMillis);
            }
        }

        /** Returns the response; throws when the connection ends or the timeout passes before its end. */
        Message receive() throws IOException {
            Message response = read(in);
            if (response == null) throw new IOException("closed without an answer");
            return response;
        }

        Message call(Message request) throws IOException {
            send(request);
            return receive();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 262_144);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
