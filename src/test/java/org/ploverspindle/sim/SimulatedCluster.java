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
 * Controllers as they really decide, among stand-ins for all else, in simulated time. It starts and
 * ends their processes and brings faults about; what goes between the parts is in {@link
 * SimStateAccess}, {@link SimCloudClient}, {@link SimDirectCommands}, {@link SimPeers}, {@link
 * SimHeartbeatDelivery} and {@link SimUsers}.
 */
final class SimulatedCluster {
  static final String STATE = SimStateAccess.STATE;
  static final String CLOUD = SimCloudClient.CLOUD;

  /** Below so many machines the state service's pages are small. */
  private static final int SMALL_SITE = 100;

  private static final int SMALL_MACHINE_CORES = 4;
  private static final int LARGE_MACHINE_CORES = 16;
  private static final long LOOK_EVERY_MS = 1_000;

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork network;
  final SimStateStore state;
  final SimCloud cloud;
  final TerminationHistory releases;
  final InvariantChecker checker;
  final Settings settings;
  final int nodes;
  private final Site site;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final List<SimClock.Process> processes = new ArrayList<>();
  private final List<Controller> controllers = new ArrayList<>();
  final SimStateAccess stateAccess;
  final SimDirectCommands directCommands;
  final SimHeartbeatDelivery reports;
  final SimUsers users;
  private final InvalidRequests invalidRequests;

  /** How a controller loses the state service, its other controllers beside. */
  enum CutMode {
    /** What is sent is held back, and delivered when the cut ends. */
    HOLD,
    /** The state service answers it 503, to reads, writes and leases. */
    REFUSE
  }

  /** What the state service may refuse to one node alone. */
  enum Refusal {
    READS,
    WRITES,
    HOLDS
  }

  /** A deployment's size and times. */
  record Site(
      int nodes,
      int capacity,
      List<String> zones,
      Settings.WorkerLimits workers,
      Settings.StateLimits state,
      Settings.CloudLimits cloud,
      List<Settings.Team> teams,
      Policy policy) {
    /** Small and quick, with short leases: many troubles fit into few seconds. */
    static Site small(int nodes, int capacity, List<String> zones) {
      return new Site(
          nodes,
          capacity,
          zones,
          new Settings.WorkerLimits(1.5, 6, 20),
          new Settings.StateLimits(200, 60, 8, 12),
          new Settings.CloudLimits(20, 3),
          List.of(new Settings.Team("red", 8, 24, 0, 0), new Settings.Team("blue", 8, 0, 0, 0)),
          new Policy(3, 8, 15, 0, 100, 20, Map.of()));
    }
  }

  SimulatedCluster(long seed, int nodes, int capacity, List<String> zones) {
    this(seed, Site.small(nodes, capacity, zones));
  }

  SimulatedCluster(long seed, Site site) {
    this.random = new Random(seed);
    this.site = site;
    this.nodes = site.nodes();
    this.settings = settings("n0", site);
    this.network = new SimNetwork(clock, random);
    this.state = new SimStateStore(clock, site.state());
    this.checker = new InvariantChecker(clock, settings);
    this.invalidRequests = new InvalidRequests(this);
    this.reports = new SimHeartbeatDelivery(this);
    state.whenATermBegins(reports::deliverKeptReports);
    this.releases = new TerminationHistory(clock, state::leader);
    this.cloud =
        new SimCloud(
            clock, random, types(site), site.capacity(), site.cloud(), releases, this::boot);
    this.stateAccess =
        new SimStateAccess(clock, random, network, state, site.capacity() < SMALL_SITE);
    this.directCommands = new SimDirectCommands(clock, random, network, cloud);
    this.users = new SimUsers(this, specs);
    checker.whenALastTaskEnds(users::lastTaskEnded);
    for (int i = 0; i < nodes; i++) {
      processes.add(null);
      controllers.add(null);
      startNode(i);
    }
    look();
  }

  private static List<MachineType> types(Site site) {
    Resources small = Resources.offered(SMALL_MACHINE_CORES, 0, 16);
    Resources large = Resources.offered(LARGE_MACHINE_CORES, 2, 64);
    return List.of(
        new MachineType("small", small, 40, 1, 0.3, 0.1, 5, site.zones()),
        new MachineType("large", large, 40, 1, 1.1, 0.4, 5, site.zones()));
  }

  private void look() {
    checker.look();
    clock.at(LOOK_EVERY_MS, this::look);
  }

