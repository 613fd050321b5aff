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
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Jobs that controllers of this version and of commit f659783 accept into the same state service.
 * For each task it keeps the statuses that any leader has given it, so that the stored records can
 * be compared with them.
 */
abstract class MixedVersionScenario {
  static final Settings.StateLimits LIMITS = new Settings.StateLimits(1000, 60, 1, 6);
  static final int SHARD_SIZE = SnapshotRecord.maxShardSize(LIMITS.maxValueBytes());
  static final long WORKER_EPOCH = 3;

  final SimClock clock = new SimClock();
  final SimStateStore state = new SimStateStore(clock, LIMITS);
  final Map<String, JobHistory> histories = new TreeMap<>();
  Random random = new Random(1);
  JsonNode specWithoutDependencies = Cbor.map();
  double faultProbability;
  long terms = 1;
  int jobCount;
  long attempts;

  /** Jobs that were blocked on dependencies when a leader took over, summed over all terms. */
  int blockedAtTakeOver;

  /**
   * The statuses of a job's tasks: the present ones as its last leader knew them, and for each task
   * all that it has had.
   */
  static final class JobHistory {
    final StoredJob job;
    final List<String> dependencies;
    final String[] statuses;
    final List<Set<String>> allStatuses = new ArrayList<>();

    JobHistory(StoredJob job, List<String> dependencies, String[] statuses) {
      this.job = job;
      this.dependencies = dependencies;
      this.statuses = statuses;
      for (String status : statuses) {
        allStatuses.add(new HashSet<>(Set.of(status)));
      }
    }

    void setStatus(int task, String status) {
      statuses[task] = status;
      allStatuses.get(task).add(status);
    }

    void setRecorded(String[] recorded) {
      System.arraycopy(recorded, 0, statuses, 0, recorded.length);
    }
  }

  // ---- State service

  /** Commits the transaction, and retries every 50 ms while the state service refuses it. */
  TransactionResult commit(Transaction transaction) {
    TransactionResult result = state.commit(transaction);
    while (result instanceof TransactionResult.Refused) {
      clock.runUntil(clock.nowMs() + 50);
      result = state.commit(transaction);
    }
    return result;
  }

  void put(String key, JsonNode value) {
    Transaction transaction =
        new Transaction(List.of(new Condition(key, 0)), List.of(new Change.Put(key, value)));
    assertInstanceOf(TransactionResult.Committed.class, commit(transaction));
  }

  /**
   * Through this a leader of this version reaches the state service. With the fault probability, a
   * transaction is lost, executed without an answer, or executed late.
   */
  final class FaultyStateClient extends StubStateStore {
    private final SimClock.Process process;

    FaultyStateClient(SimClock.Process process) {
      super(clock, state, process);
      this.process = process;
    }

    @Override
    public void commit(Transaction transaction, Consumer<TransactionResult> then) {
      if (random.nextDouble() < faultProbability) {
        // Kind 0 is never executed, 1 is executed after 5 ms, and 2 after 400 ms to 4.4 s, when the
        // next leader may already lead. None is answered with its result.
        int kind = random.nextInt(3);
        if (kind > 0) {
          clock.after(kind == 1 ? 5 : 400 + random.nextInt(4_000), () -> state.commit(transaction));
        }
        process.schedule(300, () -> then.accept(new TransactionResult.Unknown()));
        return;
      }
      clock.after(
          3,
          () -> {
            TransactionResult result = state.commit(transaction);
            process.schedule(3, () -> then.accept(result));
          });
    }
  }

  long newTerm() {
    long before = LowerLimitsTest.allEntries(state).get(Keys.LEADER).modRevision();
    JsonNode leader =
        Cbor.map().put("member", "n0").put("token", 1 + terms++ * Term.TOKENS_PER_TERM);
    TransactionResult result =
        commit(
            new Transaction(
                List.of(new Condition(Keys.LEADER, before)),
                List.of(new Change.Put(Keys.LEADER, leader))));
    return assertInstanceOf(TransactionResult.Committed.class, result).revision();
  }

