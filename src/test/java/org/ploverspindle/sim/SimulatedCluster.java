package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ploverspindle.cloud.CloudApi;
import org.ploverspindle.cloud.MachineType;
import org.ploverspindle.front.Answer;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.jobs.Resources;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.node.Controller;
import org.ploverspindle.peers.PeerRecord;
import org.ploverspindle.peers.Peers;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Address;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.workers.Order;
import org.ploverspindle.workers.Report;
import org.ploverspindle.workers.WorkerClient;

/** Controllers as they really decide, among stand-ins for all else, in simulated time. */
final class SimulatedCluster {
  static final String STATE = "state";
  static final String CLOUD = "cloud";
  private static final long STATE_TIMEOUT_MS = 2_500;
  private static final long CLOUD_TIMEOUT_MS = 5_000;
  private static final int MOST_KEPT = 400;
  private static final long DIRECT_TIMEOUT_MS = 1_500;

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork network;
  final SimState state;
  final SimCloud cloud;
  final Checker checker;
  final Settings settings;
  final int nodes;
  private final Site site;
  private final Policy policy;
  private final Map<String, JobSpec> specs = new HashMap<>();
  private final List<SimClock.Process> processes = new ArrayList<>();
  private final List<Controller> controllers = new ArrayList<>();
  private final Map<String, Set<Long>> lostLaunches = new HashMap<>();
  private final Set<String> refusals = new HashSet<>();
  private final Deque<byte[]> keptReports = new ArrayDeque<>();
  private final Set<String> looked = new HashSet<>();
  private final Map<Integer, Integer> answers = new HashMap<>();
  private int jobCounter;
  private int unansweredWrites;
  private int lateDirects;
  private int directsToMute;
  private int oldReports;
  private double cancelAtEnd;
  private boolean closeLooks;
  private final InvalidRequests odd;
  private final Map<Integer, Long> carriedOut = new HashMap<>();
  private int overtakenWrites;
  private int copiesDelivered;

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

