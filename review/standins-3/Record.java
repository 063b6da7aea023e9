import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, one line each. */
final class Record implements AutoCloseable {
    private final PrintWriter out;

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
        out.println(Clock.millis() + " " + line);
    }

    /** Adds a line and prints it. */
    synchronized void say(String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
