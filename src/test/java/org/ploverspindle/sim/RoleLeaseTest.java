package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.leases.HeldRole;
import org.ploverspindle.leases.LeaseTiming;
import org.ploverspindle.net.Cbor;

/**
 * Three controllers compete for one role. Guards against actions of a former holder that are still
 * committed after it was replaced, and against a role that stays without a holder.
 */
class RoleLeaseTest {
  private static final long ACQUIRED_BY_MS = 8_000;
  private static final int RANDOM_FAULT_COUNT = 30;

  private static RoleCluster clusterWithHolder(long seed, boolean fenced) {
    RoleCluster cluster = new RoleCluster(seed, fenced);
    cluster.clock.runUntil(ACQUIRED_BY_MS);
    assertTrue(cluster.holder().isPresent(), "no controller holds the role");
    assertEquals(
        1, cluster.referenceRole.acquisitions(), "acquisitions of the role without a fault");
    return cluster;
  }

  private static int indexOfHolder(RoleCluster cluster) {
    RoleCluster.Controller holder = cluster.holder().orElseThrow();
    return IntStream.range(0, RoleCluster.CONTROLLERS)
        .filter(index -> cluster.controller(index) == holder)
        .findFirst()
        .orElseThrow();
  }

  private static void assertNoViolation(RoleCluster cluster) {
    assertEquals(0, cluster.referenceRole.staleActions(), "committed actions of former holders");
    assertEquals(
        0,
        cluster.referenceRole.nonIncreasingEpochs(),
        "epochs that are not above all earlier ones");
    assertEquals(
        0,
        cluster.referenceRole.unconditionalAcquisitions(),
        "acquisitions that could be committed late");
    assertEquals(List.of(), cluster.falseHolders());
  }

  /** Injects a random fault every 4 s on average; a fault may last until after the next one. */
  private static void scheduleRandomFaults(RoleCluster cluster) {
    for (int i = 0; i < RANDOM_FAULT_COUNT; i++) {
      cluster.clock.after(
          i * 4_000L + cluster.random.nextInt(3_000), () -> injectRandomFault(cluster));
    }
    cluster.clock.after(
        RANDOM_FAULT_COUNT * 4_000L, () -> cluster.network.setUnansweredWrites(0, false));
  }

  private static void injectRandomFault(RoleCluster cluster) {
    int index =
        cluster.holder().isPresent() && cluster.random.nextInt(4) > 0
            ? indexOfHolder(cluster)
            : cluster.random.nextInt(RoleCluster.CONTROLLERS);
    RoleCluster.Controller controller = cluster.controller(index);
    int durationMs = 500 + cluster.random.nextInt(7_000);
    switch (cluster.random.nextInt(8)) {
      case 0, 1 -> controller.process.freeze(durationMs);
      case 2 -> controller.jumpClock(cluster.random.nextInt(20_000) - 10_000);
      case 3 -> cluster.crash(index, 100 + cluster.random.nextInt(4_000));
      case 4 -> cluster.network.setUnansweredWrites(0.2, cluster.random.nextBoolean());
      case 5 -> holdPacketsOf(cluster, index, durationMs);
      case 6 -> outage(cluster, durationMs);
      default -> controller.role.release("release requested");
    }
  }

  private static void holdPacketsOf(RoleCluster cluster, int index, long durationMs) {
    cluster.network.holdPackets(SimLink.controllerName(index), SimStateAccess.STATE, true);
    cluster.clock.after(
        durationMs,
        () ->
            cluster.network.holdPackets(
                SimLink.controllerName(index), SimStateAccess.STATE, false));
  }

  private static void outage(RoleCluster cluster, long durationMs) {
    cluster.state.setOutage(true);
    cluster.clock.after(durationMs, () -> cluster.state.setOutage(false));
  }

