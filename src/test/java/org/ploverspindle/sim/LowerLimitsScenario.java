package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.ploverspindle.JobFixtures;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.progress.RecordedProgress;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.PageResult;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Leaders that write the progress of jobs while the limits of the state service fall. For each task
 * it keeps the statuses that the stored records may hold.
 */
abstract class LowerLimitsScenario {
  static final Settings.StateLimits HIGHER = new Settings.StateLimits(1000, 60, 16, 24);
  static final long WORKER_EPOCH = 3;
  static final Settings.StateLimits LOWER = new Settings.StateLimits(1000, 40, 2, 4);

  final SimClock clock = new SimClock();
  final SimStateStore state = new SimStateStore(clock, HIGHER);
  final Map<StoredJob, PossibleStatuses> jobs = new LinkedHashMap<>();
  Random random = new Random(1);
  double faultProbability;
  long terms;
  int jobCount;
  long attempts;
  int machineCount = 300;

  /** For each task, the statuses that may be recorded: the last durable one and all later ones. */
  static final class PossibleStatuses {
    final List<List<String>> byTask = new ArrayList<>();
    private boolean terminal;

    PossibleStatuses(int tasks) {
      for (int task = 0; task < tasks; task++) {
        byTask.add(new ArrayList<>(List.of(ReferenceProgressRecords.WAITING)));
      }
    }

    void confirm(int task, String status) {
      List<String> statuses = byTask.get(task);
      int position = statuses.lastIndexOf(status);
      if (position > 0) {
        statuses.subList(0, position).clear();
      }
    }

    void setRecorded(String[] recorded) {
      for (int task = 0; task < recorded.length; task++) {
        byTask.set(task, new ArrayList<>(List.of(recorded[task])));
      }
    }
  }

  static SortedMap<String, Entry> allEntries(SimStateStore state) {
    SortedMap<String, Entry> entries = new TreeMap<>();
    ((PageResult.Page) state.readPage(Keys.PREFIX, "", 1_000_000))
        .entries()
        .forEach(e -> entries.put(e.key(), e));
    return entries;
  }

  /** Loses or delays some transactions; can assert that none exceeds the lower limits. */
  final class FaultyStateClient extends StubStateStore {
    private final SimClock.Process process;
    private final boolean assertsLimits;
    int refusedAsTooLarge;

    FaultyStateClient(SimClock.Process process, boolean assertsLimits) {
      super(clock, state, process);
      this.process = process;
      this.assertsLimits = assertsLimits;
    }

    @Override
    public void commit(Transaction transaction, Consumer<TransactionResult> then) {
      if (assertsLimits) {
        assertTrue(
            transaction.changes().size() <= LOWER.maxChangesPerTransaction(),
            "changes in a transaction: " + transaction.changes().size());
        assertTrue(
            transaction.conditions().size() <= 4 * LOWER.maxChangesPerTransaction(),
            "too many conditions in a transaction");
        for (Change change : transaction.changes()) {
          int bytes = change instanceof Change.Put put ? put.value().toString().length() : 0;
          assertTrue(bytes <= LOWER.maxValueBytes(), change.key() + " has " + bytes + " bytes");
        }
      }
      double draw = random.nextDouble();
      if (draw < faultProbability) {
        int kind = random.nextInt(3);
        if (kind > 0) {
          clock.after(kind == 1 ? 5 : 400 + random.nextInt(4_000), () -> state.commit(transaction));
        }
        process.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
      } else {
        clock.after(
            1 + random.nextInt(10),
            () -> {
              TransactionResult result = state.commit(transaction);
              refusedAsTooLarge +=
                  result instanceof TransactionResult.Refused r && r.status() == 400 ? 1 : 0;
              process.schedule(1 + random.nextInt(10), () -> then.accept(result));
            });
      }
    }
  }

