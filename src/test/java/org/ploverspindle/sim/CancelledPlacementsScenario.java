package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
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
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Leaders that record placements and their ends through a progress writer, on a simulated state
 * service that may lose or delay any transaction.
 */
abstract class CancelledPlacementsScenario {
  static final Settings.StateLimits LIMITS = new Settings.StateLimits(1000, 200, 16, 24);

  /**
   * Longer than the 5 s for which the ends of cancelled placements wait for a log record that is
   * written for other reasons.
   */
  static final long LONGER_THAN_CLEARING_WAIT_MS = 8_000;

  /**
   * Shorter than the 5 s for which the ends of cancelled placements wait, and long enough for other
   * progress to be written.
   */
  static final long SHORTER_THAN_CLEARING_WAIT_MS = 400;

  enum Outcome {
    ANSWERED,
    /** The transaction is executed after 3 ms, but not answered. */
    ANSWER_LOST,
    /** The transaction is executed after {@code executionDelayMs}, and not answered. */
    LATE,
    /** The transaction is never executed nor answered. */
    LOST
  }

  final SimClock clock = new SimClock();
  final SimStateStore state = new SimStateStore(clock, LIMITS);
  final Random random = new Random(7);
  double faultProbability;
  Outcome nextOutcome = Outcome.ANSWERED;
  long executionDelayMs = 3_000;
  long terms;
  long attempts;
  int transactionCount;
  final List<TransactionResult> lateResults = new ArrayList<>();

  final class FaultyStateClient extends StubStateStore {
    private final SimClock.Process process;

    FaultyStateClient(SimClock.Process process) {
      super(clock, state, process);
      this.process = process;
    }

    private Outcome takeOutcome() {
      Outcome outcome = nextOutcome;
      nextOutcome = Outcome.ANSWERED;
      return random.nextDouble() < faultProbability
          ? Outcome.values()[1 + random.nextInt(3)]
          : outcome;
    }

    @Override
    public void commit(Transaction transaction, Consumer<TransactionResult> then) {
      transactionCount++;
      switch (takeOutcome()) {
        case ANSWERED ->
            clock.after(
                3,
                () -> {
                  TransactionResult result = state.commit(transaction);
                  process.schedule(3, () -> then.accept(result));
                });
        case ANSWER_LOST -> {
          clock.after(3, () -> state.commit(transaction));
          process.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
        }
        case LATE -> {
          clock.after(executionDelayMs, () -> lateResults.add(state.commit(transaction)));
          process.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
        }
        case LOST -> process.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
      }
    }
  }

  void runFor(long ms) {
    clock.runUntil(clock.nowMs() + ms);
  }

