package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.progress.RecordedProgress;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.HttpStateStore;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Guards against a change of the stored formats, such as by a rename in the code. Both versions
 * lead in turn while an upgrade is halted or rolled back, so each must read what the other wrote.
 *
 * <p>The fixture holds records that commit f659783 (the first version with pipelines) wrote in a
 * run on the simulated services under lower limits, and what f659783 read from them. This version
 * must read the same from them and encode it again to the same bytes.
 */
class PipelineVersionRecordsTest {
  /** The value limit in the run of f659783, which sized the parts of lists and the shards. */
  private static final int MAX_VALUE_BYTES = 1024;

  private static final String ABSENT = "-";

  private final SimClock clock = new SimClock();

  /** A fixture's records, loaded by the replica and indexes of this version's controller. */
  private final class LoadedFixture {
    final FixtureStore store;
    final Replica replica;
    final AcceptedJobIndex specs;
    final Pipelines pipelines;
    final RecordedProgress progress;

    LoadedFixture(JsonNode records) {
      SimClock.Process process = clock.new Process(0, 1, 0);
      store = new FixtureStore(records);
      replica = new Replica(process, store, Keys.PREFIX, 700, new SplittableRandom(1));
      specs = new AcceptedJobIndex(replica);
      pipelines = new Pipelines(process, replica, specs);
      replica.start();
      progress = new RecordedProgress(replica, unusedWriter(process, store, replica));
    }

    JsonNode spec(String uid) {
      return specs.get(uid).orElseThrow().value();
    }
  }

  private static ProgressWriter unusedWriter(
      SimClock.Process process, FixtureStore store, Replica replica) {
    return new ProgressWriter(
        process,
        new ProgressWriter.StateAccess(
            store, replica, new TokenBucket(process, 1, 1), 4, MAX_VALUE_BYTES),
        new Term(1, 7, 0),
        machine -> new SnapshotRecord.MachineInfo(machine.host(), "", "", true),
        new ProgressWriter.Listener() {
          @Override
          public void placementsRecorded(List<Placement> placements) {}

          @Override
          public void completionRecorded(Job job) {}

          @Override
          public void deposed(String cause) {}
        });
  }

  private static JsonNode headFixture() throws IOException {
    return FixtureStore.fixture(FixtureStore.HEAD_F659783);
  }

  private static String hex(JsonNode value) {
    return HexFormat.of().formatHex(Cbor.write(value));
  }

  private static void assertSameBytes(JsonNode expected, JsonNode written, String key) {
    assertEquals(expected.toString(), written.toString(), key);
    assertEquals(hex(expected), hex(written), key);
  }

  // ---- Decoding

  private static String describe(JobRecord record) {
    JobSpec spec = record.spec();
    return String.join(
        " ",
        spec.uid(),
        spec.jobClass(),
        spec.team(),
        spec.kind().name(),
        spec.priority().name(),
        "" + spec.tasks(),
        "" + spec.cores(),
        "" + spec.accelerators(),
        "" + spec.memoryGb(),
        spec.allowedTypes().map(types -> String.join(",", types)).orElse(ABSENT),
        spec.requiredZone().orElse(ABSENT),
        "" + spec.oneZone(),
        "" + spec.spreadOverZones(),
        "" + spec.spot(),
        spec.image(),
        "" + spec.imageGb(),
        "" + spec.expectedS(),
        "" + spec.checkpointIntervalS(),
        "" + spec.checkpointCostS(),
        spec.deadlineS().isPresent() ? "" + spec.deadlineS().getAsDouble() : ABSENT,
        "" + record.acceptedWallMs(),
        "" + record.shardSize());
  }

  private static List<String> dependencies(LoadedFixture loaded, String uid) {
    return JobRecord.storedDependencies(loaded.spec(uid))
            instanceof JobRecord.StoredDependencies.Separate separate
        ? DependenciesRecord.read(loaded.replica, separate).orElseThrow()
        : JobRecord.decode(uid, loaded.spec(uid)).orElseThrow().spec().dependencies();
  }

