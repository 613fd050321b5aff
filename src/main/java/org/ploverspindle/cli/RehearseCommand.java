package org.ploverspindle.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;
import picocli.CommandLine.Command;

/**
 * Starts a controller on the loopback interface, sends it a few requests, and stops it. The
 * controller's own address is configured as that of the state service and of the cloud. The build
 * creates the class-data archive from the classes that are loaded during the run. A class that is
 * missing from the archive is later loaded from the jar, which is slow on a small machine.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Loads the classes for the build's class-data archive.")
final class RehearseCommand implements Callable<Integer> {
  private static final String OWN_CLASSES_PREFIX = "org/ploverspindle/";
  private static final String CLASS_SUFFIX = ".class";
  private static final String SAMPLE_UID = "run-1";
  private static final String SAMPLE_PATH = "/submissions/" + SAMPLE_UID;

  /**
   * Samples of each kind of number that a body may hold: small, negative, 64-bit, floating point.
   */
  private static final int SMALL = 3;

  private static final int NEGATIVE = -7;
  private static final long LARGE = 1L << 60;
  private static final double FLOATING_POINT = 1.5;
  private static final int ROUNDS = 3;
  private static final long ROUND_INTERVAL_MS = 400;
  private static final int READ_TIMEOUT_MS = 5_000;

  @Override
  public Integer call() throws Exception {
    byte[] sample = RehearseCommand.class.getResourceAsStream("/rehearsal.toml").readAllBytes();
    String userAddress = "127.0.0.1:" + freePort();
    Settings settings =
        SettingsFile.parse(
            "rehearsal.toml",
            new String(sample, StandardCharsets.UTF_8)
                .replace("front = \"127.0.0.1:0\"", "front = \"" + userAddress + "\"")
                .replace("\"127.0.0.1:1\"", "\"" + userAddress + "\""));
    ControllerProcess process =
        new ControllerProcess(settings, Policy.DEFAULT, new SplittableRandom());
    process.start();
    loadOwnClasses();
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(ROUND_INTERVAL_MS);
      sendRequest("GET", userAddress, "/ready", new byte[0]);
      sendRequest("GET", userAddress, SAMPLE_PATH, new byte[0]);
      sendRequest("POST", userAddress, "/submissions", sampleBody());
      sendRequest("POST", userAddress, SAMPLE_PATH + "/withdraw", sampleBody());
      sendRequest("POST", userAddress, "/checkin", sampleBody());
      sendRequest("GET", userAddress, "/status", new byte[0]);
    }
    process.stop();
    return 0;
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return free.getLocalPort();
    }
  }

  private static byte[] sampleBody() {
    ObjectNode body = Cbor.map();
    body.put("uid", SAMPLE_UID)
        .put("pieces", SMALL)
        .put("cores", FLOATING_POINT)
        .put("one_zone", true);
    body.put("large", LARGE).putNull("site");
    body.putArray("flavours").add("a").addObject().put("b", NEGATIVE);
    byte[] bytes = Cbor.write(body);
    if (!Cbor.readMap(bytes).equals(Optional.of(body))) {
      throw new IllegalStateException(
          "sample body differs after it was encoded as CBOR and decoded: " + body);
    }
    return bytes;
  }

  /**
   * Loads all of the program's own classes from its jar. Does nothing if the program runs from a
   * directory of classes, for which the build creates no archive.
   */
  private static void loadOwnClasses() throws Exception {
    Path self =
        Path.of(RehearseCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    if (!self.toString().endsWith(".jar")) {
      return;
    }
    try (JarFile jar = new JarFile(self.toFile())) {
      List<String> names =
          jar.stream()
              .map(JarEntry::getName)
              .filter(name -> name.startsWith(OWN_CLASSES_PREFIX) && name.endsWith(CLASS_SUFFIX))
              .toList();
      for (String name : names) {
        Class.forName(name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.'));
      }
    }
  }

  private static void sendRequest(String method, String userAddress, String path, byte[] body)
      throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://" + userAddress + path).toURL().openConnection();
    connection.setRequestMethod(method);
    connection.setReadTimeout(READ_TIMEOUT_MS);
    if (body.length > 0) {
      connection.setDoOutput(true);
      try (OutputStream out = connection.getOutputStream()) {
        out.write(body);
      }
    }
    connection.getResponseCode();
    connection.disconnect();
  }
}
