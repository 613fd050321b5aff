package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

/**
 * A fleet whose machines run tasks of random jobs. Heartbeats first showed these tasks running at
 * different times before {@link #NOW}.
 */
final class RandomFleet {
  static final long NOW = 5_000_000;
  private static final Term TERM = new Term(7, 1, 0);
  private static final int RUNNING_JOBS = 90;
  private static final int TASKS_PER_JOB = 500;
  private static final int PLACEMENT_TRIES_PER_MACHINE = 30;
  private static final List<String> ZONES = List.of("a", "b", "c");

  final Catalogue catalogue = new Catalogue(ZONES);
  final TeamUsage teams =
      new TeamUsage(
          List.of(
              new Settings.Team("red", 900, 0, 0, 0), new Settings.Team("blue", 4_000, 0, 0, 0)));
  final RuntimeEstimates estimates = new RuntimeEstimates();
  final MachineRegistry machines;
  final HeartbeatHandler heartbeatHandler;

  private final Random random;
  private final Map<String, Job> jobs = new HashMap<>();
  private final int[] nextTask = new int[RUNNING_JOBS];
  private long nextAttempt = 1;

  /** Creates the fleet from the random numbers, which the caller may continue to use. */
  RandomFleet(Random random, int machineCount) {
    this.random = random;
    catalogue.update(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, ZONES),
            new MachineType("large", Resources.offered(16, 0, 64), 40, 1, 1.1, 0.4, 5, ZONES)));
    machines =
        new MachineRegistry(
            catalogue, teams, SafetyTiming.of(new Settings.WorkerLimits(5, 26.5, 51.5), 1), TERM);
    heartbeatHandler =
        new HeartbeatHandler(
            machines,
            TERM,
            () -> true,
            uid -> Optional.ofNullable(jobs.get(uid)),
            uid -> Optional.empty(),
            (job, task) -> false,
            new NoOpHeartbeatListener());
    List<Job> running = new ArrayList<>();
    for (int i = 0; i < RUNNING_JOBS; i++) {
      running.add(job(i, Priority.values()[random.nextInt(4)], TASKS_PER_JOB));
    }
    for (int i = 0; i < machineCount; i++) {
      addMachine("i-" + i, running);
    }
  }

  /** Creates a job with random properties that is known to the heartbeat handler. */
  Job job(int i, Priority priority, int tasks) {
    JobSpec spec = spec(i, priority, tasks);
    BitSet types = new BitSet();
    types.set(0, 2);
    Job job =
        new Job(
            spec,
            NOW - random.nextInt(100_000),
            80,
            spec.team().equals("red") ? 0 : 1,
            types,
            spec.requiredZone().isPresent() ? 1 : -1,
            3);
    jobs.put(job.uid(), job);
    return job;
  }

  private JobSpec spec(int i, Priority priority, int tasks) {
    return new JobSpec(
        "run-" + i,
        "class-" + random.nextInt(3),
        random.nextBoolean() ? "red" : "blue",
        random.nextInt(12) == 0 ? JobKind.SERVICE : JobKind.BATCH,
        priority,
        tasks,
        1 + random.nextInt(4),
        0,
        1 + random.nextInt(8),
        Optional.empty(),
        random.nextInt(6) == 0 ? Optional.of("b") : Optional.empty(),
        false,
        false,
        random.nextInt(4) > 0,
        "image",
        1,
        random.nextInt(12) == 0 ? 0 : 5 + random.nextInt(200),
        random.nextBoolean() ? 15 : 0,
        2,
        OptionalDouble.of(300),
        List.of());
  }

  private void addMachine(String host, List<Job> running) {
    String type = random.nextInt(3) == 0 ? "small" : "large";
    String zone = ZONES.get(random.nextInt(3));
    long seenMs = NOW - random.nextInt(150_000);
    Machine machine = machines.adopt(host, type, zone, random.nextBoolean(), seenMs).orElseThrow();
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (int i = 0; i < PLACEMENT_TRIES_PER_MACHINE; i++) {
      int job = random.nextInt(RUNNING_JOBS);
      addRunningTask(machine, running.get(job), job, tasks);
    }
    heartbeatHandler.handle(heartbeat(machine, 1, tasks), seenMs);
    heartbeatHandler.handle(heartbeat(machine, 2, tasks), NOW);
  }

  private void addRunningTask(
      Machine machine, Job job, int index, List<Heartbeat.TaskStatus> tasks) {
    int task = nextTask[index];
    if (task < TASKS_PER_JOB
        && job.perTask().fitsIn(machine.free())
        && Placer.allows(job, machine)) {
      nextTask[index]++;
      long attempt = nextAttempt++;
      machines.addPlacement(
          new Placement(job, task, attempt, machine, 1, Placement.Phase.RECOVERED));
      tasks.add(
          new Heartbeat.TaskStatus(
              job.uid(), task, attempt, Heartbeat.Phase.RUNNING, Heartbeat.ExitReason.NONE, false));
    }
  }

  /** Creates a heartbeat of the machine with the leader's fencing token. */
  Heartbeat heartbeat(Machine machine, long sequence, List<Heartbeat.TaskStatus> tasks) {
    return new Heartbeat(
        machine.host(),
        "",
        catalogue.type(machine.type()).name(),
        catalogue.zoneName(machine.zone()),
        machine.isSpot(),
        1,
        sequence,
        7,
        OptionalDouble.empty(),
        tasks);
  }
}
