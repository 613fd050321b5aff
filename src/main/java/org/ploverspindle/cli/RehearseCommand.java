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
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.jar.JarFile;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;
import picocli.CommandLine.Command;

/**
 * Starts a controller on loopback, with its own address as that of the state service and of the
 * cloud, sends it a few requests, and stops it. The build makes the class-data archive from the
 * classes that are loaded by this. A class that is missing there is later loaded from the jar,
 * which takes long on a small machine.
 */
@Command(name = "rehearse", hidden = true, description = "Used by the build.")
final class RehearseCommand implements Callable<Integer> {
  private static final String OWN = "org/ploverspindle/";
  private static final String CLASS_SUFFIX = ".class";
  private static final int ROUNDS = 3;
  private static final long PAUSE_MS = 400;
  private static final int READ_TIMEOUT_MS = 5_000;

  @Override
  public Integer call() throws Exception {
    byte[] sample = RehearseCommand.class.getResourceAsStream("/rehearsal.toml").readAllBytes();
    String front = "127.0.0.1:" + freePort();
    Settings settings =
        SettingsFile.parse(
            "rehearsal.toml",
            new String(sample, StandardCharsets.UTF_8)
                .replace("front = \"127.0.0.1:0\"", "front = \"" + front + "\"")
                .replace("\"127.0.0.1:1\"", "\"" + front + "\""));
    ControllerProcess service =
        new ControllerProcess(settings, Policy.DEFAULT, new SplittableRandom());
    service.start();
    loadOwnClasses();
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(PAUSE_MS);
      ask("GET", front, "/ready", new byte[0]);
      ask("GET", front, "/submissions/run-1", new byte[0]);
      ask("POST", front, "/submissions", sampleBody());
      ask("POST", front, "/submissions/run-1/withdraw", sampleBody());
      ask("POST", front, "/checkin", sampleBody());
      ask("GET", front, "/status", new byte[0]);
    }
    service.stop();
    return 0;
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return free.getLocalPort();
    }
  }

  private static byte[] sampleBody() {
    ObjectNode body = Cbor.map();
    body.put("uid", "run-1").put("pieces", 3).put("cores", 1.5).put("one_zone", true);
    body.put("large", 1L << 60).putNull("site");
    body.putArray("flavours").add("a").addObject().put("b", -7);
    byte[] bytes = Cbor.write(body);
    if (!Cbor.readMap(bytes).equals(java.util.Optional.of(body))) {
      throw new IllegalStateException("CBOR that was written is not what was read");
    }
    return bytes;
  }

  /** Loads the program's own classes from its jar; from a folder of classes there is no archive. */
  private static void loadOwnClasses() throws Exception {
    Path self =
        Path.of(RehearseCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    if (!self.toString().endsWith(".jar")) {
      return;
    }
    try (JarFile jar = new JarFile(self.toFile())) {
      List<String> names =
          jar.stream()
              .map(e -> e.getName())
              .filter(n -> n.startsWith(OWN) && n.endsWith(CLASS_SUFFIX))
              .toList();
      for (String name : names) {
        Class.forName(name.substring(0, name.length() - CLASS_SUFFIX.length()).replace('/', '.'));
      }
    }
  }

  private static void ask(String method, String front, String path, byte[] body)
      throws IOException {
    HttpURLConnection c =
        (HttpURLConnection) URI.create("http://" + front + path).toURL().openConnection();
    c.setRequestMethod(method);
    c.setReadTimeout(READ_TIMEOUT_MS);
    if (body.length > 0) {
      c.setDoOutput(true);
      try (OutputStream out = c.getOutputStream()) {
        out.write(body);
      }
    }
    c.getResponseCode();
    c.disconnect();
  }
}
