package org.ploverspindle.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.settings.Settings;

/** A simulated worker; it follows the protocol and has at most one heartbeat in flight. */
final class SimWorker {
  /** Jobs of this class are defective: their tasks fail on every machine. */
  static final String FAILING_CLASS = "broken";

  /** Sends a heartbeat of a worker to a controller; there may be no response. */
  interface HeartbeatSender {
    void send(SimWorker worker, int controller, Heartbeat heartbeat, long requestId);
  }

  private static final long RESPONSE_TIMEOUT_MS = 4_000;

  private final SimClock clock;
  private final Random random;
  private final Settings.WorkerLimits limits;
  private final InvariantChecker checker;
  private final InvariantChecker.Place place;
  private final Map<String, JobSpec> specs;
  private final HeartbeatSender heartbeatSender;
  private final int controllerCount;
  private final double cores;
  private final Map<Long, SimAttempt> attempts = new LinkedHashMap<>();
  private final SimPause pause;

  /** The messages with launches that the worker executed, for tests that deliver copies. */
  final LateLaunchCopies launchCopies = new LateLaunchCopies();

  private int controller;
  private long workerEpoch = 1;
  private long sequence;
  private long fencingToken;
  private long leaseStartMs;
  private long lastRequestId;
  private long inFlightRequestId = -1;
  private long inFlightWorkerEpoch;
  private long inFlightSentMs;
  private boolean isTerminated;
  private boolean isFailing;
  private boolean hasSpotNotice;

  SimWorker(
      SimClock clock,
      Random random,
      Settings.WorkerLimits limits,
      InvariantChecker checker,
      InvariantChecker.Place place,
      Map<String, JobSpec> specs,
      HeartbeatSender heartbeatSender,
      int controllerCount,
      double cores) {
    this.clock = clock;
    this.random = random;
    this.limits = limits;
    this.checker = checker;
    this.place = place;
    this.specs = specs;
    this.heartbeatSender = heartbeatSender;
    this.controllerCount = controllerCount;
    this.cores = cores;
    this.pause = new SimPause(clock);
    this.controller = random.nextInt(controllerCount);
    this.leaseStartMs = clock.nowMs();
    sendAfter(0);
    scheduleLeaseCheck();
  }

  String host() {
    return place.host();
  }

  String zone() {
    return place.zone();
  }

  /** The worker epoch: starts at 1 and grows by one each time the worker lease expires. */
  long workerEpoch() {
    return workerEpoch;
  }

  void setFailing(boolean active) {
    isFailing = active;
  }

  void giveSpotNotice() {
    hasSpotNotice = true;
  }

  /** Ends the machine and all tasks on it. */
  void terminate() {
    isTerminated = true;
    killTasks();
  }

  /** Whether its worker lease is valid and an attempt on it has not exited. */
  boolean hasTasks() {
    return !isTerminated
        && !isLeaseExpired()
        && attempts.values().stream().anyMatch(attempt -> attempt.phase != Heartbeat.Phase.EXITED);
  }

  boolean isTerminated() {
    return isTerminated;
  }

  InvariantChecker.Place place() {
    return place;
  }

  String address() {
    return place.host() + ":9000";
  }

  /** Whether it can execute commands: it neither fails tasks nor hangs, and has no spot notice. */
  boolean isHealthy() {
    return !isTerminated && !isFailing && !hasSpotNotice && !pause.isActive();
  }

  /**
   * Makes the machine unresponsive: tasks make no progress, no heartbeats are sent, and messages to
   * it wait. If it resumes within its lease, it executes commands that it received before, although
   * the controller may have decided otherwise since.
   */
  void hang(long durationMs) {
    if (!isTerminated) {
      pause.begin(durationMs, this::resume);
    }
  }

  /** Runs before all that waited for the end of the pause: an expired lease ends all tasks. */
  private void resume() {
    if (isTerminated || pause.isActive()) {
      return;
    }
    checkLease();
    for (SimAttempt attempt : attempts.values()) {
      if (attempt.isExecuting()) {
        checker.recordResume(attempt.uid, attempt.task, place);
      }
    }
  }

