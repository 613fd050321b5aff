package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.settings.Settings;

/** Stand-in for a worker, by the protocol: sessions, leases, tokens, and one report in flight. */
final class SimWorker {
  /** Jobs of this class were submitted with a mistake: they fail on every machine. */
  static final String BROKEN = "broken";

  /** How a worker gets a report to a node; the answer may never come. */
  interface Line {
    void report(SimWorker from, int node, Heartbeat report, long serial);
  }

  private static final long ANSWER_LIMIT_MS = 4_000;

  private final SimClock clock;
  private final Random random;
  private final Settings.WorkerLimits limits;
  private final InvariantChecker checker;
  private final InvariantChecker.Place place;
  private final Map<String, JobSpec> specs;
  private final Line line;
  private final int nodes;
  private final double cores;
  private final Map<Long, SimAttempt> runs = new LinkedHashMap<>();
  private final SimPause pause;
  private int node;
  private long agentEpoch = 1;
  private long sequence;
  private long fencingToken;
  private long leaseFromMs;
  private long serial;
  private long inFlight = -1;
  private long inFlightAgentEpoch;
  private long inFlightSentMs;
  private boolean gone;
  private boolean sick;
  private boolean recalled;

  SimWorker(
      SimClock clock,
      Random random,
      Settings.WorkerLimits limits,
      InvariantChecker checker,
      InvariantChecker.Place place,
      Map<String, JobSpec> specs,
      Line line,
      int nodes,
      double cores) {
    this.clock = clock;
    this.random = random;
    this.limits = limits;
    this.checker = checker;
    this.place = place;
    this.specs = specs;
    this.line = line;
    this.nodes = nodes;
    this.cores = cores;
    this.pause = new SimPause(clock);
    this.node = random.nextInt(nodes);
    this.leaseFromMs = clock.nowMs();
    next(0);
    watchLease();
  }

  String host() {
    return place.host();
  }

  String zone() {
    return place.zone();
  }

  /** Its sessions so far: one more with each lease that ran out. */
  long agentEpoch() {
    return agentEpoch;
  }

  void sick(boolean now) {
    sick = now;
  }

  void recall() {
    recalled = true;
  }

  /** The machine is gone, with all on it. */
  void end() {
    gone = true;
    killAll();
  }

  /** Is there an attempt on it that has not ended, and its lease not over? */
  boolean hasTasks() {
    return !gone
        && !leaseIsOver()
        && runs.values().stream().anyMatch(run -> run.phase != Heartbeat.Phase.EXITED);
  }

  boolean gone() {
    return gone;
  }

  InvariantChecker.Place place() {
    return place;
  }

  String address() {
    return place.host() + ":9000";
  }

  /** Neither sick nor about to be taken, and it goes on: what is asked of it, it can do. */
  boolean sound() {
    return !gone && !sick && !recalled && !pause.isOn();
  }

  /**
   * The machine stands still: its tasks do not progress, it reports nothing, and what reaches it
   * waits. It may go on at any time within its lease, and then do what it was told before others
   * were told otherwise.
   */
  void hang(long forMs) {
    if (!gone) {
      pause.begin(forMs, this::goOn);
    }
  }

  /** First of all that waited: a lease that ran out meanwhile ends everything. */
  private void goOn() {
    if (gone || pause.isOn()) {
      return;
    }
    checkLease();
    for (SimAttempt r : runs.values()) {
      if (r.isOn()) {
        checker.goesOn(r.uid, r.task, place);
      }
    }
  }

  /** Commands that come straight here; the answer is the report after them. */
  void direct(
      long token,
      long ofTenure,
      List<WorkerCommand> orders,
      long orderedMs,
      Consumer<Heartbeat> then) {
    pause.whenOver(
        () -> {
          if (gone) {
            return;
          }
          if (token >= fencingToken && ofTenure == agentEpoch) {
            fencingToken = token;
            orders.forEach(o -> execute(o, orderedMs));
          }
          then.accept(report());
        });
  }

  private void killAll() {
    for (SimAttempt r : runs.values()) {
      leave(r);
    }
    runs.clear();
  }

  private void leave(SimAttempt r) {
    if (r.isOn()) {
      checker.leaves(r.uid, r.task, place);
    }
  }

  private void watchLease() {
    clock.at(
        100,
        () -> {
          if (gone) {
            return;
          }
          if (!pause.isOn()) {
            checkLease();
          } else if (leaseIsOver()) {
            // It can't go on with them: from now on they may run elsewhere.
            runs.values().forEach(this::leave);
          }
          watchLease();
        });
  }

  private boolean leaseIsOver() {
    return clock.nowMs() - leaseFromMs > limits.leaseS() * 1000;
  }

  private void checkLease() {
    if (leaseIsOver()) {
      killAll();
      agentEpoch++;
      sequence = 0;
      leaseFromMs = clock.nowMs();
    }
  }

  private void next(long delayMs) {
    clock.at(delayMs, this::send);
  }

  private void send() {
    if (pause.isOn()) {
      pause.whenOver(this::send);
      return;
    }
    if (gone || inFlight >= 0) {
      return;
    }
    long mine = ++serial;
    inFlight = mine;
    inFlightAgentEpoch = agentEpoch;
    inFlightSentMs = clock.nowMs();
    line.report(this, node, report(), mine);
    clock.at(ANSWER_LIMIT_MS, () -> pause.whenOver(() -> failed(mine)));
  }

