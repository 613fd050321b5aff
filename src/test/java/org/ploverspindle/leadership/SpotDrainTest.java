package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.placement.RuntimeEstimates;

/**
 * Checks whether, and with what grace period, a running task is stopped when its spot machine is
 * reclaimed. Guards against work that is lost because no checkpoint was written in time, and
 * against stops of tasks that would have completed.
 */
class SpotDrainTest {
  private final SpotDrain drain = new SpotDrain(new RuntimeEstimates());

  /**
   * The placement of a task that ran for {@code ranS} seconds before a notice of {@code noticeS}.
   */
  private Placement placementAfterNotice(JobSpec spec, double ranS, double noticeS) {
    SingleMachineFixture fixture = new SingleMachineFixture(spec);
    fixture.heartbeat(OptionalDouble.empty());
    Placement placement = fixture.placeRunning();
    fixture.nowMs += Math.round(ranS * 1_000);
    sendNotice(fixture, placement, noticeS);
    return placement;
  }

  private void sendNotice(SingleMachineFixture fixture, Placement placement, double noticeS) {
    fixture.heartbeat(
        OptionalDouble.of(noticeS),
        new Heartbeat.TaskStatus(
            "job",
            placement.task(),
            placement.attempt(),
            Heartbeat.Phase.RUNNING,
            Heartbeat.ExitReason.NONE,
            false));
    drain.drain(fixture.machine(), fixture.nowMs);
  }

  @Test
  void taskThatEndsInTimeIsNotStopped() {
    assertFalse(placementAfterNotice(SingleMachineFixture.spec(20, 0), 15, 10).isStopping());
    assertFalse(placementAfterNotice(SingleMachineFixture.spec(20, 2), 15, 10).isStopping());
  }

  @Test
  void checkpointGetsTwiceItsCost() {
    Placement placement = placementAfterNotice(SingleMachineFixture.spec(60, 2), 5, 10);
    assertTrue(placement.isStopping());
    assertEquals(4, placement.gracePeriodS());
  }

  @Test
  void checkpointGetsNoMoreThanTheNotice() {
    assertEquals(3, placementAfterNotice(SingleMachineFixture.spec(60, 2), 5, 3).gracePeriodS());
  }

  @Test
  void taskThatCannotCheckpointInTimeIsStoppedAtOnce() {
    Placement placement = placementAfterNotice(SingleMachineFixture.spec(60, 2), 5, 1.5);
    assertTrue(placement.isStopping());
    assertEquals(0, placement.gracePeriodS());
  }

  @Test
  void taskWithoutCheckpointsIsStoppedOnlyIfItsEndIsFarBeyondTheNotice() {
    assertFalse(
        placementAfterNotice(SingleMachineFixture.spec(20, 0), 8, 10).isStopping(),
        "12 s left to run, less than 1.5 times the notice of 10 s");
    assertTrue(
        placementAfterNotice(SingleMachineFixture.spec(20, 0), 4, 10).isStopping(),
        "16 s left to run, more than 1.5 times the notice of 10 s");
  }

  @Test
  void serviceIsStoppedAtOnce() {
    Placement placement = placementAfterNotice(SingleMachineFixture.spec(0, 0), 500, 30);
    assertTrue(placement.isStopping());
    assertEquals(0, placement.gracePeriodS());
  }

  @Test
  void repeatedNoticeDoesNotShortenACheckpoint() {
    SingleMachineFixture fixture = new SingleMachineFixture(SingleMachineFixture.spec(60, 2));
    fixture.heartbeat(OptionalDouble.empty());
    Placement placement = fixture.placeRunning();
    sendNotice(fixture, placement, 10);
    fixture.nowMs += 8_500;
    sendNotice(fixture, placement, 1.5);
    assertEquals(4, placement.gracePeriodS());
  }
}
