import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small blocking HTTP/1.1 server and client for the stand-ins: one thread a connection. */
final class Http {
    private Http() {}

    /** A head with its body; names of header fields are in lower case. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }
    }

    interface Handler {
        /** Answers [request] on [out]; returns whether the connection is kept. */
        boolean handle(Message request, Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A server on a loopback address; port 0 takes a free one. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port), 1024);
            thread("server " + address(), this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        int connections() {
            return open.size();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    thread("connection of " + address(), () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16384);
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, socket, in, out)) return;
                }
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                open.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) reset(socket);
        }
    }

    static void thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    static Socket connect(String address) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        int colon = address.lastIndexOf(':');
        socket.connect(
            new InetSocketAddress(
                InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1))),
            1000);
        return socket;
    }

    static byte[] head(String startLine, String... headers) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        for (int i = 0; i + 1 < headers.length; i += 2) {
            if (headers[i + 1] != null) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void send(OutputStream out, byte[] head, byte[] body) throws IOException {
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Reads a head; null where the connection ended before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (true) {
            String field = line(in);
            if (field == null) throw new IOException("the head is cut");
            if (field.isEmpty()) return message;
            int colon = field.indexOf(':');
            message.headers.put(field.substring(0, colon).trim().toLowerCase(), field.substring(colon + 1).trim());
        }
    }

    /** Reads a whole message; a response without a length ends with its connection. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            while (true) {
                int size = Integer.parseInt(required(line(in)).split(";")[0].trim(), 16);
                body.write(exactly(in, size));
                required(line(in));
                if (size == 0) break;
            }
        } else if (message.header("Content-Length") != null) {
            body.write(exactly(in, Integer.parseInt(message.header("Content-Length"))));
        } else if (isResponse && message.status() != 204 && message.status() != 304) {
            in.transferTo(body);
        }
        message.body = body.toByteArray();
        return message;
    }

    static String required(String line) throws IOException {
        if (line == null) throw new IOException("the connection ended early");
        return line;
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("the body is cut at " + bytes.length + " of " + size);
        return bytes;
    }

    /** Reads a line without its end; null where the connection ended. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : fail();
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1);
            if (next != '\r') line.write(next);
        }
    }

    private static String fail() throws IOException {
        throw new IOException("a line is cut");
    }
}
