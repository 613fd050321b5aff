package org.ploverspindle.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.controller.Controller;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.Term;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Address;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.StateStore;

/**
 * Runs the real controllers in simulated time, with simulations of everything else. It starts and
 * ends their processes and injects faults. The communication between the parts is simulated by
 * {@link SimStateAccess}, {@link SimCloudClient}, {@link SimDirectCommands}, {@link SimPeers},
 * {@link SimHeartbeatDelivery} and {@link SimUsers}.
 */
final class SimulatedCluster {
  static final String STATE = SimStateAccess.STATE;
  static final String CLOUD = SimCloudClient.CLOUD;

  /** With a capacity below this many machines, the state service returns small pages. */
  private static final int SMALL_DEPLOYMENT = 100;

  private static final int SMALL_MACHINE_CORES = 4;
  private static final int LARGE_MACHINE_CORES = 16;
  private static final long CHECK_INTERVAL_MS = 1_000;

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork network;
  final SimStateStore state;
  final SimCloud cloud;
  final TerminationHistory terminations;
  final InvariantChecker checker;
  final Settings settings;
  final int controllerCount;
  private final Deployment deployment;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final List<SimClock.Process> processes = new ArrayList<>();
  private final List<Controller> controllers = new ArrayList<>();
  final SimStateAccess stateAccess;
  final SimDirectCommands directCommands;
  final SimHeartbeatDelivery heartbeatDelivery;
  final SimUsers users;
  private final InvalidRequests invalidRequests;

  /** How a controller that is partitioned from the others also loses the state service. */
  enum PartitionMode {
    /** Packets are held back, and delivered when the partition ends. */
    HOLD_PACKETS,
    /** The state service responds 503 to its reads, writes and lease requests. */
    REFUSE_REQUESTS
  }

  /** Requests that the state service may refuse to a single controller. */
  enum RequestKind {
    READS,
    WRITES,
    LEASES
  }

  /** Size, intervals and limits of a deployment. */
  record Deployment(
      int controllerCount,
      int capacity,
      List<String> zones,
      Settings.WorkerLimits workers,
      Settings.StateLimits state,
      Settings.CloudLimits cloud,
      List<Settings.Team> teams,
      Policy policy) {
    /** A small deployment with short leases, so that many faults fit into a short run. */
    static Deployment small(int controllerCount, int capacity, List<String> zones) {
      return new Deployment(
          controllerCount,
          capacity,
          zones,
          new Settings.WorkerLimits(1.5, 6, 20),
          new Settings.StateLimits(200, 60, 8, 12),
          new Settings.CloudLimits(20, 3),
          List.of(new Settings.Team("red", 8, 24, 0, 0), new Settings.Team("blue", 8, 0, 0, 0)),
          new Policy(3, 8, 15, 0, 100, 20, Map.of()));
    }
  }

  SimulatedCluster(long seed, int controllerCount, int capacity, List<String> zones) {
    this(seed, Deployment.small(controllerCount, capacity, zones));
  }

  SimulatedCluster(long seed, Deployment deployment) {
    this.random = new Random(seed);
    this.deployment = deployment;
    this.controllerCount = deployment.controllerCount();
    this.settings = settings("n0", deployment);
    this.network = new SimNetwork(clock, random);
    this.state = new SimStateStore(clock, deployment.state());
    this.checker = new InvariantChecker(clock, settings);
    this.invalidRequests = new InvalidRequests(this);
    this.heartbeatDelivery = new SimHeartbeatDelivery(this);
    state.onTermStart(heartbeatDelivery::deliverRetained);
    this.terminations = new TerminationHistory(clock, state::leaderName);
    this.cloud =
        new SimCloud(
            clock,
            random,
            types(deployment),
            deployment.capacity(),
            deployment.cloud(),
            terminations,
            this::startWorker);
    this.stateAccess =
        new SimStateAccess(clock, random, network, state, deployment.capacity() < SMALL_DEPLOYMENT);
    this.directCommands = new SimDirectCommands(clock, random, network, cloud);
    this.users = new SimUsers(this, specs);
    checker.onLastTaskEnd(users::lastTaskEnded);
    for (int i = 0; i < controllerCount; i++) {
      processes.add(null);
      controllers.add(null);
      startController(i);
    }
    checkPeriodically();
  }

