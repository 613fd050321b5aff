package org.ploverspindle.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The specification of a job as a user submitted it; immutable.
 *
 * @param uid the job's unique id, chosen by the user
 * @param jobClass the job class, for which runtime estimates and service level objectives are kept
 * @param team the team to whose guarantee and limit the job's resources count
 * @param kind how the tasks relate to each other, and whether they end
 * @param priority the priority that the user gave the job
 * @param tasks the number of tasks, 1 to {@link #MAX_TASKS}
 * @param cores processor cores per task
 * @param accelerators accelerators per task
 * @param memoryGb memory per task in GB
 * @param allowedTypes the names of the machine types that the job may run on; if empty, it may run
 *     on all
 * @param requiredZone the only zone in which the job may run; if empty, it may run in any zone
 * @param oneZone whether all tasks must run in the same zone
 * @param spreadOverZones whether the tasks must be spread over zones
 * @param spot whether the job may run on spot machines
 * @param image the image that a machine must fetch before it can run a task
 * @param imageGb size of the image in GB
 * @param expectedS the run time of a task in seconds that the user expects
 * @param checkpointIntervalS seconds between checkpoints of a task; 0 if tasks take no checkpoints
 * @param checkpointCostS how long a task takes for a checkpoint, in seconds
 * @param deadlineS the deadline in seconds after the acceptance of the job; empty if it has none
 * @param dependencies uids of the jobs that must be done before any task of this job starts, each
 *     listed once. This list is empty for a job that was decoded from a stored record if the list
 *     is stored separately because it is too long for that record. The dependency graph has the
 *     valid dependencies of all jobs.
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
    Optional<List<String>> allowedTypes,
    Optional<String> requiredZone,
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

  /** The maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /** The resources that one task occupies on a machine. */
  public Resources perTask() {
    return Resources.needed(cores, accelerators, memoryGb);
  }

  /** Returns a copy of this specification that allows only these machine types. */
  public JobSpec withTypes(List<String> typeNames) {
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
        Optional.of(typeNames),
        requiredZone,
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

  /**
   * Whether the tasks take checkpoints. A preempted task then loses only the work since its last
   * checkpoint.
   */
  public boolean isCheckpointed() {
    return checkpointIntervalS > 0;
  }
}
