package org.ploverspindle.cloud;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sizing.AdaptiveSizing;
import org.ploverspindle.state.TokenBucket;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.MachineRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which machines go back: idle ones unless that drops their group below its minimum, and those that
 * are of no use any more, whatever the bounds say.
 */
final class Returns {
  private static final Logger LOG = LoggerFactory.getLogger(Returns.class);
  private static final int MAX_PER_RELEASE = 100;

  /** Of a large fleet, one machine in so many may go in one look, by several requests. */
  private static final int PART_PER_LOOK = 20;

  private static final double QUIET_IDLE_S = 8;
  private static final long RETIRING_IDLE_MS = 2_000;

  /** For how many leases, in milliseconds of lease seconds, a machine may be deaf. */
  private static final double DEAF_LEASES = 3_000;

  private static final double MS_PER_S = 1_000;

  private final Scheduler scheduler;
  private final CloudApi cloud;
  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final Policy policy;
  private final Settings settings;
  private final Term term;
  private final Pools pools;
  private final Backoffs backoffs;
  private final Boots boots;
  private final TokenBucket budget;
  private final Rentals.Host host;
  private int releasesUnderWay;

  Returns(
      Scheduler scheduler,
      CloudApi cloud,
      Catalogue catalogue,
      MachineRegistry fleet,
      Policy policy,
      Settings settings,
      Term term,
      Pools pools,
      Backoffs backoffs,
      Boots boots,
      TokenBucket budget,
      Rentals.Host host) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.policy = policy;
    this.settings = settings;
    this.term = term;
    this.pools = pools;
    this.backoffs = backoffs;
    this.boots = boots;
    this.budget = budget;
    this.host = host;
  }

  /** Looks which machines can go, and returns them. */
  void look() {
    if (!host.mayDecide() || releasesUnderWay > 0) {
      return;
    }
    long now = scheduler.nowMs();
    List<Machine> back = new ArrayList<>();
    Map<Integer, List<AdaptiveSizing.Group>> groups = new HashMap<>();
    int[][] idleReturned = new int[catalogue.types().size()][catalogue.zoneCount()];
    // Made once for all machines: each looks at all jobs or all machines.
    Predicate<Machine> needed = host.needed();
    Predicate<Machine> spare = host.spare();
    Hearing hearing = new Hearing(now);
    int most = Math.max(MAX_PER_RELEASE, fleet.all().size() / PART_PER_LOOK);
    for (Machine m : fleet.all()) {
      if (back.size() >= most) {
        break;
      }
      if (mustGo(m, now, hearing)) {
        back.add(m);
      } else if (idle(m, now, needed, spare)) {
        List<AdaptiveSizing.Group> all = groups.computeIfAbsent(m.type(), pools::groups);
        int held = all.get(m.zone()).held() - idleReturned[m.type()][m.zone()];
        if (held - 1 >= pools.bounds(m.type(), all).get(m.zone()).min()) {
          idleReturned[m.type()][m.zone()]++;
          back.add(m);
        }
      }
    }
    for (List<Machine> batch : Lists.partition(back, MAX_PER_RELEASE)) {
      if (!budget.tryTake(1)) {
        return;
      }
      release(batch);
    }
  }

  private boolean idle(Machine m, long now, Predicate<Machine> needed, Predicate<Machine> spare) {
    if (!m.up() || !m.empty() || m.releasing()) {
      return false;
    }
    if (m.retiring()) {
      return now - m.emptySinceMs() >= RETIRING_IDLE_MS;
    }
    double waitS = host.quiet() ? Math.min(policy.idleS(), QUIET_IDLE_S) : policy.idleS();
    // Work may wait for a machine that has only just come up, or whose jobs are put off.
    return now - m.emptySinceMs() >= waitS * 1000 && !needed.test(m) && spare.test(m);
  }

  /** Machines that are of no use any more, whatever the bounds say. */
  private boolean mustGo(Machine m, long now, Hearing hearing) {
    if (m.releasing()) {
      return true;
    }
    if (m.empty() && (m.draining() || m.recalled())) {
      return true;
    }
    if (!m.up()) {
      // One that an earlier leader knew may be up and cut off: its lease must be over as well.
      boolean silent = now - term.startMs() > fleet.leaseOverMs(m) - m.knownSinceMs();
      if (boots.isStuck(m, now) && silent && m.placements().isEmpty()) {
        LOG.info(
            "machine {} has not come up in {} s: it is returned, and its group backs off",
            m.host(),
            (now - m.bootingSinceMs()) / 1000);
        backoffs.backOff(Rentals.Group.of(m));
        return true;
      }
      return false;
    }
    if (m.empty() && isDeaf(m, now, hearing)) {
      return true;
    }
    return now > fleet.leaseOverMs(m) + 15_000 && m.empty() && hearing.mostReport();
  }

  /**
   * It reports and nothing we say reaches it: paid for and of no use. When many are like that, it
   * is our own line that is broken.
   */
  private boolean isDeaf(Machine m, long now, Hearing hearing) {
    return m.deafSinceMs() >= 0
        && now - m.deafSinceMs() >= settings.workers().leaseS() * DEAF_LEASES
        && hearing.fewAreDeaf();
  }

  /**
   * How the fleet as a whole hears and is heard, counted once in a look and only if asked for: a
   * zone that is cut off has thousands of machines that ask.
   */
  private final class Hearing {
    private final long nowMs;
    private boolean counted;
    private int deaf;
    private int up;
    private int heard;

    Hearing(long nowMs) {
      this.nowMs = nowMs;
    }

    boolean fewAreDeaf() {
      count();
      return deaf * 2 <= fleet.all().size();
    }

    /** When most machines are silent, it is we who are cut off, not they who died. */
    boolean mostReport() {
      count();
      return heard * 2 >= up;
    }

    private void count() {
      if (counted) {
        return;
      }
      counted = true;
      double leaseMs = settings.workers().leaseS() * MS_PER_S;
      for (Machine machine : fleet.all()) {
        deaf += machine.deafSinceMs() >= 0 ? 1 : 0;
        up += machine.up() ? 1 : 0;
        heard += machine.up() && nowMs - machine.lastReportMs() < leaseMs ? 1 : 0;
      }
    }
  }

  private void release(List<Machine> back) {
    releasesUnderWay++;
    List<String> ids = new ArrayList<>();
    for (Machine m : back) {
      m.releasing(true);
      ids.add(m.host());
    }
    LOG.info("returning {}", ids);
    cloud.release(
        ids,
        gone -> {
          releasesUnderWay--;
          if (gone) {
            for (Machine m : back) {
              host.lost(fleet.released(m, scheduler.nowMs()));
            }
          }
        });
  }
}