  /** From now on the state service refuses such requests of the node, or serves them again. */
  void refuse(int node, Refusal kind, boolean now) {
    if (now) {
      refusals.add(kind + "/" + node);
    } else {
      refusals.remove(kind + "/" + node);
    }
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
    List<String> zones = site.zones();
    int capacity = site.capacity();
    this.random = new Random(seed);
    this.site = site;
    this.nodes = site.nodes();
    this.settings = settings("n0", site);
    this.policy = site.policy();
    this.network = new SimNetwork(clock, random);
    this.state = new SimState(clock, site.state());
    this.checker = new Checker(clock, settings);
    this.odd = new InvalidRequests(this);
    state.whenATermBegins(this::deliverKeptReports);
    checker.whenALastTaskEnds(this::lastTaskEnded);
    List<MachineType> types =
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, zones),
            new MachineType("large", Resources.offered(16, 2, 64), 40, 1, 1.1, 0.4, 5, zones));
    this.cloud = new SimCloud(clock, random, types, capacity, site.cloud(), this::boot);
    for (int i = 0; i < nodes; i++) {
      processes.add(null);
      controllers.add(null);
      startNode(i);
    }
    look();
  }

  private void look() {
    checker.look();
    clock.at(1_000, this::look);
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
    SimClock.Process p =
        clock
        .new Process(
            random.nextInt(1_000_000),
            1 + (random.nextDouble() - 0.5) / 1000,
            random.nextInt(1000) - 500);
    processes.set(i, p);
    Controller c =
        new Controller(
            p,
            new StoreLine(i, p),
            new CloudLine(i, p),
            new DirectLine(i, p),
            new PeersLine(i),
            settings("n" + i, site),
            policy,
            new SplittableRandom(random.nextLong()));
    controllers.set(i, c);
    p.schedule(0, c::start);
  }

  /** The node that leads, or -1. */
  int leader() {
    for (int i = 0; i < nodes; i++) {
      if (alive(i) && controllers.get(i).leads()) {
        return i;
      }
    }
    return -1;
  }

  /** Does the node believe that it leads? Cut off, it may do so beside another one. */
  boolean leads(int i) {
    return alive(i) && controllers.get(i).leads();
  }

  /** Unanswered transactions that were carried out after newer ones of the same controller. */
  int overtakenWrites() {
    return overtakenWrites;
  }

  /** How many reports came again, to every controller. */
  int copiesDelivered() {
    return copiesDelivered;
  }

  /** How many terms there have been. */
  long terms() {
    return (state.highestToken() + Term.SPAN - 1) / Term.SPAN;
  }

  boolean ready(int i) {
    return alive(i) && controllers.get(i).ready();
  }

  /** What the node answers to a question about the job, put to it at this moment. */
  void ask(int i, String uid, Consumer<Answer> then) {
    controllers.get(i).poll(uid, then);
  }

  /** Does the node's replica show the job as cancelled? Asking changes nothing there. */
  boolean knowsCancelled(int i, String uid) {
    String[] text = {""};
    controllers.get(i).jobStatus(uid, a -> text[0] = new String(a.body(), StandardCharsets.UTF_8));
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
      network.hold(node(node), node(i), now);
    }
    if (mode == CutMode.HOLD) {
      network.hold(node(node), STATE, now);
    } else {
      for (Refusal kind : Refusal.values()) {
        refuse(node, kind, now);
      }
    }
  }

  /**
   * Users cancel that many jobs that run, all within a fifth of a second, and up to eight of their
   * machines then hang: their stops wait there, and nothing of them may go on too late.
   *
   * @param hangMs how long the machines hang; 0: none does
   */
  void cancelNow(int count, long hangMs) {
    List<String> running = new ArrayList<>(checker.running());
    Collections.shuffle(running, random);
    Set<String> hosts = new LinkedHashSet<>();
    for (String uid : running.subList(0, Math.min(count, running.size()))) {
      hosts.addAll(checker.hostsOf(uid));
      clock.at(random.nextInt(200), () -> cancel(uid, 0));
    }
    if (hangMs > 0) {
      cloud.workers().stream()
          .filter(w -> hosts.contains(w.host()))
          .limit(8)
          .forEach(w -> clock.at(random.nextInt(200), () -> w.hang(hangMs)));
    }
  }

  /**
   * That share of the jobs is cancelled just as the last task ends, or while that is being
   * recorded: done and cancelled exclude each other, whichever comes first.
   */
  void cancelAtEnd(double share) {
    cancelAtEnd = share;
  }

  /**
   * From now on users ask at every node within milliseconds after a job was accepted, ended or was
   * confirmed as cancelled, and repeat the submission, and some cancel: no node may lag behind
   * another's word.
   */
  void closeLooks(boolean now) {
    closeLooks = now;
  }

  /** From now on users send what is late, needless or wrong, to all nodes. */
  void oddRequests(boolean now) {
    odd.play(now);
  }

  private void lastTaskEnded(String uid) {
    if (cancelAtEnd > 0 && random.nextDouble() < cancelAtEnd) {
      clock.at(random.nextBoolean() ? 0 : random.nextInt(2_500), () -> cancel(uid, 0));
    }
    lookClosely(uid, "ended");
  }

  /** Once for each thing that happens to a job; what these users hear makes nobody look again. */
  private void lookClosely(String uid, String why) {
    if (!closeLooks || !specs.containsKey(uid) || !looked.add(uid + " " + why)) {
      return;
    }
    for (int i = 0; i < nodes; i++) {
      int to = i;
      for (int again = 0; again < 3; again++) {
        clock.at(random.nextInt(12), () -> askAt(to, uid));
      }
      clock.at(random.nextInt(12), () -> submitAt(to, uid, encode(specs.get(uid))));
    }
    if (random.nextInt(6) == 0) {
      clock.at(random.nextInt(12), () -> cancel(uid, 0));
    }
  }

  /** A single question at the node; whatever comes back is checked. */
  void askAt(int node, String uid) {
    toNode(node, c -> c.poll(uid, heard(uid, false, node, a -> {})));
  }

  /** A single submission at the node; whatever comes back is checked. */
  void submitAt(int node, String uid, byte[] body) {
    Consumer<Answer> then = heard(uid, true, node, a -> {});
    toNode(node, c -> c.submit(body, then));
  }

  /** A single cancellation at the node; whatever comes back is checked. */
  void cancelAt(int node, String uid) {
    cancelAt(node, uid, a -> {});
  }

  /** The same for a user who does something with the answer. */
  void cancelAt(int node, String uid, Consumer<Answer> heard) {
    Consumer<Answer> then = heard(uid, false, node, heard);
    toNode(node, c -> c.withdraw(uid, then));
  }

  JobSpec spec(String uid) {
    return specs.get(uid);
  }

  private static String node(int i) {
    return "n" + i;
  }

  // ---- lines from nodes to the outside

  /** Sends a request over the network; whatever goes wrong ends in {@code none} at the timeout. */
  private <T> void ask(
      int i,
      SimClock.Process p,
      String target,
      long timeoutMs,
      Consumer<Consumer<T>> execute,
      T none,
      Consumer<T> then) {
    boolean[] over = {false};
    Consumer<T> once =
        t -> {
          if (!over[0]) {
            over[0] = true;
            p.schedule(0, () -> then.accept(t));
          }
        };
    clock.at(timeoutMs, () -> once.accept(none));
    network.request(
        node(i),
        target,
        () -> execute.accept(result -> network.answer(target, node(i), () -> once.accept(result))),
        () -> {});
  }

  private final class StoreLine implements StateStore {
    private final int i;
    private final SimClock.Process p;

    StoreLine(int i, SimClock.Process p) {
      this.i = i;
      this.p = p;
    }

    private <T> void call(Refusal kind, Supplier<T> execute, T refused, T none, Consumer<T> then) {
      ask(
          i,
          p,
          STATE,
          STATE_TIMEOUT_MS,
          reply -> reply.accept(serves(kind) ? execute.get() : refused),
          none,
          then);
    }

    private boolean serves(Refusal kind) {
      return state.serves() && !refusals.contains(kind + "/" + i);
    }

    /** Nobody hears what becomes of it. */
    private void executeUnanswered(Txn txn, long delayMs, Consumer<TxnResult> then) {
      long before = carriedOut.getOrDefault(i, 0L);
      clock.at(
          delayMs,
          () -> {
            if (serves(Refusal.WRITES)) {
              overtakenWrites += carriedOut.getOrDefault(i, 0L) > before ? 1 : 0;
              unansweredWrites += state.txn(txn) instanceof TxnResult.Committed ? 1 : 0;
            }
          });
      clock.at(STATE_TIMEOUT_MS, () -> p.schedule(0, () -> then.accept(new TxnResult.Unknown())));
    }

    @Override
    public void txn(Txn txn, Consumer<TxnResult> then) {
      SimNetwork.WriteFate fate = network.writeFate();
      if (fate != SimNetwork.WriteFate.ANSWERED && network.reaches(node(i), STATE)) {
        boolean late = fate == SimNetwork.WriteFate.LATE;
        executeUnanswered(txn, late ? 2_000 + random.nextInt(10_000) : 1, then);
        return;
      }
      call(
          Refusal.WRITES,
          () -> {
            TxnResult result = state.txn(txn);
            if (result instanceof TxnResult.Committed) {
              carriedOut.merge(i, 1L, Long::sum);
            }
            return result;
          },
          new TxnResult.Refused(503),
          new TxnResult.Unknown(),
          then);
    }

    @Override
    public void page(String prefix, String after, int size, Consumer<PageResult> then) {
      PageResult failed = new PageResult.Failed();
      // Small pages where there is little to read, so that changes come between them.
      int page = site.capacity() < 100 ? Math.min(size, 7) : size;
      call(Refusal.READS, () -> state.page(prefix, after, page), failed, failed, then);
    }

    @Override
    public void changesAfter(String prefix, long ledger, Consumer<News> then) {
      News failed = new News.Failed();
      call(Refusal.READS, () -> state.changesAfter(prefix, ledger), failed, failed, then);
    }

    @Override
    public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
      Optional<Long> none = Optional.empty();
      call(Refusal.HOLDS, () -> Optional.of(state.openLease(ttlMs)), none, none, then);
    }

    @Override
    public void renewLease(long hold, Consumer<Renewal> then) {
      call(Refusal.HOLDS, () -> state.renew(hold), Renewal.FAILED, Renewal.FAILED, then);
    }

    @Override
    public void closeLease(long hold) {
      network.request(node(i), STATE, () -> state.endHold(hold), () -> {});
    }
  }

  private final class CloudLine implements CloudApi {
    private final int i;
    private final SimClock.Process p;

    CloudLine(int i, SimClock.Process p) {
      this.i = i;
      this.p = p;
    }

    private <T> void call(Supplier<T> execute, T refused, T none, Consumer<T> then) {
      ask(
          i,
          p,
          CLOUD,
          CLOUD_TIMEOUT_MS,
          reply -> reply.accept(cloud.serves() ? execute.get() : refused),
          none,
          then);
    }

    @Override
    public void types(Consumer<Optional<List<MachineType>>> then) {
      call(() -> Optional.of(cloud.types()), Optional.empty(), Optional.empty(), then);
    }

    @Override
    public void rent(
        String claim,
        String type,
        String zone,
        boolean spot,
        int count,
        Consumer<RentResult> then) {
      call(
          () -> cloud.rent(claim, type, zone, spot, count),
          new RentResult.Refused(),
          new RentResult.Unknown(),
          then);
    }

    @Override
    public void release(List<String> hosts, Consumer<Boolean> then) {
      call(
          () -> {
            cloud.release(hosts);
            return true;
          },
          false,
          false,
          then);
    }

    @Override
    public void hosts(String after, Consumer<Optional<HostPage>> then) {
      call(() -> Optional.of(cloud.list(after)), Optional.empty(), Optional.empty(), then);
    }
  }

  /** Direct commands: executed once, late, twice, or never, as the network has it. */
  private final class DirectLine implements WorkerClient {
    private final int i;
    private final SimClock.Process p;

    DirectLine(int i, SimClock.Process p) {
      this.i = i;
      this.p = p;
    }

    @Override
    public void order(
        String address,
        long token,
        long tenure,
        List<Order> orders,
        Consumer<Optional<Report>> then) {
      long orderedMs = clock.nowMs();
      long heldMs = network.commandHeldMs();
      Optional<SimWorker> to =
          cloud.workers().stream().filter(w -> w.address().equals(address)).findFirst();
      if (to.isEmpty()) {
        p.schedule(DIRECT_TIMEOUT_MS, () -> then.accept(Optional.empty()));
        return;
      }
      ask(
          i,
          p,
          to.get().host(),
          DIRECT_TIMEOUT_MS,
          reply ->
              clock.at(heldMs, () -> direct(to.get(), token, tenure, orders, orderedMs, reply)),
          Optional.<Report>empty(),
          then);
      if (random.nextInt(6) == 0) {
        // A copy of what was carried out comes late.
        clock.at(
            500 + random.nextInt(40_000),
            () -> {
              if (network.hears(to.get().host())) {
                to.get().direct(token, tenure, orders, orderedMs, r -> {});
              }
            });
      }
    }
  }

  private void direct(
      SimWorker to,
      long token,
      long tenure,
      List<Order> orders,
      long orderedMs,
      Consumer<Optional<Report>> then) {
    to.direct(
        token,
        tenure,
        orders,
        orderedMs,
        report -> {
          lateDirects += !orders.isEmpty() && clock.nowMs() - orderedMs > DIRECT_TIMEOUT_MS ? 1 : 0;
          directsToMute += orders.isEmpty() || network.speaks(to.host()) ? 0 : 1;
          then.accept(Optional.of(report));
        });
  }

  /** Hints between controllers: each may be lost. */
  private final class PeersLine implements Peers {
    private final int i;

    PeersLine(int i) {
      this.i = i;
    }

    @Override
    public void tell(String member, PeerRecord record) {
      int to = Integer.parseInt(member.substring(1));
      if (to != i && !network.losesHint()) {
        network.request(
            node(i),
            member,
            () -> {
              if (alive(to)) {
                controllers.get(to).heard(record);
              }
            },
            () -> {});
      }
    }

    @Override
    public void tellAll(PeerRecord record) {
      for (int to = 0; to < nodes; to++) {
        tell(node(to), record);
      }
    }
  }

  // ---- workers

  private SimWorker boot(Checker.Place place) {
    SimWorker worker =
        new SimWorker(
            clock,
            random,
            settings.workers(),
            checker,
            place,
            specs,
            this::report,
            nodes,
            place.type().equals("small") ? 4 : 16);
    cloud.types().stream()
        .filter(t -> t.name().equals(place.type()))
        .forEach(t -> checker.machineUp(place, t.size(), () -> isReached(worker)));
    return worker;
  }

  private boolean isReached(SimWorker w) {
    return w.sound() && network.hears(w.host()) && network.speaks(w.host());
  }

  private void report(SimWorker from, int to, Report report, long serial) {
    byte[] body = encode(report);
    if (network.speaks(from.host())) {
      repeat(body);
    }
    if (network.copied()) {
      // From a moment to well over a lease later, to whichever node the packets were held for.
      int late = random.nextInt(nodes);
      clock.at(
          200 + random.nextInt((int) (settings.workers().leaseS() * 4_000)),
          () -> {
            if (alive(late)) {
              controllers.get(late).checkin(body, answer -> {});
            }
          });
    }
    network.request(
        from.host(),
        node(to),
        () -> {
          if (!alive(to)) {
            clock.at(1, () -> from.refused(serial, -1));
            return;
          }
          SimClock.Process p = processes.get(to);
          // What comes while it stands still is read when it goes on.
          p.schedule(
              0,
              () ->
                  controllers
                      .get(to)
                      .checkin(
                          body,
                          answer -> {
                            long orderedMs = clock.nowMs();
                            countLost(from.host(), answer);
                            if (!p.dead()) {
                              network.answer(
                                  node(to),
                                  from.host(),
                                  () -> answered(from, serial, answer, orderedMs));
                            }
                          }));
        },
        () -> {});
  }

  /** Of some reports a copy comes again; to whom it was on its way, and to all others. */
  private void repeat(byte[] body) {
    switch (network.reportFate()) {
      case ONCE -> {}
      case AGAIN ->
          clock.at(
              2_000 + random.nextInt((int) (settings.workers().leaseS() * 4_000)),
              () -> toEveryController(body));
      case FOR_NEXT -> {
        keptReports.add(body);
        if (keptReports.size() > MOST_KEPT) {
          keptReports.remove();
        }
      }
    }
  }

  /** Some just before the new leader knows that it leads, some just after. */
  private void deliverKeptReports() {
    List<byte[]> kept = List.copyOf(keptReports);
    keptReports.clear();
    kept.forEach(body -> clock.at(random.nextInt(50), () -> toEveryController(body)));
  }

  private void toEveryController(byte[] body) {
    copiesDelivered++;
    for (int i = 0; i < nodes; i++) {
      Controller c = controllers.get(i);
      processes
          .get(i)
          .schedule(
              0,
              () -> {
                oldReports += c.leads() ? 1 : 0;
                c.checkin(body, answer -> {});
              });
    }
  }

  private void countLost(String host, Answer answer) {
    if (!network.hears(host)) {
      for (JsonNode o : Cbor.readMap(answer.body()).orElse(Cbor.map()).path("orders")) {
        if (o.path("verb").asText().equals("launch")) {
          lostLaunches.computeIfAbsent(host, h -> new HashSet<>()).add(o.path("try").asLong());
        }
      }
    }
  }

  /** How many attempts were ordered from a machine while it could not hear. */
  int launchesLostTo(String host) {
    return lostLaunches.getOrDefault(host, Set.of()).size();
  }

  private void answered(SimWorker to, long serial, Answer answer, long orderedMs) {
    ObjectNode body = Cbor.readMap(answer.body()).orElse(Cbor.map());
    if (answer.status() == 200) {
      List<Order> orders = new ArrayList<>();
      for (JsonNode o : body.path("orders")) {
        String piece = o.path("piece").asText();
        String uid = piece.substring(0, piece.lastIndexOf('/'));
        int task = Integer.parseInt(piece.substring(piece.lastIndexOf('/') + 1));
        long attempt = o.path("try").asLong();
        orders.add(
            switch (o.path("verb").asText()) {
              case "launch" -> new Order.Launch(uid, task, attempt);
              case "stop" -> new Order.Stop(uid, task, attempt, o.path("wind_down_s").asDouble());
              default -> new Order.Forget(uid, task, attempt);
            });
      }
      to.answered(serial, body.path("warrant").asLong(), orders, orderedMs);
    } else {
      String name = body.path("steward").asText("n-1");
      to.refused(serial, answer.status() == 421 ? Integer.parseInt(name.substring(1)) : -1);
    }
  }

  private static byte[] encode(Report r) {
    ObjectNode b = Cbor.map();
    b.put("host", r.host()).put("addr", r.address()).put("flavour", r.type());
    b.put("site", r.zone()).put("loaners", r.spot());
    b.put("tenure", r.tenure()).put("tally", r.tally()).put("warrant", r.warrant());
    r.recallS().ifPresent(s -> b.put("recall_s", s));
    ArrayNode pieces = b.putArray("pieces");
    for (Report.Item i : r.items()) {
      ObjectNode p = pieces.addObject();
      p.put("piece", i.uid() + "/" + i.task()).put("try", i.attempt());
      p.put("status", i.phase().name().toLowerCase(Locale.ROOT));
      if (i.cause() != Report.Cause.NONE) {
        p.put("cause", i.cause().name().toLowerCase(Locale.ROOT));
      }
      p.put("stored", i.saved());
    }
    return Cbor.write(b);
  }

  /** How many transactions stand whose answers were lost. */
  int unansweredWrites() {
    return unansweredWrites;
  }

  /** How many direct launches reached their machine after their sender had given up. */
  int lateDirects() {
    return lateDirects;
  }

  /** How many direct launches reached machines that reach no controller. */
  int directsToMute() {
    return directsToMute;
  }

  /** How many old reports came to a controller that led. */
  int oldReports() {
    return oldReports;
  }

  /** How often users were answered with this status. */
  int answers(int status) {
    return answers.getOrDefault(status, 0);
  }

  /** From now on all that was broken works again; what users ask is to be answered. */
  void troublesAreOver() {
    checker.troublesAreOver();
  }

  // ---- users

  String newUid() {
    return String.format(Locale.ROOT, "run-%06d", jobCounter++);
  }

  /** A user who submits until an answer is final, then polls until the job is over. */
  void user(JobSpec spec) {
    checker.submitted(spec);
    specs.put(spec.uid(), spec);
    submit(spec, 0);
  }

  private int anyNode() {
    return random.nextInt(nodes);
  }

  private void toNode(int i, Consumer<Controller> request) {
    if (alive(i)) {
      SimClock.Process p = processes.get(i);
      clock.at(
          1 + random.nextInt(5),
          () -> {
            if (!p.dead()) {
              p.schedule(0, () -> request.accept(controllers.get(i)));
            }
          });
    }
  }

  private Consumer<Answer> heard(String uid, boolean submission, int from, Consumer<Answer> then) {
    SimClock.Process p = processes.get(from);
    long askedMs = clock.nowMs();
    return a -> {
      if (!p.dead()) {
        String status = Cbor.readMap(a.body()).orElse(Cbor.map()).path("status").asText("");
        checker.told(uid, a.status(), status, submission, askedMs);
        answers.merge(a.status(), 1, Integer::sum);
        then.accept(a);
        if (a.status() == 200 || a.status() == 201) {
          lookClosely(uid, status.equals("running") ? "queued" : status);
        }
      }
    };
  }

  private void submit(JobSpec spec, int tries) {
    boolean[] accepted = {false};
    int to = anyNode();
    toNode(
        to,
        c ->
            c.submit(
                encode(spec),
                heard(
                    spec.uid(),
                    true,
                    to,
                    a -> {
                      checker.submissionTold(spec.uid(), a.status());
                      if (a.status() == 200 || a.status() == 201) {
                        accepted[0] = true;
                        clock.at(1_000, () -> poll(spec.uid()));
                      }
                    })));
    clock.at(
        2_000 + random.nextInt(2_000),
        () -> {
          if (!accepted[0] && tries < 40) {
            submit(spec, tries + 1);
          } else if (random.nextInt(6) == 0) {
            submit(spec, 100);
          }
        });
  }

  void poll(String uid) {
    checker.asked(uid);
    int to = anyNode();
    boolean[] over = {false};
    toNode(
        to,
        c ->
            c.poll(
                uid,
                heard(
                    uid,
                    false,
                    to,
                    a -> {
                      String s = Cbor.readMap(a.body()).orElse(Cbor.map()).path("status").asText();
                      over[0] = s.equals("done") || s.equals("aborted");
                    })));
    clock.at(
        2_500 + random.nextInt(2_500),
        () -> {
          if (!over[0] || random.nextInt(4) > 0) {
            poll(uid);
          }
        });
  }

  void cancel(String uid, int tries) {
    checker.cancelAsked(uid);
    int to = anyNode();
    boolean[] told = {false};
    toNode(to, c -> c.withdraw(uid, heard(uid, false, to, a -> told[0] = a.status() == 200)));
    clock.at(
        2_500,
        () -> {
          if (!told[0] && tries < 30) {
            cancel(uid, tries + 1);
          }
        });
  }

  static byte[] encode(JobSpec s) {
    ObjectNode b = Cbor.map();
    b.put("uid", s.uid()).put("jobclass", s.jobClass()).put("owner", s.team());
    b.put("shape", s.expectedS() > 0 ? "batch" : "daemon");
    b.put("urgency", s.urgency().name().toLowerCase(Locale.ROOT)).put("pieces", s.tasks());
    b.put("cores", s.cores()).put("accelerators", s.accelerators()).put("mem_gb", s.memoryGb());
    s.types().ifPresent(t -> t.forEach(b.putArray("flavours")::add));
    s.zone().ifPresent(z -> b.put("site", z));
    b.put("one_zone", s.oneZone()).put("apart", s.apart()).put("loaners", s.spot());
    b.put("bundle", s.image()).put("image_gb", s.imageGb()).put("expected_s", s.expectedS());
    b.put("save_every_s", s.saveEveryS()).put("save_cost_s", s.saveCostS());
    s.dueS().ifPresent(d -> b.put("due_s", d));
    if (!s.dependencies().isEmpty()) {
      s.dependencies().forEach(b.putArray("awaits")::add);
    }
    return Cbor.write(b);
  }
}
