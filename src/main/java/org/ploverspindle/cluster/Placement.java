package org.ploverspindle.cluster;

/**
 * A task's place on a machine, from the intent until it is proven gone. While it exists the task
 * may start nowhere else, and it counts for limits, room and zones.
 */
public final class Placement {
  /** How far the attempt has come, as far as is known here. */
  public enum Phase {
    /** Being recorded; no order may go out yet. */
    INTENT,
    /** Recorded; the launch was in no answer yet, so the task is certainly not there. */
    READY,
    /** The launch was in an answer that may have arrived. */
    SENT,
    /** Found in the records of an earlier leader: presumed there until a report says. */
    RECOVERED,
    FETCHING,
    RUNNING,
    CHECKPOINTING
  }

  private final Job job;
  private final int task;
  private final long attempt;
  private final Machine machine;
  private final long agentEpoch;
  private Phase phase;
  private long sentSequence;
  private long runningSinceMs = -1;
  private boolean stopping;
  private double gracePeriodS;
  private long directToken = -1;
  private int lostResponses;
  private long recordedMs = -1;
  private long sentMs = -1;

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

  public Phase phase() {
    return phase;
  }

  void phase(Phase next, long nowMs) {
    if (next == Phase.RUNNING && runningSinceMs < 0) {
      runningSinceMs = nowMs;
    }
    phase = next;
  }

  /** The intent is durable. */
  public void markRecorded(long nowMs) {
    if (phase == Phase.INTENT) {
      phase = Phase.READY;
      recordedMs = nowMs;
    }
  }

  /** When the intent became durable and when the launch went out first, or -1; for the log. */
  public long recordedMs() {
    return recordedMs;
  }

  public long sentMs() {
    return sentMs;
  }

  /** True as long as no launch can have reached the machine, nor can reach it any more. */
  public boolean neverSent() {
    return (phase == Phase.INTENT || phase == Phase.READY) && directToken < 0;
  }

  /**
   * The launch was sent straight to the machine under this token, and may be executed at any time
   * until the machine has seen a higher one or begins a new session; -1 when it was not.
   */
  long directToken() {
    return directToken;
  }

  void markSentDirectly(long fencingToken, long nowMs) {
    sentMs = sentMs < 0 ? nowMs : sentMs;
    directToken = fencingToken;
    phase = Phase.SENT;
    sentSequence = Long.MAX_VALUE;
  }

  /** The machine has seen a higher token: what went straight to it is void. */
  void voidDirectLaunch() {
    directToken = -1;
  }

  void markSent(long sequence, long nowMs) {
    sentMs = sentMs < 0 ? nowMs : sentMs;
    phase = Phase.SENT;
    sentSequence = sequence;
  }

  /** The answer that held the launch did not arrive: the next one holds it again. */
  void markResponseLost() {
    phase = Phase.READY;
    lostResponses++;
  }

  /** How often an answer with its launch was lost. */
  int lostResponses() {
    return lostResponses;
  }

  long sentSequence() {
    return sentSequence;
  }

  /** When it was first seen running, or -1. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  public boolean stopping() {
    return stopping;
  }

  public double gracePeriodS() {
    return gracePeriodS;
  }

  /** Asks for a stop; a second one may only shorten the time to save. */
  public void stop(double newGracePeriodS) {
    gracePeriodS = stopping ? Math.min(gracePeriodS, newGracePeriodS) : newGracePeriodS;
    stopping = true;
  }
}