  /** Executes direct commands and responds with the heartbeat that results from them. */
  void executeDirect(
      long token,
      long commandEpoch,
      List<WorkerCommand> commands,
      long sentMs,
      Consumer<Heartbeat> then) {
    pause.runAfterPause(
        () -> {
          if (isTerminated) {
            return;
          }
          if (token >= fencingToken && commandEpoch == workerEpoch) {
            fencingToken = token;
            launchCopies.record(true, token, commandEpoch, commands, sentMs);
            commands.forEach(command -> execute(command, sentMs));
          }
          then.accept(newHeartbeat());
        });
  }

  private void killTasks() {
    for (SimAttempt attempt : attempts.values()) {
      notifyStopped(attempt);
    }
    attempts.clear();
  }

  private void notifyStopped(SimAttempt attempt) {
    if (attempt.isExecuting()) {
      checker.recordStop(attempt.uid, attempt.task, place);
    }
  }

  private void scheduleLeaseCheck() {
    clock.after(
        100,
        () -> {
          if (isTerminated) {
            return;
          }
          if (!pause.isActive()) {
            checkLease();
          } else if (isLeaseExpired()) {
            // The tasks can't resume after the pause: from now on they may run elsewhere.
            attempts.values().forEach(this::notifyStopped);
          }
          scheduleLeaseCheck();
        });
  }

  private boolean isLeaseExpired() {
    return clock.nowMs() - leaseStartMs > limits.leaseS() * 1000;
  }

  private void checkLease() {
    if (isLeaseExpired()) {
      killTasks();
      workerEpoch++;
      sequence = 0;
      leaseStartMs = clock.nowMs();
    }
  }

  private void sendAfter(long delayMs) {
    clock.after(delayMs, this::sendHeartbeat);
  }

  private void sendHeartbeat() {
    if (pause.isActive()) {
      pause.runAfterPause(this::sendHeartbeat);
      return;
    }
    if (isTerminated || inFlightRequestId >= 0) {
      return;
    }
    long requestId = ++lastRequestId;
    inFlightRequestId = requestId;
    inFlightWorkerEpoch = workerEpoch;
    inFlightSentMs = clock.nowMs();
    heartbeatSender.send(this, controller, newHeartbeat(), requestId);
    clock.after(RESPONSE_TIMEOUT_MS, () -> pause.runAfterPause(() -> requestFailed(requestId)));
  }

  private Heartbeat newHeartbeat() {
    sequence++;
    return new Heartbeat(
        place.host(),
        address(),
        place.type(),
        place.zone(),
        place.spot(),
        workerEpoch,
        sequence,
        fencingToken,
        hasSpotNotice ? OptionalDouble.of(8) : OptionalDouble.empty(),
        attempts.values().stream().map(SimAttempt::status).toList());
  }

  private void requestFailed(long requestId) {
    if (inFlightRequestId == requestId) {
      inFlightRequestId = -1;
      controller = (controller + 1) % controllerCount;
      sendAfter(1_000);
    }
  }

  void handleRefusal(long requestId, int leader) {
    pause.runAfterPause(() -> takeRefusal(requestId, leader));
  }

  private void takeRefusal(long requestId, int leader) {
    if (inFlightRequestId != requestId || isTerminated) {
      return;
    }
    inFlightRequestId = -1;
    if (leader >= 0 && leader != controller) {
      controller = leader;
      sendAfter(random.nextInt(500));
    } else {
      controller = (controller + 1) % controllerCount;
      sendAfter(1_000);
    }
  }

  /** Handles a response to a heartbeat; the controller sent its commands at {@code sentMs}. */
  void handleResponse(long requestId, long token, List<WorkerCommand> commands, long sentMs) {
    pause.runAfterPause(() -> takeResponse(requestId, token, commands, sentMs));
  }

  private void takeResponse(long requestId, long token, List<WorkerCommand> commands, long sentMs) {
    if (inFlightRequestId != requestId || isTerminated) {
      return;
    }
    if (clock.nowMs() - inFlightSentMs > RESPONSE_TIMEOUT_MS) {
      requestFailed(requestId);
      return;
    }
    inFlightRequestId = -1;
    sendAfter(Math.round(limits.heartbeatIntervalS() * 1000 * (0.75 + random.nextDouble() / 2)));
    if (inFlightWorkerEpoch != workerEpoch || token < fencingToken) {
      return;
    }
    fencingToken = token;
    leaseStartMs = inFlightSentMs;
    launchCopies.record(false, token, workerEpoch, commands, sentMs);
    commands.forEach(command -> execute(command, sentMs));
  }

