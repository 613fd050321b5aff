package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.ploverspindle.cloud.CloudClient.Host;
import org.ploverspindle.cloud.CloudClient.HostPage;
import org.ploverspindle.cloud.CloudClient.HostStatus;
import org.ploverspindle.cloud.CloudClient.ProvisionResult;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.settings.Settings;

/**
 * Stand-in for the cloud: claims that rent once, a lagging list, machines that boot or never do.
 */
final class SimCloud {
  private static final class Rented {
    private final String id;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final long sinceMs;
    private HostStatus status = HostStatus.BOOTING;
    private SimWorker worker;

    Rented(String id, String type, String zone, boolean spot, long sinceMs) {
      this.id = id;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.sinceMs = sinceMs;
    }
  }

  private static final int PAGE = 500;
  private static final int MOST_RENTED = 50;
  private static final int MOST_RELEASED = 100;

  private final SimClock clock;

  /** One machine in so many never comes up. */
  private static final int NEVER_BOOTS_ONE_IN = 12;

  private final Random random;
  private final List<MachineType> types;
  private final int capacity;
  private final long lagMs;
  final RateLimiter requests;
  private final Function<InvariantChecker.Place, SimWorker> boot;
  private final TerminationHistory releases;
  private final Map<String, Rented> machines = new LinkedHashMap<>();
  private final Map<String, ProvisionResult.Provisioned> claims = new HashMap<>();
  private final List<Map.Entry<Long, List<Host>>> past = new ArrayList<>();
  private int counter;
  private boolean out;
  private final Map<String, Double> slowBoots = new HashMap<>();
  private final Set<String> unknown = new HashSet<>();
  private boolean everyBootSucceeds;
  private int refused;

  SimCloud(
      SimClock clock,
      Random random,
      List<MachineType> types,
      int capacity,
      Settings.CloudLimits limits,
      TerminationHistory releases,
      Function<InvariantChecker.Place, SimWorker> boot) {
    this.clock = clock;
    this.random = random;
    this.types = types;
    this.capacity = capacity;
    this.lagMs = Math.round(limits.maxListLagS() * 1000);
    this.requests = new RateLimiter(clock, limits.requestsPerS(), 2);
    this.boot = boot;
    this.releases = releases;
    remember();
  }

  private void remember() {
    List<Host> now = new ArrayList<>();
    for (Rented r : machines.values()) {
      double age = (clock.nowMs() - r.sinceMs) / 1000.0;
      now.add(new Host(r.id, r.id + ":9000", r.type, r.zone, r.spot, r.status, age));
    }
    past.add(Map.entry(clock.nowMs(), now));
    if (past.size() > 4 * lagMs / 500 + 4) {
      past.remove(0);
    }
    clock.at(500, this::remember);
  }

  void outage(boolean now) {
    out = now;
  }

  /** From now on no machine fails to come up. */
  void everyBootSucceeds() {
    everyBootSucceeds = true;
  }

  /** From now on machines of the type take so many times as long to come up; 0: they never do. */
  void boots(String type, double factor) {
    slowBoots.put(type, factor);
  }

  /** From now on requests for the type are malformed: the cloud has given it up. */
  void giveUp(String type) {
    unknown.add(type);
  }

  /** Machines ever rented. */
  int rented() {
    return counter;
  }

  /** Rentals refused for want of capacity. */
  int refusals() {
    return refused;
  }

  /** False when a request is answered 503 or 429. */
  boolean serves() {
    return !out && requests.take(1);
  }

  List<MachineType> types() {
    return types;
  }

  int size() {
    return machines.size();
  }

  List<SimWorker> workers() {
    return machines.values().stream().filter(r -> r.worker != null).map(r -> r.worker).toList();
  }

  ProvisionResult rent(String claim, String type, String zone, boolean spot, int count) {
    limit(count, MOST_RENTED);
    if (unknown.contains(type)) {
      return new ProvisionResult.Malformed();
    }
    ProvisionResult.Provisioned before = claims.get(claim);
    if (before != null) {
      return before;
    }
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count && machines.size() < capacity; i++) {
      String id = String.format(Locale.ROOT, "i-%06d", counter++);
      Rented r = new Rented(id, type, zone, spot, clock.nowMs());
      machines.put(id, r);
      ids.add(id);
      double factor = slowBoots.getOrDefault(type, 1.0);
      boolean fails = random.nextInt(NEVER_BOOTS_ONE_IN) == 0 && !everyBootSucceeds;
      if (!fails && factor > 0) {
        clock.at(Math.round((500 + random.nextInt(9_000)) * factor), () -> up(r));
      }
    }
    if (ids.isEmpty()) {
      refused++;
      return new ProvisionResult.NoCapacity();
    }
    ProvisionResult.Provisioned result = new ProvisionResult.Provisioned(ids);
    claims.put(claim, result);
    return result;
  }

  private void up(Rented r) {
    if (machines.get(r.id) == r) {
      r.status = HostStatus.RUNNING;
      r.worker = boot.apply(new InvariantChecker.Place(r.id, r.type, r.zone, r.spot));
    }
  }

  /** Refused for ever: a defect, not a fault to live with. */
  private static void limit(int asked, int most) {
    if (asked > most) {
      throw new IllegalStateException(asked + " machines in a request, " + most + " are allowed");
    }
  }

  /**
   * @param by who asks for it
   */
  void release(List<String> ids, String by) {
    limit(ids.size(), MOST_RELEASED);
    List<String> ended = ids.stream().filter(machines::containsKey).toList();
    List<String> withTasks = ended.stream().filter(this::hasTasks).toList();
    remove(ids);
    releases.add(by, ended, withTasks);
  }

  private boolean hasTasks(String id) {
    SimWorker worker = machines.get(id).worker;
    return worker != null && worker.hasTasks();
  }

  private void remove(List<String> ids) {
    for (String id : ids) {
      Rented r = machines.remove(id);
      if (r != null && r.worker != null) {
        r.worker.end();
      }
    }
  }

  /** The cloud takes the machine back without notice. */
  void take(String id) {
    remove(List.of(id));
  }

  /** The machine stops by itself; the list tells it late. */
  void die(String id) {
    Rented r = machines.get(id);
    if (r != null && r.worker != null) {
      r.worker.end();
      clock.at(10_000, () -> r.status = HostStatus.FAILED);
    }
  }

  HostPage list(String after) {
    long at = clock.nowMs() - lagMs - random.nextInt((int) lagMs);
    List<Host> then = List.of();
    for (Map.Entry<Long, List<Host>> p : past) {
      if (p.getKey() <= at) {
        then = p.getValue();
      }
    }
    List<Host> rest = then.stream().filter(h -> h.id().compareTo(after) > 0).toList();
    return new HostPage(rest.subList(0, Math.min(PAGE, rest.size())), rest.size() > PAGE);
  }
}
