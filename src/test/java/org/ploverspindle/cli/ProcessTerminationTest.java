package org.ploverspindle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a process that lives on, and so is not restarted, although no thread decides any
 * more.
 */
class ProcessTerminationTest {
  private static final int TIMEOUT_S = 60;

  @Test
  void processEndsWhenItsHeapIsFull() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx16m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                FailingController.class.getName())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    boolean hasEnded = process.waitFor(TIMEOUT_S, TimeUnit.SECONDS);
    process.destroyForcibly();
    assertTrue(hasEnded, "the process lives on without its event loop");
    assertEquals(Main.FATAL_ERROR, process.exitValue());
  }
}
