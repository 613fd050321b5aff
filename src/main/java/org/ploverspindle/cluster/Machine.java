package org.ploverspindle.cluster;

import java.util.Collection;
import java.util.List;
import org.ploverspindle.model.Resources;

/**
 * A machine as the leader sees it during its term.
 *
 * <p>The state of a machine is divided among {@link HeartbeatState}, {@link CommandFencing}, {@link
 * MachineLifecycle}, {@link MachineTasks} and {@link MachineFailureHistory}. All times are in
 * milliseconds of the leader's steady clock. Only {@link MachineRegistry} adds and removes
 * placements.
 */
public final class Machine {
  /** Used instead of a time when the event has not happened or its time is not known. */
  static final long NEVER_MS = -1;

  private final String host;
  private final int type;
  private final int zone;
  private final boolean isSpot;
  private final Resources size;
  private final HeartbeatState heartbeats = new HeartbeatState();
  private final CommandFencing fencing;
  private final MachineLifecycle lifecycle;
  private final MachineTasks tasks;
  private final MachineFailureHistory failures = new MachineFailureHistory();
  private String address = "";

  /**
   * @param type index of the machine type in the catalogue
   * @param zone index of the zone in the catalogue
   * @param fencingToken the first token of the term
   */
  public Machine(
      String host,
      int type,
      int zone,
      boolean spot,
      Resources size,
      long nowMs,
      long fencingToken) {
    this.host = host;
    this.type = type;
    this.zone = zone;
    this.isSpot = spot;
    this.size = size;
    this.fencing = new CommandFencing(fencingToken);
    this.lifecycle = new MachineLifecycle(nowMs);
    this.tasks = new MachineTasks(nowMs);
  }

  public String host() {
    return host;
  }

  /** The index of the machine type in the catalogue. */
  public int type() {
    return type;
  }

  /** The index of the zone in the catalogue. */
  public int zone() {
    return zone;
  }

  public boolean isSpot() {
    return isSpot;
  }

  public Resources size() {
    return size;
  }

  /** The resources that neither placements nor orphaned tasks use. */
  public Resources free() {
    return size.minus(tasks.used());
  }

  /** The address at which the worker receives direct commands; empty if it is not known. */
  public String address() {
    return address;
  }

  /** Sets the address that the cloud's list shows, unless an address is known already. */
  public void setAddressFromList(String listedAddress) {
    if (address.isEmpty()) {
      address = listedAddress;
    }
  }

  // Heartbeats.

  void recordHeartbeat(Heartbeat heartbeat, long nowMs, boolean hasTokenOfTerm) {
    if (!isUp()) {
      // The machine was booting until now and does not count as idle for that time.
      tasks.restartEmptyPeriod(nowMs);
    }
    heartbeats.record(heartbeat, nowMs, hasTokenOfTerm);
    if (hasTokenOfTerm) {
      fencing.recordReportedToken(heartbeat.fencingToken());
    }
    if (!heartbeat.address().isEmpty()) {
      address = heartbeat.address();
    }
    lifecycle.recordSpotNotice(heartbeat.spotNoticeS());
  }

  /** Whether a heartbeat of the machine has arrived in this term. */
  public boolean isUp() {
    return heartbeats.hasHeartbeat();
  }

  /** When the first heartbeat of this term arrived; negative if none has. */
  public long firstHeartbeatMs() {
    return heartbeats.firstHeartbeatMs();
  }

  /** When the last heartbeat arrived; negative if none has in this term. */
  public long lastHeartbeatMs() {
    return heartbeats.lastHeartbeatMs();
  }

  /**
   * Returns true at the first call after the first heartbeat of this term and false at every other
   * call.
   */
  public boolean observeFirstHeartbeat() {
    return heartbeats.observeFirst();
  }

  /** The worker epoch of the last heartbeat; 0 if none has arrived in this term. */
  public long workerEpoch() {
    return heartbeats.workerEpoch();
  }

  /** The latest worker epoch that is known from a heartbeat or from the machine's placements. */
  public long lastKnownWorkerEpoch() {
    long known = workerEpoch();
    for (Placement placement : tasks.placements()) {
      known = Math.max(known, placement.workerEpoch());
    }
    return known;
  }

  /** The sequence number of the last heartbeat within its worker epoch. */
  public long lastSequence() {
    return heartbeats.lastSequence();
  }

  /**
   * Whether the worker has accepted a fencing token of this term. From then on it rejects responses
   * and commands of earlier leaders.
   */
  public boolean hasAcceptedToken() {
    return heartbeats.hasAcceptedToken();
  }

  // Fencing of commands.

  /** The fencing token that responses and commands to this machine carry. */
  public long fencingToken() {
    return fencing.fencingToken();
  }

  void raiseFencingToken(long token) {
    fencing.raiseFencingToken(token);
  }

  /**
   * Whether a heartbeat has shown the current fencing token, so that commands reach the machine.
   */
  public boolean receivesCommands() {
    return fencing.receivesCommands();
  }

  /**
   * Records that commands do not reach the machine. It gets no new tasks until a heartbeat shows
   * the raised fencing token.
   */
  void markUnreachable(long token, long nowMs) {
    fencing.markUnreachable(token, nowMs);
  }

