package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;

/**
 * Loads the records of many finished jobs into a replica with its indexes, and measures the heap.
 * Six of ten jobs are done, one is cancelled, and three depend on the cancelled one in a chain. The
 * state service makes up its keys while they are read, so that it takes no memory.
 */
final class FinishedJobsLoad extends StubStateStore {
  private static final int DONE_OF_TEN = 6;
  private static final int TASKS = 10;
  private static final long ACCEPTED_MS = -3_600_000;
  private static final double REQUESTS_PER_S = 60;
  private static final double LOAD_SHARE = 0.5;
  private static final int PAGES_PER_MEASUREMENT = 25;
  private static final double BYTES_PER_MIB = 1024 * 1024;

  private final SimClock clock;
  private final SimClock.Process process;
  private final int jobs;
  private long emptyBytes;
  private long peakBytes;
  private int pages;

  private FinishedJobsLoad(SimClock clock, SimClock.Process process, int jobs) {
    super(clock, new SimStateStore(clock, new Settings.StateLimits(60, 20, 8, 12)), process);
    this.clock = clock;
    this.process = process;
    this.jobs = jobs;
  }

  /** Arguments: the number of controllers, and then numbers of finished jobs. */
  public static void main(String[] args) {
    int controllers = Integer.parseInt(args[0]);
    for (int i = 1; i < args.length; i++) {
      SimClock clock = new SimClock();
      new FinishedJobsLoad(clock, clock.new Process(0, 1, 0), Integer.parseInt(args[i]))
          .run(controllers);
    }
  }

  private void run(int controllers) {
    emptyBytes = liveBytes();
    Replica replica = new Replica(process, this, Keys.PREFIX, 700, new SplittableRandom(1));
    AcceptedJobIndex index = new AcceptedJobIndex(replica);
    Pipelines pipelines = new Pipelines(process, replica, index);
    ProgressCounts counts = new ProgressCounts(replica, index);
    replica.setLoadRate(REQUESTS_PER_S * LOAD_SHARE / controllers);
    long startMs = clock.nowMs();
    long startNs = System.nanoTime();
    replica.start();
    while (!replica.isLoaded()) {
      clock.runUntil(clock.nowMs() + 10);
    }
    long loadMs = clock.nowMs() - startMs;
    double processorS = (System.nanoTime() - startNs) / 1e9;
    index.packEnded();
    long bytes = liveBytes() - emptyBytes;
    checkOutcomes(replica, index, pipelines, counts);
    System.out.printf(
        Locale.ROOT,
        "jobs=%d controllers=%d bytes=%d bytes_per_job=%.1f peak_mib=%.1f simulated_load_s=%.1f"
            + " requests=%d processor_s=%.1f%n",
        jobs,
        controllers,
        bytes,
        bytes / (double) jobs,
        (peakBytes - emptyBytes) / BYTES_PER_MIB,
        loadMs / 1_000.0,
        pages,
        processorS);
  }

  private void checkOutcomes(
      Replica replica, AcceptedJobIndex index, Pipelines pipelines, ProgressCounts counts) {
    int wrong = index.uids().size();
    for (int job = 0; job < jobs; job++) {
      boolean done = replica.endedJobs().isDone(uid(job));
      boolean aborted = pipelines.graph().isAborted(uid(job));
      boolean right = job % 10 < DONE_OF_TEN ? done && !aborted : aborted && !done;
      wrong += right && index.isAccepted(uid(job)) && counts.of(uid(job)).running() == 0 ? 0 : 1;
    }
    wrong += index.isAccepted(uid(jobs)) || replica.endedJobs().isDone(uid(jobs)) ? 1 : 0;
    if (wrong > 0) {
      throw new IllegalStateException(wrong + " of " + jobs + " jobs have a wrong outcome");
    }
  }

  private static long liveBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static String uid(int job) {
    return String.format(Locale.ROOT, "run-%06d", job);
  }

  // ---- the keys, in order: batches of one job in an order unlike that of the ids, then
  // cancellations, then completions

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    pages++;
    List<Entry> entries = new ArrayList<>();
    if (prefix.equals(Keys.JOB_BATCHES)) {
      int first = after.isEmpty() ? 0 : Integer.parseInt(after.substring(prefix.length())) + 1;
      for (int i = first; i < jobs && entries.size() < size; i++) {
        entries.add(batch(i));
      }
    } else if (prefix.equals(Keys.PREFIX)) {
      addOutcomes(after, size, entries);
    }
    boolean hasNext = entries.size() == size;
    process.schedule(5, () -> then.accept(new PageResult.Page(entries, hasNext, 10L * jobs)));
    if (pages % PAGES_PER_MEASUREMENT == 0) {
      peakBytes = Math.max(peakBytes, liveBytes());
    }
  }

  private Entry batch(int position) {
    int job = (int) (position * 7_919L % jobs);
    JobSpec spec = JobSpecFixtures.batch(uid(job), "c", "red", Priority.NORMAL, TASKS, 4, 2, 10, 0);
    if (job % 10 > DONE_OF_TEN) {
      spec = JobSpecFixtures.withDependencies(spec, uid(job - 1));
    }
    ObjectNode batch = Cbor.map();
    batch.set(uid(job), new JobRecord(spec, ACCEPTED_MS, 79).encode());
    String key = Keys.JOB_BATCHES + String.format(Locale.ROOT, "%07d", position);
    return new Entry(key, Cbor.readMap(Cbor.write(batch)).orElseThrow(), position + 1);
  }

  private void addOutcomes(String after, int size, List<Entry> entries) {
    boolean completions = after.startsWith(Keys.COMPLETIONS);
    boolean anyOutcome = completions || after.startsWith(Keys.CANCELLATIONS);
    int first = anyOutcome ? Integer.parseInt(after.substring(after.lastIndexOf('-') + 1)) + 1 : 0;
    for (int pass = completions ? 1 : 0; pass < 2 && entries.size() < size; pass++) {
      for (int job = first; job < jobs && entries.size() < size; job++) {
        if (pass == 0 && job % 10 == DONE_OF_TEN) {
          entries.add(new Entry(Keys.cancellation(uid(job)), Cbor.map().put("at", 1), jobs + job));
        } else if (pass == 1 && job % 10 < DONE_OF_TEN) {
          ObjectNode value = Cbor.map().put("tasks", TASKS);
          entries.add(new Entry(Keys.completion(uid(job)), value, jobs + job));
        }
      }
      first = 0;
    }
  }

  @Override
  public void readChanges(String prefix, long revision, Consumer<ChangesResult> then) {
    pages++;
    process.schedule(5, () -> then.accept(new ChangesResult.Changes(revision, List.of())));
  }

  @Override
  public void commit(Transaction transaction, Consumer<TransactionResult> then) {
    then.accept(new TransactionResult.Refused(503));
  }
}
