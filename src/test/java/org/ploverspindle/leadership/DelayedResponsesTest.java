package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.WorkerCommand;

/**
 * Checks when a delayed response is sent and which commands it has. Guards against tasks that wait
 * for the next heartbeat although a delayed response could launch them, against launches before the
 * placement is durable, and against heartbeats without a response.
 */
class DelayedResponsesTest {
  private static final long MAX_DELAY_MS = 1_800;

  private final SingleMachineFixture fixture =
      new SingleMachineFixture(SingleMachineFixture.spec(60, 0));
  private final DelayedResponses delayedResponses =
      new DelayedResponses(
          fixture.scheduler,
          fixture.machines,
          fixture.heartbeatHandler,
          () -> fixture.authoritative,
          MAX_DELAY_MS);
  private final List<HeartbeatHandler.Response> responses = new ArrayList<>();

  private Heartbeat delayResponse() {
    Heartbeat heartbeat = fixture.heartbeat(OptionalDouble.empty());
    delayedResponses.delay(heartbeat, responses::add, fixture.nowMs);
    return heartbeat;
  }

  private Placement placeDurably() {
    Placement placement = fixture.place();
    placement.markRecorded(fixture.nowMs);
    return placement;
  }

  private boolean shouldDelay(Heartbeat heartbeat) {
    return delayedResponses.shouldDelay(fixture.machine(), heartbeat, fixture.nowMs);
  }

  @Test
  void onlyTheNewestHeartbeatOfAMachineWithFreeCoresIsDelayed() {
    Heartbeat older = fixture.heartbeat(OptionalDouble.empty());
    assertTrue(shouldDelay(older));
    Heartbeat newer = fixture.heartbeat(OptionalDouble.empty());
    assertFalse(shouldDelay(older));
    assertTrue(shouldDelay(newer));
  }

  @Test
  void fullOrReclaimedMachineGetsItsResponseAtOnce() {
    Heartbeat heartbeat = fixture.heartbeat(OptionalDouble.empty());
    for (int i = 0; i < 4; i++) {
      fixture.place();
    }
    assertFalse(shouldDelay(heartbeat), "all four cores are in use");
    SingleMachineFixture reclaimed = new SingleMachineFixture(SingleMachineFixture.spec(60, 0));
    Heartbeat notice = reclaimed.heartbeat(OptionalDouble.of(20));
    assertFalse(delayedResponses.shouldDelay(reclaimed.machine(), notice, reclaimed.nowMs));
  }

  @Test
  void launchIsSentAsSoonAsItsPlacementIsDurableAndNotBefore() {
    delayResponse();
    Placement placement = fixture.place();
    delayedResponses.releaseDue();
    assertEquals(List.of(), responses);
    placement.markRecorded(fixture.nowMs);
    delayedResponses.releaseDue();
    assertEquals(
        List.of(new WorkerCommand.Launch("job", placement.task(), placement.attempt())),
        responses.get(0).commands());
    assertEquals(Placement.Phase.SENT, placement.phase());
  }

  @Test
  void responseWithoutCommandsIsSentWhenItsDelayEnds() {
    delayResponse();
    fixture.nowMs += MAX_DELAY_MS - 1;
    delayedResponses.releaseDue();
    assertEquals(0, responses.size());
    fixture.nowMs += 1;
    delayedResponses.releaseDue();
    assertEquals(List.of(), responses.get(0).commands());
  }

  /**
   * Guards against a launch by a leader whose lease may have expired: another leader may have
   * placed the task on another machine.
   */
  @Test
  void responseWithoutAuthorityIsSentAtOnceAndLaunchesNothing() {
    delayResponse();
    Placement placement = placeDurably();
    fixture.authoritative = false;
    delayedResponses.releaseDue();
    assertEquals(List.of(), responses.get(0).commands());
    assertEquals(Placement.Phase.READY, placement.phase());
  }

  @Test
  void responseToAnOutdatedHeartbeatLaunchesNothing() {
    delayResponse();
    fixture.authoritative = false;
    fixture.heartbeat(OptionalDouble.empty());
    fixture.authoritative = true;
    Placement placement = placeDurably();
    delayedResponses.release(SingleMachineFixture.HOST);
    assertEquals(List.of(), responses.get(0).commands());
    assertEquals(Placement.Phase.READY, placement.phase());
  }

  @Test
  void repeatedReleaseSendsOneResponse() {
    delayResponse();
    delayedResponses.release(SingleMachineFixture.HOST);
    delayedResponses.release(SingleMachineFixture.HOST);
    delayedResponses.releaseAll();
    assertEquals(1, responses.size());
  }

  @Test
  void releaseAllSendsDelayedResponses() {
    delayResponse();
    delayedResponses.releaseAll();
    assertEquals(1, responses.size());
  }
}
