import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final BufferedWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = Files.newBufferedWriter(file);
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        try {
            mOut.write(String.format(Locale.ROOT, "%7d %s%n", millis(), text));
            mOut.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        mOut.close();
    }
}
