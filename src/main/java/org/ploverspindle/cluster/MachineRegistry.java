package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.Collection;
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
 * The machines of a term and the tasks that are placed on them. The only class that removes a
 * placement, and only when the task is proven gone.
 */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  /** When a term has used this many tokens, nothing goes out any more that needs another. */
  private static final long USABLE_RAISED_TOKENS = Term.TOKENS_PER_TERM * 3 / 4;

  private final Catalogue catalogue;
  private final TeamUsage teams;
  private final SafetyTiming timing;
  private final Term term;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<String> confirmTermination = new HashSet<>();
  private final Set<String> terminating = new HashSet<>();
  private final Map<String, LastHeartbeat> forgotten = new HashMap<>();
  private long raisedTokens;
  private long removedCount;
  private long quarantinedUntilMs = MachineLifecycle.NOT_QUARANTINED_MS;

  /** The newest report that was known of a machine which is no longer kept. */
  private record LastHeartbeat(long agentEpoch, long sequence) {}

  public MachineRegistry(Catalogue catalogue, TeamUsage teams, SafetyTiming timing, Term term) {
    this.catalogue = catalogue;
    this.teams = teams;
    this.timing = timing;
    this.term = term;
  }

  public Optional<Machine> get(String host) {
    return Optional.ofNullable(machines.get(host));
  }

  public Collection<Machine> all() {
    return machines.values();
  }

  /** How many machines were returned or dropped in the term. */
  public long removedCount() {
    return removedCount;
  }

  /** True for machines whose return the cloud confirmed: a report or list that names one is old. */
  public boolean wasTerminated(String host) {
    return confirmTermination.contains(host);
  }

  /** Adds a machine that a rental, a list or a report names; empty if its type is unknown. */
  public Optional<Machine> adopt(String host, String type, String zone, boolean spot, long nowMs) {
    Machine known = machines.get(host);
    if (known != null) {
      return Optional.of(known);
    }
    Optional<Integer> typeIndex = catalogue.typeIndex(type);
    Optional<Integer> zoneIndex = catalogue.zoneIndex(zone);
    if (typeIndex.isEmpty()
        || zoneIndex.isEmpty()
        || confirmTermination.contains(host)
        || host.indexOf(':') >= 0
        || host.indexOf(',') >= 0) {
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
    if (terminating.contains(host)) {
      machine.beginTermination();
    }
    machine.quarantine(quarantinedUntilMs);
    machines.put(host, machine);
    return Optional.of(machine);
  }

  /**
   * The return of a machine begins, known or not: from now on nothing is placed on it in this term,
   * under whatever sign it appears.
   */
  public void beginTermination(String host) {
    terminating.add(host);
    get(host).ifPresent(Machine::beginTermination);
  }

  /** Machines that this term did not rent get no new work until then. */
  public void quarantineEarlierMachines(long untilMs) {
    quarantinedUntilMs = untilMs;
    machines.values().forEach(machine -> machine.quarantine(untilMs));
  }

  /** Puts a task on a machine: from now on it counts for the machine, its job and its team. */
  public void addPlacement(Placement placement) {
    placement.machine().add(placement);
    placement.job().addPlacement(placement);
    teams.add(placement.job().team(), placement.job().perTask());
  }

  /** The one way for a placement to end: only with proof that the task is not on the machine. */
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

  /** All that is on the machine is proven gone. */
  public List<Placement> removeAllPlacements(Machine machine, long nowMs) {
    List<Placement> lost = List.copyOf(machine.placements());
    lost.forEach(placement -> removePlacement(placement, nowMs));
    clearOrphans(machine);
    machine.clearImages();
    return lost;
  }

  /**
   * The cloud confirmed the return: the machine and all tasks on it are gone.
   *
   * @return the tasks that were recorded there
   */
  public List<Placement> confirmTermination(String host, long nowMs) {
    confirmTermination.add(host);
    terminating.remove(host);
    Optional<Machine> machine = get(host);
    if (machine.isEmpty()) {
      return List.of();
    }
    List<Placement> lost = removeAllPlacements(machine.get(), nowMs);
    remove(machine.get());
    return lost;
  }

  /** The machine is not listed any more and its lease is over. */
  public void forget(Machine machine) {
    remove(machine);
    forgotten.put(machine.host(), new LastHeartbeat(machine.agentEpoch(), machine.lastSequence()));
  }

  private void remove(Machine machine) {
    if (machines.remove(machine.host()) != null) {
      removedCount++;
    }
  }

  /**
   * True for a delayed copy of a report that was made before the machine was dropped: it must not
   * bring the machine back as usable.
   */
  boolean isStale(Heartbeat heartbeat) {
    LastHeartbeat last = forgotten.get(heartbeat.host());
    return last != null && !heartbeat.isNewerThan(last.agentEpoch(), last.sequence());
  }

  /** A token for one machine, higher than all that were given in this term. */
  long nextFencingToken() {
    return term.fencingToken() + Math.min(Term.TOKENS_PER_TERM - 1, ++raisedTokens);
  }

  /** False when the term's tokens come to their end: then nothing may go out that needs more. */
  public boolean hasFencingTokensLeft() {
    return raisedTokens < USABLE_RAISED_TOKENS;
  }

  /**
   * When the worker's lease has certainly run out if it is not heard again. Until the worker has
   * shown our token, an earlier leader that can't reach the state service may still be answering
   * it: the lease is counted from the last moment at which that can happen.
   */
  public long leaseExpiryMs(Machine machine) {
    long underOwnTokenMs =
        (machine.isUp() ? machine.lastHeartbeatMs() : machine.knownSinceMs())
            + timing.agentLeaseMs();
    return machine.hasAcceptedToken()
        ? underOwnTokenMs
        : Math.max(underOwnTokenMs, term.startMs() + timing.takeoverSilenceMs());
  }

  /** Ends the placements of machines that were silent for longer than their lease. */
  public List<Placement> expireLeases(long nowMs) {
    List<Placement> lost = new ArrayList<>();
    for (Machine machine : machines.values()) {
      if (!(machine.placements().isEmpty() && machine.orphans().isEmpty())
          && nowMs > leaseExpiryMs(machine)) {
        LOG.info(
            "machine {} was silent for its lease: {} tasks gone",
            machine.host(),
            machine.placements().size());
        lost.addAll(removeAllPlacements(machine, nowMs));
      }
    }
    return lost;
  }
}