  private static String status(LoadedFixture fixture, String uid) {
    if (fixture.replica.endedJobs().isDone(uid)) {
      return "done";
    }
    boolean cancelled = fixture.replica.endedJobs().isCancelled(uid);
    if (cancelled || fixture.pipelines.graph().isAborted(uid)) {
      return "aborted";
    }
    return fixture.pipelines.isBlocked(uid) ? "waiting" : "ready";
  }

  private static String describe(SnapshotRecord.RecordedPlacement live) {
    SnapshotRecord.MachineInfo host = live.machine();
    return String.join(
        " ",
        "" + live.attempt(),
        host.id(),
        host.type(),
        host.zone(),
        "" + host.spot(),
        "" + live.workerEpoch());
  }

  private static ObjectNode decodedJob(LoadedFixture loaded, String uid) {
    JobRecord record = JobRecord.decode(uid, loaded.spec(uid)).orElseThrow();
    ObjectNode decoded = Cbor.map().put("spec", describe(record));
    List<String> dependencies = dependencies(loaded, uid);
    if (!dependencies.isEmpty()) {
      decoded.put("awaits", String.join(" ", dependencies));
    }
    decoded.put("status", status(loaded, uid));
    Job job = new Job(record.spec(), 0, record.shardSize(), 0, new BitSet(), 0, 2);
    RecordedProgress.RecordedStatuses statuses = loaded.progress.statusesOf(job);
    if (!statuses.completed().isEmpty()) {
      decoded.put("done", statuses.completed().toString());
    }
    if (!statuses.placements().isEmpty()) {
      ObjectNode placements = decoded.putObject("live");
      statuses.placements().forEach((task, live) -> placements.put("" + task, describe(live)));
    }
    return decoded;
  }

  @Test
  void recordsOfF659783AreReadAsThatVersionReadsThem() throws Exception {
    JsonNode fixture = headFixture();
    LoadedFixture loaded = new LoadedFixture(fixture.path("records"));
    Map<String, String> expected = new TreeMap<>();
    Map<String, String> read = new TreeMap<>();
    for (Map.Entry<String, JsonNode> job : fixture.path("jobs").properties()) {
      expected.put(job.getKey(), job.getValue().toString());
      read.put(job.getKey(), decodedJob(loaded, job.getKey()).toString());
    }
    assertEquals(expected, read);
    assertEquals(loaded.specs.uids(), expected.keySet());
    assertEquals(Optional.of("n0"), loaded.replica.text(Keys.LEADER, "member"));
    assertEquals(
        Term.TOKENS_PER_TERM,
        loaded.replica.get(Keys.FENCING_TOKEN).orElseThrow().value().path("n").asLong());
  }

  @Test
  void fixtureHoldsEveryKindOfRecord() throws Exception {
    FixtureStore store = new FixtureStore(headFixture().path("records"));
    for (String prefix :
        List.of(
            Keys.LEADER,
            Keys.FENCING_TOKEN,
            Keys.MACHINE_TYPES,
            Keys.JOB_BATCHES,
            Keys.DEPENDENCIES,
            Keys.CANCELLATIONS,
            Keys.COMPLETIONS,
            Keys.SNAPSHOTS,
            Keys.PROGRESS_LOG,
            Keys.PROVISIONING_INTENTS,
            Keys.POOL_BOUNDS)) {
      assertTrue(!store.under(prefix).isEmpty(), prefix);
    }
  }

  // ---- Encoding

  private static void assertSpecsEncodedIdentically(LoadedFixture loaded) {
    for (String uid : loaded.specs.uids()) {
      JsonNode stored = loaded.spec(uid);
      JobRecord record = JobRecord.decode(uid, stored).orElseThrow();
      if (JobRecord.storedDependencies(stored)
          instanceof JobRecord.StoredDependencies.Separate separate) {
        DependenciesRecord list =
            DependenciesRecord.split(uid, dependencies(loaded, uid), MAX_VALUE_BYTES);
        assertEquals(separate.name(), list.name());
        assertEquals(separate.parts(), list.parts().size());
        assertSameBytes(stored, record.encode(list), uid);
        for (int part = 0; part < list.parts().size(); part++) {
          String key = list.key(part);
          assertSameBytes(
              loaded.replica.get(key).orElseThrow().value(), list.parts().get(part), key);
        }
      } else {
        assertSameBytes(stored, record.encode(), uid);
      }
    }
  }

