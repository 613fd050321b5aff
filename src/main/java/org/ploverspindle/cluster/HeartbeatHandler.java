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
    void completedUnrecorded(Job job, int task);

    /** Its place is as recorded, but what is shown of it has changed. */
    void changed(Placement placement);
  }

  /** What is known of a job that is not in the table: whose it is and what a task takes. */
  public record Owner(int team, Resources resources) {}

  /** What goes out in answer to a report. */
  public record Response(long fencingToken, List<WorkerCommand> commands) {}

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
  public Response emptyResponse(String host) {
    return new Response(
        fleet.get(host).map(Machine::fencingToken).orElse(term.fencingToken()), List.of());
  }

  private Response response(Heartbeat report, List<WorkerCommand> orders) {
    return new Response(emptyResponse(report.host()).fencingToken(), orders);
  }

  /** Orders for the worker, or none at all when the report tells nothing that can be relied on. */
  public Response handle(Heartbeat report, long nowMs) {
    return response(report, read(report, nowMs, false));
  }

  /**
   * What a machine answered to launches that went straight to it. It shows what is there, and can't
   * be answered: what it calls for is ordered with the next report.
   */
  public void handleDirectResponse(Heartbeat report, long nowMs) {
    read(report, nowMs, true);
  }

  private List<WorkerCommand> read(Heartbeat report, long nowMs, boolean direct) {
    if (fleet.wasTerminated(report.host()) || fleet.isStale(report)) {
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
    if (machine.isUp() && !report.isNewerThan(machine.agentEpoch(), machine.lastSequence())) {
      return List.of();
    }
    heard(machine, report, nowMs);
    return answer(reading(machine, report, direct, nowMs));
  }

  private HeartbeatContext reading(Machine machine, Heartbeat report, boolean direct, long nowMs) {
    return new HeartbeatContext(
        fleet, machine, report, term.owns(report.fencingToken()), direct, nowMs);
  }

  private List<WorkerCommand> answer(HeartbeatContext reading) {
    Machine machine = reading.machine();
    fleet.clearOrphans(machine);
    Set<Long> shown = new HashSet<>();
    for (Heartbeat.TaskStatus item : reading.heartbeat().tasks()) {
      Placement placement = machine.placement(item.attempt());
      if (placement != null && isOf(placement, item)) {
        shown.add(item.attempt());
        shownTasks.handlePlaced(reading, placement, item);
      } else {
        shownTasks.handleUnplaced(reading, item);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!shown.contains(placement.attempt())) {
        absentTasks.handle(reading, placement);
      }
    }
    if (reading.underOwnToken() && !reading.direct() && mayLaunch.getAsBoolean()) {
      launch(reading);
    }
    return reading.commands();
  }

  private static boolean isOf(Placement placement, Heartbeat.TaskStatus item) {
    return placement.job().uid().equals(item.uid()) && placement.task() == item.task();
  }

  private void heard(Machine machine, Heartbeat report, long nowMs) {
    boolean newSession = report.agentEpoch() > machine.agentEpoch();
    if (newSession && machine.isUp()) {
      // Its lease ran out although it reports: our answers may not reach it.
      machine.markUnreachable(fleet.nextFencingToken(), nowMs);
    }
    machine.recordHeartbeat(report, nowMs, term.owns(report.fencingToken()));
    if (newSession) {
      endOlderSessions(machine, nowMs);
    }
  }

  /**
   * What can be ordered by now in answer to a report that was taken before: what has become durable
   * since. Nothing when a newer report came, as its answer is the one that counts.
   */
  public Response handleDelayed(Heartbeat report, long nowMs) {
    Optional<Machine> found = fleet.get(report.host());
    if (found.isEmpty()
        || found.get().agentEpoch() != report.agentEpoch()
        || found.get().lastSequence() != report.sequence()) {
      return emptyResponse(report.host());
    }
    return response(report, answerLater(reading(found.get(), report, false, nowMs)));
  }

  private List<WorkerCommand> answerLater(HeartbeatContext reading) {
    Machine machine = reading.machine();
    for (Heartbeat.TaskStatus item : reading.heartbeat().tasks()) {
      if (item.phase() == Heartbeat.Phase.EXITED && machine.placement(item.attempt()) == null) {
        shownTasks.handleUnplaced(reading, item);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.stopping() || placement.job().isTerminal()) {
        stopLater(reading, placement);
      }
    }
    if (reading.underOwnToken() && mayLaunch.getAsBoolean()) {
      launch(reading);
    }
    return reading.commands();
  }

  /** The stop was decided after the report was taken. */
  private static void stopLater(HeartbeatContext reading, Placement placement) {
    boolean shownThere =
        reading.heartbeat().tasks().stream()
            .anyMatch(
                item ->
                    item.attempt() == placement.attempt()
                        && item.phase() != Heartbeat.Phase.EXITED);
    if (shownThere && placement.phase() != Placement.Phase.CHECKPOINTING) {
      reading.addCommand(
          new WorkerCommand.Stop(
              placement.job().uid(),
              placement.task(),
              placement.attempt(),
              placement.job().isTerminal() ? 0 : placement.gracePeriodS()));
    }
  }

  /** Launches what is recorded, was in no answer yet, and is still to run in this session. */
  private void launch(HeartbeatContext reading) {
    Heartbeat report = reading.heartbeat();
    for (Placement placement : List.copyOf(reading.machine().placements())) {
      boolean unwanted =
          placement.job().isTerminal() || placement.stopping() || reading.machine().isTerminating();
      if (placement.phase() != Placement.Phase.READY || unwanted && placement.directToken() >= 0) {
        continue;
      }
      if (unwanted || placement.agentEpoch() != report.agentEpoch()) {
        absentTasks.gone(placement, reading.nowMs());
        continue;
      }
      if (!reading.addCommand(
          new WorkerCommand.Launch(placement.job().uid(), placement.task(), placement.attempt()))) {
        return;
      }
      placement.markSent(report.sequence(), reading.nowMs());
    }
  }

  /** A new session began with nothing on the machine: what was placed in older ones is gone. */
  private void endOlderSessions(Machine machine, long nowMs) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.agentEpoch() < machine.agentEpoch()) {
        absentTasks.gone(placement, nowMs);
      }
    }
    machine.clearImages();
  }
}
