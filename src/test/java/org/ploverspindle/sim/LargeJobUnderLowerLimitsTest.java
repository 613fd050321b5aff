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
 * A job of 100,000 tasks where a value holds 2 KiB and a transaction 12 changes: its checkpoints
 * are thousands of keys, each of which costs a change to write and one to remove. It is accepted,
 * recovered, finished and cancelled within the published rates, beside other jobs. The figures are
 * logged at the level INFO; docs/design.md has them.
 */
class LargeJobUnderLowerLimitsTest {
  private static final Logger LOG = LoggerFactory.getLogger(LargeJobUnderLowerLimitsTest.class);
  private static final int TASKS = 100_000;
  private static final int NODES = 7;
  private static final int CHUNK = 17;
  private static final int CHUNKS = (TASKS + CHUNK - 1) / CHUNK;
  private static final double TASK_S = 4;
  private static final int SMALL_EVERY_MS = 2_000;
  private static final int LOOK_EVERY_MS = 20;
  private static final int CANCEL_MS = 39_000;
  private static final int LOADING_MS = 3_000;
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(60, 15, 2, 12);

  private final SimulatedCluster cluster;
  private final JobSpec large;
  private final List<JobSpec> small = new ArrayList<>();
  private final List<JobSpec> unrecorded = new ArrayList<>();
  private boolean enoughSmallJobs;
  private final List<InvariantChecker.Start> starts = new ArrayList<>();

  /** How long ends of other jobs took to be recorded, by when they came. */
  private final List<long[]> endDelays = new ArrayList<>();

  LargeJobUnderLowerLimitsTest() {
    cluster =
        new SimulatedCluster(
            1,
            new SimulatedCluster.Deployment(
                NODES,
                120,
                List.of("a"),
                new Settings.WorkerLimits(3, 14, CANCEL_MS / 1_000.0),
                LIMITS,
                new Settings.CloudLimits(6, 8),
                List.of(
                    new Settings.Team("red", 100, 0, 0, 0),
                    new Settings.Team("blue", 100, 0, 0, 0)),
                new Policy(3, 30, 60, 0, Policy.UNBOUNDED, 30, Map.of())));
    large =
        JobSpecFixtures.batch(
            cluster.newUid(), "large", "red", Priority.NORMAL, TASKS, 0.25, 0.1, TASK_S, 0);
    cluster.checker.whenATaskStarts(
        start -> {
          if (start.uid().equals(large.uid())) {
            starts.add(start);
          }
        });
    lookForEnds();
  }

