package org.ploverspindle.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.policy.PolicyFile;
import org.ploverspindle.settings.InvalidSettingsException;
import org.ploverspindle.settings.LimitChecks;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The entry point of the program and its top-level command, which runs a controller. */
@Command(
    name = "ploverspindle",
    mixinStandardHelpOptions = true,
    version = "ploverspindle 0.1.0",
    description = "Runs a controller of the cluster scheduler.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:success",
      "1:the command failed; the error message says why",
      "2:the command line, the settings or the policy is invalid",
      "3:the running controller ended after an error, such as one for a full heap"
    },
    subcommands = {
      CheckCommand.class,
      BoundsCommand.class,
      StatusCommand.class,
      RehearseCommand.class,
      CommandLine.HelpCommand.class
    })
public final class Main implements Callable<Integer> {
  /** Exit code of a command that succeeded. */
  static final int OK = 0;

  /** Exit code of a command that was valid but failed. */
  static final int OPERATION_FAILED = 1;

  /** Exit code if the command line, the settings or the policy are invalid. */
  static final int INVALID_INPUT = 2;

  /** Exit code of a running controller that ended after an error; the JVM uses it as well. */
  static final int FATAL_ERROR = 3;

  /**
   * Returned in place of an exit code after the controller has started: the process must not exit,
   * and the controller's threads keep it alive.
   */
  private static final int RUNNING = -1;

  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "The platform's settings file (TOML); runs a controller with these settings.")
  private Optional<Path> config = Optional.empty();

  @Option(
      names = "--policy",
      paramLabel = "FILE",
      description = "The operators' policy file; see docs/operations.md.")
  private Optional<Path> policyOrDefault = Optional.empty();

  private Main() {}

  /** Runs the command line; the exit codes are listed in the annotation of this class. */
  public static void main(String[] args) {
    setUpLogging();
    if (args.length == 2 && args[0].equals("--config")) {
      if (!startWithoutPicocli(Path.of(args[1]))) {
        System.exit(INVALID_INPUT);
      }
      return;
    }
    int code = commandLine().execute(args);
    if (code != RUNNING) {
      System.exit(code);
    }
  }

  /**
   * Starts the controller for the command line that the platform uses, {@code --config FILE}
   * without other arguments. It avoids picocli, whose classes a class-data archive can't hold: to
   * load them from the jar would slow down the start. Returns whether the controller was started.
   */
  private static boolean startWithoutPicocli(Path config) {
    try {
      Settings settings = SettingsFile.load(config);
      run(settings, Policy.DEFAULT);
      return true;
    } catch (InvalidSettingsException e) {
      System.err.println(e.getMessage());
    } catch (IOException e) {
      System.err.println("controller could not be started: " + e);
    }
    return false;
  }

  private static void run(Settings settings, Policy policy) throws IOException {
    new ControllerProcess(settings, policy, new SplittableRandom()).start();
    Logger log = LoggerFactory.getLogger(Main.class);
    LimitChecks.warnings(settings).forEach(warning -> log.warn("{}", warning));
    log.info(
        "controller started: member={} address={}",
        settings.controllerName(),
        settings.userAddress());
  }

  static CommandLine commandLine() {
    return new CommandLine(new Main())
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              line.getErr()
                  .println(
                      e instanceof InvalidSettingsException
                          ? e.getMessage()
                          : "command failed: " + e);
              return e instanceof InvalidSettingsException ? INVALID_INPUT : OPERATION_FAILED;
            });
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

  /** The policy in the file, or the default policy if no file is given. */
  static Policy policyOrDefault(Optional<Path> file, Settings settings)
      throws InvalidSettingsException {
    return file.isPresent() ? PolicyFile.load(file.get(), settings) : Policy.DEFAULT;
  }

  @Override
  public Integer call() throws Exception {
    if (config.isEmpty()) {
      PrintWriter err = spec.commandLine().getErr();
      err.println("either --config FILE or a command must be given");
      spec.commandLine().usage(err);
      return INVALID_INPUT;
    }
    Settings settings = SettingsFile.load(config.get());
    run(settings, policyOrDefault(policyOrDefault, settings));
    return RUNNING;
  }
}
