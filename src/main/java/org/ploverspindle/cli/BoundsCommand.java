package org.ploverspindle.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.ploverspindle.sizing.AdaptiveSizing;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Prints the bounds that Adaptive Sizing computes for the group of each zone, for operators who
 * choose the bounds of a pool.
 */
@Command(
    name = "bounds",
    mixinStandardHelpOptions = true,
    description = "Prints the bounds that Adaptive Sizing gives a pool in each zone.")
final class BoundsCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--min",
      required = true,
      description = "Minimum number of machines in the pool, 0 or more.")
  private int min;

  @Option(
      names = "--max",
      required = true,
      description = "Maximum number of machines in the pool, not below --min.")
  private int max;

  @Option(
      names = "--zones",
      split = ",",
      required = true,
      description = "Names of the zones, separated by commas; earlier ones get the remainder.")
  private List<String> zones;

  @Option(
      names = "--held",
      split = ",",
      description = "Number of machines in each zone, in the order of --zones; default: all 0.")
  private List<Integer> held = List.of();

  @Option(
      names = "--backed-off",
      split = ",",
      description = "Zones in backoff, since provisioning requests for them failed; default: none.")
  private List<String> backedOff = List.of();

  @Override
  public Integer call() {
    check();
    List<AdaptiveSizing.Group> groups = new ArrayList<>();
    for (int i = 0; i < zones.size(); i++) {
      groups.add(
          new AdaptiveSizing.Group(
              held.isEmpty() ? 0 : held.get(i), backedOff.contains(zones.get(i))));
    }
    List<AdaptiveSizing.Bounds> bounds = AdaptiveSizing.bounds(min, max, groups);
    for (int i = 0; i < zones.size(); i++) {
      print(zones.get(i), bounds.get(i), groups.get(i));
    }
    return Main.OK;
  }

  private void print(String zone, AdaptiveSizing.Bounds bounds, AdaptiveSizing.Group group) {
    spec.commandLine()
        .getOut()
        .printf(
            "%s: min %d, max %d, held %d%s%n",
            zone,
            bounds.min(),
            bounds.max(),
            group.machineCount(),
            group.backedOff() ? " (backoff)" : "");
  }

  private void check() {
    if (min < 0 || max < min) {
      throw invalid(
          "--min must be at least 0 and --max at least --min; --min is "
              + min
              + " and --max is "
              + max);
    }
    if (!held.isEmpty()
        && (held.size() != zones.size() || held.stream().anyMatch(count -> count < 0))) {
      throw invalid(
          "--held must give a number of at least 0 for each of the "
              + zones.size()
              + " zones, and is "
              + held);
    }
    for (String zone : backedOff) {
      if (!zones.contains(zone)) {
        throw invalid(
            "--backed-off has the zone \"" + zone + "\", which is not one of --zones " + zones);
      }
    }
  }

  private ParameterException invalid(String message) {
    return new ParameterException(spec.commandLine(), message);
  }
}
