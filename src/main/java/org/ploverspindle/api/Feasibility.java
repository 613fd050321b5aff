package org.ploverspindle.api;

import java.util.Optional;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.settings.Settings;

/** Can a job ever run, given the teams' limits and the machine types? */
final class Feasibility {
  /** Amounts are sums of decimal numbers. */
  private static final double ROUNDING = 1e-9;

  private final Settings settings;
  private final Catalogue catalogue;

  Feasibility(Settings settings, Catalogue catalogue) {
    this.settings = settings;
    this.catalogue = catalogue;
  }

  /** Without the machine types nothing can be decided. */
  boolean isDecidable() {
    return catalogue.isKnown();
  }

  /** Why the job can never run, if so. */
  Optional<String> reasonNeverRuns(JobSpec spec) {
    Optional<Settings.Team> team = settings.team(spec.team());
    if (team.isEmpty()) {
      return Optional.of("unknown team");
    }
    int counted = spec.kind() == JobKind.BATCH ? 1 : spec.tasks();
    if (exceeds(team.get().coresMax(), spec.cores() * counted)
        || exceeds(team.get().acceleratorsMax(), spec.accelerators() * counted)) {
      return Optional.of("more than the team's limit");
    }
    boolean fits = catalogue.types().stream().anyMatch(type -> fits(spec, type));
    return fits ? Optional.empty() : Optional.of("a task fits no allowed machine type");
  }

  boolean isKnownType(String name) {
    return catalogue.typeIndex(name).isPresent();
  }

  private static boolean exceeds(double limit, double amount) {
    return limit > 0 && amount > limit + ROUNDING;
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    return spec.types().map(allowed -> allowed.contains(type.name())).orElse(true)
        && spec.zone().map(zone -> type.zones().contains(zone)).orElse(true)
        && spec.perTask().fitsIn(type.size());
  }
}
