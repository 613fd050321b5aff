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
    description = "Prints the bounds that a scan gives each zone of a pool.")
final class BoundsCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--min", required = true, description = "The pool's minimum.")
  private int min;

  @Option(names = "--max", required = true, description = "The pool's maximum.")
  private int max;

  @Option(names = "--zones", split = ",", required = true, description = "Zones, in order.")
  private List<String> zones;

  @Option(names = "--held", split = ",", description = "Machines held in each zone; default 0.")
  private List<Integer> held = List.of();

  @Option(names = "--backed-off", split = ",", description = "Zones whose rentals failed.")
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
            zone, bounds.min(), bounds.max(), group.held(), group.backedOff() ? " (backoff)" : "");
  }

  private void check() {
    if (min < 0 || max < min) {
      throw invalid("--min must be 0 or more and --max not below it");
    }
    if (!held.isEmpty()
        && (held.size() != zones.size() || held.stream().anyMatch(count -> count < 0))) {
      throw invalid("--held needs a count of 0 or more for each zone");
    }
    for (String zone : backedOff) {
      if (!zones.contains(zone)) {
        throw invalid("--backed-off names " + zone + ", which is not among the zones");
      }
    }
  }

  private ParameterException invalid(String message) {
    return new ParameterException(spec.commandLine(), message);
  }
}
