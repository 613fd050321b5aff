package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
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
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.progress.RecordedProgress;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.ReferenceProgressRecords.Kind;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * An upgrade from the version that first had pipelines (f659783) that is halted half way and turned
 * back, and begun again: leaders of this version and stand-ins for that one take turns on jobs that
 * wait for others, from the records that f659783 itself wrote. Both versions accept jobs all along.
 * Whoever takes over reads what a plain reader of the documented forms reads, nothing is placed
 * that waits by those forms, and in the end every job is done or aborted.
 */
class MixedVersionFailoverTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(1000, 60, 1, 6);
  private static final int CHUNK = SnapshotRecord.shardSizeFor(LIMITS.valueBytes());
  private static final long TENURE = 3;

  /** A job is accepted about every so many steps, so that there are always some that wait. */
  private static final int ACCEPT_EVERY = 12;

  private static final int MOST_ENDS_A_STEP = 3;

  private final SimClock clock = new SimClock();
  private final SimStateStore state = new SimStateStore(clock, LIMITS);
  private final Map<String, Truth> truths = new TreeMap<>();
  private Random random = new Random(1);
  private JsonNode awaitsNothing = Cbor.map();
  private double faults;
  private long terms = 1;
  private int named;
  private long attempts;

  /** Jobs that waited for others when a leader took over, summed over all terms. */
  private int waitedAtTakeOver;

  /** What was asked, how each task is by the last leader, and all that it ever was. */
  private static final class Truth {
    private final Kind kind;
    private final List<String> awaits;
    private final String[] now;
    private final List<Set<String>> ever = new ArrayList<>();

    Truth(Kind kind, List<String> awaits, String[] now) {
      this.kind = kind;
      this.awaits = awaits;
      this.now = now;
      for (String task : now) {
        ever.add(new HashSet<>(Set.of(task)));
      }
    }

    void now(int task, String text) {
      now[task] = text;
      ever.get(task).add(text);
    }

    void isRecorded(String[] recorded) {
      System.arraycopy(recorded, 0, now, 0, recorded.length);
    }
  }

  // ---- the state service

  /** Waits while the rate of changes refuses. */
  private TransactionResult commit(Transaction txn) {
    TransactionResult result = state.txn(txn);
    while (result instanceof TransactionResult.Refused) {
      clock.runUntil(clock.nowMs() + 50);
      result = state.txn(txn);
    }
    return result;
  }

  private void put(String key, JsonNode value) {
    Transaction txn =
        new Transaction(List.of(new Condition(key, 0)), List.of(new Change.Put(key, value)));
    assertInstanceOf(TransactionResult.Committed.class, commit(txn));
  }

  /** The state service as a leader of this version reaches it: some answers are lost or late. */
  private final class Line extends ReadingStateClient {
    private final SimClock.Process process;

    Line(SimClock.Process process) {
      super(clock, state, process);
      this.process = process;
    }

    @Override
    public void commit(Transaction txn, Consumer<TransactionResult> then) {
      if (random.nextDouble() < faults) {
        // Never executed, executed unseen, or executed when the next leader may be there.
        int kind = random.nextInt(3);
        if (kind > 0) {
          clock.at(kind == 1 ? 5 : 400 + random.nextInt(4_000), () -> state.txn(txn));
        }
        process.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
        return;
      }
      clock.at(
          3,
          () -> {
            TransactionResult result = state.txn(txn);
            process.schedule(3, () -> then.accept(result));
          });
    }
  }

  private long newTerm() {
    long before = LowerLimitsTest.all(state).get(Keys.LEADER).modRevision();
    JsonNode leader =
        Cbor.map().put("member", "n0").put("token", 1 + terms++ * Term.TOKENS_PER_TERM);
    TransactionResult result =
        commit(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, leader))));
    return assertInstanceOf(TransactionResult.Committed.class, result).revision();
  }

  // ---- jobs

  private void startFromFixture() throws IOException {
    JsonNode records = FixtureStore.fixture(FixtureStore.HEAD_F659783).path("records");
    FixtureStore fixture = new FixtureStore(records);
    fixture.entries().forEach(e -> put(e.key(), e.value()));
    awaitsNothing = fixture.under("ps1/b/n1-1uy9swvfcl9p-16").get(0).value().path("prepare-1");
    assertTrue(awaitsNothing.isObject());
    SortedMap<String, Entry> all = LowerLimitsTest.all(state);
    ReferenceJobRecords plain = new ReferenceJobRecords(all);
    plain
        .jobs()
        .forEach(
            (uid, job) -> {
              String[] now = ReferenceProgressRecords.read(all, job.kind());
              if (plain.status(uid).equals(ReferenceJobRecords.DONE)) {
                Arrays.fill(now, ReferenceProgressRecords.DONE);
              }
              truths.put(uid, new Truth(job.kind(), job.awaits(), now));
            });
  }

  /** Jobs that are not over: what a new one may await. */
  private List<String> open(ReferenceJobRecords plain) {
    List<String> open = new ArrayList<>();
    for (String uid : plain.jobs().keySet()) {
      if (Set.of(ReferenceJobRecords.WAITING, ReferenceJobRecords.READY)
          .contains(plain.status(uid))) {
        open.add(uid);
      }
    }
    return open;
  }

  /** A node of either version accepts a job, some with lists too long for its record. */
  private void accept(boolean byHead) {
    ReferenceJobRecords plain = new ReferenceJobRecords(LowerLimitsTest.all(state));
    List<String> open = open(plain);
    Set<String> awaits = new HashSet<>();
    for (int i = 1 + random.nextInt(3); i > 0 && !open.isEmpty(); i--) {
      awaits.add(open.get(random.nextInt(open.size())));
    }
    boolean isLong = random.nextInt(4) == 0;
    if (isLong) {
      // Those of f659783's run, whose names fill a list in two parts.
      truths.keySet().stream().filter(uid -> uid.startsWith("step")).forEach(awaits::add);
    }
    List<String> list = List.copyOf(awaits);
    String uid = String.format("job-%06d", ++named);
    int tasks = 1 + random.nextInt(30);
    JsonNode spec =
        byHead ? acceptedByHead(uid, tasks, list, isLong) : acceptedHere(uid, tasks, list, isLong);
    put("ps1/b/n2-test-" + named, Cbor.map().set(uid, spec));
    String[] waiting = new String[tasks];
    Arrays.fill(waiting, ReferenceProgressRecords.WAITING);
    truths.put(uid, new Truth(new Kind(uid, tasks, CHUNK), list, waiting));
  }

  private JsonNode acceptedByHead(String uid, int tasks, List<String> awaits, boolean isLong) {
    ObjectNode spec = ReferenceJobRecords.spec(awaitsNothing, tasks);
    if (isLong) {
      String name = uid + "-0123456789abcdef0123";
      int half = awaits.size() / 2;
      List<List<String>> parts =
          List.of(awaits.subList(0, half), awaits.subList(half, awaits.size()));
      for (int part = 0; part < parts.size(); part++) {
        JsonNode ids = Cbor.map().put("ids", String.join(",", parts.get(part)));
        put(ReferenceJobRecords.listKey(name, part), ids);
      }
      spec.putObject("awaits_in").put("key", name).put("parts", parts.size());
    } else if (!awaits.isEmpty()) {
      awaits.forEach(spec.putArray("awaits")::add);
    }
    return spec;
  }

  private JsonNode acceptedHere(String uid, int tasks, List<String> awaits, boolean isLong) {
    JobSpec spec =
        JobSpecFixtures.after(
            JobSpecFixtures.batch(uid, "class-0", "blue", Priority.NORMAL, tasks, 1, 1, 5, 0),
            awaits.toArray(String[]::new));
    JobRecord record = new JobRecord(spec, clock.nowMs(), CHUNK);
    if (!isLong) {
      return record.encode();
    }
    DependenciesRecord list = DependenciesRecord.split(uid, awaits, LIMITS.valueBytes());
    IntStream.range(0, list.parts().size())
        .forEach(part -> put(list.key(part), list.parts().get(part)));
    return record.encode(list);
  }

  private void cancelOne() {
    List<String> open = open(new ReferenceJobRecords(LowerLimitsTest.all(state)));
    if (open.size() > 12) {
      put("ps1/c/" + open.get(random.nextInt(open.size())), Cbor.map().put("at", 1_800_000_000L));
    }
  }

  // ---- taking over

  /** Checks the records against what happened; gives what is recorded of the jobs that may run. */
  private Map<Truth, String[]> takeOver(boolean settled) {
    SortedMap<String, Entry> all = LowerLimitsTest.all(state);
    ReferenceJobRecords plain = new ReferenceJobRecords(all);
    assertEquals(truths.keySet(), plain.jobs().keySet());
    Map<Truth, String[]> ready = new LinkedHashMap<>();
    truths.forEach(
        (uid, truth) -> {
          assertEquals(truth.awaits, plain.jobs().get(uid).awaits(), uid);
          String status = plain.status(uid);
          String[] read = ReferenceProgressRecords.read(all, truth.kind);
          if (status.equals(ReferenceJobRecords.DONE)) {
            truth.ever.forEach(e -> assertTrue(e.contains(ReferenceProgressRecords.DONE), uid));
          } else if (status.equals(ReferenceJobRecords.WAITING)) {
            waitedAtTakeOver++;
            assertTrue(Arrays.stream(read).allMatch(ReferenceProgressRecords.WAITING::equals), uid);
          } else if (status.equals(ReferenceJobRecords.READY)) {
            assertHappened(truth, read);
            if (settled) {
              assertArrayEquals(truth.now, read, uid);
            }
            truth.isRecorded(read);
            ready.put(truth, read);
          }
        });
    return ready;
  }

  private static void assertHappened(Truth truth, String[] read) {
    for (int task = 0; task < read.length; task++) {
      String what = truth.kind.uid() + "/" + task + " is recorded as " + read[task];
      assertTrue(truth.ever.get(task).contains(read[task]), what);
    }
  }

  private void assertMayRun(String uid) {
    assertEquals(
        ReferenceJobRecords.READY,
        new ReferenceJobRecords(LowerLimitsTest.all(state)).status(uid),
        uid + " is placed");
  }

  private String newHost() {
    return "i-" + (100_000 + random.nextInt(60));
  }

  // ---- a leader of this version

  private final class ThisVersionLeader implements ProgressWriter.Listener {
    private final SimClock.Process process = clock.new Process(0, 1, 0);
    private final Replica replica;
    private final AcceptedJobIndex specs;
    private final Pipelines pipelines;
    private final ProgressWriter writer;
    private final Map<String, Job> leads = new LinkedHashMap<>();
    private final Set<String> everLed = new HashSet<>();
    private final Map<String, Machine> hosts = new HashMap<>();

    ThisVersionLeader(boolean settledBefore) {
      long stamp = newTerm();
      Line line = new Line(process);
      replica = new Replica(process, line, Keys.PREFIX, 200);
      specs = new AcceptedJobIndex(replica);
      pipelines = new Pipelines(process, replica, specs);
      replica.start();
      clock.runUntil(clock.nowMs() + 1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              process,
              line,
              replica,
              new TokenBucket(process, LIMITS.writeRps() * 0.65, LIMITS.writeRps() * 0.4),
              LIMITS.txnOps(),
              LIMITS.valueBytes(),
              new Term(1 + terms * Term.TOKENS_PER_TERM, stamp, process.nowMs()),
              machine -> new SnapshotRecord.MachineInfo(machine.host(), "type-16", "zone-a", true),
              this);
      load(new RecordedProgress(replica, writer), takeOver(settledBefore));
    }

    private void load(RecordedProgress recorded, Map<Truth, String[]> ready) {
      ReferenceJobRecords plain = new ReferenceJobRecords(LowerLimitsTest.all(state));
      truths.keySet().forEach(uid -> assertEquals(plain.status(uid), status(uid), uid));
      ready.forEach(
          (truth, plainly) -> {
            Job job = add(truth.kind.uid());
            RecordedProgress.State read = recorded.of(job);
            assertArrayEquals(plainly, texts(truth.kind, read), truth.kind.uid());
            read.done().stream().forEach(job::markCompleted);
            read.live()
                .forEach(
                    (task, live) ->
                        job.addPlacement(placement(job, live, Placement.Phase.RECOVERED)));
            if (job.allTasksCompleted()) {
              writer.changed(job, 0);
            }
          });
    }

    private String status(String uid) {
      if (replica.get(Keys.completion(uid)).isPresent()) {
        return ReferenceJobRecords.DONE;
      }
      if (replica.get(Keys.cancellation(uid)).isPresent() || pipelines.graph().isAborted(uid)) {
        return ReferenceJobRecords.ABORTED;
      }
      return pipelines.isWaiting(uid) ? ReferenceJobRecords.WAITING : ReferenceJobRecords.READY;
    }

    private Job add(String uid) {
      JobRecord record = JobRecord.decode(uid, specs.get(uid).orElseThrow().value()).orElseThrow();
      Job job = new Job(record.spec(), 0, record.shardSize(), 0, new BitSet(), -1, 1);
      leads.put(uid, job);
      everLed.add(uid);
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
      read.done().stream().forEach(task -> texts[task] = ReferenceProgressRecords.DONE);
      return texts;
    }

    private Machine host(String id) {
      return hosts.computeIfAbsent(
          id, h -> new Machine(h, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
    }

    private Placement placement(
        Job job, SnapshotRecord.RecordedPlacement live, Placement.Phase phase) {
      return new Placement(
          job, live.task(), live.attempt(), host(live.machine().id()), live.agentEpoch(), phase);
    }

    void step() {
      for (String uid : specs.uids()) {
        if (!everLed.contains(uid) && status(uid).equals(ReferenceJobRecords.READY)) {
          add(uid);
        }
      }
      List<String> uids = List.copyOf(leads.keySet());
      if (!uids.isEmpty()) {
        String uid = uids.get(random.nextInt(uids.size()));
        if (random.nextInt(5) < 3) {
          place(uid, leads.get(uid));
        } else {
          end(uid, leads.get(uid));
        }
      }
    }

    private void place(String uid, Job job) {
      if (!job.pendingTasks().isEmpty()) {
        assertMayRun(uid);
      }
      for (int i = random.nextInt(4); i >= 0 && !job.pendingTasks().isEmpty(); i--) {
        int task = job.pendingTasks().nextSetBit(0);
        SnapshotRecord.MachineInfo at = new SnapshotRecord.MachineInfo(newHost(), "", "", true);
        SnapshotRecord.RecordedPlacement live =
            new SnapshotRecord.RecordedPlacement(task, (terms << 40) + ++attempts, at, TENURE);
        job.addPlacement(placement(job, live, Placement.Phase.INTENT));
        truths.get(uid).now(task, ReferenceProgressRecords.live(live.attempt(), at.id(), TENURE));
        writer.changed(job, task);
      }
    }

    private void end(String uid, Job job) {
      List<Placement> there =
          job.activePlacements().stream()
              .filter(x -> x.phase() != Placement.Phase.INTENT)
              .limit(MOST_ENDS_A_STEP)
              .toList();
      for (Placement at : there) {
        boolean done = random.nextInt(5) > 0;
        if (done) {
          job.markCompleted(at.task());
        }
        job.removePlacement(at);
        truths
            .get(uid)
            .now(
                at.task(), done ? ReferenceProgressRecords.DONE : ReferenceProgressRecords.WAITING);
        writer.changed(job, at.task());
      }
    }

    void settle() {
      faults = 0;
      for (int i = 0; i < 60 && (i < 3 || writer.backlog() > 0); i++) {
        clock.runUntil(clock.nowMs() + 1_000);
      }
      clock.runUntil(clock.nowMs() + 5_000);
      assertEquals(0, writer.backlog(), "still to be written");
    }

    void stop() {
      writer.close();
      process.kill();
    }

    @Override
    public void durable(List<Placement> placements) {}

    @Override
    public void finished(Job job) {
      leads.remove(job.uid());
    }

    @Override
    public void deposed(String cause) {
      throw new IllegalStateException(cause);
    }
  }

  private boolean thisVersionLeads(int steps, boolean settledBefore, boolean settles) {
    faults = 0;
    ThisVersionLeader leader = new ThisVersionLeader(settledBefore);
    faults = random.nextInt(3) * 0.1;
    for (int i = 0; i < steps; i++) {
      if (random.nextInt(ACCEPT_EVERY) == 0) {
        accept(random.nextBoolean());
      }
      leader.step();
      clock.runUntil(clock.nowMs() + 25);
    }
    if (settles) {
      leader.settle();
    }
    leader.stop();
    return settles;
  }

  // ---- a stand-in for a leader of the head as found

  private boolean headLeads(int steps, boolean settledBefore) {
    long stamp = newTerm();
    ReferenceProgressRecords.OldWriter head =
        new ReferenceProgressRecords.OldWriter(state, stamp, LIMITS.valueBytes(), LIMITS.txnOps());
    takeOver(settledBefore).forEach((truth, read) -> head.knows(truth.kind, read.clone()));
    boolean written = true;
    for (int i = 0; i < steps; i++) {
      if (random.nextInt(ACCEPT_EVERY) == 0) {
        accept(random.nextBoolean());
      }
      learnReady(head);
      List<Kind> kinds = List.copyOf(head.jobs());
      if (!kinds.isEmpty()) {
        headStep(head, kinds.get(random.nextInt(kinds.size())));
      }
      clock.runUntil(clock.nowMs() + 60);
      written = head.write();
      finish(head, stamp);
    }
    return written && head.clean();
  }

  private void learnReady(ReferenceProgressRecords.OldWriter head) {
    ReferenceJobRecords plain = new ReferenceJobRecords(LowerLimitsTest.all(state));
    plain
        .jobs()
        .forEach(
            (uid, job) -> {
              boolean known = head.jobs().contains(job.kind());
              if (!known && plain.status(uid).equals(ReferenceJobRecords.READY)) {
                head.knows(job.kind(), truths.get(uid).now.clone());
              }
            });
  }

  private void headStep(ReferenceProgressRecords.OldWriter head, Kind kind) {
    for (int i = random.nextInt(6); i >= 0; i--) {
      int task = random.nextInt(kind.tasks());
      String before = head.state(kind)[task];
      if (before.equals(ReferenceProgressRecords.DONE)) {
        continue;
      }
      String now =
          random.nextInt(5) > 0 ? ReferenceProgressRecords.DONE : ReferenceProgressRecords.WAITING;
      if (before.equals(ReferenceProgressRecords.WAITING)) {
        now = ReferenceProgressRecords.live((terms << 40) + ++attempts, newHost(), TENURE);
      }
      head.now(kind, task, now);
      truths.get(kind.uid()).now(task, now);
    }
  }

  /** As documented: done and cancelled exclude each other, under the leader's key. */
  private void finish(ReferenceProgressRecords.OldWriter head, long stamp) {
    for (Kind kind : List.copyOf(head.jobs())) {
      if (Arrays.stream(head.state(kind)).allMatch(ReferenceProgressRecords.DONE::equals)) {
        Transaction txn =
            new Transaction(
                List.of(
                    new Condition("ps1/leader", stamp),
                    new Condition("ps1/c/" + kind.uid(), 0),
                    new Condition("ps1/d/" + kind.uid(), 0)),
                List.of(
                    new Change.Put("ps1/d/" + kind.uid(), Cbor.map().put("tasks", kind.tasks()))));
        if (commit(txn) instanceof TransactionResult.Committed) {
          head.over(kind);
        }
      }
    }
  }

  // ---- turns

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void anUpgradeHaltedHalfWayAndTurnedBackKeepsWhatWaits(long seed) throws Exception {
    random = new Random(seed);
    startFromFixture();
    boolean settled = true;
    for (int turn = 0; turn < 6; turn++) {
      settled =
          turn % 2 == 0
              ? thisVersionLeads(200 + random.nextInt(400), settled, random.nextBoolean())
              : headLeads(60 + random.nextInt(150), settled);
      cancelOne();
    }
    lastLeaderFinishesAll(settled);
  }

  private void lastLeaderFinishesAll(boolean settled) {
    faults = 0;
    ThisVersionLeader last = new ThisVersionLeader(settled);
    for (int i = 0; i < 20_000 && (i % 50 > 0 || !everythingIsOver()); i++) {
      last.step();
      clock.runUntil(clock.nowMs() + 25);
    }
    last.settle();
    last.stop();
    takeOver(true);
    ReferenceJobRecords plain = new ReferenceJobRecords(LowerLimitsTest.all(state));
    assertEquals(List.of(), open(plain), "neither done nor aborted");
    long done =
        truths.keySet().stream()
            .filter(u -> plain.status(u).equals(ReferenceJobRecords.DONE))
            .count();
    assertTrue(done >= 35 && done < truths.size(), done + " of " + truths.size() + " are done");
    assertTrue(waitedAtTakeOver >= 20, waitedAtTakeOver + " jobs waited at the changes of leaders");
  }

  private boolean everythingIsOver() {
    return open(new ReferenceJobRecords(LowerLimitsTest.all(state))).isEmpty();
  }
}
