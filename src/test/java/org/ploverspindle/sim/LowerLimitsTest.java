package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.SnapshotRecord;

/**
 * Guards against progress being lost, misread or no longer written once the limits of the state
 * service have fallen below what earlier records took.
 *
 * <p>Leaders of this version and simulated leaders of the version in production alternate on jobs
 * whose shards were sized for the higher limits, while transactions are lost, late or not answered.
 * Each new leader must read the same as the reference reader of the documented formats, and for
 * every task a status that is possible given what earlier leaders knew to be durable.
 */
class LowerLimitsTest extends LowerLimitsScenario {
  /**
   * Simulates a term of the version in production, which keeps writing in the sizes of the higher
   * limits. After the limits have fallen, those of its writes that exceed them are refused.
   */
  private void earlierVersionLeads(int steps) {
    ReferenceProgressRecords.EarlierVersionWriter writer =
        new ReferenceProgressRecords.EarlierVersionWriter(
            state, newTerm(), HIGHER.maxValueBytes(), HIGHER.maxChangesPerTransaction());
    takeOver().forEach(writer::addJob);
    for (int i = 0; i < steps; i++) {
      List<StoredJob> storedJobs = List.copyOf(writer.jobs());
      if (storedJobs.size() < 15) {
        StoredJob job = accept(SnapshotRecord.maxShardSize(HIGHER.maxValueBytes()));
        String[] waiting = new String[job.tasks()];
        Arrays.fill(waiting, ReferenceProgressRecords.WAITING);
        writer.addJob(job, waiting);
        continue;
      }
      StoredJob job = storedJobs.get(random.nextInt(storedJobs.size()));
      if (random.nextInt(300) == 0) {
        writer.removeJob(job);
        putCancellation(job);
        continue;
      }
      // One step in 12 is a burst of up to 250 changes. Its record is larger than a value may be
      // after the limits have fallen.
      int changedTasks = random.nextInt(12) == 0 ? 250 : 3;
      for (int change = 0; change < changedTasks; change++) {
        changeTask(writer, job, random.nextInt(job.tasks()));
      }
      clock.runUntil(clock.nowMs() + 60);
      if (writer.write() && writer.allWritten()) {
        writer
            .jobs()
            .forEach(
                j ->
                    jobs.get(j)
                        .byTask
                        .forEach(statuses -> statuses.subList(0, statuses.size() - 1).clear()));
      }
    }
  }

  private void changeTask(
      ReferenceProgressRecords.EarlierVersionWriter writer, StoredJob job, int task) {
    String before = writer.statuses(job)[task];
    if (before.equals(ReferenceProgressRecords.DONE)) {
      return;
    }
    String machineId = "i-" + (100_000 + random.nextInt(machineCount));
    String after;
    if (before.equals(ReferenceProgressRecords.WAITING)) {
      after =
          ReferenceProgressRecords.liveStatus((terms << 40) + ++attempts, machineId, WORKER_EPOCH);
    } else if (random.nextInt(3) > 0) {
      after = ReferenceProgressRecords.DONE;
    } else {
      after = ReferenceProgressRecords.WAITING;
    }
    writer.setStatus(job, task, after);
    jobs.get(job).byTask.get(task).add(after);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void newLeaderReadsWhatWasRecordedBeforeAndAfterTheLimitsFall(long seed) {
    random = new Random(seed);
    machineCount = seed % 2 == 0 ? 40 : 700;
    for (int term = 0; term < 8; term++) {
      if (term == 5) {
        state.setLimits(LOWER);
      }
      if (term == 0 || random.nextInt(3) == 0) {
        earlierVersionLeads(150 + random.nextInt(500));
        continue;
      }
      WritingLeader leader = new WritingLeader(LOWER, true);
      faultProbability = random.nextInt(3) * 0.1;
      int steps = 500 + random.nextInt(3_000);
      for (int i = 0; i < steps; i++) {
        if (leader.ledJobs.size() < 15) {
          leader.addJob(accept(SnapshotRecord.maxShardSize(LOWER.maxValueBytes())));
        }
        leader.step(true);
        clock.runUntil(clock.nowMs() + 12);
      }
      if (random.nextBoolean()) {
        leader.settle();
      }
      assertEquals(0, leader.client.refusedAsTooLarge, "writes refused for their size");
      assertTrue(!leader.deposed);
      leader.stop();
    }
    takeOver();
  }

  private static SimulatedCluster.Deployment deploymentWithLimits(Settings.StateLimits limits) {
    SimulatedCluster.Deployment small = SimulatedCluster.Deployment.small(3, 30, List.of("a", "b"));
    return new SimulatedCluster.Deployment(
        small.controllerCount(),
        small.capacity(),
        small.zones(),
        small.workers(),
        limits,
        small.cloud(),
        small.teams(),
        small.policy());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void controllersFinishAllJobsAfterTheLimitsFall(long seed) {
    Settings.StateLimits lowerLimits = new Settings.StateLimits(80, 20, 2, 4);
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            deploymentWithLimits(
                new Settings.StateLimits(200, 60, 8, 12, Optional.of(lowerLimits))));
    List<String> typesWithUnknownNames = new ArrayList<>(List.of("large"));
    for (int i = 0; i < 200; i++) {
      typesWithUnknownNames.add("type-that-the-cloud-does-not-name-" + i);
    }
    for (int i = 0; i < 120; i++) {
      int tasks = 1 + cluster.random.nextInt(i % 10 == 0 ? 120 : 6);
      boolean restrictsTypes = i % 7 == 0;
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> {
            JobSpec spec =
                JobSpecFixtures.batch(
                    cluster.newUid(), "c", "blue", Priority.NORMAL, tasks, 0.5, 0.1, 5, 0);
            cluster.submitAndPoll(restrictsTypes ? spec.withTypes(typesWithUnknownNames) : spec);
          });
    }
    cluster.clock.after(50_000, () -> cluster.state.setLimits(lowerLimits));
    cluster.clock.after(60_000, () -> cluster.crash(cluster.leader(), 1_000));
    cluster.clock.after(90_000, () -> cluster.crash(cluster.leader(), 1_000));
    cluster.clock.after(130_000, cluster::faultsEnded);
    cluster.clock.runUntil(400_000);
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(120, cluster.checker.jobsDone());
    assertEquals(0, cluster.state.refusedAsTooLarge(), "writes refused for their size");
  }

