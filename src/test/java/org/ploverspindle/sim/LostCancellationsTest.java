package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Guards against one cancellation that waits for the state service delaying the other cancellations
 * at the same controller. A quarter of the transactions gets no response, and they are executed
 * either at once or late.
 */
class LostCancellationsTest {
  private static final int CONTROLLERS = 3;
  private static final int START_MS = 25_000;
  private static final int JOB_COUNT = 60;
  private static final int INTERVAL_MS = 250;

  /**
   * Longest latency when unanswered transactions are executed at once. Measured: 428 ms. The
   * timeout of a request to the state service is 2,500 ms.
   */
  private static final long MAX_LATENCY_MS = 500;

  /**
   * Longest latency when a transaction has to be written again, sometimes more than once. Measured:
   * 1,284 ms.
   */
  private static final long MAX_REWRITE_LATENCY_MS = 1_500;

  /** Longest latency of a cancellation whose transaction gets a response. */
  private static final long LOSS_FREE_LATENCY_MS = 250;

  private final List<Long> latenciesMs = new ArrayList<>();
  private final Set<String> confirmed = new HashSet<>();
  private int sent;
  private int refused;

  @ParameterizedTest
  @CsvSource({"true,1", "true,2", "true,3", "true,4", "false,1", "false,2", "false,3", "false,4"})
  void unansweredCancellationDoesNotDelayOthers(boolean immediate, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 10, List.of("a"));
    Random random = new Random(seed);
    List<String> uids = new ArrayList<>();
    for (int i = 0; i < JOB_COUNT; i++) {
      cluster.clock.after(5_000 + i * 200L, () -> uids.add(submit(cluster)));
    }
    cluster.clock.after(START_MS, () -> cluster.network.setUnansweredWrites(0.25, immediate));
    for (int i = 0; i < JOB_COUNT; i++) {
      int index = i;
      cluster.clock.after(
          START_MS + index * INTERVAL_MS,
          () ->
              cancel(
                  cluster,
                  uids.get(index),
                  (Math.max(0, cluster.leader()) + 1 + random.nextInt(2)) % CONTROLLERS));
    }
    int endMs = START_MS + JOB_COUNT * INTERVAL_MS;
    cluster.clock.after(endMs, () -> cluster.network.setUnansweredWrites(0, true));
    cluster.clock.after(endMs + 20_000, cluster::faultsEnded);
    cluster.clock.runUntil(endMs + 90_000);
    assertEquals(List.of(), cluster.checker.violations());
    long longestMs = latenciesMs.stream().mapToLong(ms -> ms).max().orElse(0);
    String summary =
        latenciesMs.size() + " of " + sent + " confirmed, " + refused + " refused, " + latenciesMs;
    assertEquals(JOB_COUNT, sent);
    assertEquals(JOB_COUNT, latenciesMs.size() + refused, summary);
    assertTrue(
        latenciesMs.stream().filter(ms -> ms > LOSS_FREE_LATENCY_MS).count() >= 5,
        "at least 5 cancellations without a response expected: " + summary);
    assertTrue(longestMs <= (immediate ? MAX_LATENCY_MS : MAX_REWRITE_LATENCY_MS), summary);
    assertEquals(0, refused, summary);
  }

  private static String submit(SimulatedCluster cluster) {
    JobSpec spec =
        JobSpecFixtures.batch(cluster.newUid(), "c", "blue", Priority.NORMAL, 1, 1, 0.1, 300, 0);
    cluster.submitAndPoll(spec);
    return spec.uid();
  }

  private void cancel(SimulatedCluster cluster, String uid, int controller) {
    sent++;
    long sentMs = cluster.clock.nowMs();
    cluster.checker.recordCancellationRequest(uid);
    cluster.cancelAt(controller, uid, answer -> answered(cluster, uid, sentMs, answer));
  }

  private void answered(SimulatedCluster cluster, String uid, long sentMs, ApiResponse answer) {
    if (answer.status() != 200) {
      refused++;
      cluster.cancel(uid, 0);
    } else if (confirmed.add(uid)) {
      latenciesMs.add(cluster.clock.nowMs() - sentMs);
    }
  }
}