  private Heartbeat report() {
    sequence++;
    List<Heartbeat.TaskStatus> items = new ArrayList<>();
    for (SimAttempt r : runs.values()) {
      items.add(new Heartbeat.TaskStatus(r.uid, r.task, r.attempt, r.phase, r.cause, r.saved));
    }
    return new Heartbeat(
        place.host(),
        address(),
        place.type(),
        place.zone(),
        place.spot(),
        agentEpoch,
        sequence,
        fencingToken,
        recalled ? OptionalDouble.of(8) : OptionalDouble.empty(),
        items);
  }

  private void failed(long mine) {
    if (inFlight == mine) {
      inFlight = -1;
      node = (node + 1) % nodes;
      next(1_000);
    }
  }

  void refused(long mine, int toNode) {
    pause.whenOver(() -> takeRefusal(mine, toNode));
  }

  private void takeRefusal(long mine, int toNode) {
    if (inFlight != mine || gone) {
      return;
    }
    inFlight = -1;
    if (toNode >= 0 && toNode != node) {
      node = toNode;
      next(random.nextInt(500));
    } else {
      node = (node + 1) % nodes;
      next(1_000);
    }
  }

  /**
   * @param orderedMs when the controller gave the orders
   */
  void answered(long mine, long token, List<WorkerCommand> orders, long orderedMs) {
    pause.whenOver(() -> takeAnswer(mine, token, orders, orderedMs));
  }

  private void takeAnswer(long mine, long token, List<WorkerCommand> orders, long orderedMs) {
    if (inFlight != mine || gone) {
      return;
    }
    if (clock.nowMs() - inFlightSentMs > ANSWER_LIMIT_MS) {
      failed(mine);
      return;
    }
    inFlight = -1;
    next(Math.round(limits.heartbeatIntervalS() * 1000 * (0.75 + random.nextDouble() / 2)));
    if (inFlightAgentEpoch != agentEpoch || token < fencingToken) {
      return;
    }
    fencingToken = token;
    leaseFromMs = inFlightSentMs;
    orders.forEach(o -> execute(o, orderedMs));
  }

  private void execute(WorkerCommand order, long orderedMs) {
    SimAttempt known = runs.get(order.attempt());
    if (order instanceof WorkerCommand.Launch launch) {
      if (known == null) {
        launch(launch, orderedMs);
      }
    } else if (order instanceof WorkerCommand.Stop stop) {
      if (known != null && known.phase != Heartbeat.Phase.EXITED) {
        stop(known, stop.gracePeriodS());
      }
    } else if (known != null && known.phase == Heartbeat.Phase.EXITED) {
      runs.remove(order.attempt());
    }
  }

  private void launch(WorkerCommand.Launch o, long orderedMs) {
    SimAttempt r = new SimAttempt(o.uid(), o.task(), o.attempt(), orderedMs);
    JobSpec spec = specs.get(o.uid());
    boolean busy =
        runs.values().stream()
            .anyMatch(
                x -> x.uid.equals(r.uid) && x.task == r.task && x.phase != Heartbeat.Phase.EXITED);
    double used =
        runs.values().stream()
            .filter(x -> x.phase != Heartbeat.Phase.EXITED)
            .mapToDouble(x -> specs.get(x.uid).cores())
            .sum();
    runs.put(r.attempt, r);
    if (spec == null) {
      exit(r, Heartbeat.ExitReason.NO_SUCH);
    } else if (busy) {
      exit(r, Heartbeat.ExitReason.BUSY);
    } else if (used + spec.cores() > cores + 1e-9) {
      exit(r, Heartbeat.ExitReason.NO_ROOM);
    } else {
      pause.afterWork(200 + random.nextInt(1_500), () -> begin(r, spec));
    }
  }

  private boolean there(SimAttempt r) {
    return !gone && runs.get(r.attempt) == r;
  }

  private void begin(SimAttempt r, JobSpec spec) {
    if (!there(r) || r.phase != Heartbeat.Phase.FETCHING) {
      return;
    }
    r.phase = Heartbeat.Phase.RUNNING;
    checker.starts(r.uid, r.task, place, r.orderedMs);
    if (sick || spec.jobClass().equals(BROKEN)) {
      pause.afterWork(sick ? 300 : 20, () -> end(r, Heartbeat.ExitReason.ERROR));
    } else if (spec.expectedS() > 0) {
      pause.afterWork(Math.round(spec.expectedS() * 1000), () -> end(r, Heartbeat.ExitReason.DONE));
    }
  }

  private void end(SimAttempt r, Heartbeat.ExitReason cause) {
    if (there(r) && r.phase == Heartbeat.Phase.RUNNING) {
      if (cause == Heartbeat.ExitReason.DONE) {
        checker.completes(r.uid, r.task);
      }
      exit(r, cause);
    }
  }

  private void exit(SimAttempt r, Heartbeat.ExitReason cause) {
    leave(r);
    r.phase = Heartbeat.Phase.EXITED;
    r.cause = cause;
  }

  private void stop(SimAttempt r, double windDownS) {
    JobSpec spec = specs.get(r.uid);
    if (r.phase == Heartbeat.Phase.RUNNING
        && spec.isCheckpointed()
        && windDownS >= spec.checkpointCostS()) {
      r.phase = Heartbeat.Phase.CHECKPOINTING;
      pause.afterWork(
          Math.round(spec.checkpointCostS() * 1000),
          () -> {
            if (there(r) && r.phase == Heartbeat.Phase.CHECKPOINTING) {
              r.saved = true;
              exit(r, Heartbeat.ExitReason.STOPPED);
            }
          });
    } else if (r.phase != Heartbeat.Phase.CHECKPOINTING || windDownS == 0) {
      exit(r, Heartbeat.ExitReason.STOPPED);
    }
  }
}
