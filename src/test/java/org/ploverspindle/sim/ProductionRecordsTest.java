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
 * Records that the version in production wrote in a run of its own on the stand-ins, with what it
 * read from them itself. This version reads the same, and what it writes has the same form.
 */
class ProductionRecordsTest {
  private static final Set<String> OPTIONAL = Set.of("types", "zone", "due");
  private static final Map<String, Pattern> TEXTS =
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
  void thisVersionReadsThem() throws Exception {
    JsonNode fixture = fixture();
    SimClock clock = new SimClock();
    SimClock.Process p = clock.new Process(0, 1, 0);
    StateStore store = new FixtureStore(fixture.path("records"));
    Replica replica = new Replica(p, store, Keys.PREFIX, 700);
    AcceptedJobIndex specs = new AcceptedJobIndex(replica);
    replica.start();
    String uid = fixture.path("job").asText();
    JobRecord spec = JobRecord.decode(uid, specs.get(uid).orElseThrow().value()).orElseThrow();
    assertEquals("class-0", spec.spec().jobClass());
    assertEquals(JobKind.BATCH, spec.spec().kind());
    assertEquals(Priority.HIGH, spec.spec().priority());
    assertEquals(6, spec.spec().tasks());
    assertEquals(Optional.of("a"), spec.spec().zone());
    assertEquals(Optional.empty(), spec.spec().types());
    assertEquals(18.0, spec.spec().expectedS());
    assertEquals(1800000084923L, spec.acceptedWallMs());
    assertEquals(79, spec.shardSize());
    List<String> zones = List.of("a", "b");
    assertEquals(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, zones),
            new MachineType("large", Resources.offered(16, 2, 64), 40, 1, 1.1, 0.4, 5, zones)),
        MachineTypesRecord.read(replica).orElseThrow());
    assertEquals(Optional.of("n2"), replica.text(Keys.LEADER, "member"));
    assertEquals(1048576, replica.get(Keys.TOKEN).orElseThrow().value().path("n").asLong());
    assertTrue(replica.get(Keys.cancellation("run-000001")).isPresent());
    assertTrue(replica.get(Keys.completion("run-000002")).isPresent());

    ProgressWriter writer =
        new ProgressWriter(
            p,
            new ProgressWriter.StateAccess(store, replica, new TokenBucket(p, 1, 1), 4, 2048),
            new Term(1, 7, 0),
            m -> new SnapshotRecord.MachineInfo(m.host(), "", "", true),
            new ProgressWriter.Listener() {
              @Override
              public void placementsRecorded(List<Placement> placements) {}

              @Override
              public void completionRecorded(Job job) {}

              @Override
              public void deposed(String cause) {}
            });
    Job job = new Job(spec.spec(), 0, spec.shardSize(), 0, new BitSet(), 0, 2);
    RecordedProgress.RecordedStatuses state = new RecordedProgress(replica, writer).of(job);
    assertEquals(fixture.path("done").asText(), state.completed().toString());
    Map<String, String> live = new TreeMap<>();
    state
        .placements()
        .forEach(
            (t, l) -> {
              SnapshotRecord.MachineInfo h = l.machine();
              live.put(
                  "" + t,
                  String.join(
                      " ",
                      "" + l.attempt(),
                      h.id(),
                      h.type(),
                      h.zone(),
                      "" + h.spot(),
                      "" + l.agentEpoch()));
            });
    Map<String, String> expected = new TreeMap<>();
    fixture.path("live").properties().forEach(e -> expected.put(e.getKey(), e.getValue().asText()));
    assertEquals(expected, live);
  }

  // ---- forms

  private static String kind(String key) {
    return key.substring(Keys.PREFIX.length()).replaceAll("/.*", "");
  }

  private static String type(JsonNode v) {
    return v.isIntegralNumber() ? "count" : v.getNodeType().name().toLowerCase();
  }

  /** Names and types of the fields; what may be absent only where it is there. */
  private static Set<String> form(String kind, JsonNode v) {
    Set<String> form = new TreeSet<>();
    for (Map.Entry<String, JsonNode> f : v.properties()) {
      if (!kind.equals("b") || !OPTIONAL.contains(f.getKey())) {
        form.add(f.getKey() + " " + type(f.getValue()));
      }
      Pattern text = TEXTS.getOrDefault(kind + "/" + f.getKey(), TEXTS.get(f.getKey()));
      for (JsonNode x : f.getValue().isArray() ? f.getValue() : List.of(f.getValue())) {
        if (text != null && x.isTextual()) {
          assertTrue(text.matcher(x.asText()).matches(), kind + " " + f.getKey() + " " + x);
        }
      }
    }
    return form;
  }

  private static void forms(String key, JsonNode v, Map<String, Set<Set<String>>> forms) {
    String kind = kind(key);
    if (kind.equals("b")) {
      v.properties().forEach(e -> add("b", e.getValue(), forms));
    } else if (kind.equals("types")) {
      v.path("types").forEach(t -> add("types", t, forms));
    } else {
      add(kind, v, forms);
    }
  }

  private static void add(String kind, JsonNode v, Map<String, Set<Set<String>>> forms) {
    forms.computeIfAbsent(kind, k -> new java.util.HashSet<>()).add(form(kind, v));
  }

  @Test
  void whatThisVersionWritesHasTheSameForm() throws Exception {
    Map<String, Set<Set<String>>> production = new TreeMap<>();
    fixture()
        .path("records")
        .properties()
        .forEach(e -> forms(e.getKey(), e.getValue(), production));
    SimulatedCluster w = new SimulatedCluster(11, 3, 14, List.of("a", "b"));
    Random random = new Random(5);
    for (int i = 0; i < 250; i++) {
      w.clock.after(
          3_000 + i * 700L,
          () -> {
            JobSpec s = InvariantsTest.job(w.newUid(), random);
            w.submitAndPoll(s);
            if (random.nextInt(6) == 0) {
              w.clock.after(8_000, () -> w.cancel(s.uid(), 0));
            }
          });
    }
    Map<String, Set<Set<String>>> now = new TreeMap<>();
    Map<String, Long> seen = new HashMap<>();
    for (long t = 5_000; t < 180_000; t += 500) {
      w.clock.runUntil(t);
      LowerLimitsTest.all(w.state)
          .forEach(
              (key, e) -> {
                if (!Long.valueOf(e.modRevision()).equals(seen.put(key, e.modRevision()))) {
                  forms(key, e.value(), now);
                }
              });
    }
    // Returns are recorded since; versions that don't know them pass over their keys.
    assertEquals(Set.of(Set.of("hosts array")), now.remove(kind(Keys.TERMINATIONS)));
    assertEquals(production, now);
  }
}