  /**
   * All 256 slots hold log records of the version in production, and the oldest of these is larger
   * than a value may be under the lower limits. Its slot is skipped until leaders of this version
   * have written its statuses elsewhere, and is then reused.
   */
  @Test
  void slotOfAnOversizedRecordIsReusedWithoutLosingItsPlacements() {
    random = new Random(9);
    fillAllSlotsByEarlierVersion();
    state.setLimits(LOWER);
    for (int term = 0; term < 16; term++) {
      WritingLeader leader = new WritingLeader(LOWER, true);
      // The first 12 leaders end before they have written all that the reuse of the slot takes.
      for (int i = 0; i < (term < 12 ? 1 : 100); i++) {
        leader.step(true);
        clock.runUntil(clock.nowMs() + (term < 12 ? 10 + 2 * term : 100));
      }
      assertEquals(0, leader.client.refusedAsTooLarge);
      leader.stop();
    }
    takeOver();
    long sequence = allEntries(state).get(Keys.progressLog(1)).value().path("n").asLong();
    assertTrue(
        sequence > 257, "the slot of the oversized record holds sequence number " + sequence);
  }

  /**
   * Fills all 256 slots with log records. The oldest holds the placements of all 260 tasks of a
   * large job.
   */
  private void fillAllSlotsByEarlierVersion() {
    ReferenceProgressRecords.EarlierVersionWriter writer =
        new ReferenceProgressRecords.EarlierVersionWriter(
            state, newTerm(), HIGHER.maxValueBytes(), HIGHER.maxChangesPerTransaction());
    StoredJob large =
        new StoredJob("run-large", 260, SnapshotRecord.maxShardSize(HIGHER.maxValueBytes()));
    StoredJob other =
        new StoredJob("run-other", 400, SnapshotRecord.maxShardSize(HIGHER.maxValueBytes()));
    for (StoredJob job : List.of(large, other)) {
      jobs.put(job, new PossibleStatuses(job.tasks()));
      String[] waiting = new String[job.tasks()];
      Arrays.fill(waiting, ReferenceProgressRecords.WAITING);
      writer.addJob(job, waiting);
    }
    for (int task = 0; task < large.tasks(); task++) {
      writer.setStatus(
          large,
          task,
          ReferenceProgressRecords.liveStatus((1L << 40) + ++attempts, "i-" + (200_000 + task), 3));
    }
    for (int i = 0; i < 256; i++) {
      assertTrue(writer.write());
      writer.setStatus(
          other, i, ReferenceProgressRecords.liveStatus(++attempts, "i-" + (300_000 + i), 3));
      clock.runUntil(clock.nowMs() + 60);
    }
    for (StoredJob job : List.of(large, other)) {
      jobs.get(job).setRecorded(writer.statuses(job));
    }
    jobs.get(other).byTask.get(255).set(0, ReferenceProgressRecords.WAITING);
  }

  @Test
  void writeRefusedForItsSizeIsRetriedSmallerUntilAccepted() {
    state.setLimits(LOWER);
    WritingLeader leader = new WritingLeader(HIGHER, false);
    for (int i = 0; i < 12; i++) {
      leader.addJob(accept(SnapshotRecord.maxShardSize(HIGHER.maxValueBytes())));
    }
    for (int i = 0; i < 900; i++) {
      leader.step(true);
    }
    leader.settle();
    assertTrue(
        leader.client.refusedAsTooLarge > 0 && leader.client.refusedAsTooLarge < 8,
        leader.client.refusedAsTooLarge + " writes refused for their size");
    leader.stop();
    takeOver();
  }
}
