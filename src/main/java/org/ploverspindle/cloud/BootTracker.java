package org.ploverspindle.cloud;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.placement.MachineGroup;

/**
 * Measures how long machines of each group take to boot at present, from the machines provisioned
 * in this term: the time since the request, relative to the boot time that the cloud gives for the
 * type. At times machines boot several times slower than that, or never.
 */
final class BootTracker {
  /** Nearly all machines are up within this multiple of their type's boot time, and the margin. */
  private static final double OVERDUE_RATIO = 1.7;

  private static final double OVERDUE_MARGIN_S = 5;

  /** In a group that boots slowly, a machine is overdue at this multiple of the slowest boot. */
  private static final double BEYOND_SLOWEST = 1.3;

  /** No machine is waited for longer than this multiple, however slowly others booted. */
  private static final double MAX_RATIO = 6;

  private static final double STUCK_RATIO = 3;
  private static final double STUCK_MARGIN_S = 15;

  /** Older boots say nothing about the present. */
  private static final long BOOT_KEPT_MS = 120_000;

  /** Fewer overdue machines may be single failures. */
  private static final int MIN_OVERDUE = 3;

  private static final double MS_PER_S = 1_000;

  /**
   * A completed boot.
   *
   * @param atMs when it was observed, on the steady clock
   * @param ratio its duration relative to the type's boot time
   */
  private record Boot(long atMs, double ratio) {}

  private static final class GroupBoots {
    private final Deque<Boot> recent = new ArrayDeque<>();

    /** The largest ratio among them; kept, as each booting machine is compared with it. */
    private double slowestRatio;

    private int overdue;

    void forgetBefore(long oldestMs) {
      if (recent.removeIf(boot -> boot.atMs() < oldestMs)) {
        slowestRatio = 0;
        recent.forEach(boot -> slowestRatio = Math.max(slowestRatio, boot.ratio()));
      }
    }

    void add(Boot boot) {
      recent.addLast(boot);
      slowestRatio = Math.max(slowestRatio, boot.ratio());
    }
  }

  private final Catalogue catalogue;
  private final Map<MachineGroup, GroupBoots> bootsByGroup = new HashMap<>();

  BootTracker(Catalogue catalogue) {
    this.catalogue = catalogue;
  }

  /** Records the boots completed since the last call, and counts the machines overdue now. */
  void observe(Collection<Machine> machines, long nowMs) {
    for (GroupBoots boots : bootsByGroup.values()) {
      boots.overdue = 0;
      boots.forgetBefore(nowMs - BOOT_KEPT_MS);
    }
    for (Machine machine : machines) {
      if (!machine.isUp()) {
        if (!machine.isDecommissioning() && isOverdue(machine, nowMs)) {
          bootsOf(machine).overdue++;
        }
      } else if (machine.observeFirstHeartbeat() && machine.provisionedSinceMs() >= 0) {
        double bootedS = (machine.firstHeartbeatMs() - machine.provisionedSinceMs()) / MS_PER_S;
        bootsOf(machine).add(new Boot(nowMs, bootedS / expectedBootS(machine)));
      }
    }
  }

  private GroupBoots bootsOf(Machine machine) {
    return bootsByGroup.computeIfAbsent(MachineGroup.of(machine), group -> new GroupBoots());
  }

  private double expectedBootS(Machine machine) {
    return Math.max(1, catalogue.type(machine.type()).bootS());
  }

  private static double bootingForS(Machine machine, long nowMs) {
    return (nowMs - machine.bootingSinceMs()) / MS_PER_S;
  }

  /** The slowest recent boot of the machine's group, as a ratio; 0 when there is none. */
  private double slowestRatio(Machine machine) {
    GroupBoots boots = bootsByGroup.get(MachineGroup.of(machine));
    return boots == null ? 0 : boots.slowestRatio;
  }

  /** True when the machine takes longer than nearly all do, and than its group lately did. */
  boolean isOverdue(Machine machine, long nowMs) {
    double slowest = slowestRatio(machine);
    double ratio =
        slowest > OVERDUE_RATIO ? Math.min(MAX_RATIO, slowest * BEYOND_SLOWEST) : OVERDUE_RATIO;
    return bootingForS(machine, nowMs) >= expectedBootS(machine) * ratio + OVERDUE_MARGIN_S;
  }

  /** True when the machine is not expected to come up any more. */
  boolean isStuck(Machine machine, long nowMs) {
    double ratio = Math.min(MAX_RATIO, slowestRatio(machine) * BEYOND_SLOWEST);
    return bootingForS(machine, nowMs)
        > expectedBootS(machine) * Math.max(STUCK_RATIO, ratio) + STUCK_MARGIN_S;
  }

  /**
   * True when several machines of the group are overdue, and more than came up lately: work that
   * cannot wait should get a machine of another group.
   */
  boolean isBootingBadly(MachineGroup group) {
    GroupBoots boots = bootsByGroup.get(group);
    return boots != null && boots.overdue >= MIN_OVERDUE && boots.overdue > boots.recent.size();
  }
}
