package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.progress.RecordedProgress;
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Guards against jobs with dependencies being lost, or started too early, when an upgrade from
 * f659783 (the first version with pipelines) is halted half way, rolled back and begun again.
 *
 * <p>Leaders of this version and simulated leaders of f659783 alternate on records that f659783
 * itself wrote, while controllers of both versions accept jobs. Each new leader must read the same
 * as the reference reader of the documented formats, no job is placed before its dependencies are
 * done, and in the end every job is done or aborted.
 */
class MixedVersionFailoverTest extends MixedVersionScenario {
  /** The mean number of steps between two accepted jobs, so that some jobs are always blocked. */
  private static final int STEPS_PER_ACCEPTED_JOB = 12;

  private static final int MAX_ENDS_PER_STEP = 3;

  // ---- Leader of this version

  private final class ThisVersionLeader implements ProgressWriter.Listener {
    private final SimClock.Process process = clock.new Process(0, 1, 0);
    private final Replica replica;
    private final AcceptedJobIndex specs;
    private final Pipelines pipelines;
    private final ProgressWriter writer;
    private final Map<String, Job> ledJobs = new LinkedHashMap<>();
    private final Set<String> everLed = new HashSet<>();
    private final Map<String, Machine> machinesById = new HashMap<>();

    ThisVersionLeader(boolean recordsComplete) {
      long leaderRevision = newTerm();
      FaultyStateClient client = new FaultyStateClient(process);
      replica = new Replica(process, client, Keys.PREFIX, 200, new SplittableRandom(1));
      specs = new AcceptedJobIndex(replica);
      pipelines = new Pipelines(process, replica, specs);
      replica.start();
      clock.runUntil(clock.nowMs() + 1_000);
      assertTrue(replica.isLoaded());
      writer =
          new ProgressWriter(
              process,
              new ProgressWriter.StateAccess(
                  client,
                  replica,
                  new TokenBucket(process, LIMITS.changesPerS() * 0.65, LIMITS.changesPerS() * 0.4),
                  LIMITS.maxChangesPerTransaction(),
                  LIMITS.maxValueBytes()),
              new Term(1 + terms * Term.TOKENS_PER_TERM, leaderRevision, process.nowMs()),
              machine -> new SnapshotRecord.MachineInfo(machine.host(), "type-16", "zone-a", true),
              this);
      restoreJobs(new RecordedProgress(replica, writer), takeOver(recordsComplete));
    }

    private void restoreJobs(RecordedProgress recorded, Map<JobHistory, String[]> ready) {
      ReferenceJobRecords reference = new ReferenceJobRecords(LowerLimitsTest.allEntries(state));
      histories.keySet().forEach(uid -> assertEquals(reference.status(uid), status(uid), uid));
      ready.forEach(
          (history, expected) -> {
            Job job = addJob(history.job.uid());
            RecordedProgress.RecordedStatuses read = recorded.statusesOf(job);
            assertArrayEquals(
                expected, RecordedStatusTexts.of(history.job, read), history.job.uid());
            read.completed().stream().forEach(job::markCompleted);
            read.placements()
                .forEach(
                    (task, placement) ->
                        job.addPlacement(newPlacement(job, placement, Placement.Phase.RECOVERED)));
            if (job.allTasksCompleted()) {
              writer.taskChanged(job, 0);
            }
          });
    }

    private String status(String uid) {
      if (replica.endedJobs().isDone(uid)) {
        return ReferenceJobRecords.DONE;
      }
      if (replica.endedJobs().isCancelled(uid) || pipelines.graph().isAborted(uid)) {
        return ReferenceJobRecords.ABORTED;
      }
      return pipelines.isBlocked(uid) ? ReferenceJobRecords.WAITING : ReferenceJobRecords.READY;
    }

    private Job addJob(String uid) {
      JobRecord record = JobRecord.decode(uid, specs.get(uid).orElseThrow().value()).orElseThrow();
      Job job = JobFixtures.job(record.spec(), record.shardSize());
      ledJobs.put(uid, job);
      everLed.add(uid);
      return job;
    }

    private Machine machine(String id) {
      return machinesById.computeIfAbsent(
          id, machineId -> new Machine(machineId, 0, 0, true, Resources.offered(16, 0, 64), 0, 0));
    }

    private Placement newPlacement(
        Job job, SnapshotRecord.RecordedPlacement recorded, Placement.Phase phase) {
      return new Placement(
          job,
          recorded.task(),
          recorded.attempt(),
          machine(recorded.machine().id()),
          recorded.workerEpoch(),
          phase);
    }