  /** Whether it executes a message with this token and worker epoch that arrives now. */
  boolean accepts(long token, long epoch) {
    return !isTerminated && !pause.isActive() && token >= fencingToken && epoch == workerEpoch;
  }

  /** Ends all tasks, as if the process was restarted; it keeps the highest token it has seen. */
  void restartProcess(boolean newEpoch) {
    killTasks();
    workerEpoch += newEpoch ? 1 : 0;
    leaseStartMs = newEpoch ? clock.nowMs() : leaseStartMs;
  }

  void execute(WorkerCommand command, long sentMs) {
    SimAttempt known = attempts.get(command.attempt());
    if (command instanceof WorkerCommand.Launch launch) {
      if (known == null) {
        launch(launch, sentMs);
      }
    } else if (command instanceof WorkerCommand.Stop stop) {
      if (known != null && known.phase != Heartbeat.Phase.EXITED) {
        stop(known, stop.gracePeriodS());
      }
    } else if (known != null && known.phase == Heartbeat.Phase.EXITED) {
      attempts.remove(command.attempt());
    }
  }

  private void launch(WorkerCommand.Launch command, long sentMs) {
    SimAttempt attempt = new SimAttempt(command.uid(), command.task(), command.attempt(), sentMs);
    JobSpec spec = specs.get(command.uid());
    boolean isDuplicate = SimAttempt.isOnMachine(attempts.values(), attempt);
    double usedCores = SimAttempt.usedCores(attempts.values(), specs);
    attempts.put(attempt.attempt, attempt);
    if (spec == null) {
      exit(attempt, Heartbeat.ExitReason.NO_SUCH);
    } else if (isDuplicate) {
      exit(attempt, Heartbeat.ExitReason.BUSY);
    } else if (usedCores + spec.cores() > cores + 1e-9) {
      exit(attempt, Heartbeat.ExitReason.NO_ROOM);
    } else {
      pause.afterActiveTime(200 + random.nextInt(1_500), () -> start(attempt, spec));
    }
  }

  private boolean isPresent(SimAttempt attempt) {
    return !isTerminated && attempts.get(attempt.attempt) == attempt;
  }

  private void start(SimAttempt attempt, JobSpec spec) {
    if (!isPresent(attempt) || attempt.phase != Heartbeat.Phase.FETCHING) {
      return;
    }
    attempt.phase = Heartbeat.Phase.RUNNING;
    checker.starts(attempt.uid, attempt.task, place, attempt.commandSentMs);
    if (isFailing || spec.jobClass().equals(FAILING_CLASS)) {
      pause.afterActiveTime(isFailing ? 300 : 20, () -> end(attempt, Heartbeat.ExitReason.ERROR));
    } else if (spec.expectedS() > 0) {
      pause.afterActiveTime(
          Math.round(spec.expectedS() * 1000), () -> end(attempt, Heartbeat.ExitReason.DONE));
    }
  }

  private void end(SimAttempt attempt, Heartbeat.ExitReason exitReason) {
    if (isPresent(attempt) && attempt.phase == Heartbeat.Phase.RUNNING) {
      if (exitReason == Heartbeat.ExitReason.DONE) {
        checker.recordCompletion(attempt.uid, attempt.task);
      }
      exit(attempt, exitReason);
    }
  }

  private void exit(SimAttempt attempt, Heartbeat.ExitReason exitReason) {
    notifyStopped(attempt);
    attempt.phase = Heartbeat.Phase.EXITED;
    attempt.exitReason = exitReason;
  }

  private void stop(SimAttempt attempt, double gracePeriodS) {
    JobSpec spec = specs.get(attempt.uid);
    if (attempt.phase == Heartbeat.Phase.RUNNING
        && spec.isCheckpointed()
        && gracePeriodS >= spec.checkpointCostS()) {
      attempt.phase = Heartbeat.Phase.CHECKPOINTING;
      pause.afterActiveTime(
          Math.round(spec.checkpointCostS() * 1000),
          () -> {
            if (isPresent(attempt) && attempt.phase == Heartbeat.Phase.CHECKPOINTING) {
              attempt.checkpointed = true;
              exit(attempt, Heartbeat.ExitReason.STOPPED);
            }
          });
    } else if (attempt.phase != Heartbeat.Phase.CHECKPOINTING || gracePeriodS == 0) {
      exit(attempt, Heartbeat.ExitReason.STOPPED);
    }
  }
}
