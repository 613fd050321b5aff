package org.ploverspindle.sim;

import java.util.List;
import java.util.Random;

/** The troubles that a day may hold, each for a while; two of them may meet. */
enum Faults {
  CRASH {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.crash(leaderOrAny(w, r), 100 + r.nextInt(4_000));
    }
  },
  ALL_CRASH {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      for (int i = 0; i < w.controllerCount; i++) {
        w.crash(i, 100 + r.nextInt((int) forMs));
      }
    }
  },
  PAUSE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.freeze(leaderOrAny(w, r), forMs);
    }
  },
  STATE_OUTAGE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.state.setOutage(true);
      w.clock.after(forMs, () -> w.state.setOutage(false));
    }
  },
  CLOUD_OUTAGE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.cloud.setOutage(true);
      w.clock.after(forMs, () -> w.cloud.setOutage(false));
    }
  },
  SLOW_LINKS {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.network.setLateRequestShare(0.05 + r.nextDouble() * 0.2);
      w.clock.after(forMs, () -> w.network.setLateRequestShare(0));
    }
  },
  MACHINES_CUT {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      for (SimWorker x : some(w, r)) {
        for (int i = 0; i < w.controllerCount; i++) {
          String node = "n" + i;
          w.network.holdPackets(node, x.host(), true);
          w.clock.after(forMs, () -> w.network.holdPackets(node, x.host(), false));
        }
      }
    }
  },
  MACHINES_DIE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      some(w, r).forEach(x -> w.cloud.fail(x.host()));
    }
  },
  MACHINES_RECALLED {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      some(w, r).forEach(SimWorker::giveSpotNotice);
    }
  },
  MACHINES_HANG {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      some(w, r).forEach(x -> x.hang(forMs));
    }
  },
  MACHINE_DEAF {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      for (SimWorker x : some(w, r)) {
        w.network.dropInbound(x.host(), true);
        w.clock.after(forMs, () -> w.network.dropInbound(x.host(), false));
      }
    }
  },
  MACHINE_MUTE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      for (SimWorker x : some(w, r)) {
        w.network.dropRequestsFrom(x.host(), true);
        w.clock.after(forMs, () -> w.network.dropRequestsFrom(x.host(), false));
      }
    }
  },
  LATE_WRITES {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      lateWrites(w, 0.05 + r.nextDouble() * 0.4, false, forMs);
    }
  },
  WRITES_AT_ONCE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      lateWrites(w, 0.05 + r.nextDouble() * 0.4, true, forMs);
    }
  },
  LATE_REPORTS {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      lateReports(w, 0.1 + r.nextDouble() * 0.5, false, forMs);
    }
  },
  REPORTS_FOR_NEXT {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      lateReports(w, 0.1 + r.nextDouble() * 0.5, true, forMs);
      // Without a next leader there is nothing to it.
      w.clock.after(forMs / 2, () -> w.crash(leaderOrAny(w, r), 100 + r.nextInt(3_000)));
    }
  },
  NODE_CUT_HOLD {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.partitionController(leaderOrAny(w, r), SimulatedCluster.PartitionMode.HOLD_PACKETS, forMs);
    }
  },
  NODE_CUT_REFUSE {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.partitionController(
          leaderOrAny(w, r), SimulatedCluster.PartitionMode.REFUSE_REQUESTS, forMs);
    }
  },
  CANCEL_NOW {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.cancelRunning(1 + r.nextInt(6), r.nextBoolean() ? 0 : forMs);
    }
  },
  CANCEL_AT_END {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.setCancelAtEndShare(0.5);
      w.clock.after(forMs, () -> w.setCancelAtEndShare(0));
    }
  },
  ODD_REQUESTS {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.setInvalidRequests(true);
      w.clock.after(forMs, () -> w.setInvalidRequests(false));
    }
  },
  CLOSE_LOOKS {
    @Override
    void begin(SimulatedCluster w, Random r, long forMs) {
      w.setRequestBursts(true);
      w.clock.after(forMs, () -> w.setRequestBursts(false));
    }
  };

  /** Begins at once, and ends by itself within the time, but for what it does to processes. */
  abstract void begin(SimulatedCluster w, Random r, long forMs);

  /** Mostly the leader: with another one there is little to it. */
  private static int leaderOrAny(SimulatedCluster w, Random r) {
    int leader = w.leader();
    return leader >= 0 && r.nextInt(4) > 0 ? leader : r.nextInt(w.controllerCount);
  }

  /** One machine, or about half of them. */
  private static List<SimWorker> some(SimulatedCluster w, Random r) {
    List<SimWorker> all = w.cloud.workers().stream().filter(x -> !x.isTerminated()).toList();
    if (all.isEmpty()) {
      return all;
    }
    return r.nextBoolean()
        ? List.of(all.get(r.nextInt(all.size())))
        : all.stream().filter(x -> r.nextBoolean()).toList();
  }

  private static void lateWrites(SimulatedCluster w, double share, boolean atOnce, long forMs) {
    w.network.setUnansweredWrites(share, atOnce);
    w.clock.after(forMs, () -> w.network.setUnansweredWrites(0, false));
  }

  private static void lateReports(SimulatedCluster w, double share, boolean forNext, long forMs) {
    w.network.setHeartbeatReplay(share, forNext);
    w.clock.after(forMs, () -> w.network.setHeartbeatReplay(0, false));
  }
}
