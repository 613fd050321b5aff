package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.SnapshotRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Guards against a large job exceeding the rates of the state service, or delaying other jobs,
 * under lower limits: 60 requests and 15 changes per second, 2 KiB per value and 12 changes per
 * transaction.
 *
 * <p>The job's 100,000 tasks take thousands of snapshots, each a key that costs one change to write
 * and one to remove. The job is accepted, recovered, finished and cancelled beside other jobs. The
 * figures are logged at the level INFO; docs/design.md has them.
 */
class LargeJobUnderLowerLimitsTest {
  private static final Logger LOG = LoggerFactory.getLogger(LargeJobUnderLowerLimitsTest.class);
  private static final int TASKS = 100_000;
  private static final int CONTROLLERS = 7;
  private static final int SHARD_SIZE = 17;
  private static final int SHARDS = (TASKS + SHARD_SIZE - 1) / SHARD_SIZE;
  private static final double TASK_DURATION_S = 4;
  private static final int SMALL_JOB_INTERVAL_MS = 2_000;
  private static final int POLL_INTERVAL_MS = 20;
  private static final int CANCELLATION_LIMIT_MS = 39_000;
  private static final int LOADING_MS = 3_000;
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(60, 15, 2, 12);

  private final SimulatedCluster cluster;
  private final JobSpec large;
  private final List<JobSpec> smallJobs = new ArrayList<>();
  private final List<JobSpec> withoutCompletionRecord = new ArrayList<>();
  private boolean enoughSmallJobs;
  private final List<InvariantChecker.Start> largeJobStarts = new ArrayList<>();

  /** For each small job: when it completed, and how long the recording of that took, in ms. */
  private final List<long[]> completionDelays = new ArrayList<>();

  LargeJobUnderLowerLimitsTest() {
    cluster =
        new SimulatedCluster(
            1,
            new SimulatedCluster.Deployment(
                CONTROLLERS,
                120,
                List.of("a"),
                new Settings.WorkerLimits(3, 14, CANCELLATION_LIMIT_MS / 1_000.0),
                LIMITS,
                new Settings.CloudLimits(6, 8),
                List.of(
                    new Settings.Team("red", 100, 0, 0, 0),
                    new Settings.Team("blue", 100, 0, 0, 0)),
                new Policy(3, 30, 60, 0, Policy.UNBOUNDED, 30, Map.of())));
    large =
        JobSpecFixtures.batch(
            cluster.newUid(),
            "large",
            "red",
            Priority.NORMAL,
            TASKS,
            0.25,
            0.1,
            TASK_DURATION_S,
            0);
    cluster.checker.onTaskStart(
        start -> {
          if (start.uid().equals(large.uid())) {
            largeJobStarts.add(start);
          }
        });
    pollCompletions();
  }

  /** What the state service holds at a time, and the requests that it has received until then. */
  private record Usage(
      long atMs,
      int snapshots,
      long snapshotBytes,
      int keys,
      long bytes,
      long requests,
      long refused,
      double changes,
      int pages) {
    String since(Usage before) {
      return String.format(
          Locale.ROOT,
          "%.1f s, %d requests (%d refused), %.0f changes, %d pages; %d checkpoints with %d KiB, %d keys with"
              + " %d KiB in all",
          (atMs - before.atMs) / 1_000.0,
          requests - before.requests,
          refused - before.refused,
          changes - before.changes,
          pages - before.pages,
          snapshots,
          snapshotBytes / 1_024,
          keys,
          bytes / 1_024);
    }
  }

  private Usage usage() {
    SimStateStore state = cluster.state;
    return new Usage(
        cluster.clock.nowMs(),
        snapshotCount(),
        state.sizeInBytes(Keys.SNAPSHOTS),
        state.keyCount(Keys.PREFIX),
        state.sizeInBytes(Keys.PREFIX),
        state.requestLimiter.requestCount(),
        state.requestLimiter.refusedCount(),
        state.changeLimiter.requestedAmount(),
        state.pagesRead());
  }

  /** Submits a small job now and every 2 s from then on, until there are enough. */
  private void submitSmallJobs() {
    if (enoughSmallJobs) {
      return;
    }
    JobSpec job = DayEndCriteriaTest.job(cluster, "small", Priority.HIGH, 4, 1, 5, 60);
    smallJobs.add(job);
    withoutCompletionRecord.add(job);
    cluster.submitAndPoll(job);
    cluster.clock.after(SMALL_JOB_INTERVAL_MS, this::submitSmallJobs);
  }

