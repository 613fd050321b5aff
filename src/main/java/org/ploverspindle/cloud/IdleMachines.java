package org.ploverspindle.cloud;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.sizing.AdaptiveSizing;

/**
 * Selects the idle machines that may be terminated: machines that no work needs, as long as their
 * zone keeps its minimum of machines of their type.
 */
final class IdleMachines {
  /**
   * Idle time in seconds after which a machine may be terminated once users have stopped submitting
   * jobs. The policy's idle time applies if that is shorter.
   */
  private static final double NO_SUBMISSIONS_IDLE_S = 8;

  /**
   * Idle time after which a scale-in candidate may be terminated. Scale-out planning has already
   * found that it is expensive and not needed.
   */
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
   * Returns a stateful predicate for one scale-in round, tested on one machine after another. The
   * machines for which it was true count as terminated in later tests.
   */
  Predicate<Machine> newRoundPredicate(long nowMs) {
    return new Round(nowMs);
  }

  private final class Round implements Predicate<Machine> {
    private final long nowMs;

    // These predicates are created once for each round, because creating them iterates over all
    // jobs or over all machines.
    private final Predicate<Machine> useful = workload.usefulMachines();
    private final Predicate<Machine> surplus = workload.surplusMachines();

    private final Map<Integer, List<AdaptiveSizing.Group>> groupsByType = new HashMap<>();

    /** How many machines were selected in this round, by machine type and zone. */
    private final Map<TypeInZone, Integer> selectedCounts = new HashMap<>();

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
      int machineCount =
          groups.get(machine.zone()).machineCount() - selectedCounts.getOrDefault(group, 0);
      if (machineCount <= pools.bounds(machine.type(), groups).get(machine.zone()).min()) {
        return false;
      }
      selectedCounts.merge(group, 1, Integer::sum);
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
          workload.haveSubmissionsStopped()
              ? Math.min(policy.idleS(), NO_SUBMISSIONS_IDLE_S)
              : policy.idleS();
      // Although the machine is idle, pending tasks may need it: it may have come up only just now,
      // or their jobs may be delayed.
      return idleMs >= maxIdleS * MS_PER_S && !useful.test(machine) && surplus.test(machine);
    }
  }

  /**
   * A machine type in a zone. Its spot and on-demand machines count together towards one minimum.
   */
  private record TypeInZone(int type, int zone) {}
}
