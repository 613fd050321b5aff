package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
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
import org.ploverspindle.sim.ReferenceProgressRecords.Kind;
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
 * Jobs whose leaders write progress under limits that fall, with what the records of each task may
 * hold.
 */
abstract class LowerLimitsScenario {
  static final Settings.StateLimits OLD = new Settings.StateLimits(1000, 60, 16, 24);
  static final long AGENT_EPOCH = 3;
  static final Settings.StateLimits LOW = new Settings.StateLimits(1000, 40, 2, 4);

  final SimClock clock = new SimClock();
  final SimStateStore state = new SimStateStore(clock, OLD);
  final Map<Kind, Truth> jobs = new LinkedHashMap<>();
  Random random = new Random(1);
  double faults;
  long terms;
  int jobCount;
  long attempts;
  int machines = 300;

  /**
   * The statuses that may be recorded for each task: the last confirmed one, and all later ones.
   */
  static final class Truth {
    final List<List<String>> possible = new ArrayList<>();
    private boolean terminal;

    Truth(int tasks) {
      for (int t = 0; t < tasks; t++) {
        possible.add(new ArrayList<>(List.of(ReferenceProgressRecords.WAITING)));
      }
    }

    void confirmed(int task, String state) {
      List<String> states = possible.get(task);
      int at = states.lastIndexOf(state);
      if (at > 0) {
        states.subList(0, at).clear();
      }
    }

    void setRecorded(String[] recorded) {
      for (int t = 0; t < recorded.length; t++) {
        possible.set(t, new ArrayList<>(List.of(recorded[t])));
      }
    }
  }

  static SortedMap<String, Entry> all(SimStateStore state) {
    SortedMap<String, Entry> all = new TreeMap<>();
    ((PageResult.Page) state.readPage(Keys.PREFIX, "", 1_000_000))
        .entries()
        .forEach(e -> all.put(e.key(), e));
    return all;
  }

  /** Reaches the state service with faults; asserts that nothing exceeds the lower limits. */
  final class FaultyStateClient extends StubStateStore {
    private final SimClock.Process process;
    private final boolean bounded;
    int refused;

    FaultyStateClient(SimClock.Process process, boolean bounded) {
      super(clock, state, process);
      this.process = process;
      this.bounded = bounded;
    }