  long newTerm() {
    long before =
        Optional.ofNullable(LowerLimitsTest.allEntries(state).get(Keys.LEADER))
            .map(Entry::modRevision)
            .orElse(0L);
    TransactionResult result =
        state.commit(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, Cbor.map().put("term", ++terms)))));
    return ((TransactionResult.Committed) result).revision();
  }

  /** A leader of one term, which places tasks, ends their placements and cancels jobs. */
  final class Leader implements ProgressWriter.Listener {
    private final SimClock.Process process = clock.new Process(0, 1, 0);
    final ProgressWriter writer;
    private final RecordedProgress recorded;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new HashMap<>();
    boolean deposed;

    Leader() {
      long leaderRevision = newTerm();
      FaultyStateClient client = new FaultyStateClient(process);
      Replica replica = new Replica(process, client, Keys.PREFIX, 700, new SplittableRandom(1));
      replica.start();
      runFor(1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              process,
              new ProgressWriter.StateAccess(
                  client,
                  replica,
                  new TokenBucket(process, 100, 40),
                  LIMITS.maxChangesPerTransaction(),
                  LIMITS.maxValueBytes()),
              new Term(1 + terms * Term.TOKENS_PER_TERM, leaderRevision, process.nowMs()),
              machine -> new SnapshotRecord.MachineInfo(machine.host(), "type-16", "zone-a", true),
              this);
      recorded = new RecordedProgress(replica, writer);
    }

    Job accept(StoredJob stored) {
      Job job =
          JobFixtures.job(
              JobSpecFixtures.batch(
                  stored.uid(), "c", "t", Priority.NORMAL, stored.tasks(), 1, 0, 10, 0),
              stored.shardSize());
      jobs.put(stored.uid(), job);
      return job;
    }

    /** Restores a job from the records. Recorded placements are presumed to be running. */
    Job takeOver(StoredJob stored, boolean cancelled) {
      Job job = accept(stored);
      if (cancelled) {
        job.markCancelled();
      }
      RecordedProgress.RecordedStatuses read = recorded.statusesOf(job);
      read.completed().stream().forEach(job::markCompleted);
      read.placements()
          .values()
          .forEach(
              placement ->
                  place(job, placement.task(), placement.attempt(), placement.machine().id()));
      if (cancelled) {
        recordEnds(job);
      }
      return job;
    }

    private void place(Job job, int task, long attempt, String machineId) {
      Machine machine =
          machines.computeIfAbsent(
              machineId, h -> new Machine(h, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
      job.addPlacement(new Placement(job, task, attempt, machine, 3, Placement.Phase.RECOVERED));
    }

    void place(Job job, int... tasks) {
      for (int task : tasks) {
        place(job, task, (terms << 40) + ++attempts, "i-" + (100_000 + random.nextInt(50)));
        writer.taskChanged(job, task);
      }
    }

    void cancel(Job job) {
      job.markCancelled();
      recordEnds(job);
    }

    /** Ends the placements of these tasks, as if it had been proven that they have ended. */
    void endPlacements(Job job, int... tasks) {
      for (int task : tasks) {
        job.removePlacement(job.activePlacement(task));
        if (job.cancelled()) {
          recordEnds(job);
        } else {
          writer.taskChanged(job, task);
        }
      }
    }

    private void recordEnds(Job job) {
      writer.cancelledPlacementsEnded(job);
      if (job.activePlacements().isEmpty()) {
        writer.jobTerminated(job);
        jobs.remove(job.uid());
      }
    }

    void stop() {
      writer.close();
      process.kill();
    }

    @Override
    public void placementsRecorded(List<Placement> placements) {}

    @Override
    public void completionRecorded(Job job) {
      jobs.remove(job.uid());
    }

    @Override
    public void deposed(String cause) {
      deposed = true;
    }
  }

  static final StoredJob CANCELLED_JOB = new StoredJob("run-cancelled", 6, 4);
  static final StoredJob OTHER_JOB = new StoredJob("run-other", 2_000, 50);

  /** Returns the tasks that are recorded as placed, according to the reference reader. */
  Set<Integer> recordedPlacements(StoredJob stored) {
    String[] statuses = ReferenceProgressRecords.read(LowerLimitsTest.allEntries(state), stored);
    Set<Integer> placed = new TreeSet<>();
    for (int task = 0; task < statuses.length; task++) {
      if (statuses[task].startsWith("live")) {
        placed.add(task);
      }
    }
    return placed;
  }

  /** Asserts that a leader which takes over now finds exactly these tasks recorded as placed. */
  void assertNextLeaderFindsPlaced(StoredJob stored, Set<Integer> tasks) {
    assertEquals(tasks, recordedPlacements(stored));
    Leader reader = new Leader();
    assertEquals(tasks, reader.recorded.statusesOf(reader.accept(stored)).placements().keySet());
    reader.stop();
  }

  Job placeAndCancel(Leader leader, StoredJob stored, int... tasks) {
    Job job = leader.accept(stored);
    leader.place(job, tasks);
    runFor(SHORTER_THAN_CLEARING_WAIT_MS);
    leader.cancel(job);
    return job;
  }
}
