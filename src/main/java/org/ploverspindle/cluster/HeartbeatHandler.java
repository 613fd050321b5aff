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
 * Handles heartbeats and decides which commands are sent in response. Beside {@link DirectCommands}
 * it is the only class that lets a launch out, and it does so only while the leader is
 * authoritative and the agent has accepted a token of this term.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Receives what heartbeats show about tasks. */
  public interface Listener {
    /** The task of the placement completed; the placement is removed. */
    void completed(Placement placement, long nowMs);

    /**
     * The task ended without completing, or never started; the placement is removed.
     *
     * @param exitReason as the agent gave it; {@code NONE} if no heartbeat showed an exit
     * @param checkpointed whether the task wrote a checkpoint when it was stopped
     */
    void ended(
        Placement placement, Heartbeat.ExitReason exitReason, boolean checkpointed, long nowMs);

    /** A task without a placement has completed there; its result counts all the same. */
    void completedUnrecorded(Job job, int task);

    /** The phase of the placement has changed. */
    void phaseChanged(Placement placement);
  }

  /**
   * What is known of a job that is not in the table.
   *
   * @param team index of its team in the settings
   * @param resources what one of its tasks takes
   */
  public record TaskOwner(int team, Resources resources) {}

  /** The response to a heartbeat. */
  public record Response(long fencingToken, List<WorkerCommand> commands) {}

  private final MachineRegistry registry;
  private final Term term;
  private final BooleanSupplier isAuthoritative;
  private final ReportedTasks reportedTasks;
  private final MissingTasks missingTasks;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid
   * @param jobs the jobs in the table, by uid
   * @param owners what is known of any other job, by uid
   * @param durablyCompleted whether the completion of a job's task is recorded
   */
  public HeartbeatHandler(
      MachineRegistry registry,
      Term term,
      BooleanSupplier isAuthoritative,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<TaskOwner>> owners,
      BiPredicate<Job, Integer> durablyCompleted,
      Listener listener) {
    this.registry = registry;
    this.term = term;
    this.isAuthoritative = isAuthoritative;
    this.reportedTasks = new ReportedTasks(registry, jobs, owners, durablyCompleted, listener);
    this.missingTasks = new MissingTasks(registry, listener);
  }

  /** A response without commands, which renews the agent's lease. */
  public Response emptyResponse(String host) {
    return new Response(fencingTokenFor(host), List.of());
  }

  /** The token is read last, as a command may have raised it. */
  private Response response(Heartbeat heartbeat, List<WorkerCommand> commands) {
    return new Response(fencingTokenFor(heartbeat.host()), commands);
  }

  private long fencingTokenFor(String host) {
    return registry.get(host).map(Machine::fencingToken).orElse(term.fencingToken());
  }

  /** Handles a heartbeat; its response has no commands if the heartbeat is not to be relied on. */
  public Response handle(Heartbeat heartbeat, long nowMs) {
    return response(heartbeat, process(heartbeat, nowMs, false));
  }

  /**
   * Handles the heartbeat with which an agent responds to direct commands. No commands can be sent
   * in response to it: those that it calls for go with the response to the next heartbeat.
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
      LOG.warn(
          "heartbeat ignored, not a machine of a known type and zone: machine={} type={} zone={}",
          heartbeat.host(),
          heartbeat.type(),
          heartbeat.zone());
      return List.of();
    }
    Machine machine = found.get();
    // A delayed heartbeat is older than what is known: its list of tasks would prove running tasks
    // gone. It gets a response, as the agent's lease could expire without, but is not evaluated.
    if (machine.isUp() && !heartbeat.isNewerThan(machine.agentEpoch(), machine.lastSequence())) {
      return List.of();
    }
    recordHeartbeat(machine, heartbeat, nowMs);
    return evaluate(newContext(machine, heartbeat, direct, nowMs));
  }

  private void recordHeartbeat(Machine machine, Heartbeat heartbeat, long nowMs) {
    boolean isNewEpoch = heartbeat.agentEpoch() > machine.agentEpoch();
    if (isNewEpoch && machine.isUp()) {
      // The agent's lease expired although its heartbeats arrive: responses may not reach it.
      machine.markUnreachable(registry.nextFencingToken(), nowMs);
    }
    machine.recordHeartbeat(heartbeat, nowMs, term.owns(heartbeat.fencingToken()));
    if (isNewEpoch) {
      endOlderEpochs(machine, nowMs);
    }
  }

  /** An agent epoch begins without tasks: all placements of older epochs are proven gone. */
  private void endOlderEpochs(Machine machine, long nowMs) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (placement.agentEpoch() < machine.agentEpoch()) {
        missingTasks.endWithoutExit(placement, nowMs);
      }
    }
    machine.clearImages();
  }

  private HeartbeatContext newContext(
      Machine machine, Heartbeat heartbeat, boolean direct, long nowMs) {
    return new HeartbeatContext(
        registry, machine, heartbeat, term.owns(heartbeat.fencingToken()), direct, nowMs);
  }

  private List<WorkerCommand> evaluate(HeartbeatContext context) {
    Machine machine = context.machine();
    registry.clearOrphans(machine);
    Set<Long> reportedAttempts = handleReported(context);
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!reportedAttempts.contains(placement.attempt())) {
        missingTasks.handle(context, placement);
      }
    }
    if (!context.direct()) {
      launch(context);
    }
    return context.commands();
  }

  /** Handles all attempts that the heartbeat shows; returns those that have a placement. */
  private Set<Long> handleReported(HeartbeatContext context) {
    Set<Long> placedAttempts = new HashSet<>();
    for (Heartbeat.TaskStatus status : context.heartbeat().tasks()) {
      Placement placement = context.machine().placement(status.attempt());
      if (placement != null && placement.isOf(status.uid(), status.task())) {
        placedAttempts.add(status.attempt());
        reportedTasks.handlePlaced(context, placement, status);
      } else {
        reportedTasks.handleUnplaced(context, status);
      }
    }
    return placedAttempts;
  }

  /**
   * The response to a heartbeat that was handled before and whose response was delayed: the
   * commands that have become possible since, as records became durable. It has none if a newer
   * heartbeat arrived, as then the response to that one counts.
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
    return machine.agentEpoch() == heartbeat.agentEpoch()
        && machine.lastSequence() == heartbeat.sequence();
  }

  private List<WorkerCommand> evaluateDelayed(HeartbeatContext context) {
    Machine machine = context.machine();
    for (Heartbeat.TaskStatus status : context.heartbeat().tasks()) {
      if (status.phase() == Heartbeat.Phase.EXITED && machine.placement(status.attempt()) == null) {
        reportedTasks.handleUnplaced(context, status);
      }
    }
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.isWanted()) {
        stopIfReported(context, placement);
      }
    }
    launch(context);
    return context.commands();
  }

  /** The stop was decided after the heartbeat was handled. */
  private static void stopIfReported(HeartbeatContext context, Placement placement) {
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
   * Launches what is recorded, is in no response yet, and is still wanted in this agent epoch. What
   * is not wanted ends here, unless a direct launch of it may still be executed.
   */
  private void launch(HeartbeatContext context) {
    if (!context.underOwnToken() || !isAuthoritative.getAsBoolean()) {
      return;
    }
    Heartbeat heartbeat = context.heartbeat();
    Machine machine = context.machine();
    for (Placement placement : List.copyOf(machine.placements())) {
      boolean isWanted = placement.isWanted() && !machine.isTerminating();
      if (placement.phase() != Placement.Phase.READY || !isWanted && placement.hasDirectLaunch()) {
        continue;
      }
      if (!isWanted || placement.agentEpoch() != heartbeat.agentEpoch()) {
        missingTasks.endWithoutExit(placement, context.nowMs());
        continue;
      }
      if (!context.addCommand(placement.launchCommand())) {
        return;
      }
      placement.markSent(heartbeat.sequence(), context.nowMs());
    }
  }
}
