package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.controller.Controller;

/** Reports on their way from workers to controllers: once, late, or again, and their answers. */
final class SimHeartbeatDelivery {
  private static final int MOST_KEPT = 400;
  private static final int COPY_LEAST_MS = 200;
  private static final int REPEATED_LEAST_MS = 2_000;

  /** Kept reports reach a new leader just before or just after it knows that it leads. */
  private static final int AROUND_TERM_BEGIN_MS = 50;

  /** Well over a lease, for each second of it. */
  private static final double LATE_MS_PER_LEASE_S = 4_000;

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int NO_NODE = -1;

  private final SimulatedCluster cluster;
  private final Random random;
  private final Deque<byte[]> keptReports = new ArrayDeque<>();
  private final Map<String, Set<Long>> lostLaunches = new HashMap<>();
  private final Histogram reportNanos = new Histogram(2);
  private int copiesDelivered;
  private int copiesToLeader;

  SimHeartbeatDelivery(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.random = cluster.random;
  }

  /** How many reports came again, to every controller. */
  int copiesDelivered() {
    return copiesDelivered;
  }

  /** How many old reports came to a controller that led. */
  int copiesToLeader() {
    return copiesToLeader;
  }

  /** How many attempts were ordered from a machine while it could not hear. */
  int launchesLostTo(String host) {
    return lostLaunches.getOrDefault(host, Set.of()).size();
  }

  private int lateSpreadMs() {
    return (int) (cluster.settings.workers().leaseS() * LATE_MS_PER_LEASE_S);
  }

  void send(SimWorker from, int to, Heartbeat report, long serial) {
    byte[] body = SimWireCodec.encode(report);
    if (cluster.network.speaks(from.host())) {
      repeat(body);
    }
    if (cluster.network.copied()) {
      deliverCopyLate(body);
    }
    cluster.network.request(
        from.host(),
        SimLink.nodeName(to),
        () -> {
          if (cluster.alive(to)) {
            handOver(from, to, body, serial);
          } else {
            cluster.clock.at(1, () -> from.refused(serial, NO_NODE));
          }
        },
        () -> {});
  }

  /** From a moment to well over a lease later, to whichever node the packets were held for. */
  private void deliverCopyLate(byte[] body) {
    int node = random.nextInt(cluster.nodes);
    cluster.clock.at(
        COPY_LEAST_MS + random.nextInt(lateSpreadMs()),
        () -> {
          if (cluster.alive(node)) {
            cluster.controller(node).heartbeat(body, answer -> {});
          }
        });
  }

  /** What comes while the process stands still is read when it goes on. */
  private void handOver(SimWorker from, int to, byte[] body, long serial) {
    SimClock.Process process = cluster.process(to);
    process.schedule(
        0,
        () ->
            timed(
                cluster.controller(to),
                body,
                answer -> {
                  long orderedMs = cluster.clock.nowMs();
                  countLost(from.host(), answer);
                  if (!process.dead()) {
                    cluster.network.answer(
                        SimLink.nodeName(to),
                        from.host(),
                        () -> answered(from, serial, answer, orderedMs));
                  }
                }));
  }

  private void timed(Controller controller, byte[] body, Consumer<ApiResponse> then) {
    long beganNanos = System.nanoTime();
    controller.heartbeat(body, then);
    reportNanos.recordValue(System.nanoTime() - beganNanos);
  }

  /** How long controllers took for reports on this machine: a measurement, of no effect. */
  Histogram reportNanos() {
    return reportNanos;
  }

  /** Of some reports a copy comes again; to whom it was on its way, and to all others. */
  private void repeat(byte[] body) {
    switch (cluster.network.reportFate()) {
      case ONCE -> {}
      case AGAIN ->
          cluster.clock.at(
              REPEATED_LEAST_MS + random.nextInt(lateSpreadMs()), () -> toEveryController(body));
      case FOR_NEXT -> {
        keptReports.add(body);
        if (keptReports.size() > MOST_KEPT) {
          keptReports.remove();
        }
      }
    }
  }

  /** Some just before the new leader knows that it leads, some just after. */
  void deliverKeptReports() {
    List<byte[]> kept = List.copyOf(keptReports);
    keptReports.clear();
    for (byte[] body : kept) {
      cluster.clock.at(random.nextInt(AROUND_TERM_BEGIN_MS), () -> toEveryController(body));
    }
  }

  private void toEveryController(byte[] body) {
    copiesDelivered++;
    for (int i = 0; i < cluster.nodes; i++) {
      var controller = cluster.controller(i);
      cluster
          .process(i)
          .schedule(
              0,
              () -> {
                copiesToLeader += controller.isLeading() ? 1 : 0;
                controller.heartbeat(body, answer -> {});
              });
    }
  }

  private void countLost(String host, ApiResponse answer) {
    if (cluster.network.hears(host)) {
      return;
    }
    for (WorkerCommand order : SimWireCodec.orders(SimWireCodec.body(answer))) {
      if (order instanceof WorkerCommand.Launch launch) {
        lostLaunches.computeIfAbsent(host, h -> new HashSet<>()).add(launch.attempt());
      }
    }
  }

  private static void answered(SimWorker to, long serial, ApiResponse answer, long orderedMs) {
    ObjectNode body = SimWireCodec.body(answer);
    if (answer.status() == OK) {
      to.answered(serial, body.path("warrant").asLong(), SimWireCodec.orders(body), orderedMs);
      return;
    }
    String name = body.path("steward").asText(SimLink.nodeName(NO_NODE));
    boolean redirected = answer.status() == MISDIRECTED;
    to.refused(serial, redirected ? Integer.parseInt(name.substring(1)) : NO_NODE);
  }
}
