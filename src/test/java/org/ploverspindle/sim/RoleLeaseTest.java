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

/** One duty, three controllers: who holds it, and what a former holder can still do. */
class RoleLeaseTest {
  private static final long SETTLED_MS = 8_000;
  private static final int RANDOM_FAULTS = 30;

  private static RoleCluster settled(long seed, boolean fenced) {
    RoleCluster cluster = new RoleCluster(seed, fenced);
    cluster.clock.runUntil(SETTLED_MS);
    assertTrue(cluster.holder().isPresent(), "somebody holds the duty");
    assertEquals(1, cluster.plain.holders(), "equal members do not take it from each other");
    return cluster;
  }

  private static int indexOfHolder(RoleCluster cluster) {
    RoleCluster.Member holder = cluster.holder().orElseThrow();
    return IntStream.range(0, RoleCluster.MEMBERS)
        .filter(i -> cluster.member(i) == holder)
        .findFirst()
        .orElseThrow();
  }

  private static void assertKept(RoleCluster cluster) {
    assertEquals(0, cluster.plain.staleAccepted(), "actions of former holders");
    assertEquals(0, cluster.plain.epochsNotAbove(), "epochs that were used before");
    assertEquals(0, cluster.plain.unconditional(), "tries that could be carried out late");
    assertEquals(List.of(), cluster.wrong());
  }

  /** In each step something else goes wrong, at times two things at once. */
  private static void randomFaults(RoleCluster cluster) {
    for (int i = 0; i < RANDOM_FAULTS; i++) {
      cluster.clock.after(i * 4_000L + cluster.random.nextInt(3_000), () -> fault(cluster));
    }
    cluster.clock.after(
        RANDOM_FAULTS * 4_000L, () -> cluster.network.setUnansweredWrites(0, false));
  }

  private static void fault(RoleCluster cluster) {
    int index =
        cluster.holder().isPresent() && cluster.random.nextInt(4) > 0
            ? indexOfHolder(cluster)
            : cluster.random.nextInt(RoleCluster.MEMBERS);
    RoleCluster.Member member = cluster.member(index);
    int forMs = 500 + cluster.random.nextInt(7_000);
    switch (cluster.random.nextInt(8)) {
      case 0, 1 -> member.process.freeze(forMs);
      case 2 -> member.jump(cluster.random.nextInt(20_000) - 10_000);
      case 3 -> cluster.crash(index, 100 + cluster.random.nextInt(4_000));
      case 4 -> cluster.network.setUnansweredWrites(0.2, cluster.random.nextBoolean());
      case 5 -> hold(cluster, index, forMs);
      case 6 -> outage(cluster, forMs);
      default -> member.duty.release("told to");
    }
  }

  private static void hold(RoleCluster cluster, int index, long forMs) {
    cluster.network.holdPackets(SimLink.controllerName(index), SimStateAccess.STATE, true);
    cluster.clock.after(
        forMs,
        () ->
            cluster.network.holdPackets(
                SimLink.controllerName(index), SimStateAccess.STATE, false));
  }

  private static void outage(RoleCluster cluster, long forMs) {
    cluster.state.setOutage(true);
    cluster.clock.after(forMs, () -> cluster.state.setOutage(false));
  }

