import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, a line each. */
final class Record {
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  synchronized void line(String format, Object... args) {
    out.printf(Locale.ROOT, "%9.3f ", Clock.ms() / 1000.0);
    out.printf(Locale.ROOT, format, args);
    out.println();
    out.flush();
  }
}
