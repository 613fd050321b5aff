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
 * The machines of a term and the tasks that are placed on them. The only class that removes a
 * placement, and only when the task is proven gone (docs/safety.md lists the proofs).
 */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  /** Of a term's tokens, those that may be used before direct launches are no longer sent. */
  private static final long USABLE_RAISED_TOKENS = Term.TOKENS_PER_TERM * 3 / 4;

  private final Catalogue catalogue;
  private final TeamUsage teams;
  private final SafetyTiming timing;
  private final Term term;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Collection<Machine> machinesView =
      Collections.unmodifiableCollection(machines.values());
  private final Set<String> terminating = new HashSet<>();
  private final Set<String> terminated = new HashSet<>();
  private final Map<String, LastHeartbeat> forgotten = new HashMap<>();
  private long raisedTokens;
  private long removedCount;
  private long quarantinedUntilMs = MachineLifecycle.NOT_QUARANTINED_MS;

  /** The last heartbeat of a machine that was forgotten. */
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

  /** All machines in the order in which they became known: a live, unmodifiable view. */
  public Collection<Machine> all() {
    return machinesView;
  }

  /** How many machines were terminated or forgotten in this term. */
  public long removedCount() {
    return removedCount;
  }

  /**
   * Whether the cloud confirmed the machine's termination: a heartbeat or list that names it is
   * outdated.
   */
  public boolean wasTerminated(String host) {
    return terminated.contains(host);
  }

  /**
   * The machine of this name; it is added if it is not known, as a response of the cloud, a list or
   * a heartbeat names it.
   *
   * @return empty if the machine was terminated, or its name, type or zone is not valid
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
    if (terminating.contains(host)) {
      machine.beginTermination();
    }
    machine.quarantine(quarantinedUntilMs);
    machines.put(host, machine);
    return Optional.of(machine);
  }

  /** Progress records separate their fields by these characters. */
  private static boolean isValidName(String host) {
    return host.indexOf(':') < 0 && host.indexOf(',') < 0;
  }

  /**
   * The termination of a machine begins, whether it is known yet or not: from now on nothing is
   * placed on it in this term.
   */
  public void beginTermination(String host) {
    terminating.add(host);
    get(host).ifPresent(Machine::beginTermination);
  }

  /** No new tasks until this time on machines that were not provisioned in this term. */
  public void quarantineEarlierMachines(long untilMs) {
    quarantinedUntilMs = untilMs;
    machines.values().forEach(machine -> machine.quarantine(untilMs));
  }

  /** Adds a placement, which counts for its machine, job and team from now on. */
  public void addPlacement(Placement placement) {
    placement.machine().add(placement);
    placement.job().addPlacement(placement);
    teams.add(placement.job().team(), placement.job().perTask());
  }

  /**
   * Removes a placement, after which its task may start elsewhere. This is the only way for a
   * placement to end: the caller must have proof that the task is not on the machine and can't
   * start there any more.
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

  /** All tasks on the machine are proven gone. */
  private List<Placement> removeAllPlacements(Machine machine, long nowMs) {
    List<Placement> lost = List.copyOf(machine.placements());
    lost.forEach(placement -> removePlacement(placement, nowMs));
    clearOrphans(machine);
    machine.clearImages();
    return lost;
  }

  /**
   * The cloud confirmed the termination, which proves the machine and all tasks on it gone.
   *
   * @return the placements that were removed
   */
  public List<Placement> confirmTermination(String host, long nowMs) {
    terminated.add(host);
    terminating.remove(host);
    Optional<Machine> machine = get(host);
    if (machine.isEmpty()) {
      return List.of();
    }
    List<Placement> lost = removeAllPlacements(machine.get(), nowMs);
    remove(machine.get());
    return lost;
  }

  /** Removes a machine that the cloud does not list any more and whose lease has expired. */
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
   * Whether it is a delayed heartbeat from before its machine was forgotten: it must not make the
   * machine usable again.
   */
  boolean isStale(Heartbeat heartbeat) {
    LastHeartbeat last = forgotten.get(heartbeat.host());
    return last != null && !heartbeat.isNewerThan(last.agentEpoch(), last.sequence());
  }

  /** A token for one machine, higher than all that were given out in this term. */
  long nextFencingToken() {
    raisedTokens++;
    return term.fencingToken() + Math.min(Term.TOKENS_PER_TERM - 1, raisedTokens);
  }

  /** False when the term's tokens are nearly used up: the term is to be given up then. */
  public boolean hasFencingTokensLeft() {
    return raisedTokens < USABLE_RAISED_TOKENS;
  }

  /**
   * When the machine's lease has certainly expired, if no further heartbeat arrives.
   *
   * <p>Until the agent has accepted a token of this term, an earlier leader that can't reach the
   * state service may still be answering its heartbeats. Then the lease counts from the last moment
   * at which that can happen.
   */
  public long leaseExpiryMs(Machine machine) {
    long lastSignMs = machine.isUp() ? machine.lastHeartbeatMs() : machine.knownSinceMs();
    long expiryMs = lastSignMs + timing.agentLeaseMs();
    return machine.hasAcceptedToken()
        ? expiryMs
        : Math.max(expiryMs, term.startMs() + timing.takeoverSilenceMs());
  }

  /**
   * Removes all placements on machines whose lease has expired.
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
