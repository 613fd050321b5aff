package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.ploverspindle.model.Resources;

/** A machine as the leader sees it during its term. */
public final class Machine {
  /** An attempt that a report showed and that nobody has recorded there. */
  record OrphanedTask(
      String uid, int task, long attempt, int team, Resources resources, boolean exited) {}

  private final String host;
  private final int type;
  private final int zone;
  private final boolean spot;
  private final Resources size;
  private final long knownSinceMs;
  private final Map<Long, Placement> placements = new HashMap<>();
  private final List<OrphanedTask> orphans = new ArrayList<>();
  private final LinkedHashSet<String> images = new LinkedHashSet<>();
  private final MachineFailureHistory failures = new MachineFailureHistory();
  private Resources used = Resources.NONE;
  private String address = "";
  private long agentEpoch;
  private long lastSequence;
  private long lastHeartbeatMs = -1;
  private long upSinceMs = -1;
  private boolean justCameUp;
  private long provisionedSinceMs = -1;
  private boolean hasAcceptedToken;
  private long emptySinceMs;
  private long spotNoticeAtMs = -1;
  private double spotNoticeS;
  private boolean isDraining;
  private boolean unusable;
  private boolean isTerminating;
  private boolean isScaleInCandidate;
  private long quarantinedUntilMs = Long.MIN_VALUE / 2;
  private boolean isListed;
  private long listedSinceMs;
  private long fencingToken;
  private boolean receivesCommands;
  private long unreachableSinceMs = -1;
  private final Map<Long, Long> directLaunches = new HashMap<>();

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
    this.spot = spot;
    this.size = size;
    this.knownSinceMs = nowMs;
    this.emptySinceMs = nowMs;
    this.fencingToken = fencingToken;
  }

  /** The token that this machine's answers carry. */
  public long fencingToken() {
    return fencingToken;
  }

  /**
   * From now on its answers carry this token. Whatever was sent straight to it before is void once
   * it has shown the new one, and until then it is not known to hear us.
   */
  void raiseFencingToken(long token) {
    fencingToken = token;
  }

  /** True when, in this session, it has shown a token of ours that was raised since. */
  public boolean receivesCommands() {
    return receivesCommands;
  }

  /** Nothing we say seems to arrive: it gets no work until it shows the token raised for this. */
  void markUnreachable(long token, long nowMs) {
    if (receivesCommands || unreachableSinceMs < 0) {
      raiseFencingToken(token);
    }
    receivesCommands = false;
    if (unreachableSinceMs < 0) {
      unreachableSinceMs = nowMs;
    }
  }

  /** Since when it has reported and not heard, or -1. */
  public long unreachableSinceMs() {
    return unreachableSinceMs;
  }

  /** A launch went straight to it and is not to be forgotten under the same token. */
  void recordDirectLaunch(long attempt) {
    directLaunches.put(attempt, fencingToken);
  }

  /** Could a launch of this attempt that went straight there still be executed? */
  boolean isDirectLaunchPending(long attempt) {
    Long token = directLaunches.get(attempt);
    return token != null && token >= fencingToken;
  }

  public String host() {
    return host;
  }

  public int type() {
    return type;
  }

  public int zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public Resources size() {
    return size;
  }

  public Resources free() {
    return size.minus(used);
  }

  public long knownSinceMs() {
    return knownSinceMs;
  }

  public String address() {
    return address;
  }

  /** What the list says, for a machine that has not reported in this term. */
  public void setListedAddress(String listedAddress) {
    if (address.isEmpty()) {
      address = listedAddress;
    }
  }

  /** The session that it is known to have been in: its own word, or that of earlier leaders. */
  public long lastKnownAgentEpoch() {
    long known = agentEpoch;
    for (Placement placement : placements.values()) {
      known = Math.max(known, placement.agentEpoch());
    }
    return known;
  }

  public long agentEpoch() {
    return agentEpoch;
  }

  public long lastSequence() {
    return lastSequence;
  }

  /** False until the machine has reported in this term. */
  public boolean isUp() {
    return lastHeartbeatMs >= 0;
  }

  public long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /** True once after its first report in this term. */
  public boolean takeJustCameUp() {
    boolean before = justCameUp;
    justCameUp = false;
    return before;
  }

  /** It was rented no later than this, by our own rental or by its age in the list. */
  public void provisionedAt(long atMs) {
    provisionedSinceMs = provisionedSinceMs < 0 ? atMs : Math.min(provisionedSinceMs, atMs);
  }

  /** When it was rented, or -1 if that is not known. */
  public long provisionedSinceMs() {
    return provisionedSinceMs;
  }

  /** Since when it has been on its way, as far as is known. */
  public long bootingSinceMs() {
    return provisionedSinceMs < 0 ? knownSinceMs : provisionedSinceMs;
  }

  /** When it reported first in this term, or -1. */
  public long upSinceMs() {
    return upSinceMs;
  }

  /** The worker has accepted this term's token: from now on it drops older leaders' answers. */
  public boolean hasAcceptedToken() {
    return hasAcceptedToken;
  }

  void recordHeartbeat(Heartbeat heartbeat, long nowMs, boolean underOurToken) {
    if (lastHeartbeatMs < 0) {
      upSinceMs = nowMs;
      justCameUp = true;
      // It has just come up: it was not idle while it booted.
      emptySinceMs = nowMs;
    }
    agentEpoch = heartbeat.agentEpoch();
    lastSequence = heartbeat.sequence();
    lastHeartbeatMs = nowMs;
    hasAcceptedToken |= underOurToken;
    if (underOurToken && heartbeat.fencingToken() >= fencingToken) {
      receivesCommands = true;
      unreachableSinceMs = -1;
    }
    if (underOurToken && !directLaunches.isEmpty()) {
      directLaunches.values().removeIf(token -> token < heartbeat.fencingToken());
    }
    if (!heartbeat.address().isEmpty()) {
      address = heartbeat.address();
    }
    if (heartbeat.spotNoticeS().isPresent()) {
      if (spotNoticeAtMs < 0) {
        spotNoticeAtMs = nowMs;
      }
      spotNoticeS = heartbeat.spotNoticeS().getAsDouble();
    }
  }

  public boolean hasSpotNotice() {
    return spotNoticeAtMs >= 0;
  }

  public double spotNoticeS() {
    return spotNoticeS;
  }

  public Collection<Placement> placements() {
    return placements.values();
  }

  public Placement placement(long attempt) {
    return placements.get(attempt);
  }

  public void add(Placement placement) {
    placements.put(placement.attempt(), placement);
    used = used.plus(placement.job().perTask());
    if (!placement.job().spec().image().isEmpty()) {
      images.remove(placement.job().spec().image());
      images.add(placement.job().spec().image());
    }
  }

  public void remove(Placement placement, long nowMs) {
    if (placements.remove(placement.attempt()) != null) {
      used = used.minus(placement.job().perTask());
      if (placements.isEmpty()) {
        emptySinceMs = nowMs;
      }
    }
  }

  List<OrphanedTask> orphans() {
    return orphans;
  }

  void clearOrphans() {
    for (OrphanedTask orphan : orphans) {
      if (!orphan.exited()) {
        used = used.minus(orphan.resources());
      }
    }
    orphans.clear();
  }

  void addOrphan(OrphanedTask orphan) {
    orphans.add(orphan);
    if (!orphan.exited()) {
      used = used.plus(orphan.resources());
    }
  }

  public boolean hasImage(String image) {
    return images.contains(image);
  }

  void clearImages() {
    images.clear();
  }

  public boolean isEmpty() {
    return placements.isEmpty() && orphans.stream().allMatch(OrphanedTask::exited);
  }

  public long emptySinceMs() {
    return emptySinceMs;
  }

  public boolean isDraining() {
    return isDraining;
  }

  public void drain() {
    isDraining = true;
  }

  /** It is dear and not needed: only what is pressed for time is put there. */
  public boolean isScaleInCandidate() {
    return isScaleInCandidate;
  }

  public void isScaleInCandidate(boolean now) {
    isScaleInCandidate = now;
  }

  /** True when it takes no more work and is not held any more: it goes back, sooner or later. */
  public boolean isDecommissioning() {
    return unusable || isTerminating;
  }

  /** The cloud's list shows that it is of no use any more: it is to be returned. */
  public void markUnusable() {
    unusable = true;
  }

  /** Its return has begun: there is no way back in this term, nor in any once it is recorded. */
  public boolean isTerminating() {
    return isTerminating;
  }

  void beginTermination() {
    isTerminating = true;
  }

  /** It may be one that a record names which can't be read: it gets no work until then. */
  void quarantine(long untilMs) {
    quarantinedUntilMs = untilMs;
  }

  /** It was rented in this term, so no earlier record names it. */
  public void endQuarantine() {
    quarantinedUntilMs = Long.MIN_VALUE / 2;
  }

  public boolean isListed() {
    return isListed;
  }

  public void listedAt(long nowMs) {
    listedSinceMs = isListed ? listedSinceMs : nowMs;
    isListed = true;
  }

  /** When a list named it first in this term; only if one did. */
  public long listedSinceMs() {
    return listedSinceMs;
  }

  MachineFailureHistory failures() {
    return failures;
  }

  /** Jobs that run elsewhere fail here. */
  public boolean suspect() {
    return failures.isSuspect();
  }

  /** May new tasks be put here? */
  public boolean isSchedulable(long nowMs, long heartbeatTimeoutMs) {
    return receivesCommands
        && !isDraining
        && !isDecommissioning()
        && spotNoticeAtMs < 0
        && !failures.isCordoned(nowMs)
        && nowMs >= quarantinedUntilMs
        // After failures one task at a time is the trial: a whole job there would fail whole.
        && (!failures.isSuspect() || placements.isEmpty())
        && nowMs - lastHeartbeatMs <= heartbeatTimeoutMs;
  }
}
