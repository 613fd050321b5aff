package org.ploverspindle.cluster;

/**
 * A task's place on a machine, from the recorded intent until the task is proven gone. While it
 * exists the task may start nowhere else, and it counts for its team's limit, the machine's
 * resources and the job's zones.
 */
public final class Placement {
  /** How far the attempt has got, as far as the leader knows. */
  public enum Phase {
    /** The intent is being recorded; no launch may be sent yet. */
    INTENT,
    /** Recorded; no launch that is still valid was sent, so a launch may be sent. */
    READY,
    /** A launch was sent and may have arrived. */
    SENT,
    /** Found in an earlier leader's records: presumed on the machine until a heartbeat shows. */
    RECOVERED,
    FETCHING,
    RUNNING,
    CHECKPOINTING
  }

  /** In place of a fencing token: no launch that was sent directly can still be executed. */
  private static final long NO_TOKEN = -1;

  /** In place of a sequence number: the launch was sent directly and is in no response. */
  private static final long NO_RESPONSE = Long.MAX_VALUE;

  private final Job job;
  private final int task;
  private final long attempt;
  private final Machine machine;
  private final long agentEpoch;
  private Phase phase;
  private long sentSequence;
  private long directToken = NO_TOKEN;
  private int lostResponses;
  private boolean isStopping;
  private double gracePeriodS;
  private long recordedMs = Machine.NEVER_MS;
  private long sentMs = Machine.NEVER_MS;
  private long runningSinceMs = Machine.NEVER_MS;

  /**
   * @param agentEpoch the agent epoch in which the task is to run; it is gone in any later one
   */
  public Placement(Job job, int task, long attempt, Machine machine, long agentEpoch, Phase phase) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.agentEpoch = agentEpoch;
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

  public long agentEpoch() {
    return agentEpoch;
  }

  /** Whether it is the placement of that task; a reported attempt number alone is not trusted. */
  boolean isOf(String uid, int otherTask) {
    return job.uid().equals(uid) && task == otherTask;
  }

  public Phase phase() {
    return phase;
  }

  /** Sets the phase that a heartbeat shows. */
  void phase(Phase reported, long nowMs) {
    if (reported == Phase.RUNNING && runningSinceMs < 0) {
      runningSinceMs = nowMs;
    }
    phase = reported;
  }

  /** The record of the intent is durable. */
  public void markRecorded(long nowMs) {
    if (phase == Phase.INTENT) {
      phase = Phase.READY;
      recordedMs = nowMs;
    }
  }

  /** When the intent became durable in this term; negative if it did not. */
  public long recordedMs() {
    return recordedMs;
  }

  /** When its launch was first sent in this term; negative if it was not. */
  public long sentMs() {
    return sentMs;
  }

  /** When it was first seen running in this term; negative if it was not. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Whether no launch can have reached the machine, and none can still reach it. */
  public boolean neverSent() {
    return (phase == Phase.INTENT || phase == Phase.READY) && !hasDirectLaunch();
  }

  // Launches. Only HeartbeatHandler and DirectCommands send them, and mark them here.

  WorkerCommand.Launch launchCommand() {
    return new WorkerCommand.Launch(job.uid(), task, attempt);
  }

  /** The launch is in the response to the heartbeat with this sequence number. */
  void markSent(long sequence, long nowMs) {
    markFirstSent(nowMs);
    phase = Phase.SENT;
    sentSequence = sequence;
  }

  /**
   * The launch is sent directly under this token. It may be executed at any time until the machine
   * has received a higher token or begins a new agent epoch.
   */
  void markSentDirectly(long fencingToken, long nowMs) {
    markFirstSent(nowMs);
    phase = Phase.SENT;
    sentSequence = NO_RESPONSE;
    directToken = fencingToken;
  }

  private void markFirstSent(long nowMs) {
    sentMs = sentMs < 0 ? nowMs : sentMs;
  }

  /** Whether a launch was sent directly that may still be executed. */
  boolean hasDirectLaunch() {
    return directToken != NO_TOKEN;
  }

  /** The token of the direct launch; only if {@link #hasDirectLaunch}. */
  long directToken() {
    return directToken;
  }

  /** The machine has received a higher token: the direct launch will not be executed any more. */
  void voidDirectLaunch() {
    directToken = NO_TOKEN;
  }

  /**
   * Whether no response with the launch can still be executed when a heartbeat with this sequence
   * number has arrived. An agent has one heartbeat in flight: by the next one it has executed or
   * dropped the response to the last one.
   */
  boolean isResponseSettled(long heartbeatSequence) {
    return heartbeatSequence > sentSequence || sentSequence == NO_RESPONSE;
  }

  /** The response with the launch was lost: the launch is to be sent again. */
  void markResponseLost() {
    phase = Phase.READY;
    lostResponses++;
  }

  /** How often a response with the launch was lost. */
  int lostResponses() {
    return lostResponses;
  }

  // Stops.

  /** Asks for a stop; a repeat can only shorten the time that the task has for a checkpoint. */
  public void stop(double newGracePeriodS) {
    gracePeriodS = isStopping ? Math.min(gracePeriodS, newGracePeriodS) : newGracePeriodS;
    isStopping = true;
  }

  public boolean isStopping() {
    return isStopping;
  }

  /** Seconds that a stopping task has for a checkpoint. */
  public double gracePeriodS() {
    return gracePeriodS;
  }

  /** Whether the task is to run on: neither it nor its job is to end. */
  boolean isWanted() {
    return !job.isTerminal() && !isStopping;
  }

  /** The stop that ends the task: at once if its job is terminal, else after the grace period. */
  WorkerCommand.Stop stopCommand() {
    return new WorkerCommand.Stop(job.uid(), task, attempt, job.isTerminal() ? 0 : gracePeriodS);
  }
}
