package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * The state service refuses the leader alone, another controller confirms cancellations, and then
 * the state service is out for all, longer than a cancellation may take, while the workers go on
 * reporting to that leader: what it can't know of must end with their leases. Twice, the second
 * time soon after the first.
 */
class StateOutageCancellationTest {
  private static final int CONTROLLERS = 3;

  /** What the state service refuses to the leader alone before it is out for all. */
  private static final List<Set<SimulatedCluster.RequestKind>> REFUSED =
      List.of(
          Set.of(SimulatedCluster.RequestKind.values()),
          Set.of(SimulatedCluster.RequestKind.READS),
          Set.of(SimulatedCluster.RequestKind.LEASES),
          Set.of(SimulatedCluster.RequestKind.WRITES));

  /** Report, lease and cancellation times of the operators' deployments. */
  private static final Map<String, Settings.WorkerLimits> TIMINGS =
      Map.of(
          "Athens", new Settings.WorkerLimits(3, 14, 39),
          "Kosice", new Settings.WorkerLimits(1.5, 10, 40),
          "large Athens", new Settings.WorkerLimits(5, 26.5, 51.5),
          "large Kosice", new Settings.WorkerLimits(5, 26.5, 56.5));

  static Stream<Arguments> deploymentsRefusalsAndSeeds() {
    List<Arguments> arguments = new ArrayList<>();
    for (String deployment : TIMINGS.keySet().stream().sorted().toList()) {
      for (Set<SimulatedCluster.RequestKind> refused : REFUSED) {
        for (long seed = 1; seed <= 3; seed++) {
          arguments.add(Arguments.of(deployment, refused, seed));
        }
      }
    }
    return arguments.stream();
  }

  @ParameterizedTest
  @MethodSource("deploymentsRefusalsAndSeeds")
  void cancellationsUnknownToRefusedLeaderEndInTimeDuringOutage(
      String deployment, Set<SimulatedCluster.RequestKind> refused, long seed) {
    Settings.WorkerLimits limits = TIMINGS.get(deployment);
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Deployment(
                CONTROLLERS,
                14,
                List.of("a"),
                limits,
                new Settings.StateLimits(120, 35, 8, 12),
                new Settings.CloudLimits(20, 3),
                List.of(
                    new Settings.Team("red", 8, 0, 0, 0), new Settings.Team("blue", 8, 0, 0, 0)),
                new Policy(3, 8, 15, 0, 100, 20, Map.of())));
    Random random = new Random(seed);
    long outageMs = Math.round(limits.cancelS() * 1000) + 12_000;
    long refusalStartMs = 70_000;
    for (int round = 0; round < 2; round++) {
      List<String> running = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        cluster.clock.after(
            refusalStartMs - 45_000 + i * 1_000 - cluster.clock.nowMs(),
            () -> {
              // Well longer than the outage: nothing of it ends by itself in time.
              var spec = DayEndCriteriaTest.job(cluster, "a", Priority.NORMAL, 4, 1, 250, 0);
              running.add(spec.uid());
              cluster.submitAndPoll(spec);
            });
      }
      cluster.clock.after(
          refusalStartMs, () -> refuseLeaderThenStopService(cluster, refused, outageMs));
      cluster.clock.after(
          refusalStartMs - 1_500,
          () -> {
            // From just before the leader's last answered read to the service's end.
            for (String uid : running) {
              if (random.nextInt(5) > 0) {
                cluster.clock.after(random.nextInt(3_400), () -> cluster.cancel(uid, 0));
              }
            }
          });
      refusalStartMs += 2_000 + outageMs + 23_000 + 40_000;
    }
    long faultsEndMs = refusalStartMs;
    cluster.clock.after(faultsEndMs, cluster::faultsEnded);
    cluster.clock.runUntil(faultsEndMs + 120_000);
    assertEquals(List.of(), cluster.checker.broken());
    assertTrue(
        cluster.checker.cancelledWhileOn() >= 8,
        "cancelled while tasks were on machines: " + cluster.checker.cancelledWhileOn());
  }

  private static void refuseLeaderThenStopService(
      SimulatedCluster cluster, Set<SimulatedCluster.RequestKind> refused, long outageMs) {
    int leader = cluster.leader();
    if (leader >= 0) {
      refused.forEach(kind -> cluster.setRefused(leader, kind, true));
      cluster.clock.after(
          14_000, () -> refused.forEach(kind -> cluster.setRefused(leader, kind, false)));
    }
    cluster.clock.after(2_000, () -> cluster.state.setOutage(true));
    cluster.clock.after(2_000 + outageMs, () -> cluster.state.setOutage(false));
  }
}