  // ---- Jobs

  void startFromFixture() throws IOException {
    JsonNode records = FixtureStore.fixture(FixtureStore.HEAD_F659783).path("records");
    FixtureStore fixture = new FixtureStore(records);
    fixture.entries().forEach(e -> put(e.key(), e.value()));
    specWithoutDependencies =
        fixture.under("ps1/b/n1-1uy9swvfcl9p-16").get(0).value().path("prepare-1");
    assertTrue(specWithoutDependencies.isObject());
    SortedMap<String, Entry> entries = LowerLimitsTest.allEntries(state);
    ReferenceJobRecords reference = new ReferenceJobRecords(entries);
    reference
        .jobs()
        .forEach(
            (uid, job) -> {
              String[] statuses = ReferenceProgressRecords.read(entries, job.stored());
              if (reference.status(uid).equals(ReferenceJobRecords.DONE)) {
                Arrays.fill(statuses, ReferenceProgressRecords.DONE);
              }
              histories.put(uid, new JobHistory(job.stored(), job.dependencies(), statuses));
            });
  }

  /** Returns the jobs that are neither done nor aborted, on which a new job may depend. */
  List<String> nonTerminalJobs(ReferenceJobRecords reference) {
    List<String> uids = new ArrayList<>();
    for (String uid : reference.jobs().keySet()) {
      if (Set.of(ReferenceJobRecords.WAITING, ReferenceJobRecords.READY)
          .contains(reference.status(uid))) {
        uids.add(uid);
      }
    }
    return uids;
  }

  /**
   * A controller of either version accepts a job that depends on up to three others. One job in
   * four also depends on the fixture's "step" jobs, and its dependencies are stored in a list apart
   * from its record.
   */
  void accept(boolean byEarlierVersion) {
    ReferenceJobRecords reference = new ReferenceJobRecords(LowerLimitsTest.allEntries(state));
    List<String> candidates = nonTerminalJobs(reference);
    Set<String> dependencies = new HashSet<>();
    for (int i = 1 + random.nextInt(3); i > 0 && !candidates.isEmpty(); i--) {
      dependencies.add(candidates.get(random.nextInt(candidates.size())));
    }
    boolean storedSeparately = random.nextInt(4) == 0;
    if (storedSeparately) {
      // The "step" jobs of the f659783 fixture: their names fill a list of two parts.
      histories.keySet().stream().filter(uid -> uid.startsWith("step")).forEach(dependencies::add);
    }
    List<String> dependencyList = List.copyOf(dependencies);
    String uid = String.format("job-%06d", ++jobCount);
    int tasks = 1 + random.nextInt(30);
    JsonNode spec =
        byEarlierVersion
            ? acceptedByEarlierVersion(uid, tasks, dependencyList, storedSeparately)
            : acceptedByThisVersion(uid, tasks, dependencyList, storedSeparately);
    put("ps1/b/n2-test-" + jobCount, Cbor.map().set(uid, spec));
    String[] waiting = new String[tasks];
    Arrays.fill(waiting, ReferenceProgressRecords.WAITING);
    histories.put(
        uid, new JobHistory(new StoredJob(uid, tasks, SHARD_SIZE), dependencyList, waiting));
  }

  JsonNode acceptedByEarlierVersion(
      String uid, int tasks, List<String> dependencies, boolean storedSeparately) {
    ObjectNode spec = ReferenceJobRecords.spec(specWithoutDependencies, tasks);
    if (storedSeparately) {
      String name = uid + "-0123456789abcdef0123";
      int half = dependencies.size() / 2;
      List<List<String>> parts =
          List.of(dependencies.subList(0, half), dependencies.subList(half, dependencies.size()));
      for (int part = 0; part < parts.size(); part++) {
        JsonNode ids = Cbor.map().put("ids", String.join(",", parts.get(part)));
        put(ReferenceJobRecords.listKey(name, part), ids);
      }
      spec.putObject("awaits_in").put("key", name).put("parts", parts.size());
    } else if (!dependencies.isEmpty()) {
      dependencies.forEach(spec.putArray("awaits")::add);
    }
    return spec;
  }

