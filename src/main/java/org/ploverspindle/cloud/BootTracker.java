package org.ploverspindle.cloud;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.model.Catalogue;

/**
 * Measures how long machines of each group take to boot at present, from this term's own rentals:
 * the time since a machine was rented, relative to the boot time that the cloud gives for its type.
 * At times machines boot several times slower than that, or never.
 */
final class BootTracker {
  /** Most machines are up after 1.5 times what their type takes. */
  private static final double USUAL = 1.7;

  private static final double USUAL_MORE_S = 5;

  /** Where machines come late, the others are waited for by so much longer than the latest took. */
  private static final double BEYOND_LATEST = 1.3;

  /** What takes longer than this is not waited for, whatever others took. */
  private static final double LONGEST = 6;

  private static final double STUCK = 3;
  private static final double STUCK_MORE_S = 15;

  /** What came up longer ago says nothing about now. */
  private static final long REMEMBERED_MS = 120_000;

  /** Fewer machines that are overdue may be the odd ones that never come. */
  private static final int SOME = 3;

  private record Came(long atMs, double ratio) {}

  private static final class Record {
    private final Deque<Came> came = new ArrayDeque<>();

    /** The longest of them, kept: each machine that boots is compared with it, again and again. */
    private double latest;

    private int overdue;

    void forgetBefore(long oldestMs) {
      if (came.removeIf(c -> c.atMs() < oldestMs)) {
        latest = 0;
        came.forEach(c -> latest = Math.max(latest, c.ratio()));
      }
    }

    void add(Came fresh) {
      came.addLast(fresh);
      latest = Math.max(latest, fresh.ratio());
    }
  }

  private final Catalogue catalogue;
  private final Map<Autoscaler.MachineGroup, Record> records = new HashMap<>();

  BootTracker(Catalogue catalogue) {
    this.catalogue = catalogue;
  }

  /** Looks at the machines anew: which have come up since the last look, and which are overdue. */
  void observe(Collection<Machine> machines, long nowMs) {
    for (Record r : records.values()) {
      r.overdue = 0;
      r.forgetBefore(nowMs - REMEMBERED_MS);
    }
    for (Machine m : machines) {
      if (!m.isUp()) {
        if (!m.isDecommissioning() && isOverdue(m, nowMs)) {
          of(m).overdue++;
        }
      } else if (m.takeJustCameUp() && m.provisionedSinceMs() >= 0) {
        double ratio = (m.upSinceMs() - m.provisionedSinceMs()) / 1000.0 / bootS(m);
        of(m).add(new Came(nowMs, ratio));
      }
    }
  }

  private Record of(Machine m) {
    return records.computeIfAbsent(Autoscaler.MachineGroup.of(m), g -> new Record());
  }

  private double bootS(Machine m) {
    return Math.max(1, catalogue.type(m.type()).bootS());
  }

  private static double ageS(Machine m, long nowMs) {
    return (nowMs - m.bootingSinceMs()) / 1000.0;
  }

  private double latest(Autoscaler.MachineGroup g) {
    Record r = records.get(g);
    return r == null ? 0 : r.latest;
  }

  /** It has not come when nearly all do, nor when the late ones of its group lately did. */
  boolean isOverdue(Machine m, long nowMs) {
    double latest = latest(Autoscaler.MachineGroup.of(m));
    double ratio = latest > USUAL ? Math.min(LONGEST, latest * BEYOND_LATEST) : USUAL;
    return ageS(m, nowMs) >= bootS(m) * ratio + USUAL_MORE_S;
  }

  /** It is taken for one that never comes. */
  boolean isStuck(Machine m, long nowMs) {
    double latest = Math.min(LONGEST, latest(Autoscaler.MachineGroup.of(m)) * BEYOND_LATEST);
    return ageS(m, nowMs) > bootS(m) * Math.max(STUCK, latest) + STUCK_MORE_S;
  }

  /**
   * Machines of the group are overdue, and more of them than have come up lately: whoever is
   * pressed for time had better get another one.
   */
  boolean isBootingBadly(Autoscaler.MachineGroup g) {
    Record r = records.get(g);
    return r != null && r.overdue >= SOME && r.overdue > r.came.size();
  }
}
