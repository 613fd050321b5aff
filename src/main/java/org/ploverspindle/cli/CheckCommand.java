package org.ploverspindle.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.FleetRequirements;
import org.ploverspindle.settings.InvalidSettingsException;
import org.ploverspindle.settings.LimitChecks;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Checks settings and policy without starting a controller. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Checks settings and policy and prints all errors; exit code 2 if there is any.")
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      required = true,
      description = "The platform's settings file (TOML).")
  private Path config;

  @Option(
      names = "--policy",
      paramLabel = "FILE",
      description = "The operators' policy file; default values apply without it.")
  private Optional<Path> policy = Optional.empty();

  @Option(
      names = "--machines",
      paramLabel = "N",
      description =
          "Planned number of machines, 1 or more: warns of each quota that is too small for it.")
  private Optional<Integer> machines = Optional.empty();

  @Override
  public Integer call() {
    try {
      Settings settings = SettingsFile.load(config);
      Policy checked = Main.policyOrDefault(policy, settings);
      printWarnings(LimitChecks.warnings(settings));
      machines.ifPresent(planned -> printShortages(settings, planned));
      printSummary(settings, checked);
      return Main.OK;
    } catch (InvalidSettingsException e) {
      e.problems().forEach(spec.commandLine().getErr()::println);
      return Main.INVALID_INPUT;
    }
  }

  private void printSummary(Settings settings, Policy checked) {
    Settings.StateLimits state = settings.effectiveStateLimits();
    PrintWriter out = spec.commandLine().getOut();
    out.println("valid: " + settings.controllerName() + ", " + checked);
    out.printf(
        Locale.ROOT,
        "state service: limits in effect are %s requests/s, %s changes/s, %s KiB per value,"
            + " %d changes per transaction%n",
        state.requestsPerS(),
        state.changesPerS(),
        state.maxValueKib(),
        state.maxChangesPerTransaction());
    out.printf(
        Locale.ROOT,
        "fleet: up to %d machines with this quota of sockets, memory and processor cores%n",
        FleetRequirements.maxMachines(settings));
  }

  private void printShortages(Settings settings, int planned) {
    if (planned < 1) {
      throw new ParameterException(
          spec.commandLine(), "--machines must be at least 1, and is " + planned);
    }
    printWarnings(FleetRequirements.of(settings, planned).shortages(settings));
  }

  private void printWarnings(List<LimitChecks.Warning> warnings) {
    warnings.forEach(warning -> spec.commandLine().getErr().println("warning: " + warning));
  }
}
