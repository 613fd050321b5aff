package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of a term and the tasks that are placed on them. Only this class removes a
 * placement, and only when the task is proven gone: it is not on the machine and can't start there
 * any more. docs/safety.md lists the proofs.
 */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  /** Number of raised fencing tokens in a term after which no more direct launches are sent. */
  private static final long USABLE_RAISED_TOKENS = Term.TOKENS_PER_TERM * 3 / 4;

  private final Catalogue catalogue;
  private final TeamUsage teams;
  private final SafetyTiming timing;
  private final Term term;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Collection<Machine> machinesView =
      Collections.unmodifiableCollection(machines.values());
  private final Set<String> terminatingHosts = new HashSet<>();
  private final Set<String> terminatedHosts = new HashSet<>();
  private final Map<String, LastHeartbeat> lastHeartbeatsOfForgotten = new HashMap<>();
  private long raisedTokens;
  private long removedCount;
  private long quarantinedUntilMs = MachineLifecycle.NOT_QUARANTINED_MS;

  /** The last heartbeat of a machine that was forgotten. */
  private record LastHeartbeat(long workerEpoch, long sequence) {}

  public MachineRegistry(Catalogue catalogue, TeamUsage teams, SafetyTiming timing, Term term) {
    this.catalogue = catalogue;
    this.teams = teams;
    this.timing = timing;
    this.term = term;
  }

  public Optional<Machine> get(String host) {
    return Optional.ofNullable(machines.get(host));
  }

  /** All machines in the order in which they became known: a live, unmodifiable view. */
  public Collection<Machine> all() {
    return machinesView;
  }

  /** How many machines were terminated or forgotten in this term. */
  public long removedCount() {
    return removedCount;
  }

  /**
   * Whether the cloud has confirmed the machine's termination. A heartbeat or list that names the
   * machine is then outdated.
   */
  public boolean wasTerminated(String host) {
    return terminatedHosts.contains(host);
  }

  /**
   * Returns the machine of this name and adds it first if it is not known yet. A machine becomes
   * known when a response or a list of the cloud, a heartbeat or a record names it.
   *
   * @return the machine; empty if it was terminated or if its name, type or zone is not valid
   */
  public Optional<Machine> adopt(String host, String type, String zone, boolean spot, long nowMs) {
    Machine known = machines.get(host);
    if (known != null) {
      return Optional.of(known);
    }
    Optional<Integer> typeIndex = catalogue.typeIndex(type);
    Optional<Integer> zoneIndex = catalogue.zoneIndex(zone);
    if (typeIndex.isEmpty() || zoneIndex.isEmpty() || wasTerminated(host) || !isValidName(host)) {
      return Optional.empty();
    }
    Machine machine =
        new Machine(
            host,
            typeIndex.get(),
            zoneIndex.get(),
            spot,
            catalogue.type(typeIndex.get()).size(),
            nowMs,
            term.fencingToken());
    if (terminatingHosts.contains(host)) {
      machine.beginTermination();
    }
    machine.quarantine(quarantinedUntilMs);
    machines.put(host, machine);
    return Optional.of(machine);
  }

  /** Whether the name has none of the characters that separate fields in progress records. */
  private static boolean isValidName(String host) {
    return host.indexOf(':') < 0 && host.indexOf(',') < 0;
  }

  /**
   * Records that the termination of a machine has begun, even if the machine is not known yet. From
   * now on no task is placed on it in this term.
   */
  public void beginTermination(String host) {
    terminatingHosts.add(host);
    get(host).ifPresent(Machine::beginTermination);
  }

  /** Keeps new tasks until this time off machines that were not provisioned in this term. */
  public void quarantineEarlierMachines(long untilMs) {
    quarantinedUntilMs = untilMs;
    machines.values().forEach(machine -> machine.quarantine(untilMs));
  }

  /** Adds a placement, which counts for its machine, its job and its team from now on. */
  public void addPlacement(Placement placement) {
    placement.machine().add(placement);
    placement.job().addPlacement(placement);
    teams.add(placement.job().team(), placement.job().perTask());
  }

  /**
   * Removes a placement, after which its task may start elsewhere. Placements are removed in no
   * other way. The caller must have proof that the task is not on the machine and can't start there
   * any more.
   */
  public void removePlacement(Placement placement, long nowMs) {
    placement.machine().remove(placement, nowMs);
    placement.job().removePlacement(placement);
    teams.remove(placement.job().team(), placement.job().perTask());
  }

  void addOrphan(Machine machine, OrphanedTask orphan) {
    machine.addOrphan(orphan);
    if (orphan.hasTeam()) {
      teams.add(orphan.team(), orphan.resources());
    }
  }

  void clearOrphans(Machine machine) {
    for (OrphanedTask orphan : machine.orphans()) {
      if (orphan.hasTeam()) {
        teams.remove(orphan.team(), orphan.resources());
      }
    }
    machine.clearOrphans();
  }

  /** Removes all placements and orphaned tasks of a machine on which all tasks are proven gone. */
  private List<Placement> removeAllPlacements(Machine machine, long nowMs) {
    List<Placement> lost = List.copyOf(machine.placements());
    lost.forEach(placement -> removePlacement(placement, nowMs));
    clearOrphans(machine);
    machine.clearImages();
    return lost;
  }

  /**
   * Removes the machine and its placements after the cloud has confirmed the termination, which
   * proves that all tasks on the machine are gone.
   *
   * @return the placements that were removed
   */
  public List<Placement> confirmTermination(String host, long nowMs) {
    terminatedHosts.add(host);
    terminatingHosts.remove(host);
    Optional<Machine> machine = get(host);
    if (machine.isEmpty()) {
      return List.of();
    }
    List<Placement> lost = removeAllPlacements(machine.get(), nowMs);
    remove(machine.get());
    return lost;
  }

  /** Removes a machine that the cloud no longer lists and whose worker lease has expired. */
  public void forget(Machine machine) {
    remove(machine);
    lastHeartbeatsOfForgotten.put(
        machine.host(), new LastHeartbeat(machine.workerEpoch(), machine.lastSequence()));
  }

  private void remove(Machine machine) {
    if (machines.remove(machine.host()) != null) {
      removedCount++;
    }
  }

  /**
   * Whether the heartbeat is not newer than the last one that arrived before its machine was
   * forgotten. Such a delayed heartbeat must not make the machine usable again.
   */
  boolean isStale(Heartbeat heartbeat) {
    LastHeartbeat last = lastHeartbeatsOfForgotten.get(heartbeat.host());
    return last != null && !heartbeat.isNewerThan(last.workerEpoch(), last.sequence());
  }

  /**
   * Returns a fencing token for one machine that is higher than all tokens issued before in this
   * term. The last token of the term is returned repeatedly once all are issued.
   */
  long nextFencingToken() {
    raisedTokens++;
    return term.fencingToken() + Math.min(Term.TOKENS_PER_TERM - 1, raisedTokens);
  }

  /**
   * Whether the term has enough fencing tokens left. While it has not, no direct launches are sent
   * and the leader has to give up its leadership.
   */
  public boolean hasFencingTokensLeft() {
    return raisedTokens < USABLE_RAISED_TOKENS;
  }

  /**
   * The time at which the worker lease has certainly expired if no further heartbeat arrives.
   *
   * <p>Until the worker has accepted a fencing token of this term, an earlier leader that can't
   * reach the state service may still be responding to its heartbeats. The lease is then assumed to
   * last at least as long as such a response can keep it valid.
   */
  public long leaseExpiryMs(Machine machine) {
    long lastContactMs = machine.isUp() ? machine.lastHeartbeatMs() : machine.knownSinceMs();
    long expiryMs = lastContactMs + timing.workerLeaseMs();
    return machine.hasAcceptedToken()
        ? expiryMs
        : Math.max(expiryMs, term.startMs() + timing.takeoverWaitMs());
  }

  /**
   * Removes all placements on machines whose worker lease has expired.
   *
   * @return the placements that were removed
   */
  public List<Placement> expireLeases(long nowMs) {
    List<Placement> lost = new ArrayList<>();
    for (Machine machine : machines.values()) {
      boolean hasTasks = !machine.placements().isEmpty() || !machine.orphans().isEmpty();
      if (hasTasks && nowMs > leaseExpiryMs(machine)) {
        LOG.info(
            "machine lease expired: machine={} lost_placements={}",
            machine.host(),
            machine.placements().size());
        lost.addAll(removeAllPlacements(machine, nowMs));
      }
    }
    return lost;
  }
}
