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
 * Measures how long the machines of each group currently take to boot: the time from provisioning
 * to the first heartbeat, as a ratio to the boot time that the cloud states for the machine type.
 * Only machines whose time of provisioning is known are measured. Machines sometimes take several
 * times as long as stated, or never come up.
 */
final class BootTracker {
  /**
   * A machine is overdue after this multiple of its type's boot time plus {@link
   * #OVERDUE_MARGIN_S}. Nearly all machines are up within that time.
   */
  private static final double OVERDUE_RATIO = 1.7;

  private static final double OVERDUE_MARGIN_S = 5;

  /**
   * Where the slowest recent boot of a group took longer than {@link #OVERDUE_RATIO}, this multiple
   * of its ratio is used instead to tell whether a machine is overdue.
   */
  private static final double SLOWEST_BOOT_FACTOR = 1.3;

  /**
   * Largest ratio after which a machine counts as overdue or stuck, however slowly other machines
   * of its group booted.
   */
  private static final double MAX_BOOT_RATIO = 6;

  /**
   * Smallest ratio after which, with {@link #STUCK_MARGIN_S} added, a machine counts as stuck. The
   * ratio is larger in a group that boots slowly.
   */
  private static final double STUCK_RATIO = 3;

  private static final double STUCK_MARGIN_S = 15;

  /**
   * Boots that were observed longer ago than this are discarded, since they do not show how the
   * group boots now.
   */
  private static final long BOOT_RETENTION_MS = 120_000;

  /** Fewer overdue machines in a group may be independent failures of single machines. */
  private static final int MIN_OVERDUE_MACHINES = 3;

  private static final double MS_PER_S = 1_000;

  /**
   * A completed boot.
   *
   * @param observedMs when it was observed, in milliseconds on the steady clock
   * @param ratio its duration as a multiple of the type's boot time
   */
  private record Boot(long observedMs, double ratio) {}

  private static final class GroupBoots {
    private final Deque<Boot> recentBoots = new ArrayDeque<>();

    /**
     * The largest ratio among the recent boots, 0 without any. It is cached because every booting
     * machine is compared with it.
     */
    private double slowestRatio;

    private int overdueCount;

    void discardBefore(long oldestMs) {
      if (recentBoots.removeIf(boot -> boot.observedMs() < oldestMs)) {
        slowestRatio = 0;
        recentBoots.forEach(boot -> slowestRatio = Math.max(slowestRatio, boot.ratio()));
      }
    }

    void add(Boot boot) {
      recentBoots.addLast(boot);
      slowestRatio = Math.max(slowestRatio, boot.ratio());
    }
  }

  private final Catalogue catalogue;
  private final Map<MachineGroup, GroupBoots> bootsByGroup = new HashMap<>();

  BootTracker(Catalogue catalogue) {
    this.catalogue = catalogue;
  }

  /**
   * Records the boots that were completed since the last call, and counts the machines of each
   * group that are overdue now.
   */
  void observe(Collection<Machine> machines, long nowMs) {
    for (GroupBoots boots : bootsByGroup.values()) {
      boots.overdueCount = 0;
      boots.discardBefore(nowMs - BOOT_RETENTION_MS);
    }
    for (Machine machine : machines) {
      if (!machine.isUp()) {
        if (!machine.isDecommissioning() && isOverdue(machine, nowMs)) {
          groupBootsOf(machine).overdueCount++;
        }
      } else if (machine.observeFirstHeartbeat() && machine.provisionedSinceMs() >= 0) {
        double bootDurationS =
            (machine.firstHeartbeatMs() - machine.provisionedSinceMs()) / MS_PER_S;
        groupBootsOf(machine).add(new Boot(nowMs, bootDurationS / expectedBootS(machine)));
      }
    }
  }

  private GroupBoots groupBootsOf(Machine machine) {
    return bootsByGroup.computeIfAbsent(MachineGroup.of(machine), group -> new GroupBoots());
  }

  private double expectedBootS(Machine machine) {
    return Math.max(1, catalogue.type(machine.type()).bootS());
  }

  private static double bootingForS(Machine machine, long nowMs) {
    return (nowMs - machine.bootingSinceMs()) / MS_PER_S;
  }

  /** The largest ratio of the recent boots of the machine's group; 0 if there are none. */
  private double slowestRatio(Machine machine) {
    GroupBoots boots = bootsByGroup.get(MachineGroup.of(machine));
    return boots == null ? 0 : boots.slowestRatio;
  }

  /**
   * Whether the machine has been booting for longer than nearly all machines take and, in a group
   * that boots slowly, for longer than the group's slowest recent boot, up to {@link
   * #MAX_BOOT_RATIO}.
   */
  boolean isOverdue(Machine machine, long nowMs) {
    double slowest = slowestRatio(machine);
    double ratio =
        slowest > OVERDUE_RATIO
            ? Math.min(MAX_BOOT_RATIO, slowest * SLOWEST_BOOT_FACTOR)
            : OVERDUE_RATIO;
    return bootingForS(machine, nowMs) >= expectedBootS(machine) * ratio + OVERDUE_MARGIN_S;
  }

  /** Whether the machine has been booting for so long that it is not expected to come up. */
  boolean isStuck(Machine machine, long nowMs) {
    double ratio = Math.min(MAX_BOOT_RATIO, slowestRatio(machine) * SLOWEST_BOOT_FACTOR);
    return bootingForS(machine, nowMs)
        > expectedBootS(machine) * Math.max(STUCK_RATIO, ratio) + STUCK_MARGIN_S;
  }

  /**
   * Whether several machines of the group are overdue, and more than have recently come up. Work
   * that cannot wait should then get machines of another group.
   */
  boolean isBootingLate(MachineGroup group) {
    GroupBoots boots = bootsByGroup.get(group);
    return boots != null
        && boots.overdueCount >= MIN_OVERDUE_MACHINES
        && boots.overdueCount > boots.recentBoots.size();
  }
}
