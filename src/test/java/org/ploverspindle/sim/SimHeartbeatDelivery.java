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

/** Delivers heartbeats to controllers, once, late or repeatedly, and the responses to workers. */
final class SimHeartbeatDelivery {
  private static final int MAX_RETAINED = 400;
  private static final int MIN_COPY_DELAY_MS = 200;
  private static final int MIN_REPLAY_DELAY_MS = 2_000;

  /**
   * Retained heartbeats arrive within this time after the write that begins a term, that is,
   * shortly before or after the new leader learns of its term.
   */
  private static final int TERM_START_WINDOW_MS = 50;

  /** Random part of a copy's delay in milliseconds per second of the worker lease: four leases. */
  private static final double DELAY_RANGE_MS_PER_LEASE_S = 4_000;

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int NO_CONTROLLER = -1;

  private final SimulatedCluster cluster;
  private final Random random;
  private final Deque<byte[]> retainedHeartbeats = new ArrayDeque<>();
  private final Map<String, Set<Long>> undeliveredLaunches = new HashMap<>();
  private final Histogram handlingNanos = new Histogram(2);
  private int replaysDelivered;
  private int replaysToLeader;

  SimHeartbeatDelivery(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.random = cluster.random;
  }

  /** Number of heartbeats that were delivered again to every controller. */
  int replaysDelivered() {
    return replaysDelivered;
  }

  /** Number of repeated deliveries of heartbeats to a controller that was leading. */
  int replaysToLeader() {
    return replaysToLeader;
  }

  /** Number of attempts whose launch was sent to the machine while it could not receive. */
  int undeliveredLaunches(String host) {
    return undeliveredLaunches.getOrDefault(host, Set.of()).size();
  }

  private int delayRangeMs() {
    return (int) (cluster.settings.workers().leaseS() * DELAY_RANGE_MS_PER_LEASE_S);
  }

  void send(SimWorker worker, int controller, Heartbeat heartbeat, long requestId) {
    byte[] body = SimWireCodec.encode(heartbeat);
    if (cluster.network.sendsRequests(worker.host())) {
      scheduleReplay(body);
    }
    if (cluster.network.drawDelayedCopy()) {
      deliverDelayedCopy(body);
    }
    cluster.network.request(
        worker.host(),
        SimLink.controllerName(controller),
        () -> {
          if (cluster.isAlive(controller)) {
            deliver(worker, controller, body, requestId);
          } else {
            cluster.clock.after(1, () -> worker.handleRefusal(requestId, NO_CONTROLLER));
          }
        },
        () -> {});
  }

  /** Delivers a copy to a random controller, 0.2 s to about four worker leases later. */
  private void deliverDelayedCopy(byte[] body) {
    int controller = random.nextInt(cluster.controllerCount);
    cluster.clock.after(
        MIN_COPY_DELAY_MS + random.nextInt(delayRangeMs()),
        () -> {
          if (cluster.isAlive(controller)) {
            cluster.controller(controller).heartbeat(body, response -> {});
          }
        });
  }

  /** Delivers a heartbeat to a controller; a frozen process handles it when it resumes. */
  private void deliver(SimWorker worker, int controller, byte[] body, long requestId) {
    SimClock.Process process = cluster.process(controller);
    process.schedule(
        0,
        () ->
            handleTimed(
                cluster.controller(controller),
                body,
                response -> {
                  long sentMs = cluster.clock.nowMs();
                  countUndelivered(worker.host(), response);
                  if (!process.isDead()) {
                    cluster.network.respond(
                        SimLink.controllerName(controller),
                        worker.host(),
                        () -> deliverResponse(worker, requestId, response, sentMs));
                  }
                }));
  }

  private void handleTimed(Controller controller, byte[] body, Consumer<ApiResponse> then) {
    long startNanos = System.nanoTime();
    controller.heartbeat(body, then);
    handlingNanos.recordValue(System.nanoTime() - startNanos);
  }

  /**
   * Time in nanoseconds that controllers took to handle heartbeats on the host that runs the test.
   * It is only measured and does not influence the simulation.
   */
  Histogram handlingNanos() {
    return handlingNanos;
  }

  /** Draws whether a copy of the heartbeat is delivered again, to its addressee and all others. */
  private void scheduleReplay(byte[] body) {
    switch (cluster.network.drawReplay()) {
      case NONE -> {}
      case DELAYED ->
          cluster.clock.after(
              MIN_REPLAY_DELAY_MS + random.nextInt(delayRangeMs()), () -> replayToAll(body));
      case AT_NEXT_TERM -> {
        retainedHeartbeats.add(body);
        if (retainedHeartbeats.size() > MAX_RETAINED) {
          retainedHeartbeats.remove();
        }
      }
    }
  }

  /** Delivers the retained heartbeats to all controllers around the start of a term. */
  void deliverRetained() {
    List<byte[]> retained = List.copyOf(retainedHeartbeats);
    retainedHeartbeats.clear();
    for (byte[] body : retained) {
      cluster.clock.after(random.nextInt(TERM_START_WINDOW_MS), () -> replayToAll(body));
    }
  }

  private void replayToAll(byte[] body) {
    replaysDelivered++;
    for (int i = 0; i < cluster.controllerCount; i++) {
      var controller = cluster.controller(i);
      cluster
          .process(i)
          .schedule(
              0,
              () -> {
                replaysToLeader += controller.isLeading() ? 1 : 0;
                controller.heartbeat(body, response -> {});
              });
    }
  }

  private void countUndelivered(String host, ApiResponse response) {
    if (cluster.network.receives(host)) {
      return;
    }
    for (WorkerCommand command : SimWireCodec.commands(SimWireCodec.body(response))) {
      if (command instanceof WorkerCommand.Launch launch) {
        undeliveredLaunches.computeIfAbsent(host, key -> new HashSet<>()).add(launch.attempt());
      }
    }
  }

  private static void deliverResponse(
      SimWorker worker, long requestId, ApiResponse response, long sentMs) {
    ObjectNode body = SimWireCodec.body(response);
    if (response.status() == OK) {
      worker.handleResponse(
          requestId, body.path("warrant").asLong(), SimWireCodec.commands(body), sentMs);
      return;
    }
    String leader = body.path("steward").asText(SimLink.controllerName(NO_CONTROLLER));
    boolean isRedirect = response.status() == MISDIRECTED;
    worker.handleRefusal(
        requestId, isRedirect ? Integer.parseInt(leader.substring(1)) : NO_CONTROLLER);
  }
}
