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
import org.ploverspindle.sim.ReferenceProgressRecords.Kind;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.SnapshotRecord;

/**
 * Progress under limits that fall: leaders of this version and a stand-in for the one in production
 * alternate on jobs whose shards were made under the old limits, with answers lost and writes late.
 * Each new leader reads the same as the reference reader of the documented formats, and for every
 * task a status that is possible given what earlier leaders knew to be durable.
 */
class LowerLimitsTest extends LowerLimitsScenario {
  /** A term of the version in production; after the limits fall all its writes are refused. */
  private void earlierVersionLeads(int steps) {
    ReferenceProgressRecords.OldWriter old =
        new ReferenceProgressRecords.OldWriter(
            state, newTerm(), OLD.maxValueBytes(), OLD.maxChangesPerTransaction());
    takeOver().forEach(old::knows);
    for (int i = 0; i < steps; i++) {
      List<Kind> kinds = List.copyOf(old.jobs());
      if (kinds.size() < 15) {
        Kind job = accept(SnapshotRecord.shardSizeFor(OLD.maxValueBytes()));
        String[] waiting = new String[job.tasks()];
        Arrays.fill(waiting, ReferenceProgressRecords.WAITING);
        old.knows(job, waiting);
        continue;
      }
      Kind job = kinds.get(random.nextInt(kinds.size()));
      if (random.nextInt(300) == 0) {
        old.over(job);
        cancelled(job);
        continue;
      }
      // Some bursts, whose records are larger than a value may be after the limits fall.
      int changedTasks = random.nextInt(12) == 0 ? 250 : 3;
      for (int k = 0; k < changedTasks; k++) {
        changeTask(old, job, random.nextInt(job.tasks()));
      }
      clock.runUntil(clock.nowMs() + 60);
      if (old.write() && old.clean()) {
        old.jobs()
            .forEach(j -> jobs.get(j).possible.forEach(m -> m.subList(0, m.size() - 1).clear()));
      }
    }
  }

  private void changeTask(ReferenceProgressRecords.OldWriter old, Kind job, int task) {
    String before = old.state(job)[task];
    if (before.equals(ReferenceProgressRecords.DONE)) {
      return;
    }
    String host = "i-" + (100_000 + random.nextInt(machines));
    String now;
    if (before.equals(ReferenceProgressRecords.WAITING)) {
      now = ReferenceProgressRecords.live((terms << 40) + ++attempts, host, AGENT_EPOCH);
    } else if (random.nextInt(3) > 0) {
      now = ReferenceProgressRecords.DONE;
    } else {
      now = ReferenceProgressRecords.WAITING;
    }
    old.now(job, task, now);
    jobs.get(job).possible.get(task).add(now);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void whoeverTakesOverReadsWhatWasRecorded(long seed) {
    random = new Random(seed);
    machines = seed % 2 == 0 ? 40 : 700;
    for (int term = 0; term < 8; term++) {
      if (term == 5) {
        state.setLimits(LOW);
      }
      if (term == 0 || random.nextInt(3) == 0) {
        earlierVersionLeads(150 + random.nextInt(500));
        continue;
      }
      WritingLeader leader = new WritingLeader(LOW, true);
      faults = random.nextInt(3) * 0.1;
      int steps = 500 + random.nextInt(3_000);
      for (int i = 0; i < steps; i++) {
        if (leader.leads.size() < 15) {
          leader.add(accept(SnapshotRecord.shardSizeFor(LOW.maxValueBytes())));
        }
        leader.step(true);
        clock.runUntil(clock.nowMs() + 12);
      }
      if (random.nextBoolean()) {
        leader.settle();
      }
      assertEquals(0, leader.client.refused, "refused for their size");
      assertTrue(!leader.deposed);
      leader.end();
    }
    takeOver();
  }

  private static SimulatedCluster.Deployment siteWithLimits(Settings.StateLimits limits) {
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
  void controllersGoOnWhenTheLimitsFall(long seed) {
    Settings.StateLimits next = new Settings.StateLimits(80, 20, 2, 4);
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed, siteWithLimits(new Settings.StateLimits(200, 60, 8, 12, Optional.of(next))));
    List<String> unknown = new ArrayList<>(List.of("large"));
    for (int i = 0; i < 200; i++) {
      unknown.add("type-that-the-cloud-does-not-name-" + i);
    }
    for (int i = 0; i < 120; i++) {
      int tasks = 1 + cluster.random.nextInt(i % 10 == 0 ? 120 : 6);
      boolean named = i % 7 == 0;
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> {
            JobSpec spec =
                JobSpecFixtures.batch(
                    cluster.newUid(), "c", "blue", Priority.NORMAL, tasks, 0.5, 0.1, 5, 0);
            cluster.submitAndPoll(named ? spec.withTypes(unknown) : spec);
          });
    }
    cluster.clock.after(50_000, () -> cluster.state.setLimits(next));
    cluster.clock.after(60_000, () -> cluster.crash(cluster.leader(), 1_000));
    cluster.clock.after(90_000, () -> cluster.crash(cluster.leader(), 1_000));
    cluster.clock.after(130_000, cluster::faultsEnded);
    cluster.clock.runUntil(400_000);
    cluster.checker.endOfDay();
    assertEquals(List.of(), cluster.checker.broken());
    assertEquals(120, cluster.checker.jobsDone());
    assertEquals(0, cluster.state.refusedAsTooLarge(), "refused for their size");
  }

