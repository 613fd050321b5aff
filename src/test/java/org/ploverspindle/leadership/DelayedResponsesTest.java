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

/** When a held answer goes out, and with what. */
class DelayedResponsesTest {
  private static final long HOLD_MS = 1_800;

  private final SingleMachineFixture site =
      new SingleMachineFixture(SingleMachineFixture.spec(60, 0));
  private final DelayedResponses held =
      new DelayedResponses(site.scheduler, site.fleet, site.handler, () -> site.mayDecide, HOLD_MS);
  private final List<HeartbeatHandler.Response> replies = new ArrayList<>();

  private Heartbeat holdOne() {
    Heartbeat report = site.report(OptionalDouble.empty());
    held.delay(report, replies::add, site.nowMs);
    return report;
  }

  private Placement recorded() {
    Placement placement = site.place();
    placement.markRecorded(site.nowMs);
    return placement;
  }

  private boolean worthHolding(Heartbeat report) {
    return held.isWorthDelaying(site.machine(), report, site.nowMs);
  }

  @Test
  void theNewestReportOfAMachineWithRoomIsWorthHolding() {
    Heartbeat older = site.report(OptionalDouble.empty());
    assertTrue(worthHolding(older));
    Heartbeat newer = site.report(OptionalDouble.empty());
    assertFalse(worthHolding(older));
    assertTrue(worthHolding(newer));
  }

  @Test
  void aMachineThatIsFullOrTakenBackIsAnsweredAtOnce() {
    Heartbeat report = site.report(OptionalDouble.empty());
    for (int i = 0; i < 4; i++) {
      site.place();
    }
    assertFalse(worthHolding(report), "all four cores are taken");
    SingleMachineFixture recalled = new SingleMachineFixture(SingleMachineFixture.spec(60, 0));
    Heartbeat notice = recalled.report(OptionalDouble.of(20));
    assertFalse(held.isWorthDelaying(recalled.machine(), notice, recalled.nowMs));
  }

  @Test
  void aLaunchGoesOutAsSoonAsItIsDurableAndNotBefore() {
    holdOne();
    Placement placement = site.place();
    held.releaseDue();
    assertEquals(List.of(), replies);
    placement.markRecorded(site.nowMs);
    held.releaseDue();
    assertEquals(
        List.of(new WorkerCommand.Launch("job", placement.task(), placement.attempt())),
        replies.get(0).commands());
    assertEquals(Placement.Phase.SENT, placement.phase());
  }

  @Test
  void withoutOrdersTheAnswerGoesOutWhenItsTimeIsOver() {
    holdOne();
    site.nowMs += HOLD_MS - 1;
    held.releaseDue();
    assertEquals(0, replies.size());
    site.nowMs += 1;
    held.releaseDue();
    assertEquals(List.of(), replies.get(0).commands());
  }

  /** A leader that is not sure of its lead would launch what another one has placed elsewhere. */
  @Test
  void withoutASureLeadTheAnswerGoesOutAtOnceAndLaunchesNothing() {
    holdOne();
    Placement placement = recorded();
    site.mayDecide = false;
    held.releaseDue();
    assertEquals(List.of(), replies.get(0).commands());
    assertEquals(Placement.Phase.READY, placement.phase());
  }

  @Test
  void anAnswerToAReportThatIsNoLongerTheNewestLaunchesNothing() {
    holdOne();
    site.mayDecide = false;
    site.report(OptionalDouble.empty());
    site.mayDecide = true;
    Placement placement = recorded();
    held.release(SingleMachineFixture.HOST);
    assertEquals(List.of(), replies.get(0).commands());
    assertEquals(Placement.Phase.READY, placement.phase());
  }

  @Test
  void eachIsAnsweredOnce() {
    holdOne();
    held.release(SingleMachineFixture.HOST);
    held.release(SingleMachineFixture.HOST);
    held.releaseAll();
    assertEquals(1, replies.size());
  }

  @Test
  void allAreAnsweredWhenTheTermEnds() {
    holdOne();
    held.releaseAll();
    assertEquals(1, replies.size());
  }
}
