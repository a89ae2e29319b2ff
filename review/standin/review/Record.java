package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. Thread safe. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    synchronized void line(String format, Object... values) {
        double seconds = (System.nanoTime() - start) / 1e9;
        out.println(String.format(Locale.ROOT, "%8.3f  ", seconds) + String.format(Locale.ROOT, format, values));
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