    @Override
    public void commit(Transaction transaction, Consumer<TransactionResult> then) {
      if (bounded) {
        assertTrue(
            transaction.changes().size() <= LOW.maxChangesPerTransaction(),
            "changes " + transaction.changes().size());
        assertTrue(
            transaction.conditions().size() <= 4 * LOW.maxChangesPerTransaction(), "conditions");
        for (Change c : transaction.changes()) {
          int bytes = c instanceof Change.Put put ? put.value().toString().length() : 0;
          assertTrue(bytes <= LOW.maxValueBytes(), c.key() + " has " + bytes + " bytes");
        }
      }
      double fate = random.nextDouble();
      if (fate < faults) {
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
              refused += result instanceof TransactionResult.Refused r && r.status() == 400 ? 1 : 0;
              process.schedule(1 + random.nextInt(10), () -> then.accept(result));
            });
      }
    }
  }

  long newTerm() {
    long before =
        Optional.ofNullable(all(state).get(Keys.LEADER)).map(Entry::modRevision).orElse(0L);
    TransactionResult result =
        state.commit(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, Cbor.map().put("term", ++terms)))));
    if (result instanceof TransactionResult.Committed c) {
      return c.revision();
    }
    clock.runUntil(clock.nowMs() + 100);
    return newTerm();
  }

  Kind accept(int chunk) {
    Kind job = new Kind(String.format("run-%06d", ++jobCount), 1 + random.nextInt(400), chunk);
    jobs.put(job, new Truth(job.tasks()));
    return job;
  }

  void cancelled(Kind job) {
    jobs.get(job).terminal = true;
    while (!(state.commit(
            new Transaction(
                List.of(), List.of(new Change.Put(Keys.cancellation(job.uid()), Cbor.map()))))
        instanceof TransactionResult.Committed)) {
      clock.runUntil(clock.nowMs() + 50);
    }
  }

  List<Kind> unfinished() {
    return jobs.keySet().stream().filter(j -> !jobs.get(j).terminal).toList();
  }

  /**
   * Asserts that each recorded status is possible, and makes the recorded ones the only possible.
   */
  Map<Kind, String[]> takeOver() {
    SortedMap<String, Entry> all = all(state);
    Map<Kind, String[]> recorded = new LinkedHashMap<>();
    for (Kind job : unfinished()) {
      Truth truth = jobs.get(job);
      if (all.containsKey(Keys.completion(job.uid()))) {
        truth.possible.forEach(
            m -> assertTrue(m.contains(ReferenceProgressRecords.DONE), job + " is not done"));
        truth.terminal = true;
        continue;
      }
      String[] read = ReferenceProgressRecords.read(all, job);
      for (int t = 0; t < read.length; t++) {
        assertTrue(
            truth.possible.get(t).contains(read[t]),
            job + "/" + t + " is recorded as " + read[t] + ", not " + truth.possible.get(t));
      }
      truth.setRecorded(read);
      recorded.put(job, read);
    }
    return recorded;
  }

  /** A leader of this version. */
  final class WritingLeader implements ProgressWriter.Listener {
    private final SimClock.Process process = clock.new Process(0, 1, 0);
    final FaultyStateClient client;
    private final ProgressWriter writer;
    final Map<Kind, Job> leads = new LinkedHashMap<>();
    private final Map<String, Machine> machinesById = new HashMap<>();
    boolean deposed;

    WritingLeader(Settings.StateLimits limits, boolean bounded) {
      long leaderRevision = newTerm();
      client = new FaultyStateClient(process, bounded);
      Replica replica = new Replica(process, client, Keys.PREFIX, 700);
      replica.start();
      clock.runUntil(clock.nowMs() + 1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              process,
              new ProgressWriter.StateAccess(
                  client,
                  replica,
                  new TokenBucket(process, LOW.changesPerS() * 0.65, LOW.changesPerS() * 0.4),
                  limits.maxChangesPerTransaction(),
                  limits.maxValueBytes()),
              new Term(1 + terms * Term.TOKENS_PER_TERM, leaderRevision, process.nowMs()),
              m -> new SnapshotRecord.MachineInfo(m.host(), "type-16", "zone-a", true),
              this);
      RecordedProgress recorded = new RecordedProgress(replica, writer);
      takeOver().forEach((kind, expected) -> restore(kind, expected, recorded));
    }

    private void restore(Kind kind, String[] expected, RecordedProgress recorded) {
      Job job = add(kind);
      RecordedProgress.RecordedStatuses read = recorded.of(job);
      assertArrayEquals(expected, texts(kind, read), kind.toString());
      read.completed().stream().forEach(job::markCompleted);
      for (SnapshotRecord.RecordedPlacement placement : read.placements().values()) {
        job.addPlacement(
            new Placement(
                job,
                placement.task(),
                placement.attempt(),
                machine(placement.machine().id()),
                placement.agentEpoch(),
                Placement.Phase.RECOVERED));
      }
      if (job.allTasksCompleted()) {
        writer.taskChanged(job, 0);
      }
    }

    Job add(Kind kind) {
      Job job =
          new Job(
              JobSpecFixtures.batch(
                  kind.uid(), "c", "t", Priority.NORMAL, kind.tasks(), 1, 0, 10, 0),
              0,
              kind.chunk(),
              0,
              new BitSet(),
              -1,
              1);
      leads.put(kind, job);
      return job;
    }

    private String[] texts(Kind kind, RecordedProgress.RecordedStatuses read) {
      String[] texts = new String[kind.tasks()];
      Arrays.fill(texts, ReferenceProgressRecords.WAITING);
      read.placements()
          .forEach(
              (t, l) ->
                  texts[t] =
                      ReferenceProgressRecords.live(l.attempt(), l.machine().id(), l.agentEpoch()));
      read.completed().stream().forEach(t -> texts[t] = ReferenceProgressRecords.DONE);
      return texts;
    }

    private Machine machine(String id) {
      return machinesById.computeIfAbsent(
          id, h -> new Machine(h, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
    }

    /** A random job is cancelled, or some of its tasks are placed, or one of them ends. */
    void step(boolean placing) {
      List<Kind> kinds = List.copyOf(leads.keySet());
      if (kinds.isEmpty()) {
        return;
      }
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      Job job = leads.get(kind);
      int what = random.nextInt(100);
      if (what == 0 && placing && random.nextInt(4) == 0) {
        cancel(kind, job);
      } else if (what < 60 && placing) {
        place(kind, job);
      } else {
        endOne(kind, job);
      }
    }

    private void cancel(Kind kind, Job job) {
      job.cancel();
      List.copyOf(job.activePlacements()).forEach(job::removePlacement);
      writer.jobTerminated(job);
      leads.remove(kind);
      cancelled(kind);
    }

    private void place(Kind kind, Job job) {
      String host = "i-" + (100_000 + random.nextInt(machines));
      int most = random.nextInt(60) == 0 ? 60 : 1 + random.nextInt(3);
      for (int i = 0; i < most && !job.pendingTasks().isEmpty(); i++) {
        int next = job.pendingTasks().next(random.nextInt(kind.tasks()));
        int task = next < 0 ? job.pendingTasks().next(0) : next;
        long attempt = (terms << 40) + ++attempts;
        job.addPlacement(
            new Placement(job, task, attempt, machine(host), AGENT_EPOCH, Placement.Phase.INTENT));
        String status = ReferenceProgressRecords.live(attempt, host, AGENT_EPOCH);
        jobs.get(kind).possible.get(task).add(status);
        writer.taskChanged(job, task);
      }
    }

    private void endOne(Kind kind, Job job) {
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
      jobs.get(kind).possible.get(ended.task()).add(status);
      writer.taskChanged(job, ended.task());
    }

    /** Without faults, everything that is pending is written within a minute. */
    void settle() {
      faults = 0;
      for (int i = 0; i < 60 && (i < 3 || writer.backlog() > 0); i++) {
        clock.runUntil(clock.nowMs() + 1_000);
      }
      clock.runUntil(clock.nowMs() + 5_000);
      assertEquals(0, writer.backlog(), "still to be written");
      unfinished()
          .forEach(j -> jobs.get(j).possible.forEach(m -> m.subList(0, m.size() - 1).clear()));
    }

    void end() {
      writer.close();
      process.kill();
    }

    @Override
    public void placementsRecorded(List<Placement> placements) {
      for (Placement at : placements) {
        leads.forEach(
            (kind, job) -> {
              if (job == at.job() && job.activePlacement(at.task()) == at) {
                String text =
                    ReferenceProgressRecords.live(
                        at.attempt(), at.machine().host(), at.agentEpoch());
                jobs.get(kind).confirmed(at.task(), text);
              }
            });
      }
    }

    @Override
    public void completionRecorded(Job job) {
      leads
          .entrySet()
          .removeIf(
              e -> {
                if (e.getValue() == job) {
                  jobs.get(e.getKey()).terminal = true;
                }
                return e.getValue() == job;
              });
    }

    @Override
    public void deposed(String cause) {
      deposed = true;
    }
  }
}