  long newTerm() {
    long before =
        Optional.ofNullable(allEntries(state).get(Keys.LEADER)).map(Entry::modRevision).orElse(0L);
    TransactionResult result =
        state.commit(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, Cbor.map().put("term", ++terms)))));
    if (result instanceof TransactionResult.Committed committed) {
      return committed.revision();
    }
    clock.runUntil(clock.nowMs() + 100);
    return newTerm();
  }

  StoredJob accept(int shardSize) {
    StoredJob job =
        new StoredJob(String.format("run-%06d", ++jobCount), 1 + random.nextInt(400), shardSize);
    jobs.put(job, new PossibleStatuses(job.tasks()));
    return job;
  }

  void putCancellation(StoredJob job) {
    jobs.get(job).terminal = true;
    while (!(state.commit(
            new Transaction(
                List.of(), List.of(new Change.Put(Keys.cancellation(job.uid()), Cbor.map()))))
        instanceof TransactionResult.Committed)) {
      clock.runUntil(clock.nowMs() + 50);
    }
  }

  List<StoredJob> nonTerminalJobs() {
    return jobs.keySet().stream().filter(j -> !jobs.get(j).terminal).toList();
  }

  /**
   * Asserts that each recorded status is possible. From then on it is the only possible one.
   * Returns the recorded statuses of all jobs that are neither done nor cancelled.
   */
  Map<StoredJob, String[]> takeOver() {
    SortedMap<String, Entry> entries = allEntries(state);
    Map<StoredJob, String[]> recorded = new LinkedHashMap<>();
    for (StoredJob job : nonTerminalJobs()) {
      PossibleStatuses possible = jobs.get(job);
      if (entries.containsKey(Keys.completion(job.uid()))) {
        possible.byTask.forEach(
            s -> assertTrue(s.contains(ReferenceProgressRecords.DONE), job + " is not done"));
        possible.terminal = true;
        continue;
      }
      String[] read = ReferenceProgressRecords.read(entries, job);
      for (int t = 0; t < read.length; t++) {
        assertTrue(
            possible.byTask.get(t).contains(read[t]),
            job + "/" + t + " is recorded as " + read[t] + ", not " + possible.byTask.get(t));
      }
      possible.setRecorded(read);
      recorded.put(job, read);
    }
    return recorded;
  }

  /** A leader of this version, which writes progress. */
  final class WritingLeader implements ProgressWriter.Listener {
    private final SimClock.Process process = clock.new Process(0, 1, 0);
    final FaultyStateClient client;
    private final ProgressWriter writer;
    final Map<StoredJob, Job> ledJobs = new LinkedHashMap<>();
    private final Map<String, Machine> machinesById = new HashMap<>();
    boolean deposed;

    WritingLeader(Settings.StateLimits limits, boolean assertsLimits) {
      long leaderRevision = newTerm();
      client = new FaultyStateClient(process, assertsLimits);
      Replica replica = new Replica(process, client, Keys.PREFIX, 700, new SplittableRandom(1));
      replica.start();
      clock.runUntil(clock.nowMs() + 1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              process,
              new ProgressWriter.StateAccess(
                  client,
                  replica,
                  new TokenBucket(process, LOWER.changesPerS() * 0.65, LOWER.changesPerS() * 0.4),
                  limits.maxChangesPerTransaction(),
                  limits.maxValueBytes()),
              new Term(1 + terms * Term.TOKENS_PER_TERM, leaderRevision, process.nowMs()),
              machine -> new SnapshotRecord.MachineInfo(machine.host(), "type-16", "zone-a", true),
              this);
      RecordedProgress recorded = new RecordedProgress(replica, writer);
      takeOver().forEach((stored, expected) -> restore(stored, expected, recorded));
    }

    private void restore(StoredJob stored, String[] expected, RecordedProgress recorded) {
      Job job = addJob(stored);
      RecordedProgress.RecordedStatuses read = recorded.statusesOf(job);
      assertArrayEquals(expected, RecordedStatusTexts.of(stored, read), stored.toString());
      read.completed().stream().forEach(job::markCompleted);
      for (SnapshotRecord.RecordedPlacement placement : read.placements().values()) {
        job.addPlacement(
            new Placement(
                job,
                placement.task(),
                placement.attempt(),
                machine(placement.machine().id()),
                placement.workerEpoch(),
                Placement.Phase.RECOVERED));
      }
      if (job.allTasksCompleted()) {
        writer.taskChanged(job, 0);
      }
    }

    Job addJob(StoredJob stored) {
      Job job =
          JobFixtures.job(
              JobSpecFixtures.batch(
                  stored.uid(), "c", "t", Priority.NORMAL, stored.tasks(), 1, 0, 10, 0),
              stored.shardSize());
      ledJobs.put(stored, job);
      return job;
    }

    private Machine machine(String id) {
      return machinesById.computeIfAbsent(
          id, machineId -> new Machine(machineId, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
    }

    /** Cancels a random job, places some of its tasks or ends one of its placements. */
    void step(boolean mayPlace) {
      List<StoredJob> storedJobs = List.copyOf(ledJobs.keySet());
      if (storedJobs.isEmpty()) {
        return;
      }
      StoredJob stored = storedJobs.get(random.nextInt(storedJobs.size()));
      Job job = ledJobs.get(stored);
      int action = random.nextInt(100);
      if (action == 0 && mayPlace && random.nextInt(4) == 0) {
        cancel(stored, job);
      } else if (action < 60 && mayPlace) {
        place(stored, job);
      } else {
        endOnePlacement(stored, job);
      }
    }

    private void cancel(StoredJob stored, Job job) {
      job.markCancelled();
      List.copyOf(job.activePlacements()).forEach(job::removePlacement);
      writer.jobTerminated(job);
      ledJobs.remove(stored);
      putCancellation(stored);
    }

    private void place(StoredJob stored, Job job) {
      String host = "i-" + (100_000 + random.nextInt(machineCount));
      int maxPlacements = random.nextInt(60) == 0 ? 60 : 1 + random.nextInt(3);
      for (int i = 0; i < maxPlacements && !job.pendingTasks().isEmpty(); i++) {
        int next = job.pendingTasks().next(random.nextInt(stored.tasks()));
        int task = next < 0 ? job.pendingTasks().next(0) : next;
        long attempt = (terms << 40) + ++attempts;
        job.addPlacement(
            new Placement(job, task, attempt, machine(host), WORKER_EPOCH, Placement.Phase.INTENT));
        String status = ReferenceProgressRecords.liveStatus(attempt, host, WORKER_EPOCH);
        jobs.get(stored).byTask.get(task).add(status);
        writer.taskChanged(job, task);
      }
    }

    private void endOnePlacement(StoredJob stored, Job job) {
      List<Placement> launched =
          job.activePlacements().stream()
              .filter(placement -> placement.phase() != Placement.Phase.INTENT)
              .toList();
      if (launched.isEmpty()) {
        return;
      }
      Placement ended = launched.get(random.nextInt(launched.size()));
      boolean done = random.nextInt(3) > 0;
      if (done) {
        job.markCompleted(ended.task());
      }
      job.removePlacement(ended);
      String status = done ? ReferenceProgressRecords.DONE : ReferenceProgressRecords.WAITING;
      jobs.get(stored).byTask.get(ended.task()).add(status);
      writer.taskChanged(job, ended.task());
    }

    /** Stops the faults, and asserts that all pending progress is written within 65 s. */
    void settle() {
      faultProbability = 0;
      for (int i = 0; i < 60 && (i < 3 || writer.backlogSize() > 0); i++) {
        clock.runUntil(clock.nowMs() + 1_000);
      }
      clock.runUntil(clock.nowMs() + 5_000);
      assertEquals(0, writer.backlogSize(), "backlog of progress after 65 s without faults");
      nonTerminalJobs()
          .forEach(j -> jobs.get(j).byTask.forEach(s -> s.subList(0, s.size() - 1).clear()));
    }

    void stop() {
      writer.close();
      process.kill();
    }

    @Override
    public void placementsRecorded(List<Placement> placements) {
      for (Placement placement : placements) {
        ledJobs.forEach(
            (stored, job) -> {
              if (job == placement.job() && job.activePlacement(placement.task()) == placement) {
                String status =
                    ReferenceProgressRecords.liveStatus(
                        placement.attempt(), placement.machine().host(), placement.workerEpoch());
                jobs.get(stored).confirm(placement.task(), status);
              }
            });
      }
    }

    @Override
    public void completionRecorded(Job job) {
      ledJobs
          .entrySet()
          .removeIf(
              entry -> {
                if (entry.getValue() == job) {
                  jobs.get(entry.getKey()).terminal = true;
                }
                return entry.getValue() == job;
              });
    }

    @Override
    public void deposed(String cause) {
      deposed = true;
    }
  }
}
