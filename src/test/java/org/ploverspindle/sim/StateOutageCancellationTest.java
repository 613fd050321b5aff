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
 * Guards against tasks of cancelled jobs that run on because the leader can't learn of the
 * cancellation. The state service refuses requests of the leader alone while another controller
 * acknowledges cancellations. Then it has an outage for all controllers, 12 s longer than a
 * cancellation may take, while the workers send heartbeats to that leader. The tasks must end in
 * time with the worker leases. This happens twice, the second time soon after the first.
 */
class StateOutageCancellationTest {
  private static final int CONTROLLERS = 3;

  /** The kinds of requests that the state service refuses to the leader before the outage. */
  private static final List<Set<SimulatedCluster.RequestKind>> REFUSED =
      List.of(
          Set.of(SimulatedCluster.RequestKind.values()),
          Set.of(SimulatedCluster.RequestKind.READS),
          Set.of(SimulatedCluster.RequestKind.LEASES),
          Set.of(SimulatedCluster.RequestKind.WRITES));

  /**
   * Heartbeat interval, worker lease and cancellation time of each operator's deployment, in
   * seconds.
   */
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
              // These tasks run for much longer than the outage, so that none completes before its
              // end.
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
            // The cancellations begin just before the leader's last read with a response, 1.5 s
            // before the refusals, and end 0.1 s before the outage.
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
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(
        cluster.checker.cancelledWithRunningTasks() >= 8,
        "cancellations of jobs with tasks on machines, at least 8 expected: "
            + cluster.checker.cancelledWithRunningTasks());
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
