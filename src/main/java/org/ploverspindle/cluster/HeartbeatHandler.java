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
    void ended(
        Placement placement, Heartbeat.ExitReason exitReason, boolean checkpointed, long nowMs);

    /** A task that nobody had placed there has completed: its result counts all the same. */
    void completedUnrecorded(Job job, int task);

    /** Its place is as recorded, but what is shown of it has changed. */
    void changed(Placement placement);
  }

  /** What is known of a job that is not in the table: whose it is and what a task takes. */
  public record Owner(int team, Resources resources) {}

  /** What goes out in answer to a report. */
  public record Response(long fencingToken, List<WorkerCommand> commands) {}

  private final MachineRegistry registry;
  private final Term term;
  private final BooleanSupplier isAuthoritative;
  private final ReportedTasks reportedTasks;
  private final MissingTasks missingTasks;

  /**
   * @param isAuthoritative whether this leader is sure of its lead
   * @param jobs the jobs in the table
   * @param owners what is known of any other job
   * @param durablyCompleted whether a task's completion is recorded
   */
  public HeartbeatHandler(
      MachineRegistry registry,
      Term term,
      BooleanSupplier isAuthoritative,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<Owner>> owners,
      BiPredicate<Job, Integer> durablyCompleted,
      Listener listener) {
    this.registry = registry;
    this.term = term;
    this.isAuthoritative = isAuthoritative;
    this.reportedTasks = new ReportedTasks(registry, jobs, owners, durablyCompleted, listener);
    this.missingTasks = new MissingTasks(registry, listener);
  }

  /** An answer with no orders, which renews the lease. */
  public Response emptyResponse(String host) {
    return new Response(
        registry.get(host).map(Machine::fencingToken).orElse(term.fencingToken()), List.of());
  }

  private Response response(Heartbeat heartbeat, List<WorkerCommand> commands) {
    return new Response(emptyResponse(heartbeat.host()).fencingToken(), commands);
  }

  /** Orders for the worker, or none at all when the report tells nothing that can be relied on. */
  public Response handle(Heartbeat heartbeat, long nowMs) {
    return response(heartbeat, process(heartbeat, nowMs, false));
  }

  /**
   * What a machine answered to launches that went straight to it. It shows what is there, and can't
   * be answered: what it calls for is ordered with the next report.
   */
  public void handleDirectResponse(Heartbeat heartbeat, long nowMs) {
    process(heartbeat, nowMs, true);
  }

  private List<WorkerCommand> process(Heartbeat heartbeat, long nowMs, boolean direct) {
    if (registry.wasTerminated(heartbeat.host()) || registry.isStale(heartbeat)) {
      return List.of();
    }
    Optional<Machine> found =
        registry.adopt(
            heartbeat.host(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), nowMs);
    if (found.isEmpty()) {
      LOG.warn("machine {} of unknown type {} reports", heartbeat.host(), heartbeat.type());
      return List.of();
    }
    Machine machine = found.get();
    // A report that was held up on the way is older than what we know: its list of tasks would
    // call running ones gone. It is answered, as silence could cost the lease, and not believed.
    if (machine.isUp() && !heartbeat.isNewerThan(machine.agentEpoch(), machine.lastSequence())) {
      return List.of();
    }
    record(machine, heartbeat, nowMs);
    return commandsFor(context(machine, heartbeat, direct, nowMs));
  }

  private HeartbeatContext context(
      Machine machine, Heartbeat heartbeat, boolean direct, long nowMs) {
    return new HeartbeatContext(
        registry, machine, heartbeat, term.owns(heartbeat.fencingToken()), direct, nowMs);
  }

  private List<WorkerCommand> commandsFor(HeartbeatContext context) {
    Machine machine = context.machine();
    registry.clearOrphans(machine);
    Set<Long> reportedAttempts = new HashSet<>();
    for (Heartbeat.TaskStatus status : context.heartbeat().tasks()) {
      Placement placement = machine.placement(status.attempt());
      if (placement != null && isOf(placement, status)) {
        reportedAttempts.add(status.attempt());
        reportedTasks.handlePlaced(context, placement, status);
      } else {
        reportedTasks.handleUnplaced(context, status);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!reportedAttempts.contains(placement.attempt())) {
        missingTasks.handle(context, placement);
      }
    }
    if (context.underOwnToken() && !context.direct() && isAuthoritative.getAsBoolean()) {
      launch(context);
    }
    return context.commands();
  }

  private static boolean isOf(Placement placement, Heartbeat.TaskStatus status) {
    return placement.job().uid().equals(status.uid()) && placement.task() == status.task();
  }

  private void record(Machine machine, Heartbeat heartbeat, long nowMs) {
    boolean newEpoch = heartbeat.agentEpoch() > machine.agentEpoch();
    if (newEpoch && machine.isUp()) {
      // Its lease ran out although it reports: our answers may not reach it.
      machine.markUnreachable(registry.nextFencingToken(), nowMs);
    }
    machine.recordHeartbeat(heartbeat, nowMs, term.owns(heartbeat.fencingToken()));
    if (newEpoch) {
      endOlderEpochs(machine, nowMs);
    }
  }

  /**
   * What can be ordered by now in answer to a report that was taken before: what has become durable
   * since. Nothing when a newer report came, as its answer is the one that counts.
   */
  public Response handleDelayed(Heartbeat heartbeat, long nowMs) {
    Optional<Machine> found = registry.get(heartbeat.host());
    if (found.isEmpty()
        || found.get().agentEpoch() != heartbeat.agentEpoch()
        || found.get().lastSequence() != heartbeat.sequence()) {
      return emptyResponse(heartbeat.host());
    }
    return response(heartbeat, delayedCommandsFor(context(found.get(), heartbeat, false, nowMs)));
  }

  private List<WorkerCommand> delayedCommandsFor(HeartbeatContext context) {
    Machine machine = context.machine();
    for (Heartbeat.TaskStatus status : context.heartbeat().tasks()) {
      if (status.phase() == Heartbeat.Phase.EXITED && machine.placement(status.attempt()) == null) {
        reportedTasks.handleUnplaced(context, status);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.stopping() || placement.job().isTerminal()) {
        stopIfReported(context, placement);
      }
    }
    if (context.underOwnToken() && isAuthoritative.getAsBoolean()) {
      launch(context);
    }
    return context.commands();
  }

  /** The stop was decided after the report was taken. */
  private static void stopIfReported(HeartbeatContext context, Placement placement) {
    boolean shownThere =
        context.heartbeat().tasks().stream()
            .anyMatch(
                status ->
                    status.attempt() == placement.attempt()
                        && status.phase() != Heartbeat.Phase.EXITED);
    if (shownThere && placement.phase() != Placement.Phase.CHECKPOINTING) {
      context.addCommand(
          new WorkerCommand.Stop(
              placement.job().uid(),
              placement.task(),
              placement.attempt(),
              placement.job().isTerminal() ? 0 : placement.gracePeriodS()));
    }
  }

  /** Launches what is recorded, was in no answer yet, and is still to run in this session. */
  private void launch(HeartbeatContext context) {
    Heartbeat heartbeat = context.heartbeat();
    for (Placement placement : List.copyOf(context.machine().placements())) {
      boolean unwanted =
          placement.job().isTerminal() || placement.stopping() || context.machine().isTerminating();
      if (placement.phase() != Placement.Phase.READY || unwanted && placement.directToken() >= 0) {
        continue;
      }
      if (unwanted || placement.agentEpoch() != heartbeat.agentEpoch()) {
        missingTasks.endWithoutExit(placement, context.nowMs());
        continue;
      }
      if (!context.addCommand(
          new WorkerCommand.Launch(placement.job().uid(), placement.task(), placement.attempt()))) {
        return;
      }
      placement.markSent(heartbeat.sequence(), context.nowMs());
    }
  }

  /** A new session began with nothing on the machine: what was placed in older ones is gone. */
  private void endOlderEpochs(Machine machine, long nowMs) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.agentEpoch() < machine.agentEpoch()) {
        missingTasks.endWithoutExit(placement, nowMs);
      }
    }
    machine.clearImages();
  }
}
