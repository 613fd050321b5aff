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
      String uid, int task, long attempt, int team, Resources takes, boolean exited) {}

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
  private long tenure;
  private long tally;
  private long lastReportMs = -1;
  private long upSinceMs = -1;
  private boolean cameUp;
  private long rentedSinceMs = -1;
  private boolean confirmed;
  private long emptySinceMs;
  private long recalledAtMs = -1;
  private double recallS;
  private boolean draining;
  private boolean condemned;
  private boolean returning;
  private boolean retiring;
  private long quarantinedUntilMs = Long.MIN_VALUE / 2;
  private boolean listed;
  private long listedSinceMs;
  private long fence;
  private boolean hears;
  private long deafSinceMs = -1;
  private final Map<Long, Long> direct = new HashMap<>();

  public Machine(
      String host, int type, int zone, boolean spot, Resources size, long nowMs, long fence) {
    this.host = host;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.size = size;
    this.knownSinceMs = nowMs;
    this.emptySinceMs = nowMs;
    this.fence = fence;
  }

  /** The token that this machine's answers carry. */
  public long fence() {
    return fence;
  }

  /**
   * From now on its answers carry this token. Whatever was sent straight to it before is void once
   * it has shown the new one, and until then it is not known to hear us.
   */
  void raise(long token) {
    fence = token;
  }

  /** True when, in this session, it has shown a token of ours that was raised since. */
  public boolean hears() {
    return hears;
  }

  /** Nothing we say seems to arrive: it gets no work until it shows the token raised for this. */
  void suspectDeaf(long token, long nowMs) {
    if (hears || deafSinceMs < 0) {
      raise(token);
    }
    hears = false;
    if (deafSinceMs < 0) {
      deafSinceMs = nowMs;
    }
  }

  /** Since when it has reported and not heard, or -1. */
  public long deafSinceMs() {
    return deafSinceMs;
  }

  /** A launch went straight to it and is not to be forgotten under the same token. */
  void sentDirectly(long attempt) {
    direct.put(attempt, fence);
  }

  /** Could a launch of this attempt that went straight there still be executed? */
  boolean directOpen(long attempt) {
    Long token = direct.get(attempt);
    return token != null && token >= fence;
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
  public void addressListed(String listedAddress) {
    if (address.isEmpty()) {
      address = listedAddress;
    }
  }

  /** The session that it is known to have been in: its own word, or that of earlier leaders. */
  public long lastKnownTenure() {
    long known = tenure;
    for (Placement p : placements.values()) {
      known = Math.max(known, p.tenure());
    }
    return known;
  }

  public long tenure() {
    return tenure;
  }

  public long tally() {
    return tally;
  }

  /** False until the machine has reported in this term. */
  public boolean up() {
    return lastReportMs >= 0;
  }

  public long lastReportMs() {
    return lastReportMs;
  }

  /** True once after its first report in this term. */
  public boolean takeCameUp() {
    boolean before = cameUp;
    cameUp = false;
    return before;
  }

  /** It was rented no later than this, by our own rental or by its age in the list. */
  public void rentedAt(long atMs) {
    rentedSinceMs = rentedSinceMs < 0 ? atMs : Math.min(rentedSinceMs, atMs);
  }

  /** When it was rented, or -1 if that is not known. */
  public long rentedSinceMs() {
    return rentedSinceMs;
  }

  /** Since when it has been on its way, as far as is known. */
  public long bootingSinceMs() {
    return rentedSinceMs < 0 ? knownSinceMs : rentedSinceMs;
  }

  /** When it reported first in this term, or -1. */
  public long upSinceMs() {
    return upSinceMs;
  }

  /** The worker has accepted this term's token: from now on it drops older leaders' answers. */
  public boolean confirmed() {
    return confirmed;
  }

  void heard(Heartbeat report, long nowMs, boolean underOurToken) {
    if (lastReportMs < 0) {
      upSinceMs = nowMs;
      cameUp = true;
      // It has just come up: it was not idle while it booted.
      emptySinceMs = nowMs;
    }
    tenure = report.tenure();
    tally = report.tally();
    lastReportMs = nowMs;
    confirmed |= underOurToken;
    if (underOurToken && report.warrant() >= fence) {
      hears = true;
      deafSinceMs = -1;
    }
    if (underOurToken && !direct.isEmpty()) {
      direct.values().removeIf(token -> token < report.warrant());
    }
    if (!report.address().isEmpty()) {
      address = report.address();
    }
    if (report.recallS().isPresent()) {
      if (recalledAtMs < 0) {
        recalledAtMs = nowMs;
      }
      recallS = report.recallS().getAsDouble();
    }
  }

  public boolean recalled() {
    return recalledAtMs >= 0;
  }

  public double recallS() {
    return recallS;
  }

  public Collection<Placement> placements() {
    return placements.values();
  }

  public Placement placement(long attempt) {
    return placements.get(attempt);
  }

  public void add(Placement p) {
    placements.put(p.attempt(), p);
    used = used.plus(p.job().perTask());
    if (!p.job().spec().image().isEmpty()) {
      images.remove(p.job().spec().image());
      images.add(p.job().spec().image());
    }
  }

  public void remove(Placement p, long nowMs) {
    if (placements.remove(p.attempt()) != null) {
      used = used.minus(p.job().perTask());
      if (placements.isEmpty()) {
        emptySinceMs = nowMs;
      }
    }
  }

  List<OrphanedTask> orphans() {
    return orphans;
  }

  void clearOrphans() {
    for (OrphanedTask o : orphans) {
      if (!o.exited()) {
        used = used.minus(o.takes());
      }
    }
    orphans.clear();
  }

  void addOrphan(OrphanedTask o) {
    orphans.add(o);
    if (!o.exited()) {
      used = used.plus(o.takes());
    }
  }

  public boolean hasImage(String image) {
    return images.contains(image);
  }

  void forgetImages() {
    images.clear();
  }

  public boolean empty() {
    return placements.isEmpty() && orphans.stream().allMatch(OrphanedTask::exited);
  }

  public long emptySinceMs() {
    return emptySinceMs;
  }

  public boolean draining() {
    return draining;
  }

  public void drain() {
    draining = true;
  }

  /** It is dear and not needed: only what is pressed for time is put there. */
  public boolean retiring() {
    return retiring;
  }

  public void retiring(boolean now) {
    retiring = now;
  }

  /** True when it takes no more work and is not held any more: it goes back, sooner or later. */
  public boolean leaving() {
    return condemned || returning;
  }

  /** The cloud's list shows that it is of no use any more: it is to be returned. */
  public void condemn() {
    condemned = true;
  }

  /** Its return has begun: there is no way back in this term, nor in any once it is recorded. */
  public boolean returning() {
    return returning;
  }

  void beginReturn() {
    returning = true;
  }

  /** It may be one that a record names which can't be read: it gets no work until then. */
  void quarantine(long untilMs) {
    quarantinedUntilMs = untilMs;
  }

  /** It was rented in this term, so no earlier record names it. */
  public void endQuarantine() {
    quarantinedUntilMs = Long.MIN_VALUE / 2;
  }

  public boolean listed() {
    return listed;
  }

  public void listedAt(long nowMs) {
    listedSinceMs = listed ? listedSinceMs : nowMs;
    listed = true;
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
  public boolean usable(long nowMs, long silenceMs) {
    return hears
        && !draining
        && !leaving()
        && recalledAtMs < 0
        && !failures.isShunned(nowMs)
        && nowMs >= quarantinedUntilMs
        // After failures one task at a time is the trial: a whole job there would fail whole.
        && (!failures.isSuspect() || placements.isEmpty())
        && nowMs - lastReportMs <= silenceMs;
  }
}
