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
  /** What the graph has to say, worked out slowly from all facts by fixpoints over sets. */
  private static final class Plain {
    final Map<String, List<String>> lists = new LinkedHashMap<>();
    final Set<String> done = new HashSet<>();
    final Set<String> cancelled = new HashSet<>();

    boolean ready(String uid) {
      return done.containsAll(lists.getOrDefault(uid, List.of()));
    }

    Set<String> aborted() {
      Set<String> aborted = new HashSet<>(cancelled);
      boolean more = true;
      while (more) {
        more = false;
        for (Map.Entry<String, List<String>> e : lists.entrySet()) {
          if (!Collections.disjoint(e.getValue(), aborted)) {
            more |= aborted.add(e.getKey());
          }
        }
      }
      return aborted;
    }

    /** The latest finish by trying every way forward from the job. */
    long latest(String uid, Map<String, CriticalPath.Own> own, Set<String> aborted) {
      long latest = own.get(uid).latestFinishMs().orElse(Long.MAX_VALUE);
      for (String d : liveDependents(uid, aborted)) {
        long theirs = latest(d, own, aborted);
        if (theirs != Long.MAX_VALUE) {
          latest = Math.min(latest, theirs - Math.round(1000 * own.get(d).runS()));
        }
      }
      return latest;
    }

    Priority urgency(String uid, Map<String, CriticalPath.Own> own, Set<String> aborted) {
      Priority most = own.get(uid).urgency();
      for (String d : liveDependents(uid, aborted)) {
        Priority theirs = urgency(d, own, aborted);
        most = theirs.ordinal() < most.ordinal() ? theirs : most;
      }
      return most;
    }

    private List<String> liveDependents(String uid, Set<String> aborted) {
      return lists.entrySet().stream()
          .filter(e -> e.getValue().contains(uid))
          .map(Map.Entry::getKey)
          .filter(d -> !done.contains(d) && !aborted.contains(d))
          .toList();
    }
  }

  private static final class Told implements DependencyGraph.Listener {
    private final DependencyGraph graph;
    final List<String> ready = new ArrayList<>();
    final List<String> aborted = new ArrayList<>();

    Told(DependencyGraph graph) {
      this.graph = graph;
      graph.listen(this);
    }

    @Override
    public void ready(String uid) {
      assertTrue(graph.isReady(uid) && !graph.isAborted(uid), uid + " is told ready");
      ready.add(uid);
    }

    @Override
    public void aborted(String uid) {
      assertTrue(graph.isAborted(uid), uid + " is told aborted");
      aborted.add(uid);
    }
  }

  private static String uid(int i) {
    return "run-" + i;
  }

  @Test
  void agreesWithThePlainModelInAnyOrderOfArrival() {
    for (int seed = 0; seed < 600; seed++) {
      Random random = new Random(seed);
      int n = 2 + random.nextInt(14);
      Plain plain = new Plain();
      DependencyGraph graph = new DependencyGraph(plain.done::contains, plain.cancelled::contains);
      Told told = new Told(graph);
      List<Runnable> events = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        String uid = uid(i);
        List<String> list = new ArrayList<>();
        for (int k = random.nextInt(4); k > 0 && i > 0; k--) {
          list.add(uid(random.nextInt(i)));
        }
        if (!list.isEmpty()) {
          boolean late = random.nextInt(8) == 0;
          events.add(
              () -> {
                if (late && !plain.lists.containsKey(uid)) {
                  graph.expect(uid);
                  assertTrue(graph.awaitsOthers(uid));
                  assertFalse(graph.isReady(uid), "what it awaits is not known yet");
                }
                plain.lists.put(uid, list);
                graph.put(uid, list);
              });
        }
        int fate = random.nextInt(5);
        if (fate < 2) {
          events.add(
              () -> {
                plain.done.add(uid);
                graph.done(uid);
              });
        } else if (fate == 2 && random.nextBoolean()) {
          events.add(
              () -> {
                plain.cancelled.add(uid);
                graph.cancelled(uid);
              });
        }
        if (!list.isEmpty() && random.nextInt(10) == 0) {
          // The record that counts may come after another one.
          List<String> other = i > 1 ? List.of(uid(i - 1)) : list;
          events.add(
              () -> {
                plain.lists.put(uid, other);
                graph.put(uid, other);
              });
        }
      }
      Collections.shuffle(events, random);
      List<Runnable> again = new ArrayList<>(events.subList(0, events.size() / 3));
      for (Runnable event : events) {
        event.run();
        compare(seed, n, plain, graph);
      }
      again.stream().filter(e -> random.nextBoolean()).forEach(Runnable::run);
      compare(seed, n, plain, graph);
      assertEquals(told.ready.size(), Set.copyOf(told.ready).size(), "told once");
      assertEquals(told.aborted.size(), Set.copyOf(told.aborted).size(), "told once");
      assertTrue(
          told.aborted.containsAll(
              plain.aborted().stream().filter(plain.lists::containsKey).toList()),
          "seed " + seed);
      for (String uid : plain.lists.keySet()) {
        boolean expected = plain.ready(uid) && !plain.aborted().contains(uid);
        assertTrue(!expected || told.ready.contains(uid), "seed " + seed + " " + uid);
      }
    }
  }

  private static void compare(int seed, int n, Plain plain, DependencyGraph graph) {
    Set<String> aborted = plain.aborted();
    for (int i = 0; i < n; i++) {
      String uid = uid(i);
      String where = "seed " + seed + " " + uid;
      assertEquals(plain.ready(uid), graph.isReady(uid), where);
      assertEquals(aborted.contains(uid), graph.isAborted(uid), where);
      assertEquals(plain.lists.containsKey(uid), graph.awaitsOthers(uid), where);
      assertEquals(
          plain.lists.getOrDefault(uid, List.of()).stream()
              .distinct()
              .filter(d -> !plain.done.contains(d))
              .toList(),
          graph.unfinished(uid),
          where);
    }
    Random random = new Random(seed);
    Map<String, CriticalPath.Own> own = new HashMap<>();
    for (int i = 0; i < n; i++) {
      own.put(
          uid(i),
          new CriticalPath.Own(
              random.nextInt(3) == 0
                  ? OptionalLong.of(random.nextInt(1_000_000))
                  : OptionalLong.empty(),
              Priority.values()[random.nextInt(4)],
              random.nextInt(200)));
    }
    Map<String, CriticalPath.PriorityInheritance> passed =
        CriticalPath.of(graph, uid -> Optional.of(own.get(uid)));
    for (int i = 0; i < n; i++) {
      String uid = uid(i);
      boolean inGraph = graph.awaitsOthers(uid) || !graph.dependentsOf(uid).isEmpty();
      if (plain.done.contains(uid) || aborted.contains(uid)) {
        assertFalse(passed.containsKey(uid));
      } else if (inGraph) {
        long latest = plain.latest(uid, own, aborted);
        assertEquals(
            latest == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(latest),
            passed.get(uid).latestFinishMs(),
            "seed " + seed + " " + uid);
        assertEquals(plain.urgency(uid, own, aborted), passed.get(uid).urgency());
      }
    }
  }

  private static DependencyGraph empty() {
    return new DependencyGraph(uid -> false, uid -> false);
  }

  private static final Function<String, Optional<CriticalPath.Own>> BARE =
      uid -> Optional.of(new CriticalPath.Own(OptionalLong.empty(), Priority.BEST_EFFORT, 10));

  @Test
  void aDeepPipelineIsWalkedOnceAndWithoutRecursion() {
    int depth = 20_000;
    DependencyGraph graph = empty();
    Told told = new Told(graph);
    // The last first: each is named before it is put.
    for (int i = depth; i > 0; i--) {
      graph.put(uid(i), List.of(uid(i - 1)));
    }
    Function<String, Optional<CriticalPath.Own>> last =
        uid ->
            uid.equals(uid(depth))
                ? Optional.of(
                    new CriticalPath.Own(OptionalLong.of(1_000_000_000L), Priority.HIGH, 10))
                : BARE.apply(uid);
    CriticalPath.PriorityInheritance first = CriticalPath.of(graph, last).get(uid(0));
    assertEquals(OptionalLong.of(1_000_000_000L - 10_000L * depth), first.latestFinishMs());
    assertEquals(Priority.HIGH, first.urgency());
    graph.cancelled(uid(depth));
    assertEquals(OptionalLong.empty(), CriticalPath.of(graph, last).get(uid(0)).latestFinishMs());
    graph.cancelled(uid(0));
    assertEquals(depth, told.aborted.size());
    assertTrue(graph.visits() <= 2L * depth, "edges were looked at " + graph.visits() + " times");
    graph.cancelled(uid(0));
    graph.cancelled(uid(1));
    assertTrue(graph.visits() <= 2L * depth, "a repeat walks nothing again");
  }

  @Test
  void widePipelinesAndTheirDiamondsAreWalkedOnce() {
    int width = 1_000;
    DependencyGraph graph = empty();
    Told told = new Told(graph);
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
    assertEquals(middle, told.ready);
    middle.subList(1, width).forEach(graph::done);
    assertEquals(List.of(middle.get(0)), graph.unfinished(uid(width + 50)));
    graph.cancelled(middle.get(0));
    assertEquals(51, told.aborted.size());
    assertEquals(width, told.ready.size());
    assertTrue(graph.visits() <= 2 * edges, "edges were looked at " + graph.visits() + " times");
  }

  @Test
  void aListenerThatEndsHearsNoMoreAndSeesNothingHalfDone() {
    DependencyGraph graph = empty();
    List<String> seen = new ArrayList<>();
    var listening =
        graph.listen(
            new DependencyGraph.Listener() {
              @Override
              public void ready(String uid) {}

              @Override
              public void aborted(String uid) {
                seen.add(uid + (graph.isAborted(uid(3)) ? " whole" : " half"));
              }
            });
    graph.put(uid(1), List.of(uid(0)));
    graph.put(uid(2), List.of(uid(1)));
    graph.put(uid(3), List.of(uid(2)));
    graph.cancelled(uid(0));
    assertEquals(List.of(uid(1) + " whole", uid(2) + " whole", uid(3) + " whole"), seen);
    listening.cancel();
    graph.put(uid(4), List.of(uid(3)));
    assertEquals(3, seen.size());
    assertTrue(graph.isAborted(uid(4)));
  }
}
