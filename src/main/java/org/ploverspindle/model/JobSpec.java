package org.ploverspindle.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a user submitted; immutable.
 *
 * @param uid the job's id, chosen by the user
 * @param jobClass the class that runtime estimates and service-level objectives are kept for
 * @param team the team whose quota the job counts against
 * @param tasks how many tasks the job has, 1 to {@link #MAX_TASKS}
 * @param cores processor cores per task
 * @param accelerators accelerators per task
 * @param memoryGb memory per task, in GB
 * @param types the machine types that the job may run on; empty: all
 * @param zone the only zone that the job may run in; empty: any
 * @param oneZone all tasks must run in the same zone
 * @param spreadOverZones tasks are to be spread over the zones
 * @param spot the job may run on spot machines
 * @param image the image that a machine must fetch before it can run a task
 * @param imageGb size of the image, in GB
 * @param expectedS expected run time of a task in seconds
 * @param checkpointIntervalS seconds between checkpoints of a task; 0: it takes none
 * @param checkpointCostS what a checkpoint costs a task, in seconds
 * @param deadlineS the deadline in seconds after the job was accepted, if there is one
 * @param dependencies jobs that must be done before any task of this one starts, each listed once.
 *     Empty for a job that was read back and whose list is too long for its own record: the
 *     dependency graph of all jobs is authoritative.
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

  /** The largest number of tasks that a job may have. */
  public static final int MAX_TASKS = 100_000;

  /** What one task occupies on a machine. */
  public Resources perTask() {
    return Resources.needed(cores, accelerators, memoryGb);
  }

  /** The same job, restricted to these machine types. */
  public JobSpec withTypes(List<String> allowedTypes) {
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
        Optional.of(allowedTypes),
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

  /** Whether its tasks take checkpoints, so that a preempted task loses only part of its work. */
  public boolean isCheckpointed() {
    return checkpointIntervalS > 0;
  }
}