  private static List<MachineType> types(Deployment deployment) {
    Resources small = Resources.offered(SMALL_MACHINE_CORES, 0, 16);
    Resources large = Resources.offered(LARGE_MACHINE_CORES, 2, 64);
    return List.of(
        new MachineType("small", small, 40, 1, 0.3, 0.1, 5, deployment.zones()),
        new MachineType("large", large, 40, 1, 1.1, 0.4, 5, deployment.zones()));
  }

  private void checkPeriodically() {
    checker.checkOverdue();
    clock.after(CHECK_INTERVAL_MS, this::checkPeriodically);
  }

  static Settings settings(String member, Deployment deployment) {
    int controllerCount = deployment.controllerCount();
    List<String> zones = deployment.zones();
    Address unusedAddress = new Address("127.0.0.1", 1);
    List<Settings.OtherController> others = new ArrayList<>();
    for (int i = 0; i < controllerCount; i++) {
      if (!member.equals("n" + i)) {
        others.add(new Settings.OtherController("n" + i, zones.get(0), unusedAddress));
      }
    }
    return new Settings(
        member,
        zones.get(0),
        unusedAddress,
        unusedAddress,
        others,
        unusedAddress,
        unusedAddress,
        zones,
        500,
        deployment.teams(),
        List.of(),
        deployment.workers(),
        deployment.state(),
        deployment.cloud(),
        new Settings.Quota(1, 200, 500));
  }

  // ---- controllers

  private void startController(int index) {
    SimClock.Process process =
        clock
        .new Process(
            random.nextInt(1_000_000),
            1 + (random.nextDouble() - 0.5) / 1000,
            random.nextInt(1000) - 500);
    processes.set(index, process);
    SimLink link = new SimLink(clock, network, index, process);
    Controller controller =
        new Controller(
            process,
            new Controller.Services(
                stateAccess.client(index, link),
                new SimCloudClient(cloud, link),
                directCommands.client(link),
                new SimPeers(network, index, controllerCount, this::deliverPeerMessage)),
            settings(SimLink.controllerName(index), deployment),
            deployment.policy(),
            new SplittableRandom(random.nextLong()));
    controllers.set(index, controller);
    process.schedule(0, controller::start);
  }

  private void deliverPeerMessage(int to, PeerMessage message) {
    if (isAlive(to)) {
      controllers.get(to).handlePeerMessage(message);
    }
  }

  Controller controller(int index) {
    return controllers.get(index);
  }

  SimClock.Process process(int index) {
    return processes.get(index);
  }

  /** Index of the first controller that believes it is the leader, or -1. */
  int leader() {
    for (int i = 0; i < controllerCount; i++) {
      if (isAlive(i) && controllers.get(i).isLeading()) {
        return i;
      }
    }
    return -1;
  }

  /** Whether the controller believes it is the leader; if partitioned, another may as well. */
  boolean isLeading(int index) {
    return isAlive(index) && controllers.get(index).isLeading();
  }

  /** Number of terms so far, by the highest fencing token. */
  long termCount() {
    return (state.highestFencingToken() + Term.TOKENS_PER_TERM - 1) / Term.TOKENS_PER_TERM;
  }

  boolean isReady(int index) {
    return isAlive(index) && controllers.get(index).isReady();
  }

  /** Queries a job at the controller directly, without the network. */
  void query(int index, String uid, Consumer<ApiResponse> then) {
    controllers.get(index).poll(uid, then);
  }

  /** Whether the controller's replica shows the job as cancelled; reading it has no side effect. */
  boolean showsCancelled(int index, String uid) {
    String[] text = {""};
    controllers
        .get(index)
        .explainJob(uid, response -> text[0] = new String(response.body(), StandardCharsets.UTF_8));
    return text[0].contains(uid + " is aborted");
  }

