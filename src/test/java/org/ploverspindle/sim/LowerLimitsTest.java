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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;
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
 * Progress under limits that fall: leaders of this version and stand-ins for the one in production
 * take turns on jobs whose chunks were made under the old limits, with answers lost and writes
 * late. Whoever takes over reads what a slow reader of the documented forms reads, and of every
 * task a state that it can be in by what its last leaders were told is durable.
 */
class LowerLimitsTest {
  private static final Settings.StateLimits OLD = new Settings.StateLimits(1000, 60, 16, 24);
  private static final Settings.StateLimits LOW = new Settings.StateLimits(1000, 40, 2, 4);

  private final SimClock clock = new SimClock();
  private final SimStateStore state = new SimStateStore(clock, OLD);
  private final Map<Kind, Truth> jobs = new LinkedHashMap<>();
  private Random random = new Random(1);
  private double faults;
  private long terms;
  private int named;
  private long attempts;
  private int machines = 300;

  /** What may stand in the records of each task: the last that is known to, and all since. */
  private static final class Truth {
    private final List<List<String>> may = new ArrayList<>();
    private boolean over;

    Truth(int tasks) {
      for (int t = 0; t < tasks; t++) {
        may.add(new ArrayList<>(List.of(ReferenceProgressRecords.WAITING)));
      }
    }

    void known(int task, String state) {
      List<String> states = may.get(task);
      int at = states.lastIndexOf(state);
      if (at > 0) {
        states.subList(0, at).clear();
      }
    }

    void isNow(String[] recorded) {
      for (int t = 0; t < recorded.length; t++) {
        may.set(t, new ArrayList<>(List.of(recorded[t])));
      }
    }
  }

  static SortedMap<String, Entry> all(SimStateStore state) {
    SortedMap<String, Entry> all = new TreeMap<>();
    ((PageResult.Page) state.page(Keys.PREFIX, "", 1_000_000))
        .entries()
        .forEach(e -> all.put(e.key(), e));
    return all;
  }

  /** To the store with faults; nothing larger than the lower limits may pass. */
  private final class Line extends ReadingStateClient {
    private final SimClock.Process p;
    private final boolean bounded;
    private int refused;

    Line(SimClock.Process p, boolean bounded) {
      super(clock, state, p);
      this.p = p;
      this.bounded = bounded;
    }

    @Override
    public void commit(Transaction txn, Consumer<TransactionResult> then) {
      if (bounded) {
        assertTrue(txn.changes().size() <= LOW.txnOps(), "changes " + txn.changes().size());
        assertTrue(txn.conditions().size() <= 4 * LOW.txnOps(), "conditions");
        for (Change c : txn.changes()) {
          int bytes = c instanceof Change.Put put ? put.value().toString().length() : 0;
          assertTrue(bytes <= LOW.valueBytes(), c.key() + " has " + bytes + " bytes");
        }
      }
      double fate = random.nextDouble();
      if (fate < faults) {
        int kind = random.nextInt(3);
        if (kind > 0) {
          clock.at(kind == 1 ? 5 : 400 + random.nextInt(4_000), () -> state.txn(txn));
        }
        p.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
      } else {
        clock.at(
            1 + random.nextInt(10),
            () -> {
              TransactionResult result = state.txn(txn);
              refused += result instanceof TransactionResult.Refused r && r.status() == 400 ? 1 : 0;
              p.schedule(1 + random.nextInt(10), () -> then.accept(result));
            });
      }
    }
  }