  /** All slots hold records of the version in production, the oldest larger than a value may be. */
  @Test
  void aRecordTooLargeToBeReplacedIsPassedOverUntilItHasMovedOn() {
    random = new Random(9);
    fillAllSlotsByEarlierVersion();
    state.setLimits(LOW);
    for (int term = 0; term < 16; term++) {
      WritingLeader leader = new WritingLeader(LOW, true);
      // The first ones end before they have written all that it takes.
      for (int i = 0; i < (term < 12 ? 1 : 100); i++) {
        leader.step(true);
        clock.runUntil(clock.nowMs() + (term < 12 ? 10 + 2 * term : 100));
      }
      assertEquals(0, leader.client.refused);
      leader.end();
    }
    takeOver();
    long sequence = all(state).get(Keys.progressLog(1)).value().path("n").asLong();
    assertTrue(sequence > 257, "the slot of the large record holds " + sequence);
  }

  /** The oldest record holds the placements of all tasks of a large job. */
  private void fillAllSlotsByEarlierVersion() {
    ReferenceProgressRecords.OldWriter old =
        new ReferenceProgressRecords.OldWriter(
            state, newTerm(), OLD.maxValueBytes(), OLD.maxChangesPerTransaction());
    Kind large = new Kind("run-large", 260, SnapshotRecord.shardSizeFor(OLD.maxValueBytes()));
    Kind other = new Kind("run-other", 400, SnapshotRecord.shardSizeFor(OLD.maxValueBytes()));
    for (Kind job : List.of(large, other)) {
      jobs.put(job, new Truth(job.tasks()));
      String[] waiting = new String[job.tasks()];
      Arrays.fill(waiting, ReferenceProgressRecords.WAITING);
      old.knows(job, waiting);
    }
    for (int t = 0; t < large.tasks(); t++) {
      old.now(
          large,
          t,
          ReferenceProgressRecords.live((1L << 40) + ++attempts, "i-" + (200_000 + t), 3));
    }
    for (int i = 0; i < 256; i++) {
      assertTrue(old.write());
      old.now(other, i, ReferenceProgressRecords.live(++attempts, "i-" + (300_000 + i), 3));
      clock.runUntil(clock.nowMs() + 60);
    }
    for (Kind job : List.of(large, other)) {
      jobs.get(job).setRecorded(old.state(job));
    }
    jobs.get(other).possible.get(255).set(0, ReferenceProgressRecords.WAITING);
  }

  @Test
  void aWriteThatIsRefusedForItsSizeIsMadeSmallerUntilOneIsTaken() {
    state.setLimits(LOW);
    WritingLeader leader = new WritingLeader(OLD, false);
    for (int i = 0; i < 12; i++) {
      leader.add(accept(SnapshotRecord.shardSizeFor(OLD.maxValueBytes())));
    }
    for (int i = 0; i < 900; i++) {
      leader.step(true);
    }
    leader.settle();
    assertTrue(
        leader.client.refused > 0 && leader.client.refused < 8, leader.client.refused + " times");
    leader.end();
    takeOver();
  }
}