  private void pollCompletions() {
    for (Iterator<JobSpec> jobs = withoutCompletionRecord.iterator(); jobs.hasNext(); ) {
      JobSpec job = jobs.next();
      if (cluster.state.containsKey(Keys.completion(job.uid()))) {
        long endedMs = cluster.checker.completedMs(job.uid());
        completionDelays.add(new long[] {endedMs, cluster.clock.nowMs() - endedMs});
        jobs.remove();
      }
    }
    cluster.clock.after(POLL_INTERVAL_MS, this::pollCompletions);
  }

  /**
   * Returns the median and the longest time in ms until the completion of a small job was recorded,
   * for the jobs that completed in this span of time.
   */
  private long[] completionDelayMs(long fromMs, long untilMs) {
    List<Long> delays =
        completionDelays.stream()
            .filter(d -> d[0] >= fromMs && d[0] < untilMs)
            .map(d -> d[1])
            .sorted()
            .toList();
    assertTrue(delays.size() >= 5, delays.size() + " small jobs completed, fewer than 5");
    return new long[] {delays.get(delays.size() / 2), delays.get(delays.size() - 1)};
  }

  private static String delayText(long[] delay) {
    return "median " + delay[0] + " ms, longest " + delay[1] + " ms";
  }

  private static void logMeasured(String what, String figures) {
    LOG.info("{}: {}", what, figures);
  }

  private void runFor(long forMs) {
    cluster.clock.runUntil(cluster.clock.nowMs() + forMs);
  }

  private long runUntil(BooleanSupplier condition, long maxMs) {
    long fromMs = cluster.clock.nowMs();
    while (!condition.getAsBoolean()) {
      assertTrue(
          cluster.clock.nowMs() - fromMs < maxMs,
          "the condition was not met within " + maxMs + " ms");
      runFor(POLL_INTERVAL_MS);
    }
    return cluster.clock.nowMs() - fromMs;
  }

  private int snapshotCount() {
    return cluster.state.keyCount(Keys.SNAPSHOTS);
  }

  private void assertRulesAndRatesKept(long refusedWhileLoading) {
    enoughSmallJobs = true;
    runFor(60_000);
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(0, cluster.state.refusedAsTooLarge(), "writes refused for their size");
    assertEquals(
        0, cluster.state.changeLimiter.refusedCount(), "changes refused because of their rate");
    assertEquals(
        refusedWhileLoading,
        cluster.state.requestLimiter.refusedCount(),
        "requests refused because of their rate, including those while loading");
    smallJobs.forEach(s -> assertTrue(cluster.checker.isDone(s.uid()), s.uid()));
  }

  /**
   * Stores the large job with all tasks done but the last ones, and a snapshot for each shard that
   * has a task done. Then submits and polls it.
   *
   * @param pendingTasks the number of tasks that are not done
   */
  private void preloadLargeJob(int pendingTasks) {
    cluster.state.preload(
        Keys.JOBS + large.uid(), new JobRecord(large, 1_800_000_000_000L, SHARD_SIZE).encode());
    int done = TASKS - pendingTasks;
    for (int shard = 0; shard * SHARD_SIZE < done; shard++) {
      BitSet completed = new BitSet();
      completed.set(shard * SHARD_SIZE, Math.min(done, (shard + 1) * SHARD_SIZE));
      cluster.state.preload(
          Keys.snapshot(large.uid(), shard),
          new SnapshotRecord(completed, List.of(), 0, 0).encode(done, 0));
    }
    cluster.submitAndPoll(large);
    for (int task = 0; task < done; task++) {
      cluster.checker.recordCompletion(large.uid(), task);
    }
  }

  @Test
  void largeJobIsAcceptedThenRecoveredByANewLeaderThenCancelled() {
    cluster.clock.after(3_000, this::submitSmallJobs);
    runFor(30_000);
    Usage before = usage();
    cluster.submitAndPoll(large);
    runUntil(() -> cluster.checker.isAccepted(large.uid()), 2_000);
    logMeasured("accepted after", usage().since(before));
    runUntil(() -> !largeJobStarts.isEmpty(), 20_000);
    logMeasured("first start after", usage().since(before));
    assertEquals(SHARD_SIZE, SnapshotRecord.maxShardSize(LIMITS.maxValueBytes()));

    runUntil(() -> cluster.checker.tasksDone(large.uid()) >= 10_000, 60_000);
    logMeasured("10,000 tasks done after", usage().since(before));
    takeOver();
    runFor(15_000);
    Usage cancel = usage();
    cancelLargeJob();
    long removed = runUntil(() -> snapshotCount() == 0, 60_000);
    logMeasured("its keys removed after", removed + " ms; " + usage().since(cancel));
    assertRulesAndRatesKept(0);
  }