  private long newTerm() {
    long before =
        Optional.ofNullable(all(state).get(Keys.LEADER)).map(Entry::modRevision).orElse(0L);
    TransactionResult result =
        state.txn(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, Cbor.map().put("term", ++terms)))));
    if (result instanceof TransactionResult.Committed c) {
      return c.revision();
    }
    clock.runUntil(clock.nowMs() + 100);
    return newTerm();
  }

  private Kind accept(int chunk) {
    Kind job = new Kind(String.format("run-%06d", ++named), 1 + random.nextInt(400), chunk);
    jobs.put(job, new Truth(job.tasks()));
    return job;
  }

  private void cancelled(Kind job) {
    jobs.get(job).over = true;
    while (!(state.txn(
            new Transaction(
                List.of(), List.of(new Change.Put(Keys.cancellation(job.uid()), Cbor.map()))))
        instanceof TransactionResult.Committed)) {
      clock.runUntil(clock.nowMs() + 50);
    }
  }

  private List<Kind> unfinished() {
    return jobs.keySet().stream().filter(j -> !jobs.get(j).over).toList();
  }

  /** Checks what is recorded of every job against what may be, and takes it as what is. */
  private Map<Kind, String[]> takeOver() {
    SortedMap<String, Entry> all = all(state);
    Map<Kind, String[]> recorded = new LinkedHashMap<>();
    for (Kind job : unfinished()) {
      Truth truth = jobs.get(job);
      if (all.containsKey(Keys.completion(job.uid()))) {
        truth.may.forEach(
            m -> assertTrue(m.contains(ReferenceProgressRecords.DONE), job + " is not done"));
        truth.over = true;
        continue;
      }
      String[] read = ReferenceProgressRecords.read(all, job);
      for (int t = 0; t < read.length; t++) {
        assertTrue(
            truth.may.get(t).contains(read[t]),
            job + "/" + t + " is recorded as " + read[t] + ", not " + truth.may.get(t));
      }
      truth.isNow(read);
      recorded.put(job, read);
    }
    return recorded;
  }

  /** A leader of this version. */
  private final class WritingLeader implements ProgressWriter.Listener {
    private final SimClock.Process p = clock.new Process(0, 1, 0);
    private final Line line;
    private final ProgressWriter writer;
    private final Map<Kind, Job> leads = new LinkedHashMap<>();
    private final Map<String, Machine> hosts = new HashMap<>();
    private boolean deposed;

    WritingLeader(Settings.StateLimits limits, boolean bounded) {
      long stamp = newTerm();
      line = new Line(p, bounded);
      Replica replica = new Replica(p, line, Keys.PREFIX, 700);
      replica.start();
      clock.runUntil(clock.nowMs() + 1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              p,
              line,
              replica,
              new TokenBucket(p, LOW.writeRps() * 0.65, LOW.writeRps() * 0.4),
              limits.txnOps(),
              limits.valueBytes(),
              new Term(1 + terms * Term.TOKENS_PER_TERM, stamp, p.nowMs()),
              m -> new SnapshotRecord.MachineInfo(m.host(), "type-16", "zone-a", true),
              this);
      RecordedProgress recorded = new RecordedProgress(replica, writer);
      takeOver()
          .forEach(
              (kind, plain) -> {
                Job job = add(kind);
                RecordedProgress.State read = recorded.of(job);
                assertArrayEquals(plain, texts(kind, read), kind.toString());
                read.done().stream().forEach(job::markCompleted);
                read.live()
                    .values()
                    .forEach(
                        l ->
                            job.addPlacement(
                                new Placement(
                                    job,
                                    l.task(),
                                    l.attempt(),
                                    host(l.machine().id()),
                                    l.agentEpoch(),
                                    Placement.Phase.RECOVERED)));
                if (job.allTasksCompleted()) {
                  writer.changed(job, 0);
                }
              });
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

    private String[] texts(Kind kind, RecordedProgress.State read) {
      String[] texts = new String[kind.tasks()];
      Arrays.fill(texts, ReferenceProgressRecords.WAITING);
      read.live()
          .forEach(
              (t, l) ->
                  texts[t] =
                      ReferenceProgressRecords.live(l.attempt(), l.machine().id(), l.agentEpoch()));
      read.done().stream().forEach(t -> texts[t] = ReferenceProgressRecords.DONE);
      return texts;
    }

    private Machine host(String id) {
      return hosts.computeIfAbsent(
          id, h -> new Machine(h, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
    }

    /** Something happens to some task. */
    void step(boolean placing) {
      List<Kind> kinds = List.copyOf(leads.keySet());
      if (kinds.isEmpty()) {
        return;
      }
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      Job job = leads.get(kind);
      Truth truth = jobs.get(kind);
      int what = random.nextInt(100);
      if (what == 0 && placing && random.nextInt(4) == 0) {
        job.cancel();
        List.copyOf(job.activePlacements()).forEach(job::removePlacement);
        writer.over(job);
        leads.remove(kind);
        cancelled(kind);
      } else if (what < 60 && placing) {
        String id = "i-" + (100_000 + random.nextInt(machines));
        int most = random.nextInt(60) == 0 ? 60 : 1 + random.nextInt(3);
        for (int i = 0; i < most && !job.pendingTasks().isEmpty(); i++) {
          int t = job.pendingTasks().nextSetBit(random.nextInt(kind.tasks()));
          t = t < 0 ? job.pendingTasks().nextSetBit(0) : t;
          Placement at =
              new Placement(
                  job, t, (terms << 40) + ++attempts, host(id), 3, Placement.Phase.INTENT);
          job.addPlacement(at);
          truth.may.get(t).add(ReferenceProgressRecords.live(at.attempt(), id, 3));
          writer.changed(job, t);
        }
      } else {
        List<Placement> there =
            job.activePlacements().stream()
                .filter(x -> x.phase() != Placement.Phase.INTENT)
                .toList();
        if (!there.isEmpty()) {
          Placement at = there.get(random.nextInt(there.size()));
          boolean done = random.nextInt(3) > 0;
          if (done) {
            job.markCompleted(at.task());
          }
          job.removePlacement(at);
          truth
              .may
              .get(at.task())
              .add(done ? ReferenceProgressRecords.DONE : ReferenceProgressRecords.WAITING);
          writer.changed(job, at.task());
        }
      }
    }

    /** Everything comes to be written, and soon. */
    void settle() {
      faults = 0;
      for (int i = 0; i < 60 && (i < 3 || writer.backlog() > 0); i++) {
        clock.runUntil(clock.nowMs() + 1_000);
      }
      clock.runUntil(clock.nowMs() + 5_000);
      assertEquals(0, writer.backlog(), "still to be written");
      unfinished().forEach(j -> jobs.get(j).may.forEach(m -> m.subList(0, m.size() - 1).clear()));
    }

    void end() {
      writer.close();
      p.kill();
    }

    @Override
    public void durable(List<Placement> placements) {
      for (Placement at : placements) {
        leads.forEach(
            (kind, job) -> {
              if (job == at.job() && job.activePlacement(at.task()) == at) {
                String text =
                    ReferenceProgressRecords.live(
                        at.attempt(), at.machine().host(), at.agentEpoch());
                jobs.get(kind).known(at.task(), text);
              }
            });
      }
    }

    @Override
    public void finished(Job job) {
      leads
          .entrySet()
          .removeIf(
              e -> {
                if (e.getValue() == job) {
                  jobs.get(e.getKey()).over = true;
                }
                return e.getValue() == job;
              });
    }

    @Override
    public void deposed(String cause) {
      deposed = true;
    }
  }

  /** A term of the version in production; once the limits fell, the store takes nothing of it. */
  private void productionLeads(int steps) {
    ReferenceProgressRecords.OldWriter old =
        new ReferenceProgressRecords.OldWriter(state, newTerm(), OLD.valueBytes(), OLD.txnOps());
    takeOver().forEach(old::knows);
    for (int i = 0; i < steps; i++) {
      List<Kind> kinds = List.copyOf(old.jobs());
      if (kinds.size() < 15) {
        Kind job = accept(SnapshotRecord.shardSizeFor(OLD.valueBytes()));
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
      // Some bursts: their records are larger than a value may be later.
      int touched = random.nextInt(12) == 0 ? 250 : 3;
      for (int k = 0; k < touched; k++) {
        int t = random.nextInt(job.tasks());
        String before = old.state(job)[t];
        if (!before.equals(ReferenceProgressRecords.DONE)) {
          String host = "i-" + (100_000 + random.nextInt(machines));
          String now =
              before.equals(ReferenceProgressRecords.WAITING)
                  ? ReferenceProgressRecords.live((terms << 40) + ++attempts, host, 3)
                  : random.nextInt(3) > 0
                      ? ReferenceProgressRecords.DONE
                      : ReferenceProgressRecords.WAITING;
          old.now(job, t, now);
          jobs.get(job).may.get(t).add(now);
        }
      }
      clock.runUntil(clock.nowMs() + 60);
      if (old.write() && old.clean()) {
        old.jobs().forEach(j -> jobs.get(j).may.forEach(m -> m.subList(0, m.size() - 1).clear()));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void whoeverTakesOverReadsWhatWasRecorded(long seed) {
    random = new Random(seed);
    machines = seed % 2 == 0 ? 40 : 700;
    for (int term = 0; term < 8; term++) {
      if (term == 5) {
        state.limits(LOW);
      }
      if (term == 0 || random.nextInt(3) == 0) {
        productionLeads(150 + random.nextInt(500));
        continue;
      }
      WritingLeader leader = new WritingLeader(LOW, true);
      faults = random.nextInt(3) * 0.1;
      int steps = 500 + random.nextInt(3_000);
      for (int i = 0; i < steps; i++) {
        if (leader.leads.size() < 15) {
          leader.add(accept(SnapshotRecord.shardSizeFor(LOW.valueBytes())));
        }
        leader.step(true);
        clock.runUntil(clock.nowMs() + 12);
      }
      if (random.nextBoolean()) {
        leader.settle();
      }
      assertEquals(0, leader.line.refused, "refused for their size");
      assertTrue(!leader.deposed);
      leader.end();
    }
    takeOver();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void controllersGoOnWhenTheLimitsFall(long seed) {
    Settings.StateLimits next = new Settings.StateLimits(80, 20, 2, 4);
    SimulatedCluster.Site small = SimulatedCluster.Site.small(3, 30, List.of("a", "b"));
    SimulatedCluster w =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Site(
                small.nodes(),
                small.capacity(),
                small.zones(),
                small.workers(),
                new Settings.StateLimits(200, 60, 8, 12, Optional.of(next)),
                small.cloud(),
                small.teams(),
                small.policy()));
    List<String> unknown = new ArrayList<>(List.of("large"));
    for (int i = 0; i < 200; i++) {
      unknown.add("type-that-the-cloud-does-not-name-" + i);
    }
    for (int i = 0; i < 120; i++) {
      int tasks = 1 + w.random.nextInt(i % 10 == 0 ? 120 : 6);
      boolean named = i % 7 == 0;
      w.clock.at(
          3_000 + i * 1_000,
          () -> {
            JobSpec s =
                JobSpecFixtures.batch(
                    w.newUid(), "c", "blue", Priority.NORMAL, tasks, 0.5, 0.1, 5, 0);
            w.user(named ? s.withTypes(unknown) : s);
          });
    }
    w.clock.at(50_000, () -> w.state.limits(next));
    w.clock.at(60_000, () -> w.crash(w.leader(), 1_000));
    w.clock.at(90_000, () -> w.crash(w.leader(), 1_000));
    w.clock.at(130_000, w::troublesAreOver);
    w.clock.runUntil(400_000);
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertEquals(120, w.checker.jobsDone());
    assertEquals(0, w.state.tooLarge(), "refused for their size");
  }

  /** Production's last records stand in every slot, and its oldest is more than one now holds. */
  @Test
  void aRecordTooLargeToBeReplacedIsPassedOverUntilItHasMovedOn() {
    random = new Random(9);
    ReferenceProgressRecords.OldWriter old =
        new ReferenceProgressRecords.OldWriter(state, newTerm(), OLD.valueBytes(), OLD.txnOps());
    Kind large = new Kind("run-large", 260, SnapshotRecord.shardSizeFor(OLD.valueBytes()));
    Kind other = new Kind("run-other", 400, SnapshotRecord.shardSizeFor(OLD.valueBytes()));
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
      jobs.get(job).isNow(old.state(job));
    }
    jobs.get(other).may.get(255).set(0, ReferenceProgressRecords.WAITING);
    state.limits(LOW);
    for (int term = 0; term < 16; term++) {
      WritingLeader leader = new WritingLeader(LOW, true);
      // The first ones end between two of the writes that it takes.
      for (int i = 0; i < (term < 12 ? 1 : 100); i++) {
        leader.step(true);
        clock.runUntil(clock.nowMs() + (term < 12 ? 10 + 2 * term : 100));
      }
      assertEquals(0, leader.line.refused);
      leader.end();
    }
    takeOver();
    long n = all(state).get(Keys.progressLog(1)).value().path("n").asLong();
    assertTrue(n > 257, "the slot of the large record holds " + n);
  }

  @Test
  void aWriteThatIsRefusedForItsSizeIsMadeSmallerUntilOneIsTaken() {
    state.limits(LOW);
    WritingLeader leader = new WritingLeader(OLD, false);
    for (int i = 0; i < 12; i++) {
      leader.add(accept(SnapshotRecord.shardSizeFor(OLD.valueBytes())));
    }
    for (int i = 0; i < 900; i++) {
      leader.step(true);
    }
    leader.settle();
    assertTrue(leader.line.refused > 0 && leader.line.refused < 8, leader.line.refused + " times");
    leader.end();
    takeOver();
  }
}