  JsonNode acceptedByThisVersion(
      String uid, int tasks, List<String> dependencies, boolean storedSeparately) {
    JobSpec spec =
        JobSpecFixtures.withDependencies(
            JobSpecFixtures.batch(uid, "class-0", "blue", Priority.NORMAL, tasks, 1, 1, 5, 0),
            dependencies.toArray(String[]::new));
    JobRecord record = new JobRecord(spec, clock.nowMs(), SHARD_SIZE);
    if (!storedSeparately) {
      return record.encode();
    }
    DependenciesRecord dependenciesRecord =
        DependenciesRecord.split(uid, dependencies, LIMITS.maxValueBytes());
    IntStream.range(0, dependenciesRecord.parts().size())
        .forEach(part -> put(dependenciesRecord.key(part), dependenciesRecord.parts().get(part)));
    return record.encode(dependenciesRecord);
  }

  void cancelRandomJob() {
    List<String> candidates =
        nonTerminalJobs(new ReferenceJobRecords(LowerLimitsTest.allEntries(state)));
    if (candidates.size() > 12) {
      put(
          "ps1/c/" + candidates.get(random.nextInt(candidates.size())),
          Cbor.map().put("at", 1_800_000_000L));
    }
  }

  // ---- Takeover

  /**
   * Asserts that the stored records agree with the histories of all jobs.
   *
   * @param recordsComplete whether the last leader had written all its progress, so that each
   *     recorded status must be the present one and not only one that the task has had
   * @return the recorded statuses of the jobs that are ready to run
   */
  Map<JobHistory, String[]> takeOver(boolean recordsComplete) {
    SortedMap<String, Entry> entries = LowerLimitsTest.allEntries(state);
    ReferenceJobRecords reference = new ReferenceJobRecords(entries);
    assertEquals(histories.keySet(), reference.jobs().keySet());
    Map<JobHistory, String[]> ready = new LinkedHashMap<>();
    histories.forEach(
        (uid, history) -> {
          assertEquals(history.dependencies, reference.jobs().get(uid).dependencies(), uid);
          String status = reference.status(uid);
          String[] read = ReferenceProgressRecords.read(entries, history.job);
          if (status.equals(ReferenceJobRecords.DONE)) {
            history.allStatuses.forEach(
                e -> assertTrue(e.contains(ReferenceProgressRecords.DONE), uid));
          } else if (status.equals(ReferenceJobRecords.WAITING)) {
            blockedAtTakeOver++;
            assertTrue(Arrays.stream(read).allMatch(ReferenceProgressRecords.WAITING::equals), uid);
          } else if (status.equals(ReferenceJobRecords.READY)) {
            assertStatusesWereHeld(history, read);
            if (recordsComplete) {
              assertArrayEquals(history.statuses, read, uid);
            }
            history.setRecorded(read);
            ready.put(history, read);
          }
        });
    return ready;
  }

  static void assertStatusesWereHeld(JobHistory history, String[] read) {
    for (int task = 0; task < read.length; task++) {
      String message = history.job.uid() + "/" + task + " is recorded as " + read[task];
      assertTrue(history.allStatuses.get(task).contains(read[task]), message);
    }
  }

  void assertReady(String uid) {
    assertEquals(
        ReferenceJobRecords.READY,
        new ReferenceJobRecords(LowerLimitsTest.allEntries(state)).status(uid),
        uid + " is placed although its dependencies are not all done");
  }

  String randomMachineId() {
    return "i-" + (100_000 + random.nextInt(60));
  }
}