  /** What stands in the state service, and what was asked of it. */
  private record Usage(
      long atMs,
      int checkpoints,
      long checkpointBytes,
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
          checkpoints,
          checkpointBytes / 1_024,
          keys,
          bytes / 1_024);
    }
  }

  private Usage usage() {
    SimStateStore state = cluster.state;
    return new Usage(
        cluster.clock.nowMs(),
        checkpoints(),
        state.sizeInBytes(Keys.SNAPSHOTS),
        state.keyCount(Keys.PREFIX),
        state.sizeInBytes(Keys.PREFIX),
        state.requestLimiter.requestCount(),
        state.requestLimiter.refusedCount(),
        state.changeLimiter.requestedAmount(),
        state.pagesRead());
  }

  /** From now on another job comes every so often, until they are enough. */
  private void smallJobs() {
    if (enoughSmallJobs) {
      return;
    }
    JobSpec s = DayEndCriteriaTest.job(cluster, "small", Priority.HIGH, 4, 1, 5, 60);
    small.add(s);
    unrecorded.add(s);
    cluster.submitAndPoll(s);
    cluster.clock.after(SMALL_EVERY_MS, this::smallJobs);
  }

  private void lookForEnds() {
    for (Iterator<JobSpec> it = unrecorded.iterator(); it.hasNext(); ) {
      JobSpec s = it.next();
      if (cluster.state.containsKey(Keys.completion(s.uid()))) {
        long endedMs = cluster.checker.doneMs(s.uid());
        endDelays.add(new long[] {endedMs, cluster.clock.nowMs() - endedMs});
        it.remove();
      }
    }
    cluster.clock.after(LOOK_EVERY_MS, this::lookForEnds);
  }

  /** The median and the longest time until an end that came in this time was recorded. */
  private long[] endDelayMs(long fromMs, long untilMs) {
    List<Long> delays =
        endDelays.stream()
            .filter(d -> d[0] >= fromMs && d[0] < untilMs)
            .map(d -> d[1])
            .sorted()
            .toList();
    assertTrue(delays.size() >= 5, delays.size() + " jobs ended");
    return new long[] {delays.get(delays.size() / 2), delays.get(delays.size() - 1)};
  }

  private static String text(long[] delay) {
    return "median " + delay[0] + " ms, longest " + delay[1] + " ms";
  }

  private static void measured(String what, String figures) {
    LOG.info("{}: {}", what, figures);
  }

  private void run(long forMs) {
    cluster.clock.runUntil(cluster.clock.nowMs() + forMs);
  }

  private long runUntil(BooleanSupplier test, long mostMs) {
    long fromMs = cluster.clock.nowMs();
    while (!test.getAsBoolean()) {
      assertTrue(cluster.clock.nowMs() - fromMs < mostMs, "not within " + mostMs + " ms");
      run(LOOK_EVERY_MS);
    }
    return cluster.clock.nowMs() - fromMs;
  }

  private int checkpoints() {
    return cluster.state.keyCount(Keys.SNAPSHOTS);
  }

  private void assertWithinTheRules(long refusedAtFirst) {
    enoughSmallJobs = true;
    run(60_000);
    cluster.checker.endOfDay();
    assertEquals(List.of(), cluster.checker.broken());
    assertEquals(0, cluster.state.refusedAsTooLarge(), "refused for their size");
    assertEquals(0, cluster.state.changeLimiter.refusedCount(), "changes stay below the rate");
    assertEquals(
        refusedAtFirst, cluster.state.requestLimiter.refusedCount(), "requests below the rate");
    small.forEach(s -> assertTrue(cluster.checker.isDone(s.uid()), s.uid()));
  }

  /** All its tasks but the last ones are done, and each chunk has its checkpoint. */
  private void accepted(int toDo) {
    cluster.state.preload(
        Keys.JOBS + large.uid(), new JobRecord(large, 1_800_000_000_000L, CHUNK).encode());
    int done = TASKS - toDo;
    for (int chunk = 0; chunk * CHUNK < done; chunk++) {
      BitSet tasks = new BitSet();
      tasks.set(chunk * CHUNK, Math.min(done, (chunk + 1) * CHUNK));
      cluster.state.preload(
          Keys.snapshot(large.uid(), chunk),
          new SnapshotRecord(tasks, List.of(), 0, 0).encode(done, 0));
    }
    cluster.submitAndPoll(large);
    for (int task = 0; task < done; task++) {
      cluster.checker.completes(large.uid(), task);
    }
  }

  @Test
  void isAcceptedRecoveredMidwayAndCancelled() {
    cluster.clock.after(3_000, this::smallJobs);
    run(30_000);
    Usage before = usage();
    cluster.submitAndPoll(large);
    runUntil(() -> cluster.checker.isAccepted(large.uid()), 2_000);
    measured("accepted after", usage().since(before));
    runUntil(() -> !starts.isEmpty(), 20_000);
    measured("first start after", usage().since(before));
    assertEquals(CHUNK, SnapshotRecord.shardSizeFor(LIMITS.maxValueBytes()));

    runUntil(() -> cluster.checker.tasksDone(large.uid()) >= 10_000, 60_000);
    measured("10,000 tasks done after", usage().since(before));
    takeOver();
    run(15_000);
    Usage cancel = usage();
    cancel();
    long removed = runUntil(() -> checkpoints() == 0, 60_000);
    measured("its keys removed after", removed + " ms; " + usage().since(cancel));
    assertWithinTheRules(0);
  }

  @Test
  void isRecoveredFromACheckpointOfEachChunkFinishedAndItsKeysRemoved() {
    accepted(5_000);
    Usage begin = usage();
    cluster.clock.after(3_000, this::smallJobs);
    runUntil(() -> cluster.leader() >= 0, 20_000);
    measured("led after", usage().since(begin));
    long refused = refusedWhileAllLoad();
    measured("loaded by all after", usage().since(begin));
    runUntil(() -> !starts.isEmpty(), 30_000);
    measured("first start after", usage().since(begin));
    runUntil(() -> cluster.checker.tasksDone(large.uid()) >= TASKS - 2_500, 60_000);
    takeOver();
    runUntil(() -> cluster.checker.isDone(large.uid()), 120_000);
    runUntil(() -> cluster.state.containsKey(Keys.completion(large.uid())), 20_000);
    Usage done = usage();
    measured("done after", done.since(begin));
    removed(done);
    assertWithinTheRules(refused);
  }

  @Test
  void isCancelledWithACheckpointOfEachChunkBesideOtherJobs() {
    accepted(20_000);
    cluster.clock.after(3_000, this::smallJobs);
    long refused = refusedWhileAllLoad();
    runUntil(() -> cluster.checker.tasksDone(large.uid()) >= TASKS - 15_000, 60_000);
    Usage cancel = usage();
    cancel();
    removed(cancel);
    assertWithinTheRules(refused);
  }

  /** The leader ends, and another leads and starts tasks. */
  private void takeOver() {
    Usage crash = usage();
    cluster.crash(cluster.leader(), 3_000);
    long leadsMs = runUntil(() -> cluster.leader() >= 0, 30_000);
    int known = starts.size();
    long startsMs = runUntil(() -> anyOrderedAfter(known, crash.atMs()), 30_000);
    measured("a new leader after", leadsMs + " ms, its first start " + startsMs + " ms");
    measured("the takeover", usage().since(crash));
    assertTrue(leadsMs + startsMs < 20_000, "first start " + startsMs + " ms after the takeover");
    int pages = cluster.state.pagesRead() - crash.pages();
    assertTrue(pages <= CHUNKS / 500 + 2, pages + " pages were read by the node that came back");
  }

  /** All nodes begin at once and read all keys: for these seconds alone requests are refused. */
  private long refusedWhileAllLoad() {
    runUntil(() -> IntStream.range(0, NODES).allMatch(cluster::isReady), 20_000);
    run(LOADING_MS);
    return cluster.state.requestLimiter.refusedCount();
  }

  private boolean anyOrderedAfter(int known, long orderedMs) {
    return starts.subList(known, starts.size()).stream().anyMatch(s -> s.orderedMs() > orderedMs);
  }

  private void cancel() {
    cluster.cancel(large.uid(), 0);
    long toldMs = runUntil(() -> cluster.checker.finalWord(large.uid()).equals("aborted"), 2_000);
    long goneMs = runUntil(() -> cluster.checker.hostsOf(large.uid()).isEmpty(), CANCEL_MS);
    measured("aborted after", toldMs + " ms, all tasks gone " + goneMs + " ms later");
  }

  /** Its keys are removed by and by; what that does to others. */
  private void removed(Usage from) {
    while (checkpoints() > 0) {
      assertTrue(cluster.clock.nowMs() - from.atMs() < 800_000, checkpoints() + " are left");
      run(1_000);
    }
    Usage removed = usage();
    measured("its keys removed after", removed.since(from));
    run(60_000);
    long[] during = endDelayMs(from.atMs(), removed.atMs());
    long[] later = endDelayMs(removed.atMs() + 5_000, cluster.clock.nowMs());
    measured("ends of other jobs recorded meanwhile", text(during));
    measured("ends of other jobs recorded afterwards", text(later));
    assertTrue(during[1] < 8_000, "an end was recorded after " + during[1] + " ms");
    double perSecond = from.checkpoints() * 1_000.0 / (removed.atMs() - from.atMs());
    assertTrue(perSecond > 7, perSecond + " keys were removed a second");
  }
}
