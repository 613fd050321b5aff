package org.ploverspindle.placement;

import java.util.List;
import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.model.Catalogue;

/**
 * Selects the machine for a task by bin packing. A machine's score is its free cores plus penalties
 * that are expressed in cores, and the machine with the lowest score is selected.
 */
final class MachineSelector {
  /** Penalty in cores for each second that it takes to fetch the image. */
  private static final double FETCH_PENALTY_CORES_PER_S = 2;

  /**
   * Penalty in cores for each second that it takes to fetch the image for a job that should start
   * at once. It is so large that any machine that has the image is preferred.
   */
  private static final double PROMPT_FETCH_PENALTY_CORES_PER_S = 200;

  /**
   * Penalty in cores for a machine of the kind, spot or on-demand, that the job does not prefer. A
   * job that writes checkpoints or has short tasks loses little when a spot machine is reclaimed.
   * It prefers spot machines and so leaves on-demand machines to jobs that would have to start from
   * the beginning.
   */
  private static final double OTHER_KIND_PENALTY_CORES = 20;

  /** Tasks with an estimated runtime of at most this many seconds are short. */
  private static final double SHORT_TASK_S = 20;

  /**
   * Penalty in cores for a machine on which a task of the job failed. Only an attempt on another
   * machine can show whether the job or the machine was at fault.
   */
  private static final double FAILED_HERE_PENALTY_CORES = 10_000;

  private static final double MIN_FETCH_GB_PER_S = 0.01;
  private static final double THOUSANDTHS_PER_CORE = 1_000;

  private final Catalogue catalogue;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;

  MachineSelector(
      Catalogue catalogue, RuntimeEstimates estimates, ServiceLevelObjectives objectives) {
    this.catalogue = catalogue;
    this.estimates = estimates;
    this.objectives = objectives;
  }

  /**
   * True when a task of the job fits on the machine and may be placed there. A suspect machine
   * accepts a task only while it has no placement. Heartbeats of the machine are not considered.
   */
  static boolean accepts(Machine machine, Job job) {
    return job.perTask().fitsIn(machine.free())
        && Placer.allows(job, machine)
        && (!machine.isSuspect() || machine.placements().isEmpty());
  }

  /**
   * Returns the machine with the lowest score; empty when no machine accepts the job. Machines with
   * few free cores are preferred, so that large tasks still find machines on which they fit.
   */
  Optional<Machine> select(Job job, List<Machine> machines) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    boolean prefersOnDemand =
        !job.spec().isCheckpointed() && estimates.estimatedRuntimeS(job) > SHORT_TASK_S;
    double fetchPenaltyCoresPerS =
        objectives.requiresPromptStart(job)
            ? PROMPT_FETCH_PENALTY_CORES_PER_S
            : FETCH_PENALTY_CORES_PER_S;
    for (Machine machine : machines) {
      if (!accepts(machine, job)) {
        continue;
      }
      double score =
          machine.free().cores() / THOUSANDTHS_PER_CORE
              + fetchS(job, machine) * fetchPenaltyCoresPerS;
      if (machine.isSpot() == prefersOnDemand && !machine.isScaleInCandidate()) {
        score += OTHER_KIND_PENALTY_CORES;
      }
      if (job.hasFailedOn(machine.host())) {
        score += FAILED_HERE_PENALTY_CORES;
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