    void step() {
      for (String uid : specs.uids()) {
        if (!everLed.contains(uid) && status(uid).equals(ReferenceJobRecords.READY)) {
          addJob(uid);
        }
      }
      List<String> uids = List.copyOf(ledJobs.keySet());
      if (!uids.isEmpty()) {
        String uid = uids.get(random.nextInt(uids.size()));
        if (random.nextInt(5) < 3) {
          place(uid, ledJobs.get(uid));
        } else {
          endPlacements(uid, ledJobs.get(uid));
        }
      }
    }

    private void place(String uid, Job job) {
      if (!job.pendingTasks().isEmpty()) {
        assertReady(uid);
      }
      for (int i = random.nextInt(4); i >= 0 && !job.pendingTasks().isEmpty(); i--) {
        int task = job.pendingTasks().next(0);
        SnapshotRecord.MachineInfo machine =
            new SnapshotRecord.MachineInfo(randomMachineId(), "", "", true);
        SnapshotRecord.RecordedPlacement placement =
            new SnapshotRecord.RecordedPlacement(
                task, (terms << 40) + ++attempts, machine, WORKER_EPOCH);
        job.addPlacement(newPlacement(job, placement, Placement.Phase.INTENT));
        histories
            .get(uid)
            .setStatus(
                task,
                ReferenceProgressRecords.liveStatus(
                    placement.attempt(), machine.id(), WORKER_EPOCH));
        writer.taskChanged(job, task);
      }
    }

    private void endPlacements(String uid, Job job) {
      List<Placement> launched =
          job.activePlacements().stream()
              .filter(placement -> placement.phase() != Placement.Phase.INTENT)
              .limit(MAX_ENDS_PER_STEP)
              .toList();
      for (Placement placement : launched) {
        boolean done = random.nextInt(5) > 0;
        if (done) {
          job.markCompleted(placement.task());
        }
        job.removePlacement(placement);
        histories
            .get(uid)
            .setStatus(
                placement.task(),
                done ? ReferenceProgressRecords.DONE : ReferenceProgressRecords.WAITING);
        writer.taskChanged(job, placement.task());
      }
    }

    void settle() {
      faultProbability = 0;
      for (int i = 0; i < 60 && (i < 3 || writer.backlogSize() > 0); i++) {
        clock.runUntil(clock.nowMs() + 1_000);
      }
      clock.runUntil(clock.nowMs() + 5_000);
      assertEquals(0, writer.backlogSize(), "backlog of progress after 65 s without faults");
    }

    void stop() {
      writer.close();
      process.kill();
    }

    @Override
    public void placementsRecorded(List<Placement> placements) {}

    @Override
    public void completionRecorded(Job job) {
      ledJobs.remove(job.uid());
    }

    @Override
    public void deposed(String cause) {
      throw new IllegalStateException(cause);
    }
  }

  private boolean thisVersionLeads(
      int steps, boolean recordsComplete, boolean writesAllBeforeItStops) {
    faultProbability = 0;
    ThisVersionLeader leader = new ThisVersionLeader(recordsComplete);
    faultProbability = random.nextInt(3) * 0.1;
    for (int i = 0; i < steps; i++) {
      if (random.nextInt(STEPS_PER_ACCEPTED_JOB) == 0) {
        accept(random.nextBoolean());
      }
      leader.step();
      clock.runUntil(clock.nowMs() + 25);
    }
    if (writesAllBeforeItStops) {
      leader.settle();
    }
    leader.stop();
    return writesAllBeforeItStops;
  }

  // ---- Simulated leader of f659783

  private boolean earlierVersionLeads(int steps, boolean recordsComplete) {
    long leaderRevision = newTerm();
    ReferenceProgressRecords.EarlierVersionWriter earlierVersion =
        new ReferenceProgressRecords.EarlierVersionWriter(
            state, leaderRevision, LIMITS.maxValueBytes(), LIMITS.maxChangesPerTransaction());
    takeOver(recordsComplete)
        .forEach((history, read) -> earlierVersion.addJob(history.job, read.clone()));
    boolean written = true;
    for (int i = 0; i < steps; i++) {
      if (random.nextInt(STEPS_PER_ACCEPTED_JOB) == 0) {
        accept(random.nextBoolean());
      }
      addReadyJobs(earlierVersion);
      List<StoredJob> jobs = List.copyOf(earlierVersion.jobs());
      if (!jobs.isEmpty()) {
        earlierVersionStep(earlierVersion, jobs.get(random.nextInt(jobs.size())));
      }
      clock.runUntil(clock.nowMs() + 60);
      written = earlierVersion.write();
      recordCompletions(earlierVersion, leaderRevision);
    }
    return written && earlierVersion.allWritten();
  }

