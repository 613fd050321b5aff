package org.ploverspindle.cloud;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.sizing.AdaptiveSizing;

/**
 * Finds the idle machines that may be terminated: those that no work needs, above their zone's
 * minimum.
 */
final class IdleMachines {
  /** How long a machine is idle before it goes, when users have stopped submitting jobs. */
  private static final double QUIET_IDLE_S = 8;

  /** The same for a machine that was chosen for scale-in while it still ran tasks. */
  private static final long SCALE_IN_CANDIDATE_IDLE_MS = 2_000;

  private static final double MS_PER_S = 1_000;

  private final Pools pools;
  private final Policy policy;
  private final Autoscaler.Workload workload;

  IdleMachines(Pools pools, Policy policy, Autoscaler.Workload workload) {
    this.pools = pools;
    this.policy = policy;
    this.workload = workload;
  }

  /**
   * A predicate for one scale-in round, tested on one machine after the other; those found before
   * count as gone.
   */
  Predicate<Machine> newRound(long nowMs) {
    return new Round(nowMs);
  }

  private final class Round implements Predicate<Machine> {
    private final long nowMs;

    // Made once for all machines: each goes through all jobs or all machines.
    private final Predicate<Machine> needed = workload.usefulMachines();
    private final Predicate<Machine> surplus = workload.surplusMachines();

    private final Map<Integer, List<AdaptiveSizing.Group>> groupsByType = new HashMap<>();

    /** Machines found in this round. */
    private final Map<TypeInZone, Integer> found = new HashMap<>();

    Round(long nowMs) {
      this.nowMs = nowMs;
    }

    @Override
    public boolean test(Machine machine) {
      if (!isIdle(machine)) {
        return false;
      }
      List<AdaptiveSizing.Group> groups =
          groupsByType.computeIfAbsent(machine.type(), pools::groups);
      TypeInZone group = new TypeInZone(machine.type(), machine.zone());
      int held = groups.get(machine.zone()).held() - found.getOrDefault(group, 0);
      if (held <= pools.bounds(machine.type(), groups).get(machine.zone()).min()) {
        return false;
      }
      found.merge(group, 1, Integer::sum);
      return true;
    }

    private boolean isIdle(Machine machine) {
      if (!machine.isUp() || !machine.isEmpty() || machine.isDecommissioning()) {
        return false;
      }
      long idleMs = nowMs - machine.emptySinceMs();
      if (machine.isScaleInCandidate()) {
        return idleMs >= SCALE_IN_CANDIDATE_IDLE_MS;
      }
      double maxIdleS =
          workload.isQuiet() ? Math.min(policy.idleS(), QUIET_IDLE_S) : policy.idleS();
      // Work may be pending for a machine that has only just come up, or whose jobs are delayed.
      return idleMs >= maxIdleS * MS_PER_S && !needed.test(machine) && surplus.test(machine);
    }
  }

  /** Spot and on-demand machines of a type in a zone count for one minimum. */
  private record TypeInZone(int type, int zone) {}
}
