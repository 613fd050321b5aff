package org.ploverspindle.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.Term;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes reports in and says what the worker is to do. Beside {@link DirectCommandSender} it is the
 * only place that lets a launch go out.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** What a report shows, for the other parts of the leader. */
  public interface Listener {
    /** The task completed there. */
    void completed(Placement placement, long nowMs);

    /** The task ended there without completing, or never arrived; it is gone from its machine. */
    void ended(Placement placement, Heartbeat.ExitReason cause, boolean saved, long nowMs);

    /** A task that nobody had placed there has completed: its result counts all the same. */
    void completedUnplaced(Job job, int task);

    /** Its place is as recorded, but what is shown of it has changed. */
    void moved(Placement placement);
  }

  /** What is known of a job that is not in the table: whose it is and what a task takes. */
  public record Owner(int team, Resources takes) {}

  /** What goes out in answer to a report. */
  public record Response(long token, List<WorkerCommand> orders) {}

  private final MachineRegistry fleet;
  private final Term term;
  private final BooleanSupplier mayLaunch;
  private final ReportedTasks shownTasks;
  private final MissingTasks absentTasks;

  /**
   * @param mayLaunch whether this leader is sure of its lead
   * @param jobs the jobs in the table
   * @param owners what is known of any other job
   * @param durablyDone whether a task's completion is recorded
   */
  public HeartbeatHandler(
      MachineRegistry fleet,
      Term term,
      BooleanSupplier mayLaunch,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<Owner>> owners,
      BiPredicate<Job, Integer> durablyDone,
      Listener listener) {
    this.fleet = fleet;
    this.term = term;
    this.mayLaunch = mayLaunch;
    this.shownTasks = new ReportedTasks(fleet, jobs, owners, durablyDone, listener);
    this.absentTasks = new MissingTasks(fleet, listener);
  }

  /** An answer with no orders, which renews the lease. */
  public Response none(String host) {
    return new Response(fleet.get(host).map(Machine::fence).orElse(term.token()), List.of());
  }

  private Response reply(Heartbeat report, List<WorkerCommand> orders) {
    return new Response(none(report.host()).token(), orders);
  }

  /** Orders for the worker, or none at all when the report tells nothing that can be relied on. */
  public Response take(Heartbeat report, long nowMs) {
    return reply(report, read(report, nowMs, false));
  }

  /**
   * What a machine answered to launches that went straight to it. It shows what is there, and can't
   * be answered: what it calls for is ordered with the next report.
   */
  public void takeDirect(Heartbeat report, long nowMs) {
    read(report, nowMs, true);
  }

  private List<WorkerCommand> read(Heartbeat report, long nowMs, boolean direct) {
    if (fleet.wasReleased(report.host()) || fleet.isOld(report)) {
      return List.of();
    }
    Optional<Machine> found =
        fleet.adopt(report.host(), report.type(), report.zone(), report.spot(), nowMs);
    if (found.isEmpty()) {
      LOG.warn("machine {} of unknown type {} reports", report.host(), report.type());
      return List.of();
    }
    Machine machine = found.get();
    // A report that was held up on the way is older than what we know: its list of tasks would
    // call running ones gone. It is answered, as silence could cost the lease, and not believed.
    if (machine.up() && !report.newerThan(machine.tenure(), machine.tally())) {
      return List.of();
    }
    heard(machine, report, nowMs);
    return answer(reading(machine, report, direct, nowMs));
  }

  private HeartbeatContext reading(Machine machine, Heartbeat report, boolean direct, long nowMs) {
    return new HeartbeatContext(fleet, machine, report, term.owns(report.warrant()), direct, nowMs);
  }

  private List<WorkerCommand> answer(HeartbeatContext reading) {
    Machine machine = reading.machine();
    fleet.clearOrphans(machine);
    Set<Long> shown = new HashSet<>();
    for (Heartbeat.TaskStatus item : reading.report().items()) {
      Placement placement = machine.placement(item.attempt());
      if (placement != null && isOf(placement, item)) {
        shown.add(item.attempt());
        shownTasks.placed(reading, placement, item);
      } else {
        shownTasks.unplaced(reading, item);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!shown.contains(placement.attempt())) {
        absentTasks.absent(reading, placement);
      }
    }
    if (reading.ours() && !reading.direct() && mayLaunch.getAsBoolean()) {
      launch(reading);
    }
    return reading.orders();
  }

  private static boolean isOf(Placement placement, Heartbeat.TaskStatus item) {
    return placement.job().uid().equals(item.uid()) && placement.task() == item.task();
  }

  private void heard(Machine machine, Heartbeat report, long nowMs) {
    boolean newSession = report.tenure() > machine.tenure();
    if (newSession && machine.up()) {
      // Its lease ran out although it reports: our answers may not reach it.
      machine.suspectDeaf(fleet.nextFence(), nowMs);
    }
    machine.heard(report, nowMs, term.owns(report.warrant()));
    if (newSession) {
      endOlderSessions(machine, nowMs);
    }
  }

  /**
   * What can be ordered by now in answer to a report that was taken before: what has become durable
   * since. Nothing when a newer report came, as its answer is the one that counts.
   */
  public Response later(Heartbeat report, long nowMs) {
    Optional<Machine> found = fleet.get(report.host());
    if (found.isEmpty()
        || found.get().tenure() != report.tenure()
        || found.get().tally() != report.tally()) {
      return none(report.host());
    }
    return reply(report, answerLater(reading(found.get(), report, false, nowMs)));
  }

  private List<WorkerCommand> answerLater(HeartbeatContext reading) {
    Machine machine = reading.machine();
    for (Heartbeat.TaskStatus item : reading.report().items()) {
      if (item.phase() == Heartbeat.Phase.EXITED && machine.placement(item.attempt()) == null) {
        shownTasks.unplaced(reading, item);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.stopping() || placement.job().over()) {
        stopLater(reading, placement);
      }
    }
    if (reading.ours() && mayLaunch.getAsBoolean()) {
      launch(reading);
    }
    return reading.orders();
  }

  /** The stop was decided after the report was taken. */
  private static void stopLater(HeartbeatContext reading, Placement placement) {
    boolean shownThere =
        reading.report().items().stream()
            .anyMatch(
                item ->
                    item.attempt() == placement.attempt()
                        && item.phase() != Heartbeat.Phase.EXITED);
    if (shownThere && placement.phase() != Placement.Phase.SAVING) {
      reading.order(
          new WorkerCommand.Stop(
              placement.job().uid(),
              placement.task(),
              placement.attempt(),
              placement.job().over() ? 0 : placement.windDownS()));
    }
  }

  /** Launches what is recorded, was in no answer yet, and is still to run in this session. */
  private void launch(HeartbeatContext reading) {
    Heartbeat report = reading.report();
    for (Placement placement : List.copyOf(reading.machine().placements())) {
      boolean unwanted =
          placement.job().over() || placement.stopping() || reading.machine().returning();
      if (placement.phase() != Placement.Phase.READY || unwanted && placement.directToken() >= 0) {
        continue;
      }
      if (unwanted || placement.tenure() != report.tenure()) {
        absentTasks.gone(placement, reading.nowMs());
        continue;
      }
      if (!reading.order(
          new WorkerCommand.Launch(placement.job().uid(), placement.task(), placement.attempt()))) {
        return;
      }
      placement.sent(report.tally(), reading.nowMs());
    }
  }

  /** A new session began with nothing on the machine: what was placed in older ones is gone. */
  private void endOlderSessions(Machine machine, long nowMs) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.tenure() < machine.tenure()) {
        absentTasks.gone(placement, nowMs);
      }
    }
    machine.forgetImages();
  }
}
