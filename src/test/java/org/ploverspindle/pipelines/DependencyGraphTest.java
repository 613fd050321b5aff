package org.ploverspindle.pipelines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.ploverspindle.model.Priority;

class DependencyGraphTest {
  /** The expected state, computed slowly from all facts by fixpoints over sets. */
  private static final class ReferenceModel {
    final Map<String, List<String>> dependencies = new LinkedHashMap<>();
    final Set<String> done = new HashSet<>();
    final Set<String> cancelled = new HashSet<>();

    boolean ready(String uid) {
      return done.containsAll(dependencies.getOrDefault(uid, List.of()));
    }

    Set<String> aborted() {
      Set<String> aborted = new HashSet<>(cancelled);
      boolean more = true;
      while (more) {
        more = false;
        for (Map.Entry<String, List<String>> entry : dependencies.entrySet()) {
          if (!Collections.disjoint(entry.getValue(), aborted)) {
            more |= aborted.add(entry.getKey());
          }
        }
      }
      return aborted;
    }

    /** The latest finish by trying every way forward from the job. */
    long latest(String uid, Map<String, CriticalPath.OwnValues> own, Set<String> aborted) {
      long latest = own.get(uid).latestFinishMs().orElse(Long.MAX_VALUE);
      for (String dependent : unfinishedDependents(uid, aborted)) {
        long theirs = latest(dependent, own, aborted);
        if (theirs != Long.MAX_VALUE) {
          latest = Math.min(latest, theirs - Math.round(1000 * own.get(dependent).runS()));
        }
      }
      return latest;
    }

    Priority urgency(String uid, Map<String, CriticalPath.OwnValues> own, Set<String> aborted) {
      Priority most = own.get(uid).priority();
      for (String dependent : unfinishedDependents(uid, aborted)) {
        Priority theirs = urgency(dependent, own, aborted);
        most = theirs.ordinal() < most.ordinal() ? theirs : most;
      }
      return most;
    }

    private List<String> unfinishedDependents(String uid, Set<String> aborted) {
      return dependencies.entrySet().stream()
          .filter(entry -> entry.getValue().contains(uid))
          .map(Map.Entry::getKey)
          .filter(dependent -> !done.contains(dependent) && !aborted.contains(dependent))
          .toList();
    }
  }

  private static final class RecordingListener implements DependencyGraph.Listener {
    private final DependencyGraph graph;
    final List<String> ready = new ArrayList<>();
    final List<String> aborted = new ArrayList<>();

    RecordingListener(DependencyGraph graph) {
      this.graph = graph;
      graph.addListener(this);
    }

    @Override
    public void ready(String uid) {
      assertTrue(graph.isReady(uid) && !graph.isAborted(uid), uid + " notified as ready");
      ready.add(uid);
    }

    @Override
    public void aborted(String uid) {
      assertTrue(graph.isAborted(uid), uid + " notified as aborted");
      aborted.add(uid);
    }
  }

  private static String uid(int i) {
    return "run-" + i;
  }

