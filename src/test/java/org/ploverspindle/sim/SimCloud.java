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
import org.ploverspindle.cloud.CloudClient.CloudMachine;
import org.ploverspindle.cloud.CloudClient.MachinePage;
import org.ploverspindle.cloud.CloudClient.MachineStatus;
import org.ploverspindle.cloud.CloudClient.ProvisionResult;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.settings.Settings;

/**
 * The simulated cloud. Provisioning is idempotent by the name of the intent, the list of machines
 * is out of date, and some machines never boot.
 */
final class SimCloud {
  private static final class ProvisionedMachine {
    private final String id;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final long provisionedMs;
    private MachineStatus status = MachineStatus.BOOTING;
    private SimWorker worker;

    ProvisionedMachine(String id, String type, String zone, boolean spot, long provisionedMs) {
      this.id = id;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.provisionedMs = provisionedMs;
    }
  }

  private static final int PAGE_SIZE = 500;
  private static final int MAX_MACHINES_PER_PROVISIONING = 50;
  private static final int MAX_MACHINES_PER_TERMINATION = 100;

  private final SimClock clock;

  /** One machine in this many never boots. */
  private static final int BOOT_FAILS_ONE_IN = 12;

  private final Random random;
  private final List<MachineType> types;
  private final int capacity;
  private final long listLagMs;
  final RateLimiter requestLimiter;
  private final Function<InvariantChecker.Place, SimWorker> startWorker;
  private final TerminationHistory terminations;
  private final Map<String, ProvisionedMachine> machines = new LinkedHashMap<>();
  private final Map<String, ProvisionResult.Provisioned> provisionedByIntent = new HashMap<>();
  private final List<Map.Entry<Long, List<CloudMachine>>> pastLists = new ArrayList<>();
  private int provisionedCount;
  private boolean isOutage;
  private final Map<String, Double> bootTimeFactors = new HashMap<>();
  private final Set<String> rejectedTypes = new HashSet<>();
  private boolean bootFailuresStopped;
  private int capacityRefusals;

  SimCloud(
      SimClock clock,
      Random random,
      List<MachineType> types,
      int capacity,
      Settings.CloudLimits limits,
      TerminationHistory terminations,
      Function<InvariantChecker.Place, SimWorker> startWorker) {
    this.clock = clock;
    this.random = random;
    this.types = types;
    this.capacity = capacity;
    this.listLagMs = Math.round(limits.maxListLagS() * 1000);
    this.requestLimiter = new RateLimiter(clock, limits.requestsPerS(), 2);
    this.startWorker = startWorker;
    this.terminations = terminations;
    recordList();
  }

  private void recordList() {
    List<CloudMachine> hosts = new ArrayList<>();
    for (ProvisionedMachine machine : machines.values()) {
      double age = (clock.nowMs() - machine.provisionedMs) / 1000.0;
      hosts.add(
          new CloudMachine(
              machine.id,
              machine.id + ":9000",
              machine.type,
              machine.zone,
              machine.spot,
              machine.status,
              age));
    }
    pastLists.add(Map.entry(clock.nowMs(), hosts));
    if (pastLists.size() > 4 * listLagMs / 500 + 4) {
      pastLists.remove(0);
    }
    clock.after(500, this::recordList);
  }

  void setOutage(boolean active) {
    isOutage = active;
  }

  /** From now on every machine boots, unless its type has a boot time factor of 0. */
  void stopBootFailures() {
    bootFailuresStopped = true;
  }

  /** Multiplies the boot time of the type's machines from now on; with 0 they never boot. */
  void setBootTimeFactor(String type, double factor) {
    bootTimeFactors.put(type, factor);
  }

  /** From now on rejects provisioning requests for the type as malformed, as if it was unknown. */
  void rejectType(String type) {
    rejectedTypes.add(type);
  }

  /** Number of machines provisioned since the start of the run. */
  int provisionedCount() {
    return provisionedCount;
  }

  /** Number of provisioning requests refused for lack of capacity. */
  int capacityRefusals() {
    return capacityRefusals;
  }

  /** Whether a request is served; otherwise it gets 503 (outage) or 429 (above the rate limit). */
  boolean admitsRequest() {
    return !isOutage && requestLimiter.tryAcquire(1);
  }

