package org.ploverspindle.leadership;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

/** A leader's view of one spot machine with four cores, and of a job with eight one-core tasks. */
final class SingleMachineFixture {
  static final String HOST = "i-1";
  private static final Term TERM = new Term(7, 1, 0);

  /** A scheduler whose time is set by the test and that runs no work. */
  private final class ManualScheduler implements Scheduler {
    @Override
    public long nowMs() {
      return nowMs;
    }

    @Override
    public long wallMs() {
      return nowMs;
    }

    @Override
    public void execute(EventPriority rank, Runnable work) {}

    @Override
    public Cancellable schedule(long delayMs, Runnable work) {
      return () -> {};
    }
  }

  final Scheduler scheduler = new ManualScheduler();
  final MachineRegistry machines;
  final HeartbeatHandler heartbeatHandler;
  final Job job;
  long nowMs = 1_000;
  boolean authoritative = true;
  private long lastAttempt;
  private long sequence;

  SingleMachineFixture(JobSpec spec) {
    Catalogue catalogue = new Catalogue(List.of("a"));
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(4, 0, 16), 40, 1, 1, 0.4, 30, List.of("a"))));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    machines =
        new MachineRegistry(
            catalogue, teams, SafetyTiming.of(new Settings.WorkerLimits(3, 14, 39), 1), TERM);
    BitSet types = new BitSet();
    types.set(0);
    job = new Job(spec, 0, 8, 0, types, -1, 1);
    heartbeatHandler =
        new HeartbeatHandler(
            machines,
            TERM,
            () -> authoritative,
            uid -> Optional.of(job),
            uid -> Optional.empty(),
            (unusedJob, task) -> false,
            new NoOpHeartbeatListener());
  }

  /**
   * @param expectedS expected run time of a task in seconds; 0 for a service
   * @param checkpointCostS time to write a checkpoint in seconds; 0 for a job without checkpoints
   */
  static JobSpec spec(double expectedS, double checkpointCostS) {
    return new JobSpec(
        "job",
        "c",
        "red",
        expectedS > 0 ? JobKind.BATCH : JobKind.SERVICE,
        Priority.HIGH,
        8,
        1,
        0,
        1,
        Optional.empty(),
        Optional.empty(),
        false,
        false,
        true,
        "image",
        1,
        expectedS,
        checkpointCostS > 0 ? 5 : 0,
        checkpointCostS,
        OptionalDouble.empty(),
        List.of());
  }

  Machine machine() {
    return machines.get(HOST).orElseThrow();
  }

  /** Has the handler process the machine's next heartbeat, and returns the heartbeat. */
  Heartbeat heartbeat(OptionalDouble spotNoticeS, Heartbeat.TaskStatus... tasks) {
    Heartbeat heartbeat =
        new Heartbeat(
            HOST,
            "",
            "t",
            "a",
            true,
            1,
            ++sequence,
            TERM.fencingToken(),
            spotNoticeS,
            List.of(tasks));
    heartbeatHandler.handle(heartbeat, nowMs);
    return heartbeat;
  }

  /** Places the next task; the placement is not durable yet. */
  Placement place() {
    int task = (int) lastAttempt;
    Placement placement =
        new Placement(job, task, ++lastAttempt, machine(), 1, Placement.Phase.INTENT);
    machines.addPlacement(placement);
    return placement;
  }

  /** Places the next task, and processes a heartbeat that shows it running from now on. */
  Placement placeRunning() {
    Placement placement = place();
    heartbeat(
        OptionalDouble.empty(),
        new Heartbeat.TaskStatus(
            "job",
            placement.task(),
            placement.attempt(),
            Heartbeat.Phase.RUNNING,
            Heartbeat.ExitReason.NONE,
            false));
    return placement;
  }
}
