package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.Term;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.progress.RecordedProgress;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * Guards against a change of the stored formats that the version in production could not read.
 *
 * <p>The fixture holds records that the version in production wrote in a run on the simulated
 * services, and what it read from them. This version must read the same from them, and what it
 * writes must have the same fields with the same types.
 */
class ProductionRecordsTest {
  private static final Set<String> OPTIONAL_FIELDS = Set.of("types", "zone", "due");
  private static final Map<String, Pattern> TEXT_PATTERNS =
      Map.of(
          "done", Pattern.compile("(\\d+(-\\d+)?(,\\d+(-\\d+)?)*)?"),
          "live", Pattern.compile("(\\d+:[0-9a-z]+:\\d+:\\d+(,\\d+:[0-9a-z]+:\\d+:\\d+)*)?"),
          "id", Pattern.compile("\\d+\\.\\d+"),
          "kinds", Pattern.compile("\\w+,\\w+,(spot|ordinary)"),
          "l/hosts", Pattern.compile("i-\\d+,\\d+"),
          "x/hosts", Pattern.compile("i-\\d+"),
          "p/hosts", Pattern.compile("i-\\d+,\\w+,\\w+,(spot|ordinary)"),
          "jobs",
              Pattern.compile(
                  "run-\\d+\\|\\d+\\|\\d+\\|[0-9,-]*\\|[0-9,-]*\\|"
                      + "(\\d+(-\\d+)?:[0-9a-z]+:\\d+:\\d+,?)*"),
          "bounds", Pattern.compile("\\w+,\\d+,\\d+"),
          "backoff", Pattern.compile("\\w+,(true|false),\\d+"));

  private static JsonNode fixture() throws IOException {
    return FixtureStore.fixture(FixtureStore.PRODUCTION);
  }

