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

/** Requests the status of a controller or of one job over HTTP and prints it. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Prints the status of a controller or of one job.")
final class StatusCommand implements Callable<Integer> {
  private static final int TIMEOUT_MS = 3_000;

  @Spec private CommandSpec spec;

  @Parameters(
      paramLabel = "ADDRESS",
      description = "The controller's user address (front in its settings), as in 10.0.0.1:8080.")
  private String address;

  @Option(
      names = "--job",
      paramLabel = "UID",
      description = "Prints the status of this job instead, and the jobs that it depends on.")
  private Optional<String> job = Optional.empty();

  @Override
  public Integer call() {
    try {
      spec.commandLine().getOut().println(requestStatus());
      return Main.OK;
    } catch (IOException | IllegalArgumentException e) {
      spec.commandLine().getErr().println(address + " could not be asked: " + e.getMessage());
      return Main.OPERATION_FAILED;
    }
  }

  private String requestStatus() throws IOException {
    String query =
        job.map(uid -> "?job=" + URLEncoder.encode(uid, StandardCharsets.UTF_8)).orElse("");
    HttpURLConnection connection =
        (HttpURLConnection)
            URI.create("http://" + address + "/status" + query).toURL().openConnection();
    connection.setConnectTimeout(TIMEOUT_MS);
    connection.setReadTimeout(TIMEOUT_MS);
    if (connection.getResponseCode() != HttpURLConnection.HTTP_OK) {
      throw new IOException("it answers " + connection.getResponseCode());
    }
    try (InputStream in = connection.getInputStream()) {
      return Cbor.readMap(in.readAllBytes())
          .map(body -> body.path("status").asText(""))
          .filter(line -> !line.isEmpty())
          .orElseThrow(() -> new IOException("its answer can't be read"));
    }
  }
}
