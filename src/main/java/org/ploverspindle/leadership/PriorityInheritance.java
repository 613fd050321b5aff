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
 * Tells the jobs in the table what the jobs that need them make of them: the last job's due time
 * and priority, passed back along the critical path. Worked out for all unfinished pipelines at
 * once, when one of them has changed, or now and then as the corrected estimates move; where there
 * are no pipelines, it costs nothing.
 */
final class PriorityInheritance {
  /** Estimates move slowly: each finished task moves its class's by less than a tenth. */
  private static final long MAX_AGE_MS = 5_000;

  private final DependencyGraph graph;
  private final Function<String, Optional<JobRecord>> records;
  private final JobTable jobs;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;
  private final Map<String, JobRecord> recordsByUid = new HashMap<>();
  private boolean changed = true;
  private boolean hasPipelines;
  private long computedMs = Long.MIN_VALUE / 2;

  /**
   * @param records what was accepted under an id; read once for each unfinished job
   */
  PriorityInheritance(
      DependencyGraph graph,
      Function<String, Optional<JobRecord>> records,
      JobTable jobs,
      RuntimeEstimates estimates,
      ServiceLevelObjectives objectives) {
    this.graph = graph;
    this.records = records;
    this.jobs = jobs;
    this.estimates = estimates;
    this.objectives = objectives;
  }

  /** A job that needs others came, or will never run. */
  void changed() {
    changed = true;
  }

  /** Brings all jobs up to date before something is decided by them. */
  void update(long nowMs) {
    if (changed || hasPipelines && nowMs - computedMs > MAX_AGE_MS) {
      changed = false;
      computedMs = nowMs;
      compute();
    }
  }

  private void compute() {
    Map<String, CriticalPath.PriorityInheritance> byDeadline = inheritedWith(spec -> 1);
    Map<String, CriticalPath.PriorityInheritance> byLatestDeadline =
        inheritedWith(spec -> objectives.lastMultiple(spec.jobClass()));
    hasPipelines = !byDeadline.isEmpty();
    recordsByUid.keySet().retainAll(byDeadline.keySet());
    byDeadline.forEach(
        (uid, p) ->
            jobs.get(uid)
                .ifPresent(
                    job ->
                        job.inherit(
                            p.urgency(),
                            p.latestFinishMs(),
                            byLatestDeadline.get(uid).latestFinishMs())));
  }

  /**
   * @param multiple of a job's due time by which it is to be done
   */
  private Map<String, CriticalPath.PriorityInheritance> inheritedWith(
      ToDoubleFunction<JobSpec> multiple) {
    return CriticalPath.of(graph, uid -> record(uid).map(r -> ownValues(r, multiple)));
  }

  private CriticalPath.Own ownValues(JobRecord record, ToDoubleFunction<JobSpec> multiple) {
    JobSpec spec = record.spec();
    OptionalLong latestFinish =
        spec.deadlineS().isPresent()
            ? OptionalLong.of(
                record.acceptedWallMs()
                    + Math.round(
                        spec.deadlineS().getAsDouble() * multiple.applyAsDouble(spec) * 1000))
            : OptionalLong.empty();
    return new CriticalPath.Own(latestFinish, spec.priority(), estimates.runS(spec));
  }

  private Optional<JobRecord> record(String uid) {
    JobRecord read = recordsByUid.get(uid);
    if (read != null) {
      return Optional.of(read);
    }
    Optional<JobRecord> fresh = records.apply(uid);
    fresh.ifPresent(r -> recordsByUid.put(uid, r));
    return fresh;
  }
}