  private static void assertLogEncodedIdentically(FixtureStore store) {
    for (Entry entry : store.under(Keys.PROGRESS_LOG)) {
      ProgressLogRecord record = ProgressLogRecord.decode(entry.value()).orElseThrow();
      ProgressLogRecord.Builder builder =
          new ProgressLogRecord.Builder(record.sequence(), record.id(), MAX_VALUE_BYTES);
      record.deltas().forEach(delta -> assertTrue(builder.add(delta), entry.key()));
      assertEquals(Keys.progressLog(record.sequence()), entry.key());
      assertSameBytes(entry.value(), builder.value(), entry.key());
    }
  }

  private static void assertSnapshotsEncodedIdentically(FixtureStore store) {
    for (Entry entry : store.under(Keys.SNAPSHOTS)) {
      SnapshotRecord record = SnapshotRecord.decode(entry.value()).orElseThrow();
      JsonNode written =
          record.encode(
              entry.value().path("job_done").asInt(), entry.value().path("job_running").asInt());
      assertSameBytes(entry.value(), written, entry.key());
    }
  }

  private static void assertMachineTypesEncodedIdentically(FixtureStore store) {
    JsonNode stored = store.under(Keys.MACHINE_TYPES).get(0).value();
    List<MachineType> types = MachineTypesRecord.decode(stored).orElseThrow();
    assertSameBytes(stored, MachineTypesRecord.encode(types), Keys.MACHINE_TYPES);
  }

  @ParameterizedTest
  @ValueSource(strings = {FixtureStore.HEAD_F659783, FixtureStore.PRODUCTION})
  void storedRecordsAreEncodedAgainByteForByte(String resource) throws Exception {
    LoadedFixture loaded = new LoadedFixture(FixtureStore.fixture(resource).path("records"));
    assertSpecsEncodedIdentically(loaded);
    assertLogEncodedIdentically(loaded.store);
    assertSnapshotsEncodedIdentically(loaded.store);
    assertMachineTypesEncodedIdentically(loaded.store);
  }

  @Test
  void machineTypesInPartsAreEncodedAndDecodedIdentically() throws Exception {
    JsonNode parts = headFixture().path("types_in_parts");
    List<MachineType> types =
        IntStream.range(0, 7)
            .mapToObj(
                i ->
                    new MachineType(
                        "machine-type-" + i,
                        Resources.offered(16, i, 64.5),
                        40,
                        1.25,
                        1.07,
                        0.39,
                        30,
                        List.of("zone-a", "zone-b")))
            .toList();
    List<Change.Put> puts = MachineTypesRecord.puts(types, MAX_VALUE_BYTES);
    assertEquals(parts.size(), puts.size());
    for (Change.Put put : puts) {
      assertSameBytes(parts.path(put.key()), put.value(), put.key());
    }
    assertEquals(Optional.of(types), MachineTypesRecord.read(new LoadedFixture(parts).replica));
  }

  @Test
  void valuesAndTransactionsAreEncodedInTheSameBytes() throws Exception {
    JsonNode fixture = headFixture();
    JsonNode records = fixture.path("records");
    for (Map.Entry<String, JsonNode> bytes : fixture.path("bytes").properties()) {
      JsonNode record = records.path(bytes.getKey());
      assertEquals(bytes.getValue().asText(), hex(record), bytes.getKey());
      byte[] stored = HexFormat.of().parseHex(bytes.getValue().asText());
      assertEquals(record.toString(), Cbor.readMap(stored).orElseThrow().toString());
    }
    Transaction transaction =
        new Transaction(
            List.of(new Condition(Keys.LEADER, 0), new Condition(Keys.FENCING_TOKEN, 258)),
            List.of(
                new Change.Put(Keys.LEADER, records.path(Keys.LEADER), Optional.of(9L)),
                new Change.Put(Keys.FENCING_TOKEN, records.path(Keys.FENCING_TOKEN)),
                new Change.Remove(Keys.provisioningIntent("r-1-1"))));
    assertEquals(fixture.path("transaction").asText(), hex(HttpStateStore.encode(transaction)));
  }

  // ---- Names and types of fields, for records whose content a test cannot choose

