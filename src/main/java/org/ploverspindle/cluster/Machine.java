package org.ploverspindle.cluster;

import java.util.Collection;
import java.util.List;
import org.ploverspindle.model.Resources;

/**
 * A machine as the leader sees it during its term.
 *
 * <p>Its parts: {@link HeartbeatState}, {@link CommandFencing}, {@link MachineLifecycle}, {@link
 * MachineTasks} and {@link MachineFailureHistory}. All times are in milliseconds of the leader's
 * steady clock. Placements are added and removed by {@link MachineRegistry} alone.
 */
public final class Machine {
  /** In place of a time: it has not happened, or is not known. */
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

  /** What neither placements nor orphaned tasks take. */
  public Resources free() {
    return size.minus(tasks.used());
  }

  /** Where the agent receives direct commands; empty if that is not known. */
  public String address() {
    return address;
  }

  /** Takes the address from the cloud's list, unless a heartbeat has given one. */
  public void setAddressFromList(String listedAddress) {
    if (address.isEmpty()) {
      address = listedAddress;
    }
  }

  // Heartbeats.

  void recordHeartbeat(Heartbeat heartbeat, long nowMs, boolean underOwnToken) {
    if (!isUp()) {
      // Until now it was booting, not idle.
      tasks.restartEmptyPeriod(nowMs);
    }
    heartbeats.record(heartbeat, nowMs, underOwnToken);
    if (underOwnToken) {
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

  /** True for the first call after the first heartbeat of this term, false for every other call. */
  public boolean observeFirstHeartbeat() {
    return heartbeats.observeFirst();
  }

  /** The agent epoch of the last heartbeat; 0 if none has arrived in this term. */
  public long agentEpoch() {
    return heartbeats.agentEpoch();
  }

  /** The latest agent epoch that is known from a heartbeat or from recovered placements. */
  public long lastKnownAgentEpoch() {
    long known = agentEpoch();
    for (Placement placement : tasks.placements()) {
      known = Math.max(known, placement.agentEpoch());
    }
    return known;
  }

  /** The sequence number of the last heartbeat within its agent epoch. */
  public long lastSequence() {
    return heartbeats.lastSequence();
  }

  /**
   * Whether the agent has accepted a token of this term: from then on it refuses responses and
   * commands of earlier leaders.
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
    fencing.raiseToken(token);
  }

  /** Whether a heartbeat has shown the machine's current token, so that commands reach it. */
  public boolean receivesCommands() {
    return fencing.receivesCommands();
  }

  /** Commands do not reach the machine: it gets no new tasks until it shows the raised token. */
  void markUnreachable(long token, long nowMs) {
    fencing.markUnreachable(token, nowMs);
  }

  /** Since when heartbeats arrive but commands do not; negative if commands do. */
  public long unreachableSinceMs() {
    return fencing.unreachableSinceMs();
  }

  void recordDirectLaunch(long attempt) {
    fencing.recordDirectLaunch(attempt);
  }

  boolean isDirectLaunchPending(long attempt) {
    return fencing.isDirectLaunchPending(attempt);
  }

  // Life cycle.

  /** When the machine became known to this leader. */
  public long knownSinceMs() {
    return lifecycle.knownSinceMs();
  }

  /** The machine was provisioned at this time or earlier; the earliest known time counts. */
  public void provisionedAt(long atMs) {
    lifecycle.provisionedAt(atMs);
  }

  /** When it was provisioned, at the latest; negative if that is not known. */
  public long provisionedSinceMs() {
    return lifecycle.provisionedSinceMs();
  }

  /** When it began to boot, at the latest. */
  public long bootingSinceMs() {
    return provisionedSinceMs() < 0 ? knownSinceMs() : provisionedSinceMs();
  }

  public boolean isListed() {
    return lifecycle.isListed();
  }

  /** The cloud's list names the machine. */
  public void listedAt(long nowMs) {
    lifecycle.listedAt(nowMs);
  }

  /** When a list named it first in this term; meaningful only if {@link #isListed}. */
  public long listedSinceMs() {
    return lifecycle.listedSinceMs();
  }

  /**
   * No new tasks until this time: a termination record that can't be read may name the machine, and
   * a request that rests on it may still end the machine.
   */
  void quarantine(long untilMs) {
    lifecycle.quarantine(untilMs);
  }

  /** The machine was provisioned in this term, so that no earlier record can name it. */
  public void endQuarantine() {
    lifecycle.quarantine(MachineLifecycle.NOT_QUARANTINED_MS);
  }

  public boolean hasSpotNotice() {
    return lifecycle.spotNoticeS().isPresent();
  }

  /** Seconds that the last spot notice leaves; 0 if there was none. */
  public double spotNoticeS() {
    return lifecycle.spotNoticeS().orElse(0);
  }

  public boolean isDraining() {
    return lifecycle.isDraining();
  }

  /** No new tasks for the rest of the term; those that run may complete. */
  public void drain() {
    lifecycle.drain();
  }

  /** Whether the machine is expensive and not needed: it takes only tasks that are urgent. */
  public boolean isScaleInCandidate() {
    return lifecycle.isScaleInCandidate();
  }

  public void setScaleInCandidate(boolean candidate) {
    lifecycle.setScaleInCandidate(candidate);
  }

  /** The machine is of no further use, as the cloud's list shows: it is to be terminated. */
  public void markUnusable() {
    lifecycle.markUnusable();
  }

  /** Whether its termination has begun, which is never taken back. */
  public boolean isTerminating() {
    return lifecycle.isTerminating();
  }

  void beginTermination() {
    lifecycle.beginTermination();
  }

  /** Whether it takes no new tasks any more and will be terminated. */
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

  /** Whether the image was fetched by a task that was placed here since the agent epoch began. */
  public boolean hasImage(String image) {
    return tasks.hasImage(image);
  }

  void clearImages() {
    tasks.clearImages();
  }

  /** Whether there is neither a placement nor an orphaned task. */
  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Since when there has been no placement; counted from the first heartbeat at the earliest. */
  public long emptySinceMs() {
    return tasks.emptySinceMs();
  }

  MachineFailureHistory failures() {
    return failures;
  }

  /** Whether jobs that run elsewhere have failed here. */
  public boolean isSuspect() {
    return failures.isSuspect();
  }

  /**
   * Whether new tasks may be placed here.
   *
   * @param heartbeatTimeoutMs the longest time since the last heartbeat that is let through
   */
  public boolean isSchedulable(long nowMs, long heartbeatTimeoutMs) {
    return receivesCommands()
        && lifecycle.allowsNewTasks(nowMs)
        && !failures.isCordoned(nowMs)
        // A suspect machine is tried with one task at a time: a whole job there would fail whole.
        && (!failures.isSuspect() || tasks.placements().isEmpty())
        && nowMs - lastHeartbeatMs() <= heartbeatTimeoutMs;
  }
}
