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

/** Limits that a small fleet never meets, each at a fleet that would meet it. */
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

  /** Machines that no controller has rented: only reports and the list tell of them. */
  private static void provisionUnrecordedMachines(SimulatedCluster cluster, int machines) {
    for (int i = 0; i < machines / MACHINES_PER_INTENT; i++) {
      cluster.cloud.provision("earlier-" + i, "small", "a", false, MACHINES_PER_INTENT);
    }
  }

  /**
   * Nothing is rented before the whole list was read. Of nine pages the third was refused, as the
   * cloud allows two calls at once, and the list was begun anew with the first page for ever.
   */
  @Test
  void machineListOfManyPagesIsReadAtOneCloudCallPerSecond() {
    SimulatedCluster cluster = cluster(5, 4_400, 1);
    provisionUnrecordedMachines(cluster, 4_400);
    // The list lags: the first leader reads an empty one. The next one meets all machines.
    cluster.clock.after(
        15_000, () -> IntStream.range(0, CONTROLLERS).forEach(i -> cluster.crash(i, 500)));
    // It fits on no machine that there is.
    var job = DayEndCriteriaTest.job(cluster, "wide", Priority.HIGH, 2, 12, 5, 0);
    cluster.clock.after(20_000, () -> cluster.submitAndPoll(job));
    // Each controller asks for the machine types at its start.
    cluster.clock.runUntil(25_000);
    long refusedAtStart = cluster.cloud.requestLimiter.refusedCount();
    cluster.clock.runUntil(150_000);
    assertEquals(List.of(), cluster.checker.broken());
    assertTrue(cluster.checker.isDone(job.uid()), "a machine was rented for it");
    assertEquals(
        refusedAtStart,
        cluster.cloud.requestLimiter.refusedCount(),
        "calls beyond the cloud's rate");
  }
}
