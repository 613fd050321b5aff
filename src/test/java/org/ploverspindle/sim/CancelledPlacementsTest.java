package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Ends of cancelled jobs' placements are durably known, so that a new leader does not count them,
 * and none is said to have ended before its proof. The writer alone, on the stand-in for the state
 * service.
 */
class CancelledPlacementsTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(1000, 200, 16, 24);

  /** Well over what the ends wait for a write that goes out anyway. */
  private static final long QUIET_MS = 8_000;

  /** Well under it. */
  private static final long SHORT_MS = 400;

  private enum Fate {
    ANSWERED,
    /** Carried out, and nobody hears of it. */
    ANSWER_LOST,
    /** Carried out seconds later, and nobody hears of it. */
    LATE,
    /** Never arrives. */
    LOST
  }

  private final SimClock clock = new SimClock();
  private final SimStateStore state = new SimStateStore(clock, LIMITS);
  private final Random random = new Random(7);
  private double faults;
  private Fate next = Fate.ANSWERED;
  private long lateMs = 3_000;
  private long terms;
  private long attempts;
  private int transactions;
  private final List<TransactionResult> lateResults = new ArrayList<>();

  private final class Line extends ReadingStateClient {
    private final SimClock.Process p;

    Line(SimClock.Process p) {
      super(clock, state, p);
      this.p = p;
    }

    private Fate fate() {
      Fate fate = next;
      next = Fate.ANSWERED;
      return random.nextDouble() < faults ? Fate.values()[1 + random.nextInt(3)] : fate;
    }

    @Override
    public void commit(Transaction txn, Consumer<TransactionResult> then) {
      transactions++;
      switch (fate()) {
        case ANSWERED ->
            clock.at(
                3,
                () -> {
                  TransactionResult result = state.txn(txn);
                  p.schedule(3, () -> then.accept(result));
                });
        case ANSWER_LOST -> {
          clock.at(3, () -> state.txn(txn));
          p.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
        }
        case LATE -> {
          clock.at(lateMs, () -> lateResults.add(state.txn(txn)));
          p.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
        }
        case LOST -> p.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
      }
    }
  }

  private void runFor(long ms) {
    clock.runUntil(clock.nowMs() + ms);
  }

  private long newTerm() {
    long before =
        Optional.ofNullable(LowerLimitsTest.all(state).get(Keys.LEADER))
            .map(Entry::modRevision)
            .orElse(0L);
    TransactionResult result =
        state.txn(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, Cbor.map().put("term", ++terms)))));
    return ((TransactionResult.Committed) result).revision();
  }

  /** A term: what it was told to be recorded, and the tasks of which it places and ends. */
  private final class Leader implements ProgressWriter.Listener {
    private final SimClock.Process p = clock.new Process(0, 1, 0);
    private final ProgressWriter writer;
    private final RecordedProgress recorded;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new HashMap<>();
    private boolean deposed;

    Leader() {
      long stamp = newTerm();
      Line line = new Line(p);
      Replica replica = new Replica(p, line, Keys.PREFIX, 700);
      replica.start();
      runFor(1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              p,
              line,
              replica,
              new TokenBucket(p, 100, 40),
              LIMITS.txnOps(),
              LIMITS.valueBytes(),
              new Term(1 + terms * Term.TOKENS_PER_TERM, stamp, p.nowMs()),
              m -> new SnapshotRecord.MachineInfo(m.host(), "type-16", "zone-a", true),
              this);
      recorded = new RecordedProgress(replica, writer);
    }

    Job accept(Kind kind) {
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
      jobs.put(kind.uid(), job);
      return job;
    }

    /** As an earlier leader left it: what is recorded is presumed to be there. */
    Job takeOver(Kind kind, boolean cancelled) {
      Job job = accept(kind);
      if (cancelled) {
        job.cancel();
      }
      RecordedProgress.State read = recorded.of(job);
      read.done().stream().forEach(job::markCompleted);
      read.live().values().forEach(l -> place(job, l.task(), l.attempt(), l.machine().id()));
      if (cancelled) {
        tidy(job);
      }
      return job;
    }

    private void place(Job job, int task, long attempt, String host) {
      Machine m =
          machines.computeIfAbsent(
              host, h -> new Machine(h, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
      job.addPlacement(new Placement(job, task, attempt, m, 3, Placement.Phase.RECOVERED));
    }

    void place(Job job, int... tasks) {
      for (int t : tasks) {
        place(job, t, (terms << 40) + ++attempts, "i-" + (100_000 + random.nextInt(50)));
        writer.changed(job, t);
      }
    }

    void cancel(Job job) {
      job.cancel();
      tidy(job);
    }

    /** Proven gone. */
    void ended(Job job, int... tasks) {
      for (int t : tasks) {
        job.removePlacement(job.activePlacement(t));
        if (job.cancelled()) {
          tidy(job);
        } else {
          writer.changed(job, t);
        }
      }
    }

    private void tidy(Job job) {
      writer.cancelledTasksEnded(job);
      if (job.activePlacements().isEmpty()) {
        writer.over(job);
        jobs.remove(job.uid());
      }
    }

    void end() {
      writer.close();
      p.kill();
    }

    @Override
    public void durable(List<Placement> placements) {}

    @Override
    public void finished(Job job) {
      jobs.remove(job.uid());
    }

    @Override
    public void deposed(String cause) {
      deposed = true;
    }
  }

  private static final Kind CANCELLED = new Kind("run-cancelled", 6, 4);
  private static final Kind OTHER = new Kind("run-other", 2_000, 50);

  /** The tasks that a reader of the documented forms, of whichever version, takes to be placed. */
  private Set<Integer> recordedLive(Kind kind) {
    String[] read = ReferenceProgressRecords.read(LowerLimitsTest.all(state), kind);
    Set<Integer> live = new TreeSet<>();
    for (int t = 0; t < read.length; t++) {
      if (read[t].startsWith("live")) {
        live.add(t);
      }
    }
    return live;
  }

  /** A leader that takes over now reads the same; it ends at once. */
  private void assertNextLeaderCounts(Kind kind, Set<Integer> tasks) {
    assertEquals(tasks, recordedLive(kind));
    Leader reader = new Leader();
    assertEquals(tasks, reader.recorded.of(reader.accept(kind)).live().keySet());
    reader.end();
  }

  private Job placedAndCancelled(Leader leader, Kind kind, int... tasks) {
    Job job = leader.accept(kind);
    leader.place(job, tasks);
    runFor(SHORT_MS);
    leader.cancel(job);
    return job;
  }

  @Test
  void endsRideOnTheNextRecordAndTakeNoTransactionOfTheirOwn() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    leader.ended(job, 0, 1, 5);
    runFor(SHORT_MS);
    assertEquals(1, transactions);
    assertEquals(Set.of(0, 1, 5), recordedLive(CANCELLED));
    leader.place(other, 0);
    runFor(SHORT_MS);
    assertEquals(2, transactions);
    assertEquals(Set.of(), recordedLive(CANCELLED));
    runFor(3 * QUIET_MS);
    assertEquals(2, transactions, "nothing is left to say");
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  @Test
  void whenNothingElseIsWrittenOneTransactionSaysAllEnds() {
    Leader leader = new Leader();
    List<Kind> kinds = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Kind kind = new Kind("run-" + i, 6, 4);
      kinds.add(kind);
      Job job = placedAndCancelled(leader, kind, 0, 5);
      leader.ended(job, 0, 5);
      runFor(20);
    }
    int before = transactions;
    runFor(QUIET_MS);
    assertTrue(transactions - before <= 1, transactions - before + " transactions");
    kinds.forEach(k -> assertEquals(Set.of(), recordedLive(k), k.uid()));
  }

  @Test
  void nothingIsSaidToHaveEndedBeforeItsProof() {
    Leader leader = new Leader();
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    runFor(QUIET_MS);
    assertEquals(Set.of(0, 1, 5), recordedLive(CANCELLED));
    leader.ended(job, 1);
    runFor(QUIET_MS);
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of(0, 5));
  }

  /** Its machine took the job's last task to its end just as the job was cancelled. */
  @Test
  void anEndThatWasAboutToBeWrittenIsCleared() {
    Leader leader = new Leader();
    Job job = leader.accept(CANCELLED);
    leader.place(job, 0, 1);
    runFor(SHORT_MS);
    next = Fate.LOST;
    job.markCompleted(1);
    leader.ended(job, 1);
    runFor(100);
    leader.cancel(job);
    leader.ended(job, 0);
    runFor(QUIET_MS);
    assertEquals(Set.of(), recordedLive(CANCELLED));
  }

  @Test
  void aLeaderEndsBetweenTheProofAndTheWrite() {
    Leader first = new Leader();
    Job job = placedAndCancelled(first, CANCELLED, 0, 1, 5);
    first.ended(job, 0, 1, 5);
    runFor(100);
    first.end();
    Leader second = new Leader();
    Job again = second.takeOver(CANCELLED, true);
    assertEquals(
        3, again.activePlacements().size(), "what nothing durable says is not taken for granted");
    second.ended(again, 0, 1, 5);
    runFor(QUIET_MS);
    second.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  @ParameterizedTest
  @ValueSource(strings = {"ANSWER_LOST", "LATE", "LOST"})
  void theWriteIsLateOrItsAnswerLost(String fate) {
    Leader leader = new Leader();
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    leader.ended(job, 0, 1, 5);
    next = Fate.valueOf(fate);
    runFor(3 * QUIET_MS);
    assertTrue(!leader.deposed);
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  /** The placements' own record comes late, after they are gone and said to be. */
  @Test
  void theRecordOfThePlacementsComesLate() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = leader.accept(CANCELLED);
    next = Fate.LATE;
    lateMs = 2_000;
    leader.place(job, 0, 1, 5);
    runFor(100);
    leader.cancel(job);
    leader.ended(job, 0, 1, 5);
    // Soon after it is known that nobody knows of the first one.
    runFor(900);
    leader.place(other, 0);
    runFor(5_000);
    assertEquals(1, lateResults.size());
    runFor(2 * QUIET_MS);
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  @Test
  void aLateWriteOfADeposedLeaderSaysNothing() {
    Leader first = new Leader();
    Job job = placedAndCancelled(first, CANCELLED, 0, 1);
    first.ended(job, 0, 1);
    next = Fate.LATE;
    lateMs = 4_000;
    runFor(5_100);
    first.end();
    Leader second = new Leader();
    runFor(6_000);
    assertEquals(1, lateResults.size());
    assertTrue(lateResults.get(0) instanceof TransactionResult.Conflict, lateResults.toString());
    second.end();
    assertNextLeaderCounts(CANCELLED, Set.of(0, 1));
  }

  /** Ends so many tasks of the other job, each in a record of its own. */
  private void records(Leader leader, Job other, int count) {
    for (int i = 0; i < count; i++) {
      int task = other.pendingTasks().nextSetBit(0);
      leader.place(other, task);
      runFor(30);
      other.markCompleted(task);
      leader.ended(other, task);
      runFor(30);
    }
  }

  @Test
  void aCheckpointIsRemovedOnlyWithTheRecordThatSaysWhatItHid() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = leader.accept(CANCELLED);
    leader.place(job, 0, 1, 5);
    runFor(SHORT_MS);
    // Its slot's turn is near: the placements are in checkpoints, and older records still stand.
    records(leader, other, 110);
    assertTrue(hasCheckpoint(CANCELLED));
    assertEquals(Set.of(0, 1, 5), recordedLive(CANCELLED));
    leader.cancel(job);
    leader.ended(job, 0, 1, 5);
    for (int i = 0; i < 300; i++) {
      runFor(10);
      if (!hasCheckpoint(CANCELLED)) {
        assertEquals(Set.of(), recordedLive(CANCELLED));
      }
    }
    assertTrue(!hasCheckpoint(CANCELLED));
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  /** A burst leaves no room for the ends in its transaction, while there are changes left in it. */
  @Test
  void aCheckpointStaysUntilThereIsRoomToSayWhatItHides() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Map<Kind, Job> jobs = new LinkedHashMap<>();
    for (int i = 0; i < 12; i++) {
      Kind kind = new Kind("run-cancelled-" + i, 6, 6);
      jobs.put(kind, leader.accept(kind));
      leader.place(jobs.get(kind), 0, 2, 5);
    }
    runFor(SHORT_MS);
    records(leader, other, 110);
    jobs.keySet().forEach(k -> assertTrue(hasCheckpoint(k)));
    Job burst = leader.accept(new Kind("run-burst", 6_000, 160));
    leader.place(burst, IntStream.range(0, 6_000).toArray());
    jobs.values().forEach(leader::cancel);
    jobs.values().forEach(job -> leader.ended(job, 0, 2, 5));
    for (int i = 0; i < 300; i++) {
      runFor(10);
      for (Kind kind : jobs.keySet()) {
        assertTrue(hasCheckpoint(kind) || recordedLive(kind).isEmpty(), kind.uid());
      }
    }
    jobs.keySet().forEach(k -> assertTrue(!hasCheckpoint(k)));
  }

  private boolean hasCheckpoint(Kind kind) {
    return LowerLimitsTest.all(state).keySet().stream()
        .anyMatch(k -> k.startsWith(Keys.snapshotsOf(kind.uid())));
  }

  @Test
  void theLogForgetsThemOnceNothingOlderStands() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    leader.ended(job, 0, 1, 5);
    records(leader, other, 260);
    assertEquals(Set.of(), recordedLive(CANCELLED));
    boolean mentioned =
        LowerLimitsTest.all(state).values().stream()
            .anyMatch(e -> e.value().toString().contains(CANCELLED.uid()));
    assertTrue(!mentioned, "a record speaks of it");
  }

  /**
   * Terms with answers lost and writes late: at the end of each, all that was proven gone of
   * cancelled jobs is read as gone, all that was not is read as there, and both stays so for the
   * next ones while the log goes round.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void whatIsReadIsWhatWasProven(long seed) {
    random.setSeed(seed);
    Map<Kind, Boolean> cancelled = new LinkedHashMap<>();
    int named = 0;
    for (int term = 0; term < 6; term++) {
      faults = 0;
      Leader leader = new Leader();
      Map<Kind, Job> leads = new LinkedHashMap<>();
      cancelled.forEach((k, c) -> leads.put(k, leader.takeOver(k, c)));
      faults = random.nextInt(3) * 0.12;
      for (int i = 0; i < 600; i++) {
        if (leads.size() < 12 || random.nextInt(25) == 0) {
          Kind kind = new Kind("run-" + ++named, 1 + random.nextInt(60), 20);
          cancelled.put(kind, false);
          leads.put(kind, leader.accept(kind));
        }
        List<Kind> kinds = List.copyOf(leads.keySet());
        Kind kind = kinds.get(random.nextInt(kinds.size()));
        step(leader, leads.get(kind), kind, cancelled);
        runFor(20);
      }
      faults = 0;
      runFor(2 * QUIET_MS);
      assertEquals(0, leader.writer.backlog(), "still to be written");
      for (Map.Entry<Kind, Job> e : leads.entrySet()) {
        Set<Integer> live = new TreeSet<>();
        e.getValue().activePlacements().forEach(p -> live.add(p.task()));
        assertEquals(live, recordedLive(e.getKey()), e.getKey() + " after term " + term);
      }
      assertTrue(!leader.deposed);
      leader.end();
    }
    assertTrue(cancelled.containsValue(true));
  }

  private void step(Leader leader, Job job, Kind kind, Map<Kind, Boolean> cancelled) {
    int what = random.nextInt(100);
    if (what < 4 && !job.cancelled() && !job.activePlacements().isEmpty()) {
      cancelled.put(kind, true);
      leader.cancel(job);
    } else if (what < 55 && !job.pendingTasks().isEmpty()) {
      leader.place(job, job.pendingTasks().nextSetBit(0));
    } else if (!job.activePlacements().isEmpty()) {
      Placement p = job.activePlacements().iterator().next();
      // One task stays, so that the job is not done: its end is another matter.
      if (!job.cancelled() && job.completedTasks().cardinality() + 1 < kind.tasks()) {
        job.markCompleted(p.task());
      }
      leader.ended(job, p.task());
    }
  }
}
