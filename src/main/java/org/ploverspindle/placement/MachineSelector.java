package org.ploverspindle.placement;

import java.util.List;
import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.model.Catalogue;

/** Selects the machine for a task: bin packing, with penalties in cores. */
final class MachineSelector {
  /** The penalty for each second of fetching the image. */
  private static final double CORES_PER_FETCH_S = 2;

  /** The same for a job that should start at once: any machine that has its image comes first. */
  private static final double CORES_PER_FETCH_S_PROMPT = 200;

  /**
   * The penalty for a machine of the other kind. A job that saves its progress or is short loses
   * little with a reclaimed spot machine, and leaves on-demand machines to those that would begin
   * anew.
   */
  private static final double OTHER_KIND_CORES = 20;

  /** Tasks up to this estimate are short. */
  private static final double SHORT_S = 20;

  /** The penalty for a machine where the job failed: only another can show whose fault it was. */
  private static final double FAILED_HERE_CORES = 10_000;

  private static final double MIN_FETCH_GB_PER_S = 0.01;
  private static final double CORE = 1_000;

  private final Catalogue catalogue;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;

  MachineSelector(
      Catalogue catalogue, RuntimeEstimates estimates, ServiceLevelObjectives objectives) {
    this.catalogue = catalogue;
    this.estimates = estimates;
    this.objectives = objectives;
  }

  /** True when a task of the job could be placed on the machine now, whatever its heartbeats. */
  static boolean accepts(Machine machine, Job job) {
    return job.perTask().fitsIn(machine.free())
        && Placer.allows(job, machine)
        && (!machine.isSuspect() || machine.placements().isEmpty());
  }

  /**
   * The machine with the least room, so that large rooms stay whole for large tasks. Fetching the
   * image counts against a machine that lacks it. Empty when no machine accepts the job.
   */
  Optional<Machine> select(Job job, List<Machine> machines) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    boolean prefersOnDemand = !job.spec().isCheckpointed() && estimates.runS(job) > SHORT_S;
    double coresPerFetchS =
        objectives.requiresPromptStart(job) ? CORES_PER_FETCH_S_PROMPT : CORES_PER_FETCH_S;
    for (Machine machine : machines) {
      if (!accepts(machine, job)) {
        continue;
      }
      double score = machine.free().cores() / CORE + fetchS(job, machine) * coresPerFetchS;
      if (machine.isSpot() == prefersOnDemand && !machine.isScaleInCandidate()) {
        score += OTHER_KIND_CORES;
      }
      if (job.hasFailedOn(machine.host())) {
        score += FAILED_HERE_CORES;
      }
      if (score < bestScore) {
        bestScore = score;
        best = machine;
      }
    }
    return Optional.ofNullable(best);
  }

  private double fetchS(Job job, Machine machine) {
    if (machine.hasImage(job.spec().image())) {
      return 0;
    }
    double gbPerS = catalogue.type(machine.type()).fetchGbPerS();
    return job.spec().imageGb() / Math.max(MIN_FETCH_GB_PER_S, gbPerS);
  }
}
