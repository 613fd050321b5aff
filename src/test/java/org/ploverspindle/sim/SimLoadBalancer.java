package org.ploverspindle.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.ploverspindle.api.ApiResponse;

/**
 * The users' load balancer as the protocol defines it, with users behind it who poll a job every 5
 * s on connections that stay open. It measures how long a user gets no answer and how long the load
 * balancer has no healthy controller.
 */
final class SimLoadBalancer {
  private static final long PROBE_INTERVAL_MS = 1_000;
  private static final int RECENT_PROBES = 6;
  private static final long RESET_AFTER_MS = 5_000;
  private static final long MIN_PAUSE_MS = 3_000;
  private static final long MAX_PAUSE_MS = 60_000;
  private static final long REMOVALS_COUNT_MS = 120_000;
  private static final int SHARE_GROWS_MS = 10_000;
  private static final int POLL_INTERVAL_MS = 5_000;
  private static final long POLL_TIMEOUT_MS = 2_000;

  private final class Backend {
    final int controller;
    final Deque<Boolean> recentProbes = new ArrayDeque<>();
    boolean isHealthy;
    boolean wasHealthy;
    int consecutive;
    long changedMs = Long.MIN_VALUE / 2;
    long pauseMs = MIN_PAUSE_MS;
    long removedMs;
    int removals;

    Backend(int controller) {
      this.controller = controller;
    }

    void probe() {
      boolean succeeded = cluster.isReady(controller) && !cluster.process(controller).isFrozen();
      boolean isRepeated = !recentProbes.isEmpty() && recentProbes.peekLast() == succeeded;
      consecutive = isRepeated ? consecutive + 1 : 1;
      recentProbes.add(succeeded);
      if (recentProbes.size() > RECENT_PROBES) {
        recentProbes.poll();
      }
      long sinceMs = clock.nowMs() - changedMs;
      long failures = recentProbes.stream().filter(success -> !success).count();
      if (isHealthy && (!succeeded && consecutive >= 2 || failures >= 3)) {
        remove();
      } else if (!isHealthy
          && succeeded
          && (!wasHealthy || consecutive >= 2 && sinceMs >= pauseMs)) {
        setHealthy(true);
        recentProbes.clear();
      } else if (!isHealthy && sinceMs >= RESET_AFTER_MS) {
        users.stream().filter(user -> user.backend == this).forEach(user -> user.backend = null);
      }
    }

    private void remove() {
      boolean isFurther = removals > 0 && clock.nowMs() - removedMs <= REMOVALS_COUNT_MS;
      pauseMs = isFurther ? Math.min(MAX_PAUSE_MS, 2 * pauseMs) : MIN_PAUSE_MS;
      removedMs = clock.nowMs();
      removals++;
      setHealthy(false);
    }

    private void setHealthy(boolean healthy) {
      isHealthy = healthy;
      wasHealthy |= healthy;
      changedMs = clock.nowMs();
    }
  }

  /** A user who polls a job on one connection until the run ends; no backend: not connected. */
  private final class User {
    final String uid;
    Backend backend;
    long lastAnswerMs;
    int polls;
    int answeredPoll;

    User(String uid) {
      this.uid = uid;
      this.lastAnswerMs = clock.nowMs();
    }

    void poll() {
      clock.after(POLL_INTERVAL_MS, this::poll);
      if (!cluster.checker.isAccepted(uid)) {
        lastAnswerMs = clock.nowMs();
        return;
      }
      longestGapMs = Math.max(longestGapMs, clock.nowMs() - lastAnswerMs);
      backend = backend == null ? choose().orElse(null) : backend;
      if (backend == null || !cluster.isAlive(backend.controller)) {
        backend = null;
        return;
      }
      Backend asked = backend;
      int poll = ++polls;
      cluster.users.queryAt(asked.controller, uid, response -> handle(asked, poll, response));
      clock.after(
          POLL_TIMEOUT_MS,
          () -> {
            if (answeredPoll < poll) {
              backend = null;
            }
          });
    }

    private void handle(Backend asked, int poll, ApiResponse response) {
      answeredPoll = poll;
      if (response.status() == 200) {
        lastAnswerMs = clock.nowMs();
      } else if (!cluster.isReady(asked.controller)) {
        // A controller that is not ready closes the connection with its 503.
        backend = null;
      }
    }
  }

  private final SimulatedCluster cluster;
  private final SimClock clock;
  private final Random random = new Random(5);
  private final List<Backend> backends = new ArrayList<>();
  private final List<User> users = new ArrayList<>();
  private long lastHealthyMs = -1;
  private long longestGapMs;
  private long longestEmptyMs;

  SimLoadBalancer(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.clock = cluster.clock;
    for (int i = 0; i < cluster.controllerCount; i++) {
      backends.add(new Backend(i));
    }
    probeAll();
  }

  private void probeAll() {
    backends.forEach(Backend::probe);
    boolean isEmpty = healthy().findAny().isEmpty();
    if (!isEmpty || lastHealthyMs < 0) {
      lastHealthyMs = isEmpty ? -1 : clock.nowMs();
    } else {
      longestEmptyMs = Math.max(longestEmptyMs, clock.nowMs() - lastHealthyMs);
    }
    clock.after(PROBE_INTERVAL_MS, this::probeAll);
  }

  private Stream<Backend> healthy() {
    return backends.stream().filter(backend -> backend.isHealthy);
  }

  private Optional<Backend> choose() {
    Comparator<Backend> byConnections =
        Comparator.comparingLong(
            backend -> users.stream().filter(user -> user.backend == backend).count());
    return healthy()
        .filter(backend -> random.nextInt(SHARE_GROWS_MS) < clock.nowMs() - backend.changedMs)
        .min(byConnections)
        .or(() -> healthy().min(byConnections));
  }

  void addUser(String uid) {
    User user = new User(uid);
    users.add(user);
    clock.after(random.nextInt(POLL_INTERVAL_MS), user::poll);
  }

  /** Measures gaps anew from now on. */
  void resetGaps() {
    longestGapMs = 0;
    users.forEach(user -> user.lastAnswerMs = clock.nowMs());
  }

  /** The longest time for which a user polled an accepted job without an answer. */
  long longestGapMs() {
    return longestGapMs;
  }

  /** The longest time without a healthy controller. */
  long longestEmptyMs() {
    return longestEmptyMs;
  }

  int removals() {
    return backends.stream().mapToInt(backend -> backend.removals).sum();
  }
}
