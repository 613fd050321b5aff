package org.ploverspindle.cli;

import java.nio.file.Path;
import java.util.ArrayList;
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
import org.ploverspindle.settings.SettingsProblem;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Checks settings and policy without starting anything. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Checks settings and policy; prints every problem. Exit code 2 on any.")
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "The settings.")
  private Path config;

  @Option(names = "--policy", paramLabel = "FILE", description = "The policy, if any.")
  private Optional<Path> policy = Optional.empty();

  @Option(
      names = "--machines",
      paramLabel = "N",
      description = "The largest fleet that is planned: names what can't carry it.")
  private Optional<Integer> machines = Optional.empty();

  @Override
  public Integer call() {
    List<SettingsProblem> problems = new ArrayList<>();
    try {
      Settings settings = SettingsFile.load(config);
      Policy checked = Main.policy(policy, settings);
      LimitChecks.warnings(settings)
          .forEach(w -> spec.commandLine().getErr().println("warning: " + w));
      machines.ifPresent(planned -> tellShortages(settings, planned));
      Settings.StateLimits state = settings.writeLimits();
      spec.commandLine().getOut().println("valid: " + settings.member() + ", " + checked);
      spec.commandLine()
          .getOut()
          .printf(
              Locale.ROOT,
              "state service: %s requests/s, %s changes/s, %s KiB a value, %d changes a transaction"
                  + " are kept to%n",
              state.rps(),
              state.writeRps(),
              state.valueKb(),
              state.txnOps());
      spec.commandLine()
          .getOut()
          .printf(
              Locale.ROOT,
              "fleet: up to %d machines, by sockets, memory and processor share%n",
              FleetRequirements.maxMachines(settings));
      return 0;
    } catch (InvalidSettingsException e) {
      problems.addAll(e.problems());
    }
    problems.forEach(spec.commandLine().getErr()::println);
    return 2;
  }

  private void tellShortages(Settings settings, int planned) {
    if (planned < 1) {
      throw new ParameterException(
          spec.commandLine(), "--machines must be at least 1, and is " + planned);
    }
    FleetRequirements.of(settings, planned)
        .shortages(settings)
        .forEach(w -> spec.commandLine().getErr().println("warning: " + w));
  }
}