  @Test
  void recordsOfTheVersionInProductionAreReadAsThatVersionReadsThem() throws Exception {
    JsonNode fixture = fixture();
    SimClock clock = new SimClock();
    SimClock.Process process = clock.new Process(0, 1, 0);
    StateStore store = new FixtureStore(fixture.path("records"));
    Replica replica = new Replica(process, store, Keys.PREFIX, 700, new SplittableRandom(1));
    AcceptedJobIndex specs = new AcceptedJobIndex(replica);
    replica.start();
    String uid = fixture.path("job").asText();
    JobRecord record = JobRecord.decode(uid, specs.get(uid).orElseThrow().value()).orElseThrow();
    assertEquals("class-0", record.spec().jobClass());
    assertEquals(JobKind.BATCH, record.spec().kind());
    assertEquals(Priority.HIGH, record.spec().priority());
    assertEquals(6, record.spec().tasks());
    assertEquals(Optional.of("a"), record.spec().requiredZone());
    assertEquals(Optional.empty(), record.spec().allowedTypes());
    assertEquals(18.0, record.spec().expectedS());
    assertEquals(1800000084923L, record.acceptedWallMs());
    assertEquals(79, record.shardSize());
    List<String> zones = List.of("a", "b");
    assertEquals(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, zones),
            new MachineType("large", Resources.offered(16, 2, 64), 40, 1, 1.1, 0.4, 5, zones)),
        MachineTypesRecord.read(replica).orElseThrow());
    assertEquals(Optional.of("n2"), replica.text(Keys.LEADER, "member"));
    assertEquals(1048576, replica.get(Keys.FENCING_TOKEN).orElseThrow().value().path("n").asLong());
    assertTrue(replica.endedJobs().isCancelled("run-000001"));
    assertTrue(replica.endedJobs().isDone("run-000002"));

    ProgressWriter writer =
        new ProgressWriter(
            process,
            new ProgressWriter.StateAccess(store, replica, new TokenBucket(process, 1, 1), 4, 2048),
            new Term(1, 7, 0),
            worker -> new SnapshotRecord.MachineInfo(worker.host(), "", "", true),
            new ProgressWriter.Listener() {
              @Override
              public void placementsRecorded(List<Placement> placements) {}

              @Override
              public void completionRecorded(Job job) {}

              @Override
              public void deposed(String cause) {}
            });
    Job job = new Job(record.spec(), 0, record.shardSize(), 0, new BitSet(), 0, 2);
    RecordedProgress.RecordedStatuses statuses =
        new RecordedProgress(replica, writer).statusesOf(job);
    assertEquals(fixture.path("done").asText(), statuses.completed().toString());
    Map<String, String> live = new TreeMap<>();
    statuses
        .placements()
        .forEach(
            (task, placement) -> {
              SnapshotRecord.MachineInfo machine = placement.machine();
              live.put(
                  "" + task,
                  String.join(
                      " ",
                      "" + placement.attempt(),
                      machine.id(),
                      machine.type(),
                      machine.zone(),
                      "" + machine.spot(),
                      "" + placement.workerEpoch()));
            });
    Map<String, String> expected = new TreeMap<>();
    fixture.path("live").properties().forEach(e -> expected.put(e.getKey(), e.getValue().asText()));
    assertEquals(expected, live);
  }

  // ---- Names and types of fields

  private static String recordKind(String key) {
    return key.substring(Keys.PREFIX.length()).replaceAll("/.*", "");
  }

  private static String typeName(JsonNode value) {
    return value.isIntegralNumber() ? "count" : value.getNodeType().name().toLowerCase();
  }

  /**
   * Returns the names and types of the record's fields, without a job's optional fields. Asserts
   * that texts with a known pattern match it.
   */
  private static Set<String> fieldTypes(String kind, JsonNode value) {
    Set<String> types = new TreeSet<>();
    for (Map.Entry<String, JsonNode> field : value.properties()) {
      if (!kind.equals("b") || !OPTIONAL_FIELDS.contains(field.getKey())) {
        types.add(field.getKey() + " " + typeName(field.getValue()));
      }
      Pattern pattern =
          TEXT_PATTERNS.getOrDefault(
              kind + "/" + field.getKey(), TEXT_PATTERNS.get(field.getKey()));
      for (JsonNode element :
          field.getValue().isArray() ? field.getValue() : List.of(field.getValue())) {
        if (pattern != null && element.isTextual()) {
          assertTrue(
              pattern.matcher(element.asText()).matches(),
              kind + " " + field.getKey() + " " + element);
        }
      }
    }
    return types;
  }

  private static void addRecord(String key, JsonNode value, Map<String, Set<Set<String>>> types) {
    String kind = recordKind(key);
    if (kind.equals("b")) {
      value.properties().forEach(e -> addFieldTypes("b", e.getValue(), types));
    } else if (kind.equals("types")) {
      value.path("types").forEach(machineType -> addFieldTypes("types", machineType, types));
    } else {
      addFieldTypes(kind, value, types);
    }
  }

  private static void addFieldTypes(
      String kind, JsonNode value, Map<String, Set<Set<String>>> types) {
    types.computeIfAbsent(kind, k -> new java.util.HashSet<>()).add(fieldTypes(kind, value));
  }

  @Test
  void recordsOfThisVersionHaveTheFieldsAndTypesOfTheVersionInProduction() throws Exception {
    Map<String, Set<Set<String>>> production = new TreeMap<>();
    fixture()
        .path("records")
        .properties()
        .forEach(e -> addRecord(e.getKey(), e.getValue(), production));
    SimulatedCluster cluster = new SimulatedCluster(11, 3, 14, List.of("a", "b"));
    Random random = new Random(5);
    for (int i = 0; i < 250; i++) {
      cluster.clock.after(
          3_000 + i * 700L,
          () -> {
            JobSpec spec = InvariantsTest.job(cluster.newUid(), random);
            cluster.submitAndPoll(spec);
            if (random.nextInt(6) == 0) {
              cluster.clock.after(8_000, () -> cluster.cancel(spec.uid(), 0));
            }
          });
    }
    Map<String, Set<Set<String>>> written = new TreeMap<>();
    Map<String, Long> seen = new HashMap<>();
    for (long nowMs = 5_000; nowMs < 180_000; nowMs += 500) {
      cluster.clock.runUntil(nowMs);
      LowerLimitsTest.allEntries(cluster.state)
          .forEach(
              (key, e) -> {
                if (!Long.valueOf(e.modRevision()).equals(seen.put(key, e.modRevision()))) {
                  addRecord(key, e.value(), written);
                }
              });
    }
    // Termination records were added after the version in production, which ignores keys of
    // kinds that it does not know.
    assertEquals(Set.of(Set.of("hosts array")), written.remove(recordKind(Keys.TERMINATIONS)));
    assertEquals(production, written);
  }
}
