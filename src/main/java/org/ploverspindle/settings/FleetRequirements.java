package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The resources that a controller needs to lead a fleet of a given number of machines.
 *
 * <p>The number of sockets is computed: the worker on each machine keeps one connection to the
 * leader, and some workers have a second one for a while after a network partition. Memory and
 * processor time are estimated from the measurements listed in docs/operations.md.
 *
 * @param sockets all sockets of the process, including those of connections that it opens itself
 * @param ramMb memory of the process in MB
 * @param cores mean number of processor cores used while the controller leads
 * @param heartbeatsPerS heartbeats per second from all workers; each sends one per heartbeat
 *     interval while nothing changes
 */
public record FleetRequirements(
    int machines, int sockets, double ramMb, double cores, double heartbeatsPerS) {
  /** Machines per half-open connection that a network partition is assumed to leave behind. */
  private static final int MACHINES_PER_HALF_OPEN_CONNECTION = 8;

  /** Connections of users, health checks and the load balancer. */
  private static final int NON_WORKER_CONNECTIONS = 32;

  /** Upper end of the search for the largest fleet; larger than any real fleet. */
  private static final int SEARCH_LIMIT_MACHINES = 10_000_000;

  private static final double BASE_RAM_MB = 50;
  private static final double RAM_MB_PER_MACHINE = 0.021;
  private static final double BASE_CORES = 0.01;
  private static final double CORES_PER_HEARTBEAT_PER_S = 0.0003;

  /** The resources that a fleet of this many machines needs under these settings. */
  public static FleetRequirements of(Settings settings, int machines) {
    double heartbeatsPerS = machines / settings.workers().heartbeatIntervalS();
    return new FleetRequirements(
        machines,
        SocketBudget.neededFor(
            settings,
            machines + machines / MACHINES_PER_HALF_OPEN_CONNECTION + NON_WORKER_CONNECTIONS),
        BASE_RAM_MB + RAM_MB_PER_MACHINE * machines,
        BASE_CORES + CORES_PER_HEARTBEAT_PER_S * heartbeatsPerS,
        heartbeatsPerS);
  }

  /** The largest number of machines for which the quota of sockets, memory and cores suffices. */
  public static int maxMachines(Settings settings) {
    int low = 0;
    int high = SEARCH_LIMIT_MACHINES;
    while (low < high) {
      int middle = low + (high - low + 1) / 2;
      if (of(settings, middle).shortages(settings).isEmpty()) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low;
  }

  /** One warning for each quota that is too small for this fleet; it states the required value. */
  public List<LimitChecks.Warning> shortages(Settings settings) {
    Settings.Quota quota = settings.quota();
    List<LimitChecks.Warning> shortages = new ArrayList<>();
    if (quota.maxConnections() < sockets) {
      shortages.add(shortage("max_connections", "%d sockets", quota.maxConnections(), sockets));
    }
    if (quota.ramMb() < ramMb) {
      shortages.add(shortage("ram_mb", "%.0f MB", quota.ramMb(), Math.ceil(ramMb)));
    }
    if (quota.cores() < cores) {
      shortages.add(shortage("cores", "%.3f of a core", quota.cores(), cores));
    }
    return shortages;
  }

  private LimitChecks.Warning shortage(
      String field, String amountFormat, Object available, Object needed) {
    return new LimitChecks.Warning(
        "params.quota." + field,
        String.format(
            Locale.ROOT,
            amountFormat + " can't carry a fleet of %d machines, which needs " + amountFormat,
            available,
            machines,
            needed));
  }
}