  List<MachineType> types() {
    return types;
  }

  int machineCount() {
    return machines.size();
  }

  List<SimWorker> workers() {
    return machines.values().stream()
        .filter(machine -> machine.worker != null)
        .map(machine -> machine.worker)
        .toList();
  }

  ProvisionResult provision(String intentName, String type, String zone, boolean spot, int count) {
    checkMachineLimit(count, MAX_MACHINES_PER_PROVISIONING);
    if (rejectedTypes.contains(type)) {
      return new ProvisionResult.Malformed();
    }
    ProvisionResult.Provisioned earlierResult = provisionedByIntent.get(intentName);
    if (earlierResult != null) {
      return earlierResult;
    }
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count && machines.size() < capacity; i++) {
      String id = String.format(Locale.ROOT, "i-%06d", provisionedCount++);
      ProvisionedMachine machine = new ProvisionedMachine(id, type, zone, spot, clock.nowMs());
      machines.put(id, machine);
      ids.add(id);
      double factor = bootTimeFactors.getOrDefault(type, 1.0);
      boolean bootFails = random.nextInt(BOOT_FAILS_ONE_IN) == 0 && !bootFailuresStopped;
      if (!bootFails && factor > 0) {
        clock.after(Math.round((500 + random.nextInt(9_000)) * factor), () -> finishBoot(machine));
      }
    }
    if (ids.isEmpty()) {
      capacityRefusals++;
      return new ProvisionResult.NoCapacity();
    }
    ProvisionResult.Provisioned result = new ProvisionResult.Provisioned(ids);
    provisionedByIntent.put(intentName, result);
    return result;
  }

  private void finishBoot(ProvisionedMachine machine) {
    if (machines.get(machine.id) == machine) {
      machine.status = MachineStatus.RUNNING;
      machine.worker =
          startWorker.apply(
              new InvariantChecker.Place(machine.id, machine.type, machine.zone, machine.spot));
    }
  }

  /** Fails the run: the cloud would refuse the request on each retry, so it is a defect. */
  private static void checkMachineLimit(int requested, int limit) {
    if (requested > limit) {
      throw new IllegalStateException(
          requested + " machines in one request, at most " + limit + " are allowed");
    }
  }

  /**
   * @param controller name of the controller that requests it
   */
  void terminate(List<String> ids, String controller) {
    checkMachineLimit(ids.size(), MAX_MACHINES_PER_TERMINATION);
    List<String> terminated = ids.stream().filter(machines::containsKey).toList();
    List<String> withTasks = terminated.stream().filter(this::hasTasks).toList();
    remove(ids);
    terminations.add(controller, terminated, withTasks);
  }

  private boolean hasTasks(String id) {
    SimWorker worker = machines.get(id).worker;
    return worker != null && worker.hasTasks();
  }

  private void remove(List<String> ids) {
    for (String id : ids) {
      ProvisionedMachine machine = machines.remove(id);
      if (machine != null && machine.worker != null) {
        machine.worker.terminate();
      }
    }
  }

  /** Takes a machine back without a spot notice. */
  void reclaim(String id) {
    remove(List.of(id));
  }

  /** Stops a machine without a request; the list shows it as failed 10 s later. */
  void fail(String id) {
    ProvisionedMachine machine = machines.get(id);
    if (machine != null && machine.worker != null) {
      machine.worker.terminate();
      clock.after(10_000, () -> machine.status = MachineStatus.FAILED);
    }
  }

  MachinePage listMachines(String after) {
    long listedMs = clock.nowMs() - listLagMs - random.nextInt((int) listLagMs);
    List<CloudMachine> listed = List.of();
    for (Map.Entry<Long, List<CloudMachine>> pastList : pastLists) {
      if (pastList.getKey() <= listedMs) {
        listed = pastList.getValue();
      }
    }
    List<CloudMachine> following =
        listed.stream().filter(host -> host.id().compareTo(after) > 0).toList();
    return new MachinePage(
        following.subList(0, Math.min(PAGE_SIZE, following.size())), following.size() > PAGE_SIZE);
  }
}
