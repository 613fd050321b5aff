package org.ploverspindle.cloud;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.sizing.AdaptiveSizing;

/** Tells which idle machines may go back: those that no work needs, above their group's minimum. */
final class IdleMachines {
  private static final double QUIET_IDLE_S = 8;
  private static final long RETIRING_IDLE_MS = 2_000;
  private static final double MS_PER_S = 1_000;

  private final Pools pools;
  private final Policy policy;
  private final Autoscaler.Workload host;

  IdleMachines(Pools pools, Policy policy, Autoscaler.Workload host) {
    this.pools = pools;
    this.policy = policy;
    this.host = host;
  }

  /** A look at the machines one after the other; those found before count as gone. */
  Predicate<Machine> look(long nowMs) {
    return new Look(nowMs);
  }

  private final class Look implements Predicate<Machine> {
    private final long nowMs;
    // Made once for all machines: each looks at all jobs or all machines.
    private final Predicate<Machine> needed = host.needed();
    private final Predicate<Machine> spare = host.surplus();
    private final Map<Integer, List<AdaptiveSizing.Group>> groups = new HashMap<>();
    private final Map<Autoscaler.MachineGroup, Integer> found = new HashMap<>();

    Look(long nowMs) {
      this.nowMs = nowMs;
    }

    @Override
    public boolean test(Machine machine) {
      if (!isIdle(machine)) {
        return false;
      }
      List<AdaptiveSizing.Group> ofType = groups.computeIfAbsent(machine.type(), pools::groups);
      // Both kinds of a type in a zone count for one minimum.
      Autoscaler.MachineGroup group =
          new Autoscaler.MachineGroup(machine.type(), machine.zone(), false);
      int held = ofType.get(machine.zone()).held() - found.getOrDefault(group, 0);
      if (held <= pools.bounds(machine.type(), ofType).get(machine.zone()).min()) {
        return false;
      }
      found.merge(group, 1, Integer::sum);
      return true;
    }

    private boolean isIdle(Machine machine) {
      if (!machine.isUp() || !machine.isEmpty() || machine.isDecommissioning()) {
        return false;
      }
      if (machine.isScaleInCandidate()) {
        return nowMs - machine.emptySinceMs() >= RETIRING_IDLE_MS;
      }
      double waitS = host.isQuiet() ? Math.min(policy.idleS(), QUIET_IDLE_S) : policy.idleS();
      // Work may wait for a machine that has only just come up, or whose jobs are put off.
      return nowMs - machine.emptySinceMs() >= waitS * MS_PER_S
          && !needed.test(machine)
          && spare.test(machine);
    }
  }
}
