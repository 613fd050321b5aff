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
 * Handles heartbeats and decides which commands the responses carry. Only this class and {@link
 * DirectCommands} send launches. This class sends a launch only while the leader's lease is
 * certainly valid, and only to a worker that has accepted a fencing token of this term.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Receives the changes of tasks that heartbeats show. */
  public interface Listener {
    /** The task of the placement has completed, and the placement has been removed. */
    void completed(Placement placement, long nowMs);

    /**
     * The task of the placement has ended without completing, or was never started, and the
     * placement has been removed.
     *
     * @param exitReason the reason that the worker gave; {@code NONE} if no heartbeat showed an
     *     exit
     * @param checkpointed whether the task stored a checkpoint when it was stopped
     */
    void ended(
        Placement placement, Heartbeat.ExitReason exitReason, boolean checkpointed, long nowMs);

    /**
     * A task has completed on a machine on which this leader has no placement of it. The completion
     * counts like any other.
     */
    void completedWithoutPlacement(Job job, int task);

    /** The phase of the placement has changed. */
    void phaseChanged(Placement placement);
  }

  /**
   * The team and the resources of the tasks of a job that is not in the job table.
   *
   * @param team index of the job's team in the settings
   * @param resources the resources that one task of the job uses
   */
  public record TaskOwner(int team, Resources resources) {}

  /** The response to a heartbeat. */
  public record Response(long fencingToken, List<WorkerCommand> commands) {}

  private final MachineRegistry registry;
  private final Term term;
  private final BooleanSupplier isAuthoritative;
  private final ReportedTaskHandler reportedTaskHandler;
  private final MissingTaskHandler missingTaskHandler;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid; no launch is sent while
   *     it is not
   * @param jobs finds a job of the job table by its UID
   * @param owners finds the team and resources of any other known job by its UID
   * @param isDurablyCompleted whether the completion of the job's task is durably recorded
   */
  public HeartbeatHandler(
      MachineRegistry registry,
      Term term,
      BooleanSupplier isAuthoritative,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<TaskOwner>> owners,
      BiPredicate<Job, Integer> isDurablyCompleted,
      Listener listener) {
    this.registry = registry;
    this.term = term;
    this.isAuthoritative = isAuthoritative;
    this.reportedTaskHandler =
        new ReportedTaskHandler(registry, jobs, owners, isDurablyCompleted, listener);
    this.missingTaskHandler = new MissingTaskHandler(registry, listener);
  }

  /** Returns a response without commands; like every response it renews the worker lease. */
  public Response emptyResponse(String host) {
    return new Response(fencingTokenFor(host), List.of());
  }

  /**
   * Returns the response with these commands and the machine's fencing token. The token is read
   * after the commands were collected, because a command may have raised it.
   */
  private Response response(Heartbeat heartbeat, List<WorkerCommand> commands) {
    return new Response(fencingTokenFor(heartbeat.host()), commands);
  }

  private long fencingTokenFor(String host) {
    return registry.get(host).map(Machine::fencingToken).orElse(term.fencingToken());
  }

  /**
   * Handles a heartbeat and returns the response. The response has no commands if the heartbeat is
   * outdated or its machine has been terminated or is not valid.
   */
  public Response handle(Heartbeat heartbeat, long nowMs) {
    return response(heartbeat, process(heartbeat, nowMs, false));
  }

  /**
   * Handles the heartbeat with which a worker responds to direct commands. No commands can be sent
   * in reply; those that this heartbeat makes necessary are sent in the response to the next one.
   */
  public void handleDirectResponse(Heartbeat heartbeat, long nowMs) {
    process(heartbeat, nowMs, true);
  }

  private List<WorkerCommand> process(Heartbeat heartbeat, long nowMs, boolean isDirectResponse) {
    if (registry.wasTerminated(heartbeat.host()) || registry.isStale(heartbeat)) {
      return List.of();
    }
    Optional<Machine> adopted =
        registry.adopt(
            heartbeat.host(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), nowMs);
    if (adopted.isEmpty()) {
      LOG.warn(
          "heartbeat ignored, not a machine of a known type and zone: machine={} type={} zone={}",
          heartbeat.host(),
          heartbeat.type(),
          heartbeat.zone());
      return List.of();
    }
    Machine machine = adopted.get();
    // A delayed heartbeat is older than the state that is already known. It is not evaluated,
    // because tasks that started after it was written would seem to be gone. It is answered,
    // because the worker lease could expire without a response.
    if (machine.isUp() && !heartbeat.isNewerThan(machine.workerEpoch(), machine.lastSequence())) {
      return List.of();
    }
    recordHeartbeat(machine, heartbeat, nowMs);
    return evaluate(newContext(machine, heartbeat, isDirectResponse, nowMs));
  }

  private void recordHeartbeat(Machine machine, Heartbeat heartbeat, long nowMs) {
    boolean isNewEpoch = heartbeat.workerEpoch() > machine.workerEpoch();
    if (isNewEpoch && machine.isUp()) {
      // The worker lease expired although heartbeats arrive, so responses may not reach the worker.
      machine.markUnreachable(registry.nextFencingToken(), nowMs);
    }
    machine.recordHeartbeat(heartbeat, nowMs, term.includes(heartbeat.fencingToken()));
    if (isNewEpoch) {
      endOlderEpochs(machine, nowMs);
    }
  }

  /**
   * Removes the placements of older worker epochs. A worker epoch begins without tasks, so their
   * tasks are proven gone.
   */
  private void endOlderEpochs(Machine machine, long nowMs) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.workerEpoch() < machine.workerEpoch()) {
        missingTaskHandler.endWithoutExit(placement, nowMs);
      }
    }
    machine.clearImages();
  }

  private HeartbeatContext newContext(
      Machine machine, Heartbeat heartbeat, boolean isDirectResponse, long nowMs) {
    return new HeartbeatContext(
        registry,
        machine,
        heartbeat,
        term.includes(heartbeat.fencingToken()),
        isDirectResponse,
        nowMs);
  }

  private List<WorkerCommand> evaluate(HeartbeatContext context) {
    Machine machine = context.machine();
    registry.clearOrphans(machine);
    Set<Long> reportedAttempts = handleReportedTasks(context);
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!reportedAttempts.contains(placement.attempt())) {
        missingTaskHandler.handle(context, placement);
      }
    }
    if (!context.isDirectResponse()) {
      addLaunches(context);
    }
    return context.commands();
  }

  /** Handles all attempts that the heartbeat lists and returns those that have a placement. */
  private Set<Long> handleReportedTasks(HeartbeatContext context) {
    Set<Long> placedAttempts = new HashSet<>();
    for (Heartbeat.TaskStatus status : context.heartbeat().tasks()) {
      Placement placement = context.machine().placement(status.attempt());
      if (placement != null && placement.isOf(status.uid(), status.task())) {
        placedAttempts.add(status.attempt());
        reportedTaskHandler.handlePlaced(context, placement, status);
      } else {
        reportedTaskHandler.handleUnplaced(context, status);
      }
    }
    return placedAttempts;
  }

  /**
   * Returns the response to a heartbeat that was handled before and whose response was delayed. It
   * carries the commands that have become possible since then because records became durable. It
   * has no commands if a newer heartbeat has arrived, as they go with the response to that one.
   */
  public Response handleDelayed(Heartbeat heartbeat, long nowMs) {
    Optional<Machine> machine =
        registry.get(heartbeat.host()).filter(known -> isLastHeartbeat(known, heartbeat));
    if (machine.isEmpty()) {
      return emptyResponse(heartbeat.host());
    }
    HeartbeatContext context = newContext(machine.get(), heartbeat, false, nowMs);
    return response(heartbeat, evaluateDelayed(context));
  }

  private static boolean isLastHeartbeat(Machine machine, Heartbeat heartbeat) {
    return machine.workerEpoch() == heartbeat.workerEpoch()
        && machine.lastSequence() == heartbeat.sequence();
  }

  private List<WorkerCommand> evaluateDelayed(HeartbeatContext context) {
    Machine machine = context.machine();
    for (Heartbeat.TaskStatus status : context.heartbeat().tasks()) {
      if (status.phase() == Heartbeat.Phase.EXITED && machine.placement(status.attempt()) == null) {
        reportedTaskHandler.handleUnplaced(context, status);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.shouldRun()) {
        addStopIfReported(context, placement);
      }
    }
    addLaunches(context);
    return context.commands();
  }

  /**
   * Adds the stop of a placement whose stop was decided after the heartbeat was handled, if the
   * heartbeat lists the attempt as not exited and no checkpoint is being written.
   */
  private static void addStopIfReported(HeartbeatContext context, Placement placement) {
    boolean isReported =
        context.heartbeat().tasks().stream()
            .anyMatch(
                status ->
                    status.attempt() == placement.attempt()
                        && status.phase() != Heartbeat.Phase.EXITED);
    if (isReported && placement.phase() != Placement.Phase.CHECKPOINTING) {
      context.addCommand(placement.stopCommand());
    }
  }

  /**
   * Adds the launch of each recorded placement that no response in flight carries, that is still to
   * run, and that belongs to the heartbeat's worker epoch. A placement that is no longer to run is
   * removed instead, unless a direct launch of it may still be executed; so is a placement of
   * another worker epoch.
   */
  private void addLaunches(HeartbeatContext context) {
    if (!context.hasTokenOfTerm() || !isAuthoritative.getAsBoolean()) {
      return;
    }
    Heartbeat heartbeat = context.heartbeat();
    Machine machine = context.machine();
    for (Placement placement : List.copyOf(machine.placements())) {
      boolean shouldRun = placement.shouldRun() && !machine.isTerminating();
      if (placement.phase() != Placement.Phase.READY
          || !shouldRun && placement.hasPendingDirectLaunch()) {
        continue;
      }
      if (!shouldRun || placement.workerEpoch() != heartbeat.workerEpoch()) {
        missingTaskHandler.endWithoutExit(placement, context.nowMs());
        continue;
      }
      if (!context.addCommand(placement.launchCommand())) {
        return;
      }
      placement.markSent(heartbeat.sequence(), context.nowMs());
    }
  }
}
