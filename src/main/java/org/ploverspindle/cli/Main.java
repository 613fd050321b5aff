package org.ploverspindle.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.InvalidSettings;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command line. */
@Command(
    name = "ploverspindle",
    mixinStandardHelpOptions = true,
    version = "ploverspindle 0.1.0",
    description = "Runs a controller of the cluster scheduler.",
    subcommands = {Rehearse.class})
public final class Main implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "The platform's settings (TOML); runs the service.")
  private Path config;

  private Main() {}

  public static void main(String[] args) {
    setUpLogging();
    int code = commandLine().execute(args);
    // While the service runs, its threads keep the process up.
    if (code != RUNNING) {
      System.exit(code);
    }
  }

  static final int RUNNING = -1;

  static CommandLine commandLine() {
    return new CommandLine(new Main());
  }

  private static void setUpLogging() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
  }

  @Override
  public Integer call() throws Exception {
    PrintWriter err = spec.commandLine().getErr();
    if (config == null) {
      spec.commandLine().usage(err);
      return CommandLine.ExitCode.USAGE;
    }
    Settings settings;
    try {
      settings = SettingsFile.load(config);
    } catch (InvalidSettings e) {
      err.println(e.getMessage());
      return CommandLine.ExitCode.USAGE;
    }
    Service service = new Service(settings, Policy.DEFAULT, new java.util.SplittableRandom());
    service.start();
    Logger log = LoggerFactory.getLogger(Main.class);
    log.info("{} serves {}", settings.member(), settings.front());
    return RUNNING;
  }
}