  boolean isAlive(int index) {
    return !processes.get(index).isDead();
  }

  void crash(int index, long restartAfterMs) {
    if (isAlive(index)) {
      processes.get(index).kill();
      clock.after(restartAfterMs, () -> startController(index));
    }
  }

  void freeze(int index, long durationMs) {
    processes.get(index).freeze(durationMs);
  }

  /**
   * Cuts a controller off from the state service and the other controllers, while workers and users
   * still reach it. It can't tell that from an outage, and must give up leadership soon.
   */
  void partitionController(int controller, PartitionMode mode, long durationMs) {
    setPartitioned(controller, mode, true);
    clock.after(durationMs, () -> setPartitioned(controller, mode, false));
  }

  private void setPartitioned(int controller, PartitionMode mode, boolean active) {
    for (int i = 0; i < controllerCount; i++) {
      network.holdPackets(SimLink.controllerName(controller), SimLink.controllerName(i), active);
    }
    if (mode == PartitionMode.HOLD_PACKETS) {
      network.holdPackets(SimLink.controllerName(controller), STATE, active);
    } else {
      for (RequestKind kind : RequestKind.values()) {
        setRefused(controller, kind, active);
      }
    }
  }

  /** From now on the state service refuses these requests of the controller, or serves them. */
  void setRefused(int controller, RequestKind kind, boolean active) {
    stateAccess.setRefused(controller, kind, active);
  }

  /** Sets the listener for transactions; it is called on sending, before the outcome is known. */
  void onTransactionSent(Consumer<StateStore.Transaction> listener) {
    stateAccess.onTransactionSent(listener);
  }

  /** Tells the checker that all faults have ended, so that requests of users must be answered. */
  void faultsEnded() {
    checker.faultsEnded();
  }

  // ---- workers

  private SimWorker startWorker(InvariantChecker.Place place) {
    SimWorker worker =
        new SimWorker(
            clock,
            random,
            settings.workers(),
            checker,
            place,
            specs,
            heartbeatDelivery::send,
            controllerCount,
            place.type().equals("small") ? SMALL_MACHINE_CORES : LARGE_MACHINE_CORES);
    cloud.types().stream()
        .filter(type -> type.name().equals(place.type()))
        .forEach(type -> checker.machineUp(place, type.size(), () -> isUsable(worker)));
    return worker;
  }

  private boolean isUsable(SimWorker worker) {
    return worker.isHealthy()
        && network.receives(worker.host())
        && network.sendsRequests(worker.host());
  }

  // ---- users

  String newUid() {
    return users.newUid();
  }

  /** Adds a user who submits until the job is accepted, and then polls until it is over. */
  void submitAndPoll(JobSpec spec) {
    users.submitAndPoll(spec);
  }

  JobSpec spec(String uid) {
    return specs.get(uid);
  }

  void poll(String uid) {
    users.poll(uid);
  }

  void cancel(String uid, int retries) {
    users.cancel(uid, retries);
  }

  void queryAt(int controller, String uid) {
    users.queryAt(controller, uid);
  }

  void submitAt(int controller, String uid, byte[] body) {
    users.submitAt(controller, uid, body);
  }

  void cancelAt(int controller, String uid) {
    users.cancelAt(controller, uid, response -> {});
  }

  void cancelAt(int controller, String uid, Consumer<ApiResponse> then) {
    users.cancelAt(controller, uid, then);
  }

  void cancelRunning(int count, long hangDurationMs) {
    users.cancelRunning(count, hangDurationMs);
  }

  void setCancelAtCompletionShare(double share) {
    users.setCancelAtEndShare(share);
  }

  void setRequestBursts(boolean active) {
    users.setRequestBursts(active);
  }

  /** From now on users send late, redundant and invalid requests to all controllers. */
  void setInvalidRequests(boolean active) {
    invalidRequests.setActive(active);
  }

  static byte[] encode(JobSpec spec) {
    return SimWireCodec.encode(spec);
  }
}
