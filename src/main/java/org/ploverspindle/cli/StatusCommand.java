package org.ploverspindle.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.ploverspindle.net.Cbor;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the status of a running controller, or of one job. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Asks a controller and prints what it says.")
final class StatusCommand implements Callable<Integer> {
  private static final int TIMEOUT_MS = 3_000;

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "ADDRESS", description = "Its front address, as in 10.0.0.1:8080.")
  private String address;

  @Option(
      names = "--job",
      paramLabel = "UID",
      description = "Asks about one job instead: how it is, and what it awaits.")
  private Optional<String> job = Optional.empty();

  @Override
  public Integer call() {
    String query =
        job.map(uid -> "?job=" + URLEncoder.encode(uid, StandardCharsets.UTF_8)).orElse("");
    try {
      HttpURLConnection c =
          (HttpURLConnection)
              URI.create("http://" + address + "/status" + query).toURL().openConnection();
      c.setConnectTimeout(TIMEOUT_MS);
      c.setReadTimeout(TIMEOUT_MS);
      if (c.getResponseCode() != HttpURLConnection.HTTP_OK) {
        throw new IOException("it answers " + c.getResponseCode());
      }
      try (InputStream in = c.getInputStream()) {
        String line =
            Cbor.readMap(in.readAllBytes())
                .map(b -> b.path("status").asText(""))
                .filter(s -> !s.isEmpty())
                .orElseThrow(() -> new IOException("its answer can't be read"));
        spec.commandLine().getOut().println(line);
      }
      return 0;
    } catch (IOException | IllegalArgumentException e) {
      spec.commandLine().getErr().println(address + " could not be asked: " + e.getMessage());
      return 1;
    }
  }
}
