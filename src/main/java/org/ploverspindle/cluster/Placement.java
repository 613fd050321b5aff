package org.ploverspindle.cluster;

/**
 * The assignment of one attempt of a task to a machine. It exists from the decision to place the
 * task until the task is proven gone. While it exists, the task may not start on another machine,
 * and the placement counts for the team's limit, the machine's resources and the job's zones.
 */
public final class Placement {
  /** The progress of the attempt as far as the leader knows it. */
  public enum Phase {
    /** The placement is not durably recorded yet, and no launch may be sent. */
    INTENT,
    /** The placement is recorded, no response in flight carries its launch, and one may be sent. */
    READY,
    /** A launch was sent and may have arrived. */
    SENT,
    /**
     * The placement was found in the records of an earlier leader. The task is presumed to be on
     * the machine until a heartbeat shows whether it is.
     */
    RECOVERED,
    FETCHING,
    RUNNING,
    CHECKPOINTING
  }

  /** Used instead of a fencing token when no direct launch can still be executed. */
  private static final long NO_TOKEN = -1;

  /** Used instead of a sequence number when the launch was sent directly and not in a response. */
  private static final long NO_RESPONSE = Long.MAX_VALUE;

  private final Job job;
  private final int task;
  private final long attempt;
  private final Machine machine;
  private final long workerEpoch;
  private Phase phase;
  private long sentSequence;
  private long directLaunchToken = NO_TOKEN;
  private int lostLaunches;
  private boolean isStopping;
  private double gracePeriodS;
  private long recordedMs = Machine.NEVER_MS;
  private long sentMs = Machine.NEVER_MS;
  private long runningSinceMs = Machine.NEVER_MS;

  /**
   * @param workerEpoch the worker epoch in which the task is to run; the task is gone in any later
   *     epoch
   */
  public Placement(
      Job job, int task, long attempt, Machine machine, long workerEpoch, Phase phase) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.workerEpoch = workerEpoch;
    this.phase = phase;
  }

  public Job job() {
    return job;
  }

  public int task() {
    return task;
  }

  public long attempt() {
    return attempt;
  }

  public Machine machine() {
    return machine;
  }

  public long workerEpoch() {
    return workerEpoch;
  }

  /**
   * Whether this is a placement of the given task. The attempt number in a heartbeat does not prove
   * that by itself.
   */
  boolean isOf(String uid, int otherTask) {
    return job.uid().equals(uid) && task == otherTask;
  }

  public Phase phase() {
    return phase;
  }

  /** Sets the phase that a heartbeat shows, and when the task was first seen running. */
  void updatePhase(Phase reported, long nowMs) {
    if (reported == Phase.RUNNING && runningSinceMs < 0) {
      runningSinceMs = nowMs;
    }
    phase = reported;
  }

  /** Records that the placement is durably recorded. */
  public void markRecorded(long nowMs) {
    if (phase == Phase.INTENT) {
      phase = Phase.READY;
      recordedMs = nowMs;
    }
  }

  /** When the placement was durably recorded in this term; negative if it was not. */
  public long recordedMs() {
    return recordedMs;
  }

  /** When the launch was first sent in this term; negative if it was not. */
  public long sentMs() {
    return sentMs;
  }

  /** When a heartbeat first showed the task running in this term; negative if none did. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Whether no launch can have reached the machine, and none can still reach it. */
  public boolean isNeverSent() {
    return (phase == Phase.INTENT || phase == Phase.READY) && !hasPendingDirectLaunch();
  }

  // Launches. Only HeartbeatHandler and DirectCommands send launches; both record each one here.

  WorkerCommand.Launch launchCommand() {
    return new WorkerCommand.Launch(job.uid(), task, attempt);
  }

  /** Records that the response to the heartbeat with this sequence number carries the launch. */
  void markSent(long sequence, long nowMs) {
    markFirstSent(nowMs);
    phase = Phase.SENT;
    sentSequence = sequence;
  }

  /**
   * Records that the launch is sent directly under this fencing token. It may be executed at any
   * time until the worker has received a higher token or begins a new epoch.
   */
  void markSentDirectly(long fencingToken, long nowMs) {
    markFirstSent(nowMs);
    phase = Phase.SENT;
    sentSequence = NO_RESPONSE;
    directLaunchToken = fencingToken;
  }

  private void markFirstSent(long nowMs) {
    sentMs = sentMs < 0 ? nowMs : sentMs;
  }

  /** Whether a launch that was sent directly may still be executed. */
  boolean hasPendingDirectLaunch() {
    return directLaunchToken != NO_TOKEN;
  }

  /** The fencing token of the direct launch; valid only if {@link #hasPendingDirectLaunch}. */
  long directLaunchToken() {
    return directLaunchToken;
  }

  /**
   * Records that the direct launch will not be executed any more, because the worker has received a
   * higher fencing token.
   */
  void clearDirectLaunch() {
    directLaunchToken = NO_TOKEN;
  }

  /**
   * Whether no response with the launch can still be executed, given that a heartbeat with this
   * sequence number has arrived. A worker has only one heartbeat in flight: when it writes the next
   * one, it has executed or dropped the response to the last one.
   */
  boolean isResponseSettled(long heartbeatSequence) {
    return heartbeatSequence > sentSequence || sentSequence == NO_RESPONSE;
  }

  /** Records that a sent launch was lost or is not shown, so that it is to be sent again. */
  void markLaunchLost() {
    phase = Phase.READY;
    lostLaunches++;
  }

  /** How often the launch was recorded as lost. */
  int lostLaunches() {
    return lostLaunches;
  }

  // Stops.

  /**
   * Requests a stop of the task. A repeated request can only shorten the grace period, which is the
   * time that the task has for a checkpoint.
   *
   * @param newGracePeriodS the grace period in seconds
   */
  public void requestStop(double newGracePeriodS) {
    gracePeriodS = isStopping ? Math.min(gracePeriodS, newGracePeriodS) : newGracePeriodS;
    isStopping = true;
  }

  public boolean isStopping() {
    return isStopping;
  }

  /** The seconds that the task has for a checkpoint when it is stopped. */
  public double gracePeriodS() {
    return gracePeriodS;
  }

  /** Whether the task is to run: neither its stop is requested nor is its job terminal. */
  boolean shouldRun() {
    return !job.isTerminal() && !isStopping;
  }

  /** The command that stops the task: without grace period if its job is terminal. */
  WorkerCommand.Stop stopCommand() {
    return new WorkerCommand.Stop(job.uid(), task, attempt, job.isTerminal() ? 0 : gracePeriodS);
  }
}