  /** A random pipeline, as events that may arrive in any order. */
  private static List<Runnable> events(
      Random random, int jobs, ReferenceModel model, DependencyGraph graph) {
    List<Runnable> events = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      List<String> list = new ArrayList<>();
      for (int k = random.nextInt(4); k > 0 && i > 0; k--) {
        list.add(uid(random.nextInt(i)));
      }
      if (!list.isEmpty()) {
        boolean late = random.nextInt(8) == 0;
        events.add(() -> accepted(uid, list, late, model, graph));
      }
      int fate = random.nextInt(5);
      if (fate < 2) {
        events.add(() -> done(uid, model, graph));
      } else if (fate == 2 && random.nextBoolean()) {
        events.add(() -> cancelled(uid, model, graph));
      }
      if (!list.isEmpty() && random.nextInt(10) == 0) {
        // The valid record may come after another one.
        List<String> other = i > 1 ? List.of(uid(i - 1)) : list;
        events.add(() -> accepted(uid, other, false, model, graph));
      }
    }
    return events;
  }

  private static void accepted(
      String uid,
      List<String> dependencies,
      boolean readLate,
      ReferenceModel model,
      DependencyGraph graph) {
    if (readLate && !model.dependencies.containsKey(uid)) {
      graph.expect(uid);
      assertTrue(graph.hasDependencies(uid));
      assertFalse(graph.isReady(uid), "its dependencies are not known yet");
    }
    model.dependencies.put(uid, dependencies);
    graph.put(uid, dependencies);
  }

  private static void done(String uid, ReferenceModel model, DependencyGraph graph) {
    model.done.add(uid);
    graph.done(uid);
  }

  private static void cancelled(String uid, ReferenceModel model, DependencyGraph graph) {
    model.cancelled.add(uid);
    graph.cancelled(uid);
  }

  @Test
  void agreesWithTheReferenceModelInAnyOrderOfArrival() {
    for (int seed = 0; seed < 600; seed++) {
      Random random = new Random(seed);
      int jobs = 2 + random.nextInt(14);
      ReferenceModel model = new ReferenceModel();
      DependencyGraph graph = new DependencyGraph(model.done::contains, model.cancelled::contains);
      RecordingListener notified = new RecordingListener(graph);
      List<Runnable> events = events(random, jobs, model, graph);
      Collections.shuffle(events, random);
      List<Runnable> again = new ArrayList<>(events.subList(0, events.size() / 3));
      for (Runnable event : events) {
        event.run();
        compare(seed, jobs, model, graph);
      }
      again.stream().filter(event -> random.nextBoolean()).forEach(Runnable::run);
      compare(seed, jobs, model, graph);
      compareNotifications(seed, model, notified);
    }
  }

  private static void compareNotifications(
      int seed, ReferenceModel model, RecordingListener notified) {
    assertEquals(notified.ready.size(), Set.copyOf(notified.ready).size(), "notified once");
    assertEquals(notified.aborted.size(), Set.copyOf(notified.aborted).size(), "notified once");
    assertTrue(
        notified.aborted.containsAll(
            model.aborted().stream().filter(model.dependencies::containsKey).toList()),
        "seed " + seed);
    for (String uid : model.dependencies.keySet()) {
      boolean expected = model.ready(uid) && !model.aborted().contains(uid);
      assertTrue(!expected || notified.ready.contains(uid), "seed " + seed + " " + uid);
    }
  }

  private static void compare(int seed, int jobs, ReferenceModel model, DependencyGraph graph) {
    Set<String> aborted = model.aborted();
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      String where = "seed " + seed + " " + uid;
      assertEquals(model.ready(uid), graph.isReady(uid), where);
      assertEquals(aborted.contains(uid), graph.isAborted(uid), where);
      assertEquals(model.dependencies.containsKey(uid), graph.hasDependencies(uid), where);
      assertEquals(
          model.dependencies.getOrDefault(uid, List.of()).stream()
              .distinct()
              .filter(dependency -> !model.done.contains(dependency))
              .toList(),
          graph.unfinishedDependenciesOf(uid),
          where);
    }
    compareCriticalPath(seed, jobs, model, graph);
  }

  private static void compareCriticalPath(
      int seed, int jobs, ReferenceModel model, DependencyGraph graph) {
    Set<String> aborted = model.aborted();
    Map<String, CriticalPath.OwnValues> own = ownValues(new Random(seed), jobs);
    Map<String, CriticalPath.EffectiveValues> effective =
        CriticalPath.of(graph, uid -> Optional.of(own.get(uid)));
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      boolean inGraph = graph.hasDependencies(uid) || !graph.dependentsOf(uid).isEmpty();
      if (model.done.contains(uid) || aborted.contains(uid)) {
        assertFalse(effective.containsKey(uid));
      } else if (inGraph) {
        long latest = model.latest(uid, own, aborted);
        assertEquals(
            latest == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(latest),
            effective.get(uid).latestFinishMs(),
            "seed " + seed + " " + uid);
        assertEquals(model.urgency(uid, own, aborted), effective.get(uid).priority());
      }
    }
  }

  private static Map<String, CriticalPath.OwnValues> ownValues(Random random, int jobs) {
    Map<String, CriticalPath.OwnValues> own = new HashMap<>();
    for (int i = 0; i < jobs; i++) {
      own.put(
          uid(i),
          new CriticalPath.OwnValues(
              random.nextInt(3) == 0
                  ? OptionalLong.of(random.nextInt(1_000_000))
                  : OptionalLong.empty(),
              Priority.values()[random.nextInt(4)],
              random.nextInt(200)));
    }
    return own;
  }

  private static DependencyGraph empty() {
    return new DependencyGraph(uid -> false, uid -> false);
  }

  private static final Function<String, Optional<CriticalPath.OwnValues>> BARE =
      uid ->
          Optional.of(new CriticalPath.OwnValues(OptionalLong.empty(), Priority.BEST_EFFORT, 10));

  @Test
  void aDeepPipelineIsVisitedOnceAndWithoutRecursion() {
    int depth = 20_000;
    DependencyGraph graph = empty();
    RecordingListener notified = new RecordingListener(graph);
    // The last first: each is named before it is put.
    for (int i = depth; i > 0; i--) {
      graph.put(uid(i), List.of(uid(i - 1)));
    }
    Function<String, Optional<CriticalPath.OwnValues>> last =
        uid ->
            uid.equals(uid(depth))
                ? Optional.of(
                    new CriticalPath.OwnValues(OptionalLong.of(1_000_000_000L), Priority.HIGH, 10))
                : BARE.apply(uid);
    CriticalPath.EffectiveValues first = CriticalPath.of(graph, last).get(uid(0));
    assertEquals(OptionalLong.of(1_000_000_000L - 10_000L * depth), first.latestFinishMs());
    assertEquals(Priority.HIGH, first.priority());
    graph.cancelled(uid(depth));
    assertEquals(OptionalLong.empty(), CriticalPath.of(graph, last).get(uid(0)).latestFinishMs());
    graph.cancelled(uid(0));
    assertEquals(depth, notified.aborted.size());
    assertTrue(graph.visits() <= 2L * depth, "edges were visited " + graph.visits() + " times");
    graph.cancelled(uid(0));
    graph.cancelled(uid(1));
    assertTrue(graph.visits() <= 2L * depth, "a repeat visits nothing again");
  }

  @Test
  void widePipelinesWithDiamondsAreVisitedOnce() {
    int width = 1_000;
    DependencyGraph graph = empty();
    RecordingListener notified = new RecordingListener(graph);
    List<String> middle = new ArrayList<>();
    for (int i = 1; i <= width; i++) {
      middle.add(uid(i));
      graph.put(uid(i), List.of(uid(0)));
    }
    for (int i = 1; i <= 50; i++) {
      graph.put(uid(width + i), middle);
    }
    long edges = width + 50L * width;
    graph.done(uid(0));
    assertEquals(middle, notified.ready);
    middle.subList(1, width).forEach(graph::done);
    assertEquals(List.of(middle.get(0)), graph.unfinishedDependenciesOf(uid(width + 50)));
    graph.cancelled(middle.get(0));
    assertEquals(51, notified.aborted.size());
    assertEquals(width, notified.ready.size());
    assertTrue(graph.visits() <= 2 * edges, "edges were visited " + graph.visits() + " times");
  }

  @Test
  void aCancelledListenerIsNotNotifiedAndAListenerSeesAConsistentGraph() {
    DependencyGraph graph = empty();
    List<String> seen = new ArrayList<>();
    var listening =
        graph.addListener(
            new DependencyGraph.Listener() {
              @Override
              public void ready(String uid) {}

              @Override
              public void aborted(String uid) {
                seen.add(uid + (graph.isAborted(uid(3)) ? " consistent" : " inconsistent"));
              }
            });
    graph.put(uid(1), List.of(uid(0)));
    graph.put(uid(2), List.of(uid(1)));
    graph.put(uid(3), List.of(uid(2)));
    graph.cancelled(uid(0));
    assertEquals(
        List.of(uid(1) + " consistent", uid(2) + " consistent", uid(3) + " consistent"), seen);
    listening.cancel();
    graph.put(uid(4), List.of(uid(3)));
    assertEquals(3, seen.size());
    assertTrue(graph.isAborted(uid(4)));
  }
}