  /** Since when commands have not reached the machine; negative if they are not known to fail. */
  public long unreachableSinceMs() {
    return fencing.unreachableSinceMs();
  }

  void recordDirectLaunch(long attempt) {
    fencing.recordDirectLaunch(attempt);
  }

  boolean isDirectLaunchPending(long attempt) {
    return fencing.isDirectLaunchPending(attempt);
  }

  // Lifecycle.

  /** When the machine became known to this leader. */
  public long knownSinceMs() {
    return lifecycle.knownSinceMs();
  }

  /** Records that the machine was provisioned by this time. The earliest recorded time counts. */
  public void recordProvisioned(long atMs) {
    lifecycle.recordProvisioned(atMs);
  }

  /** The latest time at which the machine can have been provisioned; negative if not known. */
  public long provisionedSinceMs() {
    return lifecycle.provisionedSinceMs();
  }

  /** The latest time at which the machine can have begun to boot. */
  public long bootingSinceMs() {
    return provisionedSinceMs() < 0 ? knownSinceMs() : provisionedSinceMs();
  }

  public boolean isListed() {
    return lifecycle.isListed();
  }

  /** Records that the cloud's list names the machine. */
  public void recordListed(long nowMs) {
    lifecycle.recordListed(nowMs);
  }

  /** When a list first named the machine in this term; valid only if {@link #isListed}. */
  public long listedSinceMs() {
    return lifecycle.listedSinceMs();
  }

  /**
   * Keeps new tasks off the machine until this time. A termination record that can't be read may
   * name the machine, and a termination request that was based on the record may still take effect.
   */
  void quarantine(long untilMs) {
    lifecycle.quarantine(untilMs);
  }

  /**
   * Ends the quarantine of a machine that was provisioned in this term, which no termination record
   * of an earlier term can name.
   */
  public void endQuarantine() {
    lifecycle.quarantine(MachineLifecycle.NOT_QUARANTINED_MS);
  }

  public boolean hasSpotNotice() {
    return lifecycle.spotNoticeS().isPresent();
  }

  /** Seconds until reclamation according to the last spot notice; 0 if there was none. */
  public double spotNoticeS() {
    return lifecycle.spotNoticeS().orElse(0);
  }

  public boolean isDraining() {
    return lifecycle.isDraining();
  }

  /** Keeps new tasks off the machine for the rest of the term. Running tasks may complete. */
  public void drain() {
    lifecycle.drain();
  }

  /** Whether the machine is expensive and not needed, so that it gets only urgent tasks. */
  public boolean isScaleInCandidate() {
    return lifecycle.isScaleInCandidate();
  }

  public void setScaleInCandidate(boolean candidate) {
    lifecycle.setScaleInCandidate(candidate);
  }

  /**
   * Records that the machine is unusable according to the cloud's list and has to be terminated.
   */
  public void markUnusable() {
    lifecycle.markUnusable();
  }

  /** Whether the machine's termination has begun. A termination is never revoked. */
  public boolean isTerminating() {
    return lifecycle.isTerminating();
  }

  void beginTermination() {
    lifecycle.beginTermination();
  }

  /** Whether the machine gets no new tasks any more and is to be terminated. */
  public boolean isDecommissioning() {
    return lifecycle.isDecommissioning();
  }

  // Tasks.

  /** The placements on the machine: a live, unmodifiable view. */
  public Collection<Placement> placements() {
    return tasks.placements();
  }

  /** The placement of the attempt, or null. */
  Placement placement(long attempt) {
    return tasks.placement(attempt);
  }

  void add(Placement placement) {
    tasks.add(placement);
  }

  void remove(Placement placement, long nowMs) {
    tasks.remove(placement, nowMs);
  }

  List<OrphanedTask> orphans() {
    return tasks.orphans();
  }

  void addOrphan(OrphanedTask orphan) {
    tasks.addOrphan(orphan);
  }

  void clearOrphans() {
    tasks.clearOrphans();
  }

  /** Whether a task with this image has been placed on the machine in this worker epoch. */
  public boolean hasImage(String image) {
    return tasks.hasImage(image);
  }

  void clearImages() {
    tasks.clearImages();
  }

  /** Whether the machine has neither a placement nor an orphaned task. */
  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /**
   * Since when the machine has had no placement, but not earlier than its first heartbeat; valid
   * only while there is no placement.
   */
  public long emptySinceMs() {
    return tasks.emptySinceMs();
  }

  MachineFailureHistory failures() {
    return failures;
  }

  /** Whether jobs that are known to run elsewhere have failed on the machine. */
  public boolean isSuspect() {
    return failures.isSuspect();
  }

  /**
   * Whether new tasks may be placed on the machine.
   *
   * @param heartbeatTimeoutMs the longest time since the last heartbeat with which the machine is
   *     schedulable
   */
  public boolean isSchedulable(long nowMs, long heartbeatTimeoutMs) {
    return receivesCommands()
        && lifecycle.allowsNewTasks(nowMs)
        && !failures.isCordoned(nowMs)
        // A suspect machine gets one task at a time, because all tasks of a job would fail there.
        && (!failures.isSuspect() || tasks.placements().isEmpty())
        && nowMs - lastHeartbeatMs() <= heartbeatTimeoutMs;
  }
}