  /** Seed 512 gives the duty up between the moment it is taken and the read that follows. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 512})
  void whateverGoesWrongNoFormerHolderActsAndSomebodyHoldsTheDutyAfterwards(long seed) {
    RoleCluster cluster = settled(seed, true);
    randomFaults(cluster);
    cluster.clock.runUntil(SETTLED_MS + RANDOM_FAULTS * 4_000L + 25_000);
    assertKept(cluster);
    assertTrue(cluster.plain.holders() > 5, cluster.plain.holders() + " holders");
    int accepted = cluster.plain.accepted();
    cluster.clock.runUntil(cluster.clock.nowMs() + 5_000);
    assertTrue(cluster.plain.accepted() > accepted, "the duty is carried out");
  }

  /** The counter counts: without the condition former holders' actions are accepted. */
  @Test
  void withoutFencingFormerHoldersActAndAreCounted() {
    int stale = 0;
    for (int seed = 1; seed <= 20; seed++) {
      RoleCluster cluster = settled(seed, false);
      randomFaults(cluster);
      cluster.clock.runUntil(SETTLED_MS + RANDOM_FAULTS * 4_000L);
      stale += cluster.plain.staleAccepted();
    }
    assertTrue(stale > 0, "a counter that never counts shows nothing");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aHolderPausedPastItsLeaseAndItsSuccessorInTurnHarmNothing(long seed) {
    RoleCluster cluster = settled(seed, true);
    cluster.holder().orElseThrow().process.freeze(6_000);
    cluster.clock.runUntil(SETTLED_MS + 5_000);
    assertEquals(2, cluster.plain.holders());
    cluster.clock.after(
        500,
        () ->
            IntStream.range(0, RoleCluster.MEMBERS)
                .mapToObj(cluster::member)
                .filter(m -> m.duty.isCertainlyHeld())
                .forEach(m -> m.process.freeze(7_000)));
    cluster.clock.runUntil(SETTLED_MS + 30_000);
    assertTrue(cluster.plain.holders() >= 3, cluster.plain.holders() + " holders");
    assertKept(cluster);
  }

  /** Its clock says that the lease lives on: only the receiver can refuse what it sends. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aHolderWhoseClockJumpsBackIsRefusedAtTheReceiver(long seed) {
    RoleCluster cluster = settled(seed, true);
    int index = indexOfHolder(cluster);
    RoleCluster.Member former = cluster.member(index);
    hold(cluster, index, 9_000);
    cluster.clock.after(1_000, () -> former.jump(-60_000));
    cluster.clock.runUntil(SETTLED_MS + 8_900);
    assertTrue(former.duty.isCertainlyHeld(), "it believes that it holds the duty");
    assertEquals(2, cluster.plain.holders());
    cluster.clock.runUntil(SETTLED_MS + 20_000);
    assertTrue(cluster.refused() > 0, "it was refused");
    assertKept(cluster);
  }

  /** Its record is attached to a lease that is not renewed any more, and goes within moments. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void aTryThatIsCarriedOutUnderAnEarlierLeaseIsNotTakenForTheDuty(long seed) {
    RoleCluster cluster = new RoleCluster(seed, true);
    cluster.network.setUnansweredWrites(1, false);
    cluster.clock.runUntil(60_000);
    assertKept(cluster);
    cluster.network.setUnansweredWrites(0, false);
    cluster.clock.runUntil(90_000);
    assertKept(cluster);
    assertTrue(cluster.holder().isPresent());
  }

  /** It would act on what it believes as soon as its lease were renewed. */
  @Test
  void aFormerHolderLearnsThatItIsNoneAlthoughItSendsNothing() {
    RoleCluster cluster = settled(11, true);
    RoleCluster.Member former = cluster.holder().orElseThrow();
    former.keepQuiet();
    cluster.clock.after(500, () -> former.process.freeze(2 * RoleCluster.TIMING.ttlMs()));
    cluster.clock.runUntil(SETTLED_MS + 4 * RoleCluster.TIMING.ttlMs());
    assertTrue(former.duty.held().isEmpty());
    assertEquals(0, cluster.refused(), "it had sent nothing");
    assertKept(cluster);
  }

  @Test
  void aHolderWhoseClockJumpsForwardStopsActing() {
    RoleCluster cluster = settled(4, true);
    RoleCluster.Member holder = cluster.holder().orElseThrow();
    holder.jump(10_000);
    assertFalse(holder.duty.isCertainlyHeld());
  }

  /** It was carried out, so the lease lives; but nobody may count on that. */
  @Test
  void renewalsWhoseAnswersAreLostAreNotCounted() {
    RoleCluster cluster = settled(5, true);
    RoleCluster.Member holder = cluster.holder().orElseThrow();
    cluster.network.dropResponsesFrom(SimStateAccess.STATE, true);
    cluster.clock.runUntil(SETTLED_MS + RoleCluster.TIMING.ttlMs());
    assertFalse(holder.duty.isCertainlyHeld(), "the last answered renewal is too old");
    cluster.network.dropResponsesFrom(SimStateAccess.STATE, false);
    cluster.clock.runUntil(SETTLED_MS + 15_000);
    assertKept(cluster);
    assertTrue(cluster.holder().isPresent());
  }

  @Test
  void aStateServiceThatIsOutForLongerThanTheLeaseLeavesTheDutyWhereItWas() {
    RoleCluster cluster = settled(6, true);
    RoleCluster.Member holder = cluster.holder().orElseThrow();
    outage(cluster, 4 * RoleCluster.TIMING.ttlMs());
    cluster.clock.runUntil(SETTLED_MS + 2 * RoleCluster.TIMING.ttlMs());
    assertFalse(holder.duty.isCertainlyHeld(), "it can't know that nobody else holds it");
    cluster.clock.runUntil(SETTLED_MS + 6 * RoleCluster.TIMING.ttlMs());
    assertTrue(holder.duty.isCertainlyHeld());
    assertEquals(1, cluster.plain.holders());
    assertKept(cluster);
  }

  @Test
  void aDutyThatIsGivenUpIsTakenLongBeforeTheLeaseWouldEnd() {
    RoleCluster cluster = settled(7, true);
    cluster.holder().orElseThrow().duty.release("stopping");
    cluster.clock.runUntil(SETTLED_MS + RoleCluster.TIMING.ttlMs() / 2);
    assertEquals(2, cluster.plain.holders());
    assertKept(cluster);
  }

  /** The record of its former process is not its own, and need not run out. */
  @Test
  void aMemberBackWithinASecondHasANewEpochAndDoesNotWaitForItsOldLease() {
    RoleCluster cluster = settled(8, true);
    HeldRole before = cluster.holder().orElseThrow().duty.held().orElseThrow();
    cluster.crash(indexOfHolder(cluster), 200);
    cluster.clock.runUntil(SETTLED_MS + RoleCluster.TIMING.ttlMs() * 2 / 3);
    HeldRole after = cluster.holder().orElseThrow().duty.held().orElseThrow();
    assertTrue(after.epoch() > before.epoch());
    assertKept(cluster);
  }

  @Test
  void nobodyTakesADutyWhoseEpochsCantBeRead() {
    RoleCluster cluster = new RoleCluster(9, true);
    cluster.state.preload(RoleCluster.EPOCHS, Cbor.map().put("last", "seven"));
    cluster.clock.runUntil(SETTLED_MS);
    assertTrue(cluster.holder().isEmpty());
    assertFalse(cluster.state.containsKey(RoleCluster.HOLDER));
  }

  @Test
  void aHolderThatCantBeReadIsNotReplacedByGuess() {
    RoleCluster cluster = new RoleCluster(10, true);
    cluster.state.preload(RoleCluster.HOLDER, Cbor.map().put("epoch", "seven"));
    cluster.clock.runUntil(SETTLED_MS);
    assertTrue(cluster.holder().isEmpty());
    assertEquals(0, cluster.plain.accepted());
  }

  @Test
  void aLeaseThatAllowsNoRenewalIsRefusedWithTheLeastThatDoes() {
    IllegalArgumentException refusal =
        assertThrows(IllegalArgumentException.class, () -> new LeaseTiming(400, 250));
    assertTrue(refusal.getMessage().contains("600 ms at least"), refusal.getMessage());
    new LeaseTiming(600, 450);
  }
}
