package org.ploverspindle.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a user asked for; never changes.
 *
 * @param dependencies jobs that must be done before any task of this one starts, each once. A list
 *     too long for the job's own record is not here when the job is read back: who needs to know
 *     what a job awaits asks the graph of all jobs.
 */
public record JobSpec(
    String uid,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    double cores,
    double accelerators,
    double memoryGb,
    Optional<List<String>> types,
    Optional<String> zone,
    boolean oneZone,
    boolean spreadOverZones,
    boolean spot,
    String image,
    double imageGb,
    double expectedS,
    double checkpointIntervalS,
    double checkpointCostS,
    OptionalDouble deadlineS,
    List<String> dependencies) {

  public static final int MAX_TASKS = 100_000;

  public Resources perTask() {
    return Resources.needed(cores, accelerators, memoryGb);
  }

  /** The same job, allowed on these machine types alone. */
  public JobSpec withTypes(List<String> allowed) {
    return new JobSpec(
        uid,
        jobClass,
        team,
        kind,
        priority,
        tasks,
        cores,
        accelerators,
        memoryGb,
        Optional.of(allowed),
        zone,
        oneZone,
        spreadOverZones,
        spot,
        image,
        imageGb,
        expectedS,
        checkpointIntervalS,
        checkpointCostS,
        deadlineS,
        dependencies);
  }

  public boolean isCheckpointed() {
    return checkpointIntervalS > 0;
  }
}
