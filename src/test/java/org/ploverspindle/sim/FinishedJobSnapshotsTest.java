package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.SnapshotRecord;

/**
 * Guards against snapshots of finished jobs that stay in the state service, and so in the replica
 * of every controller, for good, if the leader changes before it has removed them.
 */
class FinishedJobSnapshotsTest {
  private static final int SHARD_SIZE = 17;
  private static final int SHARDS = 400;
  private static final int TASKS = SHARDS * SHARD_SIZE;
  private static final int PENDING_TASKS = SHARD_SIZE;
  private static final long STEP_MS = 100;
  private static final long COMPLETION_LIMIT_MS = 120_000;

  /** More than ten times as long as the removal takes at the rate of the state service. */
  private static final long REMOVAL_LIMIT_MS = 600_000;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          1,
          new SimulatedCluster.Deployment(
              3,
              120,
              List.of("a"),
              new Settings.WorkerLimits(3, 14, 39),
              new Settings.StateLimits(60, 15, 2, 12),
              new Settings.CloudLimits(6, 8),
              List.of(new Settings.Team("red", 100, 0, 0, 0)),
              new Policy(3, 30, 60, 0, Policy.UNBOUNDED, 30, Map.of())));

  @Test
  void snapshotsOfAFinishedJobAreRemovedAfterAChangeOfLeader() {
    JobSpec job =
        JobSpecFixtures.batch(
            cluster.newUid(), "large", "red", Priority.NORMAL, TASKS, 0.25, 0.1, 4, 0);
    preload(job);
    cluster.submitAndPoll(job);
    for (int task = 0; task < TASKS - PENDING_TASKS; task++) {
      cluster.checker.recordCompletion(job.uid(), task);
    }
    while (!cluster.state.containsKey(Keys.completion(job.uid()))) {
      runFor(STEP_MS);
      assertTrue(cluster.clock.nowMs() < COMPLETION_LIMIT_MS, "the job is not done");
    }
    cluster.crash(cluster.leader(), 3_000);
    assertTrue(cluster.state.keyCount(Keys.SNAPSHOTS) > 0, "no snapshot was left at the crash");
    runFor(REMOVAL_LIMIT_MS);
    assertEquals(0, cluster.state.keyCount(Keys.SNAPSHOTS), "snapshots of a finished job");
  }

  /** Stores the job with a snapshot of each shard, all of whose tasks are done but the last. */
  private void preload(JobSpec job) {
    cluster.state.preload(
        Keys.JOBS + job.uid(), new JobRecord(job, 1_800_000_000_000L, SHARD_SIZE).encode());
    for (int shard = 0; shard < SHARDS - 1; shard++) {
      BitSet completed = new BitSet();
      completed.set(shard * SHARD_SIZE, (shard + 1) * SHARD_SIZE);
      cluster.state.preload(
          Keys.snapshot(job.uid(), shard),
          new SnapshotRecord(completed, List.of(), 0, 0).encode(TASKS - PENDING_TASKS, 0));
    }
  }

  private void runFor(long durationMs) {
    cluster.clock.runUntil(cluster.clock.nowMs() + durationMs);
  }
}