  static Settings settings(String member, Site site) {
    int nodes = site.nodes();
    List<String> zones = site.zones();
    Address nowhere = new Address("127.0.0.1", 1);
    List<Settings.Member> others = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      if (!member.equals("n" + i)) {
        others.add(new Settings.Member("n" + i, zones.get(0), nowhere));
      }
    }
    return new Settings(
        member,
        zones.get(0),
        nowhere,
        nowhere,
        others,
        nowhere,
        nowhere,
        zones,
        500,
        site.teams(),
        List.of(),
        site.workers(),
        site.state(),
        site.cloud(),
        new Settings.Quota(1, 200, 500));
  }

  // ---- nodes

  private void startNode(int i) {
    SimClock.Process process =
        clock
        .new Process(
            random.nextInt(1_000_000),
            1 + (random.nextDouble() - 0.5) / 1000,
            random.nextInt(1000) - 500);
    processes.set(i, process);
    SimLink link = new SimLink(clock, network, i, process);
    Controller controller =
        new Controller(
            process,
            new Controller.Services(
                stateAccess.client(i, link),
                new SimCloudClient(cloud, link),
                directCommands.client(link),
                new SimPeers(network, i, nodes, this::hint)),
            settings(SimLink.nodeName(i), site),
            site.policy(),
            new SplittableRandom(random.nextLong()));
    controllers.set(i, controller);
    process.schedule(0, controller::start);
  }

  private void hint(int to, PeerMessage record) {
    if (alive(to)) {
      controllers.get(to).handlePeerMessage(record);
    }
  }

  Controller controller(int i) {
    return controllers.get(i);
  }

  SimClock.Process process(int i) {
    return processes.get(i);
  }

  /** The node that leads, or -1. */
  int leader() {
    for (int i = 0; i < nodes; i++) {
      if (alive(i) && controllers.get(i).isLeading()) {
        return i;
      }
    }
    return -1;
  }

  /** Does the node believe that it leads? Cut off, it may do so beside another one. */
  boolean leads(int i) {
    return alive(i) && controllers.get(i).isLeading();
  }

  /** How many terms there have been. */
  long terms() {
    return (state.highestToken() + Term.TOKENS_PER_TERM - 1) / Term.TOKENS_PER_TERM;
  }

  boolean ready(int i) {
    return alive(i) && controllers.get(i).isReady();
  }

  /** What the node answers to a question about the job, put to it at this moment. */
  void ask(int i, String uid, Consumer<ApiResponse> then) {
    controllers.get(i).poll(uid, then);
  }

  /** Does the node's replica show the job as cancelled? Asking changes nothing there. */
  boolean knowsCancelled(int i, String uid) {
    String[] text = {""};
    controllers.get(i).explainJob(uid, a -> text[0] = new String(a.body(), StandardCharsets.UTF_8));
    return text[0].contains(uid + " is aborted");
  }

  boolean alive(int i) {
    return !processes.get(i).dead();
  }

  void crash(int i, long backAfterMs) {
    if (alive(i)) {
      processes.get(i).kill();
      clock.at(backAfterMs, () -> startNode(i));
    }
  }

  void freeze(int i, long forMs) {
    processes.get(i).freeze(forMs);
  }

  /**
   * For a while the node reaches neither the state service nor the other controllers, while workers
   * and users reach it: it can't tell that from an outage, and must not lead for long.
   */
  void nodeCut(int node, CutMode mode, long forMs) {
    cutNode(node, mode, true);
    clock.at(forMs, () -> cutNode(node, mode, false));
  }

  private void cutNode(int node, CutMode mode, boolean now) {
    for (int i = 0; i < nodes; i++) {
      network.hold(SimLink.nodeName(node), SimLink.nodeName(i), now);
    }
    if (mode == CutMode.HOLD) {
      network.hold(SimLink.nodeName(node), STATE, now);
    } else {
      for (Refusal kind : Refusal.values()) {
        refuse(node, kind, now);
      }
    }
  }

  /** From now on the state service refuses such requests of the node, or serves them again. */
  void refuse(int node, Refusal kind, boolean now) {
    stateAccess.refuse(node, kind, now);
  }

  /** To be told of every transaction as it is sent, before it is known what becomes of it. */
  void whenATransactionIsSent(Consumer<StateStore.Transaction> then) {
    stateAccess.whenSent(then);
  }

  /** From now on all that was broken works again; what users ask is to be answered. */
  void troublesAreOver() {
    checker.troublesAreOver();
  }

  // ---- workers

  private SimWorker boot(InvariantChecker.Place place) {
    SimWorker worker =
        new SimWorker(
            clock,
            random,
            settings.workers(),
            checker,
            place,
            specs,
            reports::send,
            nodes,
            place.type().equals("small") ? SMALL_MACHINE_CORES : LARGE_MACHINE_CORES);
    cloud.types().stream()
        .filter(type -> type.name().equals(place.type()))
        .forEach(type -> checker.machineUp(place, type.size(), () -> isReached(worker)));
    return worker;
  }

  private boolean isReached(SimWorker worker) {
    return worker.sound() && network.hears(worker.host()) && network.speaks(worker.host());
  }

  // ---- users

  String newUid() {
    return users.newUid();
  }

  /** A user who submits until an answer is final, then polls until the job is over. */
  void user(JobSpec spec) {
    users.add(spec);
  }

  JobSpec spec(String uid) {
    return specs.get(uid);
  }

  void poll(String uid) {
    users.poll(uid);
  }

  void cancel(String uid, int tries) {
    users.cancel(uid, tries);
  }

  void askAt(int node, String uid) {
    users.askAt(node, uid);
  }

  void submitAt(int node, String uid, byte[] body) {
    users.submitAt(node, uid, body);
  }

  void cancelAt(int node, String uid) {
    users.cancelAt(node, uid, answer -> {});
  }

  void cancelAt(int node, String uid, Consumer<ApiResponse> then) {
    users.cancelAt(node, uid, then);
  }

  void cancelNow(int count, long hangMs) {
    users.cancelNow(count, hangMs);
  }

  void cancelAtEnd(double share) {
    users.cancelAtEnd(share);
  }

  void closeLooks(boolean now) {
    users.closeLooks(now);
  }

  /** From now on users send what is late, needless or wrong, to all nodes. */
  void oddRequests(boolean now) {
    invalidRequests.play(now);
  }

  static byte[] encode(JobSpec spec) {
    return SimWireCodec.encode(spec);
  }
}