  /** Seed 512 releases the role between its acquisition and the read that follows it. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 512})
  void randomFaultsLetNoFormerHolderActAndLeaveTheRoleHeld(long seed) {
    RoleCluster cluster = clusterWithHolder(seed, true);
    scheduleRandomFaults(cluster);
    cluster.clock.runUntil(ACQUIRED_BY_MS + RANDOM_FAULT_COUNT * 4_000L + 25_000);
    assertNoViolation(cluster);
    assertTrue(
        cluster.referenceRole.acquisitions() > 5,
        cluster.referenceRole.acquisitions() + " acquisitions");
    int actionsBefore = cluster.referenceRole.currentActions();
    cluster.clock.runUntil(cluster.clock.nowMs() + 5_000);
    assertTrue(
        cluster.referenceRole.currentActions() > actionsBefore,
        "no action was committed within 5 s after the faults");
  }

  /** Shows that stale actions are detected: without fencing, some of them are committed. */
  @Test
  void withoutFencingFormerHoldersActAndAreCounted() {
    int staleActions = 0;
    for (int seed = 1; seed <= 20; seed++) {
      RoleCluster cluster = clusterWithHolder(seed, false);
      scheduleRandomFaults(cluster);
      cluster.clock.runUntil(ACQUIRED_BY_MS + RANDOM_FAULT_COUNT * 4_000L);
      staleActions += cluster.referenceRole.staleActions();
    }
    assertTrue(staleActions > 0, "no action of a former holder was committed without fencing");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void holdersPausedPastTheirLeaseDoNotActAfterTheyAreReplaced(long seed) {
    RoleCluster cluster = clusterWithHolder(seed, true);
    cluster.holder().orElseThrow().process.freeze(6_000);
    cluster.clock.runUntil(ACQUIRED_BY_MS + 5_000);
    assertEquals(2, cluster.referenceRole.acquisitions());
    cluster.clock.after(
        500,
        () ->
            IntStream.range(0, RoleCluster.CONTROLLERS)
                .mapToObj(cluster::controller)
                .filter(controller -> controller.role.isCertainlyHeld())
                .forEach(controller -> controller.process.freeze(7_000)));
    cluster.clock.runUntil(ACQUIRED_BY_MS + 30_000);
    assertTrue(
        cluster.referenceRole.acquisitions() >= 3,
        cluster.referenceRole.acquisitions() + " acquisitions");
    assertNoViolation(cluster);
  }

  /**
   * By the former holder's clock, which jumps back by 60 s, its lease is still valid. Only the
   * state service can refuse the actions that it sends.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void actionsOfAFormerHolderWhoseClockJumpedBackAreRefused(long seed) {
    RoleCluster cluster = clusterWithHolder(seed, true);
    int index = indexOfHolder(cluster);
    RoleCluster.Controller former = cluster.controller(index);
    holdPacketsOf(cluster, index, 9_000);
    cluster.clock.after(1_000, () -> former.jumpClock(-60_000));
    cluster.clock.runUntil(ACQUIRED_BY_MS + 8_900);
    assertTrue(
        former.role.isCertainlyHeld(), "the former holder must still be certain of the role");
    assertEquals(2, cluster.referenceRole.acquisitions());
    cluster.clock.runUntil(ACQUIRED_BY_MS + 20_000);
    assertTrue(cluster.refusedActions() > 0, "no action was refused");
    assertNoViolation(cluster);
  }

  /**
   * For 60 s no transaction is answered, and all are executed late. An acquisition may be committed
   * after its controller replaced the lease. Its record is attached to a lease that is not renewed
   * any more, and is removed soon, so the controller must not take it for the role.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void acquisitionCommittedUnderAnEarlierLeaseIsNotTakenForTheRole(long seed) {
    RoleCluster cluster = new RoleCluster(seed, true);
    cluster.network.setUnansweredWrites(1, false);
    cluster.clock.runUntil(60_000);
    assertNoViolation(cluster);
    cluster.network.setUnansweredWrites(0, false);
    cluster.clock.runUntil(90_000);
    assertNoViolation(cluster);
    assertTrue(cluster.holder().isPresent());
  }

  /**
   * A former holder that still believed in the role would act as soon as its lease were renewed. It
   * must learn of the loss without a refused action of its own.
   */
  @Test
  void formerHolderThatSendsNothingLearnsThatItLostTheRole() {
    RoleCluster cluster = clusterWithHolder(11, true);
    RoleCluster.Controller former = cluster.holder().orElseThrow();
    former.stopSending();
    cluster.clock.after(500, () -> former.process.freeze(2 * RoleCluster.TIMING.ttlMs()));
    cluster.clock.runUntil(ACQUIRED_BY_MS + 4 * RoleCluster.TIMING.ttlMs());
    assertTrue(former.role.held().isEmpty());
    assertEquals(0, cluster.refusedActions(), "actions refused although none was sent");
    assertNoViolation(cluster);
  }

  /** After a forward jump of 10 s the lease seems expired, so the holder must stop acting. */
  @Test
  void holderWhoseClockJumpsForwardIsNotCertainOfTheRole() {
    RoleCluster cluster = clusterWithHolder(4, true);
    RoleCluster.Controller holder = cluster.holder().orElseThrow();
    holder.jumpClock(10_000);
    assertFalse(holder.role.isCertainlyHeld());
  }

  /**
   * The state service renews the lease, and only the response is lost. A holder must not rely on a
   * renewal that was not answered.
   */
  @Test
  void renewalsWithoutAResponseDoNotExtendTheCertainRole() {
    RoleCluster cluster = clusterWithHolder(5, true);
    RoleCluster.Controller holder = cluster.holder().orElseThrow();
    cluster.network.dropResponsesFrom(SimStateAccess.STATE, true);
    cluster.clock.runUntil(ACQUIRED_BY_MS + RoleCluster.TIMING.ttlMs());
    assertFalse(
        holder.role.isCertainlyHeld(),
        "certain of the role although its last answered renewal is too old");
    cluster.network.dropResponsesFrom(SimStateAccess.STATE, false);
    cluster.clock.runUntil(ACQUIRED_BY_MS + 15_000);
    assertNoViolation(cluster);
    assertTrue(cluster.holder().isPresent());
  }

  /**
   * During a simulated outage no lease expires, but the holder cannot know that and must not be
   * certain of the role. After the outage it goes on without a new acquisition.
   */
  @Test
  void outageLongerThanTheLeaseLeavesTheRoleWithItsHolder() {
    RoleCluster cluster = clusterWithHolder(6, true);
    RoleCluster.Controller holder = cluster.holder().orElseThrow();
    outage(cluster, 4 * RoleCluster.TIMING.ttlMs());
    cluster.clock.runUntil(ACQUIRED_BY_MS + 2 * RoleCluster.TIMING.ttlMs());
    assertFalse(
        holder.role.isCertainlyHeld(),
        "a holder without renewals for two lease times is certain of the role");
    cluster.clock.runUntil(ACQUIRED_BY_MS + 6 * RoleCluster.TIMING.ttlMs());
    assertTrue(holder.role.isCertainlyHeld());
    assertEquals(1, cluster.referenceRole.acquisitions());
    assertNoViolation(cluster);
  }

  @Test
  void releasedRoleIsAcquiredWithinHalfTheLeaseTime() {
    RoleCluster cluster = clusterWithHolder(7, true);
    cluster.holder().orElseThrow().role.release("stopping");
    cluster.clock.runUntil(ACQUIRED_BY_MS + RoleCluster.TIMING.ttlMs() / 2);
    assertEquals(2, cluster.referenceRole.acquisitions());
    assertNoViolation(cluster);
  }

  /**
   * A restarted controller does not take the record of its former process for its own. It ends the
   * lease of that record, so nobody has to wait until it expires.
   */
  @Test
  void roleOfARestartedHolderIsHeldWithANewEpochBeforeItsOldLeaseExpires() {
    RoleCluster cluster = clusterWithHolder(8, true);
    HeldRole before = cluster.holder().orElseThrow().role.held().orElseThrow();
    cluster.crash(indexOfHolder(cluster), 200);
    cluster.clock.runUntil(ACQUIRED_BY_MS + RoleCluster.TIMING.ttlMs() * 2 / 3);
    HeldRole after = cluster.holder().orElseThrow().role.held().orElseThrow();
    assertTrue(after.epoch() > before.epoch());
    assertNoViolation(cluster);
  }

  /** A guessed epoch could have been used before, and fencing would not refuse its former user. */
  @Test
  void roleWithAMalformedEpochRecordIsNotAcquired() {
    RoleCluster cluster = new RoleCluster(9, true);
    cluster.state.preload(RoleCluster.EPOCH_KEY, Cbor.map().put("last", "seven"));
    cluster.clock.runUntil(ACQUIRED_BY_MS);
    assertTrue(cluster.holder().isEmpty());
    assertFalse(cluster.state.containsKey(RoleCluster.HOLDER_KEY));
  }

  @Test
  void roleWithAMalformedHolderRecordIsNotAcquired() {
    RoleCluster cluster = new RoleCluster(10, true);
    cluster.state.preload(RoleCluster.HOLDER_KEY, Cbor.map().put("epoch", "seven"));
    cluster.clock.runUntil(ACQUIRED_BY_MS);
    assertTrue(cluster.holder().isEmpty());
    assertEquals(0, cluster.referenceRole.currentActions());
  }

  @Test
  void leaseTooShortForARenewalIsRefusedWithTheShortestAllowed() {
    IllegalArgumentException refusal =
        assertThrows(IllegalArgumentException.class, () -> new LeaseTiming(400, 250));
    assertTrue(refusal.getMessage().contains("600 ms at least"), refusal.getMessage());
    new LeaseTiming(600, 450);
  }
}
