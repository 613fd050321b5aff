package org.ploverspindle;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Builds a job for a test, which sets only the fields that matter to it. By default a job has one
 * independent task that takes one core for one second. It has normal priority, may run in any zone,
 * on any machine type and on spot machines, and has no deadline, checkpoints or dependencies.
 */
public final class JobSpecBuilder {
  private final String uid;
  private String jobClass = "class";
  private String team = "blue";
  private JobKind kind = JobKind.BATCH;
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cores = 1;
  private double accelerators;
  private double memoryGb = 1;
  private Optional<List<String>> types = Optional.empty();
  private Optional<String> zone = Optional.empty();
  private boolean oneZone;
  private boolean spreadOverZones;
  private boolean spot = true;
  private String image = "image";
  private double imageGb = 1;
  private double expectedS = 1;
  private double checkpointIntervalS;
  private double checkpointCostS;
  private OptionalDouble deadlineS = OptionalDouble.empty();
  private List<String> dependencies = List.of();

  private JobSpecBuilder(String uid) {
    this.uid = uid;
  }

  /** Starts a job with the default values. */
  public static JobSpecBuilder job(String uid) {
    return new JobSpecBuilder(uid);
  }

  /** Starts a job with the values of {@code spec}, of which some can then be replaced. */
  public static JobSpecBuilder from(JobSpec spec) {
    JobSpecBuilder builder = new JobSpecBuilder(spec.uid());
    builder.jobClass = spec.jobClass();
    builder.team = spec.team();
    builder.kind = spec.kind();
    builder.priority = spec.priority();
    builder.tasks = spec.tasks();
    builder.cores = spec.cores();
    builder.accelerators = spec.accelerators();
    builder.memoryGb = spec.memoryGb();
    builder.types = spec.allowedTypes();
    builder.zone = spec.requiredZone();
    builder.oneZone = spec.oneZone();
    builder.spreadOverZones = spec.spreadOverZones();
    builder.spot = spec.spot();
    builder.image = spec.image();
    builder.imageGb = spec.imageGb();
    builder.expectedS = spec.expectedS();
    builder.checkpointIntervalS = spec.checkpointIntervalS();
    builder.checkpointCostS = spec.checkpointCostS();
    builder.deadlineS = spec.deadlineS();
    builder.dependencies = spec.dependencies();
    return builder;
  }

  public JobSpecBuilder jobClass(String value) {
    jobClass = value;
    return this;
  }

  public JobSpecBuilder team(String value) {
    team = value;
    return this;
  }

  public JobSpecBuilder kind(JobKind value) {
    kind = value;
    return this;
  }

  public JobSpecBuilder priority(Priority value) {
    priority = value;
    return this;
  }

  public JobSpecBuilder tasks(int value) {
    tasks = value;
    return this;
  }

  public JobSpecBuilder cores(double value) {
    cores = value;
    return this;
  }

  public JobSpecBuilder memoryGb(double value) {
    memoryGb = value;
    return this;
  }

  /** Restricts the job to these machine types. */
  public JobSpecBuilder types(String... names) {
    types = Optional.of(List.of(names));
    return this;
  }

  /** Restricts the job to this zone; empty allows any. */
  public JobSpecBuilder zone(Optional<String> name) {
    zone = name;
    return this;
  }

  /** Whether all tasks must run in the same zone. */
  public JobSpecBuilder oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  /** Whether at most half of the tasks may run in the same zone. */
  public JobSpecBuilder spreadOverZones(boolean value) {
    spreadOverZones = value;
    return this;
  }

  public JobSpecBuilder spot(boolean value) {
    spot = value;
    return this;
  }

  public JobSpecBuilder image(String name, double gigabytes) {
    image = name;
    imageGb = gigabytes;
    return this;
  }

  public JobSpecBuilder expectedS(double value) {
    expectedS = value;
    return this;
  }

  /** Sets the interval and the duration of each task's checkpoints; an interval of 0: none. */
  public JobSpecBuilder checkpoints(double intervalS, double costS) {
    checkpointIntervalS = intervalS;
    checkpointCostS = costS;
    return this;
  }

  /** Sets the deadline in seconds after acceptance; 0: no deadline. */
  public JobSpecBuilder deadlineS(double value) {
    deadlineS = value > 0 ? OptionalDouble.of(value) : OptionalDouble.empty();
    return this;
  }

  public JobSpecBuilder dependsOn(List<String> uids) {
    dependencies = List.copyOf(uids);
    return this;
  }

  public JobSpec build() {
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
        types,
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
}