  /** Returns the names and types of the record's fields, in their order. */
  private static String fieldTypes(JsonNode value) {
    Map<String, String> types = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> field : value.properties()) {
      JsonNode fieldValue = field.getValue();
      types.put(
          field.getKey(),
          fieldValue.isIntegralNumber() ? "COUNT" : fieldValue.getNodeType().name());
    }
    return types.toString();
  }

  private static final List<String> COMPARED_PREFIXES =
      List.of(
          Keys.LEADER,
          Keys.FENCING_TOKEN,
          Keys.CANCELLATIONS,
          Keys.COMPLETIONS,
          Keys.PROVISIONING_INTENTS,
          Keys.POOL_BOUNDS);

  private static void addFieldTypes(String key, JsonNode value, Map<String, Set<String>> types) {
    for (String prefix : COMPARED_PREFIXES) {
      if (key.startsWith(prefix)) {
        types.computeIfAbsent(prefix, p -> new HashSet<>()).add(fieldTypes(value));
      }
    }
  }

  private static Map<String, Set<String>> fieldTypesByPrefix(String resource) throws IOException {
    Map<String, Set<String>> types = new TreeMap<>();
    new FixtureStore(FixtureStore.fixture(resource).path("records"))
        .entries()
        .forEach(e -> addFieldTypes(e.key(), e.value(), types));
    return types;
  }

  @Test
  void leadersOfThisVersionWriteRecordsWithTheSameFieldsAndTypes() throws Exception {
    SimulatedCluster cluster = new SimulatedCluster(4, 3, 14, List.of("a", "b"));
    List<String> uids = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      JobSpec spec =
          JobSpecFixtures.batch(
              cluster.newUid(), "class", "blue", Priority.NORMAL, 6, 2, 0.1, 8, 0);
      uids.add(spec.uid());
      cluster.clock.after(3_000 + i * 1_000, () -> cluster.submitAndPoll(spec));
    }
    cluster.clock.after(24_000, () -> cluster.cancel(uids.get(19), 0));
    Map<String, Set<String>> now = new TreeMap<>();
    for (long t = 1_000; t < 60_000; t += 100) {
      cluster.clock.runUntil(t);
      LowerLimitsTest.allEntries(cluster.state)
          .forEach((key, e) -> addFieldTypes(key, e.value(), now));
    }
    assertEquals(fieldTypesByPrefix(FixtureStore.HEAD_F659783), now);
    assertEquals(fieldTypesByPrefix(FixtureStore.PRODUCTION), now);
  }

  /**
   * The version in production knows no pipelines. It can read a job without dependencies only while
   * that job's record has the fields that it knows.
   */
  @Test
  void jobsWithoutDependenciesHaveTheFieldsOfTheVersionInProduction() throws Exception {
    Set<String> optional = Set.of("types", "zone", "due");
    Set<List<String>> fieldLists = new HashSet<>();
    for (String resource : List.of(FixtureStore.PRODUCTION, FixtureStore.HEAD_F659783)) {
      LoadedFixture loaded = new LoadedFixture(FixtureStore.fixture(resource).path("records"));
      for (String uid : loaded.specs.uids()) {
        if (dependencies(loaded, uid).isEmpty()) {
          JobRecord record = JobRecord.decode(uid, loaded.spec(uid)).orElseThrow();
          List<String> fields = new ArrayList<>();
          record.encode().fieldNames().forEachRemaining(fields::add);
          fields.removeAll(optional);
          fieldLists.add(fields);
        }
      }
    }
    assertEquals(1, fieldLists.size(), fieldLists.toString());
  }

  // ---- A cluster of this version, started from the records

  private static final Settings.StateLimits LOWER_LIMITS = new Settings.StateLimits(120, 40, 1, 6);

  private static final long CONTROLLERS_START_MS = 5_000;

  private static SimulatedCluster clusterFrom(FixtureStore fixture) {
    SimulatedCluster.Deployment small = SimulatedCluster.Deployment.small(3, 30, List.of("a", "b"));
    SimulatedCluster cluster =
        new SimulatedCluster(
            6,
            new SimulatedCluster.Deployment(
                small.controllerCount(),
                small.capacity(),
                small.zones(),
                small.workers(),
                new Settings.StateLimits(200, 60, 8, 12, Optional.of(LOWER_LIMITS)),
                small.cloud(),
                small.teams(),
                small.policy()));
    IntStream.range(0, small.controllerCount())
        .forEach(controller -> cluster.crash(controller, CONTROLLERS_START_MS));
    // The leader that wrote the records is gone. Its key is kept by a lease of 10 s, which nobody
    // renews.
    long lease = cluster.state.openLease(2 * CONTROLLERS_START_MS);
    for (Entry e : fixture.entries()) {
      Optional<Long> kept = e.key().equals(Keys.LEADER) ? Optional.of(lease) : Optional.empty();
      Change put = new Change.Put(e.key(), e.value(), kept);
      TransactionResult result = cluster.state.commit(new Transaction(List.of(), List.of(put)));
      assertInstanceOf(TransactionResult.Committed.class, result);
      // 50 changes per second, below the limit of 60 of the simulated state service.
      cluster.clock.runUntil(cluster.clock.nowMs() + 20);
    }
    assertTrue(cluster.clock.nowMs() < CONTROLLERS_START_MS);
    return cluster;
  }

  /**
   * Tells the checker which jobs were submitted or cancelled and which of their tasks had been
   * completed. Once the controllers have started, each user submits the job again and polls it.
   */
  private static void resubmitAll(SimulatedCluster cluster, LoadedFixture loaded, JsonNode jobs) {
    for (Map.Entry<String, JsonNode> job : jobs.properties()) {
      String uid = job.getKey();
      JobSpec stored = JobRecord.decode(uid, loaded.spec(uid)).orElseThrow().spec();
      JobSpec spec =
          JobSpecFixtures.withDependencies(
              stored, dependencies(loaded, uid).toArray(String[]::new));
      cluster.checker.submitted(spec);
      boolean done = job.getValue().path("status").asText().equals("done");
      BitSet tasks = new BitSet();
      if (done) {
        tasks.set(0, spec.tasks());
      } else {
        Job rebuilt = new Job(spec, 0, 8, 0, new BitSet(), 0, 2);
        tasks.or(loaded.progress.statusesOf(rebuilt).completed());
      }
      tasks.stream().forEach(task -> cluster.checker.recordCompletion(uid, task));
      if (loaded.replica.endedJobs().isCancelled(uid)) {
        cluster.checker.recordCancellationRequest(uid);
      }
      cluster.clock.after(CONTROLLERS_START_MS, () -> cluster.submitAndPoll(spec));
    }
  }

  @Test
  void clusterStartedFromTheRecordsFinishesTheirJobs() throws Exception {
    JsonNode fixture = headFixture();
    LoadedFixture loaded = new LoadedFixture(fixture.path("records"));
    SimulatedCluster cluster = clusterFrom(loaded.store);
    resubmitAll(cluster, loaded, fixture.path("jobs"));
    cluster.clock.runUntil(30_000);
    assertEquals(-1, cluster.checker.firstStartMs("mark-3"));
    assertEquals(-1, cluster.checker.firstStartMs("collect-7"));
    cluster.clock.runUntil(300_000);
    cluster.faultsEnded();
    cluster.clock.runUntil(360_000);
    assertEquals(List.of(), cluster.checker.violations());
    long trainedMs = cluster.checker.completedMs("train-2");
    assertTrue(cluster.checker.firstStartMs("train-2") > 0);
    for (String dependent : List.of("mark-3", "collect-7")) {
      assertTrue(cluster.checker.firstStartMs(dependent) >= trainedMs, dependent);
      assertEquals("done", cluster.checker.finalStatus(dependent));
    }
    for (String aborted : List.of("draft-4", "publish-5")) {
      assertEquals("aborted", cluster.checker.finalStatus(aborted));
      assertEquals(-1, cluster.checker.firstStartMs(aborted));
    }
    assertTrue(
        cluster.cloud.provisionedCount() >= 18,
        "the 18 machines of the provisioning intent r-1-97 were not provisioned");
    assertTrue(
        !LowerLimitsTest.allEntries(cluster.state).containsKey(Keys.provisioningIntent("r-1-97")));
  }
}
