package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/** Limits that only a large fleet reaches, each tested with a fleet that reaches it. */
class FleetLimitsTest {
  private static final int CONTROLLERS = 3;
  private static final int MACHINES_PER_INTENT = 50;
  private static final double LEASE_S = 26.5;

  private static SimulatedCluster cluster(long seed, int machines, double cloudCallsPerS) {
    return new SimulatedCluster(
        seed,
        new SimulatedCluster.Deployment(
            CONTROLLERS,
            2 * machines,
            List.of("a"),
            new Settings.WorkerLimits(5, LEASE_S, 51.5),
            new Settings.StateLimits(300, 120, 16, 24),
            new Settings.CloudLimits(cloudCallsPerS, 3),
            List.of(new Settings.Team("blue", 8, 0, 0, 0)),
            new Policy(3, 30, 600, 0, Policy.UNBOUNDED, 30, Map.of())));
  }

  /**
   * Provisions machines that controllers can learn of only from heartbeats and the cloud's list.
   */
  private static void provisionUnrecordedMachines(SimulatedCluster cluster, int machines) {
    for (int i = 0; i < machines / MACHINES_PER_INTENT; i++) {
      cluster.cloud.provision("earlier-" + i, "small", "a", false, MACHINES_PER_INTENT);
    }
  }

  /**
   * No machine is provisioned before the whole list of machines has been read. Guards against a
   * list that is never read to its end: as the cloud allows two calls at once, the third of nine
   * pages was refused, and each refusal restarted the list at its first page.
   */
  @Test
  void machineListOfManyPagesIsReadAtOneCloudCallPerSecond() {
    SimulatedCluster cluster = cluster(5, 4_400, 1);
    provisionUnrecordedMachines(cluster, 4_400);
    // The list is 3 s late, so the first leader reads an empty one; the next leader reads all
    // machines.
    cluster.clock.after(
        15_000, () -> IntStream.range(0, CONTROLLERS).forEach(i -> cluster.crash(i, 500)));
    // A task of 12 cores fits on none of these machines, which have 4 cores each.
    var job = DayEndCriteriaTest.job(cluster, "wide", Priority.HIGH, 2, 12, 5, 0);
    cluster.clock.after(20_000, () -> cluster.submitAndPoll(job));
    // Each controller requests the machine types at its start; refusals of these do not count.
    cluster.clock.runUntil(25_000);
    long refusedAtStart = cluster.cloud.requestLimiter.refusedCount();
    cluster.clock.runUntil(150_000);
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(cluster.checker.isDone(job.uid()), "a machine was provisioned for the job");
    assertEquals(
        refusedAtStart,
        cluster.cloud.requestLimiter.refusedCount(),
        "calls refused above the cloud's rate, since 25 s");
  }
}
