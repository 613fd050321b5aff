package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a class in a process with the heap and the flags of the deploy file. */
final class DeployedJvm {
  private static final Path DEPLOY_FILE = Path.of("deploy/service.toml");
  private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"");
  private static final int TIMEOUT_MIN = 10;

  private DeployedJvm() {}

  /** The flags of the deploy file's command, without those for logs and the archive of classes. */
  private static List<String> deployedFlags() throws IOException {
    Matcher run = RUN_COMMAND.matcher(Files.readString(DEPLOY_FILE));
    assertTrue(run.find(), "no run command in " + DEPLOY_FILE);
    return Arrays.stream(run.group(1).split(" "))
        .filter(flag -> flag.startsWith("-X"))
        .filter(flag -> !flag.startsWith("-Xlog") && !flag.startsWith("-Xshare"))
        .filter(flag -> !flag.contains("SharedArchiveFile"))
        .toList();
  }

  /** Runs the class until it ends; returns its output. Fails if its exit code is not 0. */
  static String run(Class<?> main, List<String> arguments, Path folder) throws Exception {
    List<String> flags = deployedFlags();
    assertTrue(flags.stream().anyMatch(flag -> flag.startsWith("-Xmx")), "no limit of the heap");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(main.getName());
    command.addAll(arguments);
    Path output = folder.resolve("output.txt");
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    boolean hasEnded = process.waitFor(TIMEOUT_MIN, TimeUnit.MINUTES);
    process.destroyForcibly();
    String text = Files.readString(output);
    assertTrue(hasEnded, "the run did not end: " + text);
    assertEquals(0, process.exitValue(), text);
    System.out.print(text);
    return text;
  }
}