  @Test
  void largeJobWithASnapshotOfEachShardIsRecoveredFinishedAndItsKeysRemoved() {
    preloadLargeJob(5_000);
    Usage begin = usage();
    cluster.clock.after(3_000, this::submitSmallJobs);
    runUntil(() -> cluster.leader() >= 0, 20_000);
    logMeasured("led after", usage().since(begin));
    long refused = refusedWhileAllLoad();
    logMeasured("loaded by all after", usage().since(begin));
    runUntil(() -> !largeJobStarts.isEmpty(), 30_000);
    logMeasured("first start after", usage().since(begin));
    runUntil(() -> cluster.checker.tasksDone(large.uid()) >= TASKS - 2_500, 60_000);
    takeOver();
    runUntil(() -> cluster.checker.isDone(large.uid()), 120_000);
    runUntil(() -> cluster.state.containsKey(Keys.completion(large.uid())), 20_000);
    Usage done = usage();
    logMeasured("done after", done.since(begin));
    awaitKeyRemoval(done);
    assertRulesAndRatesKept(refused);
  }

  @Test
  void cancelledLargeJobWithASnapshotOfEachShardDelaysOtherJobsLittle() {
    preloadLargeJob(20_000);
    cluster.clock.after(3_000, this::submitSmallJobs);
    long refused = refusedWhileAllLoad();
    runUntil(() -> cluster.checker.tasksDone(large.uid()) >= TASKS - 15_000, 60_000);
    Usage cancel = usage();
    cancelLargeJob();
    awaitKeyRemoval(cancel);
    assertRulesAndRatesKept(refused);
  }

  /**
   * Crashes the leader. Asserts that another one leads and starts tasks within 20 s, and that the
   * restarted controller needs few pages to read all keys.
   */
  private void takeOver() {
    Usage crash = usage();
    cluster.crash(cluster.leader(), 3_000);
    long leadsMs = runUntil(() -> cluster.leader() >= 0, 30_000);
    int startsBefore = largeJobStarts.size();
    long startsMs = runUntil(() -> anyOrderedAfter(startsBefore, crash.atMs()), 30_000);
    logMeasured("a new leader after", leadsMs + " ms, its first start " + startsMs + " ms");
    logMeasured("the takeover", usage().since(crash));
    assertTrue(leadsMs + startsMs < 20_000, "first start " + startsMs + " ms after the takeover");
    int pages = cluster.state.pagesRead() - crash.pages();
    assertTrue(pages <= SHARDS / 500 + 2, pages + " pages were read by the restarted controller");
  }

  /**
   * Waits until all controllers, which start at the same time, have read all keys. Requests may be
   * refused during this time only.
   *
   * @return the number of refused requests
   */
  private long refusedWhileAllLoad() {
    runUntil(() -> IntStream.range(0, CONTROLLERS).allMatch(cluster::isReady), 20_000);
    runFor(LOADING_MS);
    return cluster.state.requestLimiter.refusedCount();
  }

  private boolean anyOrderedAfter(int startsBefore, long orderedMs) {
    return largeJobStarts.subList(startsBefore, largeJobStarts.size()).stream()
        .anyMatch(s -> s.commandSentMs() > orderedMs);
  }

  private void cancelLargeJob() {
    cluster.cancel(large.uid(), 0);
    long abortedMs =
        runUntil(() -> cluster.checker.finalStatus(large.uid()).equals("aborted"), 2_000);
    long endedMs =
        runUntil(() -> cluster.checker.hostsOf(large.uid()).isEmpty(), CANCELLATION_LIMIT_MS);
    logMeasured("aborted after", abortedMs + " ms, all tasks gone " + endedMs + " ms later");
  }

  /**
   * Waits until all snapshots of the large job are removed. Asserts that this happens at more than
   * 7 keys per second, and that completions of small jobs are meanwhile recorded within 8 s.
   */
  private void awaitKeyRemoval(Usage from) {
    while (snapshotCount() > 0) {
      assertTrue(
          cluster.clock.nowMs() - from.atMs() < 800_000,
          snapshotCount() + " snapshots are left after 800 s");
      runFor(1_000);
    }
    Usage removed = usage();
    logMeasured("its keys removed after", removed.since(from));
    runFor(60_000);
    long[] during = completionDelayMs(from.atMs(), removed.atMs());
    long[] later = completionDelayMs(removed.atMs() + 5_000, cluster.clock.nowMs());
    logMeasured("ends of other jobs recorded meanwhile", delayText(during));
    logMeasured("ends of other jobs recorded afterwards", delayText(later));
    assertTrue(
        during[1] < 8_000, "the completion of a small job was recorded after " + during[1] + " ms");
    double perSecond = from.snapshots() * 1_000.0 / (removed.atMs() - from.atMs());
    assertTrue(perSecond > 7, perSecond + " keys were removed per second");
  }
}
