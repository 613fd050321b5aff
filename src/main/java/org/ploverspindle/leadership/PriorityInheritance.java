package org.ploverspindle.leadership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.pipelines.CriticalPath;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.placement.ServiceLevelObjectives;
import org.ploverspindle.state.JobRecord;

/**
 * Computes the deadline and the priority that jobs inherit from their dependents along the critical
 * path. The values of all unfinished pipelines are computed together: when one of the pipelines has
 * changed, and periodically, as runtime estimates change. Without pipelines nothing is computed
 * periodically.
 */
final class PriorityInheritance {
  /**
   * Inherited values older than this are computed again. Estimates change slowly: a finished task
   * has a weight of less than a tenth in the estimate of its job class.
   */
  private static final long MAX_AGE_MS = 5_000;

  private static final double MS_PER_S = 1_000;

  private final DependencyGraph graph;
  private final Function<String, Optional<JobRecord>> recordReader;
  private final JobTable jobs;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;
  private final Map<String, JobRecord> recordsByUid = new HashMap<>();
  private boolean changed = true;
  private boolean hasPipelines;
  private OptionalLong lastComputedMs = OptionalLong.empty();

  /**
   * @param recordReader returns the record of the job with a uid; the record of each unfinished job
   *     is read once, and again only if it could not be read
   */
  PriorityInheritance(
      DependencyGraph graph,
      Function<String, Optional<JobRecord>> recordReader,
      JobTable jobs,
      RuntimeEstimates estimates,
      ServiceLevelObjectives objectives) {
    this.graph = graph;
    this.recordReader = recordReader;
    this.jobs = jobs;
    this.estimates = estimates;
    this.objectives = objectives;
  }

  /**
   * Has the next update compute the inherited values again, as a job with dependencies was
   * accepted, became ready or was aborted.
   */
  void changed() {
    changed = true;
  }

  /** Computes the inherited values of all jobs again if they are outdated. */
  void update(long nowMs) {
    if (changed || hasPipelines && isOutdated(nowMs)) {
      changed = false;
      lastComputedMs = OptionalLong.of(nowMs);
      compute();
    }
  }

  private boolean isOutdated(long nowMs) {
    return lastComputedMs.isEmpty() || nowMs - lastComputedMs.getAsLong() > MAX_AGE_MS;
  }

  private void compute() {
    Map<String, CriticalPath.EffectiveValues> byDeadline = computeInherited(spec -> 1);
    Map<String, CriticalPath.EffectiveValues> byLatestDeadline =
        computeInherited(spec -> objectives.largestDeadlineMultiple(spec.jobClass()));
    hasPipelines = !byDeadline.isEmpty();
    recordsByUid.keySet().retainAll(byDeadline.keySet());
    byDeadline.forEach((uid, inherited) -> inherit(uid, inherited, byLatestDeadline.get(uid)));
  }

  private void inherit(
      String uid,
      CriticalPath.EffectiveValues byDeadline,
      CriticalPath.EffectiveValues byLatestDeadline) {
    jobs.get(uid)
        .ifPresent(
            job ->
                job.inherit(
                    byDeadline.priority(),
                    byDeadline.latestFinishWallMs(),
                    byLatestDeadline.latestFinishWallMs()));
  }

  /**
   * @param deadlineMultiple the factor by which the deadline of each job is multiplied
   */
  private Map<String, CriticalPath.EffectiveValues> computeInherited(
      ToDoubleFunction<JobSpec> deadlineMultiple) {
    return CriticalPath.of(
        graph, uid -> record(uid).map(record -> ownValues(record, deadlineMultiple)));
  }

  private CriticalPath.OwnValues ownValues(
      JobRecord record, ToDoubleFunction<JobSpec> deadlineMultiple) {
    JobSpec spec = record.spec();
    OptionalLong latestFinishWallMs =
        spec.deadlineS().isPresent()
            ? OptionalLong.of(record.acceptedWallMs() + scaledDeadlineMs(spec, deadlineMultiple))
            : OptionalLong.empty();
    return new CriticalPath.OwnValues(
        latestFinishWallMs, spec.priority(), estimates.estimatedRuntimeS(spec));
  }

  private static long scaledDeadlineMs(JobSpec spec, ToDoubleFunction<JobSpec> deadlineMultiple) {
    return Math.round(
        spec.deadlineS().getAsDouble() * deadlineMultiple.applyAsDouble(spec) * MS_PER_S);
  }

  private Optional<JobRecord> record(String uid) {
    JobRecord known = recordsByUid.get(uid);
    if (known != null) {
      return Optional.of(known);
    }
    Optional<JobRecord> read = recordReader.apply(uid);
    read.ifPresent(record -> recordsByUid.put(uid, record));
    return read;
  }
}
