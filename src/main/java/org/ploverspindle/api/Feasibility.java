package org.ploverspindle.api;

import java.util.Optional;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.settings.Settings;

/** Decides whether a job can ever run, given the teams' limits and the machine types. */
final class Feasibility {
  /** Tolerance for comparisons, as amounts are sums of decimal fractions, which are not exact. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Settings settings;
  private final Catalogue catalogue;

  Feasibility(Settings settings, Catalogue catalogue) {
    this.settings = settings;
    this.catalogue = catalogue;
  }

  /**
   * Whether the machine types are known; before that, it can't be decided whether a job can run.
   */
  boolean areMachineTypesKnown() {
    return catalogue.hasMachineTypes();
  }

  /** Returns why the job can never run, as a message for its user; empty if it can run. */
  Optional<String> reasonNeverRuns(JobSpec spec) {
    Optional<Settings.Team> team = settings.team(spec.team());
    if (team.isEmpty()) {
      return Optional.of("unknown team");
    }
    // A batch job can run one task at a time; jobs of other kinds need all their tasks at once.
    int simultaneousTasks = spec.kind() == JobKind.BATCH ? 1 : spec.tasks();
    if (exceeds(team.get().maxCores(), spec.cores() * simultaneousTasks)
        || exceeds(team.get().maxAccelerators(), spec.accelerators() * simultaneousTasks)) {
      return Optional.of("more than the team's limit");
    }
    boolean fits = catalogue.types().stream().anyMatch(type -> fits(spec, type));
    return fits ? Optional.empty() : Optional.of("a task fits no allowed machine type");
  }

  /** Whether the cloud offers a machine type of that name. */
  boolean isKnownType(String name) {
    return catalogue.typeIndex(name).isPresent();
  }

  private static boolean exceeds(double limit, double amount) {
    return limit > 0 && amount > limit + ROUNDING_TOLERANCE;
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    return spec.allowedTypes().map(allowed -> allowed.contains(type.name())).orElse(true)
        && spec.requiredZone().map(zone -> type.zones().contains(zone)).orElse(true)
        && spec.perTask().fitsIn(type.size());
  }
}