  private void addReadyJobs(ReferenceProgressRecords.EarlierVersionWriter earlierVersion) {
    ReferenceJobRecords reference = new ReferenceJobRecords(LowerLimitsTest.allEntries(state));
    reference
        .jobs()
        .forEach(
            (uid, job) -> {
              boolean known = earlierVersion.jobs().contains(job.stored());
              if (!known && reference.status(uid).equals(ReferenceJobRecords.READY)) {
                earlierVersion.addJob(job.stored(), histories.get(uid).statuses.clone());
              }
            });
  }

  private void earlierVersionStep(
      ReferenceProgressRecords.EarlierVersionWriter earlierVersion, StoredJob job) {
    for (int i = random.nextInt(6); i >= 0; i--) {
      int task = random.nextInt(job.tasks());
      String before = earlierVersion.statuses(job)[task];
      if (before.equals(ReferenceProgressRecords.DONE)) {
        continue;
      }
      String status =
          random.nextInt(5) > 0 ? ReferenceProgressRecords.DONE : ReferenceProgressRecords.WAITING;
      if (before.equals(ReferenceProgressRecords.WAITING)) {
        status =
            ReferenceProgressRecords.liveStatus(
                (terms << 40) + ++attempts, randomMachineId(), WORKER_EPOCH);
      }
      earlierVersion.setStatus(job, task, status);
      histories.get(job.uid()).setStatus(task, status);
    }
  }

  /**
   * Records the completion of each job whose tasks are all done, on the documented conditions: the
   * leader's key is unchanged, and the job has neither a cancellation nor a completion.
   */
  private void recordCompletions(
      ReferenceProgressRecords.EarlierVersionWriter earlierVersion, long leaderRevision) {
    for (StoredJob job : List.copyOf(earlierVersion.jobs())) {
      if (Arrays.stream(earlierVersion.statuses(job))
          .allMatch(ReferenceProgressRecords.DONE::equals)) {
        Transaction transaction =
            new Transaction(
                List.of(
                    new Condition("ps1/leader", leaderRevision),
                    new Condition("ps1/c/" + job.uid(), 0),
                    new Condition("ps1/d/" + job.uid(), 0)),
                List.of(
                    new Change.Put("ps1/d/" + job.uid(), Cbor.map().put("tasks", job.tasks()))));
        if (commit(transaction) instanceof TransactionResult.Committed) {
          earlierVersion.removeJob(job);
        }
      }
    }
  }

  // ---- Alternating leaders

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobsWithDependenciesSurviveAnUpgradeThatIsHaltedAndRolledBack(long seed) throws Exception {
    random = new Random(seed);
    startFromFixture();
    boolean recordsComplete = true;
    for (int term = 0; term < 6; term++) {
      recordsComplete =
          term % 2 == 0
              ? thisVersionLeads(200 + random.nextInt(400), recordsComplete, random.nextBoolean())
              : earlierVersionLeads(60 + random.nextInt(150), recordsComplete);
      cancelRandomJob();
    }
    lastLeaderFinishesAll(recordsComplete);
  }

  private void lastLeaderFinishesAll(boolean recordsComplete) {
    faultProbability = 0;
    ThisVersionLeader last = new ThisVersionLeader(recordsComplete);
    for (int i = 0; i < 20_000 && (i % 50 > 0 || !allJobsAreTerminal()); i++) {
      last.step();
      clock.runUntil(clock.nowMs() + 25);
    }
    last.settle();
    last.stop();
    takeOver(true);
    ReferenceJobRecords reference = new ReferenceJobRecords(LowerLimitsTest.allEntries(state));
    assertEquals(List.of(), nonTerminalJobs(reference), "jobs that are neither done nor aborted");
    long done =
        histories.keySet().stream()
            .filter(u -> reference.status(u).equals(ReferenceJobRecords.DONE))
            .count();
    assertTrue(
        done >= 35 && done < histories.size(), done + " of " + histories.size() + " are done");
    assertTrue(
        blockedAtTakeOver >= 20,
        blockedAtTakeOver + " jobs were blocked at a takeover, summed over all terms");
  }

  private boolean allJobsAreTerminal() {
    return nonTerminalJobs(new ReferenceJobRecords(LowerLimitsTest.allEntries(state))).isEmpty();
  }
}
