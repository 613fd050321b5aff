package org.ploverspindle.cloud;

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
  private static final double QUIET_IDLE_S = 8;
  private static final long RETIRING_IDLE_MS = 2_000;

  /** For how many leases, in milliseconds of lease seconds, a machine may be deaf. */
  private static final double DEAF_LEASES = 3_000;

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
  private boolean releaseBusy;

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
    if (!host.mayDecide() || releaseBusy) {
      return;
    }
    long now = scheduler.nowMs();
    List<Machine> back = new ArrayList<>();
    Map<Integer, List<AdaptiveSizing.Group>> groups = new HashMap<>();
    int[][] idleReturned = new int[catalogue.types().size()][catalogue.zoneCount()];
    // Made once for all machines: each looks at all jobs or all machines.
    Predicate<Machine> needed = host.needed();
    Predicate<Machine> spare = host.spare();
    for (Machine m : fleet.all()) {
      if (back.size() >= MAX_PER_RELEASE) {
        break;
      }
      if (mustGo(m, now)) {
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
    if (!back.isEmpty() && budget.tryTake(1)) {
      release(back);
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
  private boolean mustGo(Machine m, long now) {
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
    if (m.empty() && isDeaf(m, now)) {
      return true;
    }
    return now > fleet.leaseOverMs(m) + 15_000 && m.empty() && mostReport(now);
  }

  /**
   * It reports and nothing we say reaches it: paid for and of no use. When many are like that, it
   * is our own line that is broken.
   */
  private boolean isDeaf(Machine m, long now) {
    if (m.deafSinceMs() < 0 || now - m.deafSinceMs() < settings.workers().leaseS() * DEAF_LEASES) {
      return false;
    }
    long deaf = fleet.all().stream().filter(x -> x.deafSinceMs() >= 0).count();
    return deaf * 2 <= fleet.all().size();
  }

  /** When most machines are silent, it is we who are cut off, not they who died. */
  private boolean mostReport(long now) {
    int up = 0;
    int heard = 0;
    for (Machine m : fleet.all()) {
      if (m.up()) {
        up++;
        heard += now - m.lastReportMs() < settings.workers().leaseS() * 1000 ? 1 : 0;
      }
    }
    return heard * 2 >= up;
  }

  private void release(List<Machine> back) {
    releaseBusy = true;
    List<String> ids = new ArrayList<>();
    for (Machine m : back) {
      m.releasing(true);
      ids.add(m.host());
    }
    LOG.info("returning {}", ids);
    cloud.release(
        ids,
        gone -> {
          releaseBusy = false;
          if (gone) {
            for (Machine m : back) {
              host.lost(fleet.released(m, scheduler.nowMs()));
            }
          }
        });
  }
}
