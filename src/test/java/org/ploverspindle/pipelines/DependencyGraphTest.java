package org.ploverspindle.pipelines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
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
  /** Records notifications, and checks that the graph agrees with each of them. */
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
      assertTrue(
          graph.isReady(uid) && !graph.isAborted(uid),
          uid + " notified as ready while it is not ready or is aborted");
      ready.add(uid);
    }

    @Override
    public void aborted(String uid) {
      assertTrue(graph.isAborted(uid), uid + " notified as aborted while it is not aborted");
      aborted.add(uid);
    }
  }

  private static String uid(int i) {
    return "run-" + i;
  }

  /**
   * Returns the acceptances, completions and cancellations of a random pipeline, as events that may
   * run in any order.
   */
  private static List<Runnable> randomEvents(
      Random random, int jobs, ReferenceDependencies model, DependencyGraph graph) {
    List<Runnable> events = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      List<String> dependencies = new ArrayList<>();
      for (int count = random.nextInt(4); count > 0 && i > 0; count--) {
        dependencies.add(uid(random.nextInt(i)));
      }
      if (!dependencies.isEmpty()) {
        boolean readLater = random.nextInt(8) == 0;
        events.add(() -> acceptJob(uid, dependencies, readLater, model, graph));
      }
      int outcome = random.nextInt(5);
      if (outcome < 2) {
        events.add(() -> finishJob(uid, model, graph));
      } else if (outcome == 2 && random.nextBoolean()) {
        events.add(() -> cancelJob(uid, model, graph));
      }
      if (!dependencies.isEmpty() && random.nextInt(10) == 0) {
        // A job may have two records with different lists: the one that is put last is valid.
        List<String> otherDependencies = i > 1 ? List.of(uid(i - 1)) : dependencies;
        events.add(() -> acceptJob(uid, otherDependencies, false, model, graph));
      }
    }
    return events;
  }

  /**
   * Sets the dependencies of a job in the reference model and in the graph.
   *
   * @param readLater whether the job is added before its dependencies are known
   */
  private static void acceptJob(
      String uid,
      List<String> dependencies,
      boolean readLater,
      ReferenceDependencies model,
      DependencyGraph graph) {
    if (readLater && !model.dependencies.containsKey(uid)) {
      graph.addWithUnknownDependencies(uid);
      assertTrue(graph.hasDependencies(uid));
      assertFalse(graph.isReady(uid), "ready although its dependencies are not known yet");
    }
    model.dependencies.put(uid, dependencies);
    graph.setDependencies(uid, dependencies);
  }

  private static void finishJob(String uid, ReferenceDependencies model, DependencyGraph graph) {
    model.done.add(uid);
    graph.done(uid);
  }

  private static void cancelJob(String uid, ReferenceDependencies model, DependencyGraph graph) {
    model.cancelled.add(uid);
    graph.cancelled(uid);
  }

  /**
   * Guards against a state that depends on the order in which records are read, which differs
   * between controllers. After each event, the graph and the critical path of 600 random pipelines
   * are compared with the reference model. About one in six events is then repeated, and the result
   * is compared again.
   */
  @Test
  void eventsInAnyOrderGiveTheStateOfTheReferenceDependencies() {
    for (int seed = 0; seed < 600; seed++) {
      Random random = new Random(seed);
      int jobs = 2 + random.nextInt(14);
      ReferenceDependencies model = new ReferenceDependencies();
      DependencyGraph graph = new DependencyGraph(model.done::contains, model.cancelled::contains);
      RecordingListener notified = new RecordingListener(graph);
      List<Runnable> events = randomEvents(random, jobs, model, graph);
      Collections.shuffle(events, random);
      List<Runnable> repeatedEvents = new ArrayList<>(events.subList(0, events.size() / 3));
      for (Runnable event : events) {
        event.run();
        assertMatchesReferenceDependencies(seed, jobs, model, graph);
      }
      repeatedEvents.stream().filter(event -> random.nextBoolean()).forEach(Runnable::run);
      assertMatchesReferenceDependencies(seed, jobs, model, graph);
      assertNotificationsMatchReferenceDependencies(seed, model, notified);
    }
  }

  /**
   * Guards against a job that is ready or no longer aborted once the graph has forgotten the ended
   * jobs on which it depended. Ended jobs are forgotten at random between the events.
   */
  @Test
  void forgettingEndedJobsDoesNotChangeTheStateOfOthers() {
    for (int seed = 0; seed < 600; seed++) {
      Random random = new Random(seed);
      int jobs = 2 + random.nextInt(14);
      ReferenceDependencies model = new ReferenceDependencies();
      Set<String> forgottenAborted = new HashSet<>();
      DependencyGraph graph =
          new DependencyGraph(
              model.done::contains,
              uid -> model.cancelled.contains(uid) || forgottenAborted.contains(uid));
      for (int step = 0; step < 8 * jobs; step++) {
        int job = random.nextInt(jobs);
        String uid = uid(job);
        Set<String> aborted = model.abortedUids();
        if (aborted.contains(uid) || model.done.contains(uid)) {
          forgottenAborted.addAll(aborted.contains(uid) ? Set.of(uid) : Set.of());
          graph.forget(uid);
        } else if (!model.dependencies.containsKey(uid)) {
          acceptJob(uid, randomDependencies(random, job), random.nextBoolean(), model, graph);
        } else if (random.nextBoolean() && model.isReady(uid)) {
          finishJob(uid, model, graph);
        } else if (random.nextInt(6) == 0) {
          cancelJob(uid, model, graph);
        }
        assertUnfinishedMatchReferenceDependencies("seed " + seed, jobs, model, graph);
      }
    }
  }

  private static List<String> randomDependencies(Random random, int job) {
    List<String> dependencies = new ArrayList<>();
    for (int count = random.nextInt(4); count > 0 && job > 0; count--) {
      dependencies.add(uid(random.nextInt(job)));
    }
    return dependencies;
  }

  private static void assertUnfinishedMatchReferenceDependencies(
      String context, int jobs, ReferenceDependencies model, DependencyGraph graph) {
    Set<String> aborted = model.abortedUids();
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      assertEquals(aborted.contains(uid), graph.isAborted(uid), context + " " + uid);
      if (!aborted.contains(uid) && !model.done.contains(uid)) {
        assertEquals(model.isReady(uid), graph.isReady(uid), context + " " + uid);
        assertEquals(
            (int) model.dependencies.getOrDefault(uid, List.of()).stream().distinct().count(),
            graph.dependencyCount(uid),
            context + " " + uid);
      }
    }
  }

  private static void assertNotificationsMatchReferenceDependencies(
      int seed, ReferenceDependencies model, RecordingListener notified) {
    assertEquals(
        notified.ready.size(),
        Set.copyOf(notified.ready).size(),
        "a job was notified as ready more than once");
    assertEquals(
        notified.aborted.size(),
        Set.copyOf(notified.aborted).size(),
        "a job was notified as aborted more than once");
    assertTrue(
        notified.aborted.containsAll(
            model.abortedUids().stream().filter(model.dependencies::containsKey).toList()),
        "seed " + seed);
    for (String uid : model.dependencies.keySet()) {
      boolean expected = model.isReady(uid) && !model.abortedUids().contains(uid);
      assertTrue(!expected || notified.ready.contains(uid), "seed " + seed + " " + uid);
    }
  }

  private static void assertMatchesReferenceDependencies(
      int seed, int jobs, ReferenceDependencies model, DependencyGraph graph) {
    Set<String> aborted = model.abortedUids();
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      String context = "seed " + seed + " " + uid;
      assertEquals(model.isReady(uid), graph.isReady(uid), context);
      assertEquals(aborted.contains(uid), graph.isAborted(uid), context);
      assertEquals(model.dependencies.containsKey(uid), graph.hasDependencies(uid), context);
      assertEquals(
          model.dependencies.getOrDefault(uid, List.of()).stream()
              .distinct()
              .filter(dependency -> !model.done.contains(dependency))
              .toList(),
          graph.unfinishedDependenciesOf(uid),
          context);
    }
    assertCriticalPathMatchesReferenceDependencies(seed, jobs, model, graph);
  }

  private static void assertCriticalPathMatchesReferenceDependencies(
      int seed, int jobs, ReferenceDependencies model, DependencyGraph graph) {
    Set<String> aborted = model.abortedUids();
    Map<String, CriticalPath.OwnValues> ownValues = randomOwnValues(new Random(seed), jobs);
    Map<String, CriticalPath.EffectiveValues> effectiveValues =
        CriticalPath.of(graph, uid -> Optional.of(ownValues.get(uid)));
    for (int i = 0; i < jobs; i++) {
      String uid = uid(i);
      boolean inGraph = graph.hasDependencies(uid) || !graph.dependentsOf(uid).isEmpty();
      if (model.done.contains(uid) || aborted.contains(uid)) {
        assertFalse(effectiveValues.containsKey(uid));
      } else if (inGraph) {
        long latestMs = model.latestFinishMs(uid, ownValues, aborted);
        assertEquals(
            latestMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(latestMs),
            effectiveValues.get(uid).latestFinishWallMs(),
            "seed " + seed + " " + uid);
        assertEquals(
            model.highestPriority(uid, ownValues, aborted), effectiveValues.get(uid).priority());
      }
    }
  }

  private static Map<String, CriticalPath.OwnValues> randomOwnValues(Random random, int jobs) {
    Map<String, CriticalPath.OwnValues> ownValues = new HashMap<>();
    for (int i = 0; i < jobs; i++) {
      ownValues.put(
          uid(i),
          new CriticalPath.OwnValues(
              random.nextInt(3) == 0
                  ? OptionalLong.of(random.nextInt(1_000_000))
                  : OptionalLong.empty(),
              Priority.values()[random.nextInt(4)],
              random.nextInt(200)));
    }
    return ownValues;
  }

  private static DependencyGraph emptyGraph() {
    return new DependencyGraph(uid -> false, uid -> false);
  }

  private static final Function<String, Optional<CriticalPath.OwnValues>> WITHOUT_DEADLINE =
      uid ->
          Optional.of(new CriticalPath.OwnValues(OptionalLong.empty(), Priority.BEST_EFFORT, 10));

  /**
   * Guards against a stack overflow by recursion along a chain of 20,000 dependencies, and against
   * work that grows faster than the number of edges.
   */
  @Test
  void deepPipelineVisitsEachEdgeAtMostTwiceWithoutRecursion() {
    int depth = 20_000;
    DependencyGraph graph = emptyGraph();
    RecordingListener notified = new RecordingListener(graph);
    // Jobs are put from the last to the first: each is in the graph as a dependency when it is put.
    for (int i = depth; i > 0; i--) {
      graph.setDependencies(uid(i), List.of(uid(i - 1)));
    }
    Function<String, Optional<CriticalPath.OwnValues>> ownValuesOf =
        uid ->
            uid.equals(uid(depth))
                ? Optional.of(
                    new CriticalPath.OwnValues(OptionalLong.of(1_000_000_000L), Priority.HIGH, 10))
                : WITHOUT_DEADLINE.apply(uid);
    CriticalPath.EffectiveValues first = CriticalPath.of(graph, ownValuesOf).get(uid(0));
    assertEquals(OptionalLong.of(1_000_000_000L - 10_000L * depth), first.latestFinishWallMs());
    assertEquals(Priority.HIGH, first.priority());
    graph.cancelled(uid(depth));
    assertEquals(
        OptionalLong.empty(), CriticalPath.of(graph, ownValuesOf).get(uid(0)).latestFinishWallMs());
    graph.cancelled(uid(0));
    assertEquals(depth, notified.aborted.size());
    assertTrue(
        graph.edgeVisits() <= 2L * depth, "edges were visited " + graph.edgeVisits() + " times");
    graph.cancelled(uid(0));
    graph.cancelled(uid(1));
    assertTrue(
        graph.edgeVisits() <= 2L * depth, "edges were visited again by a repeated cancellation");
  }

  /**
   * Guards against work that grows faster than the number of edges when the paths through a
   * pipeline meet again: 1,000 jobs depend on the first job, and each of the 50 last jobs on all
   * 1,000.
   */
  @Test
  void widePipelineWithDiamondsVisitsEachEdgeAtMostTwice() {
    int width = 1_000;
    DependencyGraph graph = emptyGraph();
    RecordingListener notified = new RecordingListener(graph);
    List<String> middleUids = new ArrayList<>();
    for (int i = 1; i <= width; i++) {
      middleUids.add(uid(i));
      graph.setDependencies(uid(i), List.of(uid(0)));
    }
    for (int i = 1; i <= 50; i++) {
      graph.setDependencies(uid(width + i), middleUids);
    }
    long edges = width + 50L * width;
    graph.done(uid(0));
    assertEquals(middleUids, notified.ready);
    middleUids.subList(1, width).forEach(graph::done);
    assertEquals(List.of(middleUids.get(0)), graph.unfinishedDependenciesOf(uid(width + 50)));
    graph.cancelled(middleUids.get(0));
    assertEquals(51, notified.aborted.size());
    assertEquals(width, notified.ready.size());
    assertTrue(
        graph.edgeVisits() <= 2 * edges, "edges were visited " + graph.edgeVisits() + " times");
  }

  /**
   * Guards against notifications before an abortion has reached all dependents, and against
   * notifications to a listener that was removed.
   */
  @Test
  void listenerSeesAConsistentGraphAndNoEventAfterItsRemoval() {
    DependencyGraph graph = emptyGraph();
    List<String> observations = new ArrayList<>();
    var registration =
        graph.addListener(
            new DependencyGraph.Listener() {
              @Override
              public void ready(String uid) {}

              @Override
              public void aborted(String uid) {
                observations.add(uid + (graph.isAborted(uid(3)) ? " consistent" : " inconsistent"));
              }
            });
    graph.setDependencies(uid(1), List.of(uid(0)));
    graph.setDependencies(uid(2), List.of(uid(1)));
    graph.setDependencies(uid(3), List.of(uid(2)));
    graph.cancelled(uid(0));
    assertEquals(
        List.of(uid(1) + " consistent", uid(2) + " consistent", uid(3) + " consistent"),
        observations);
    registration.cancel();
    graph.setDependencies(uid(4), List.of(uid(3)));
    assertEquals(3, observations.size());
    assertTrue(graph.isAborted(uid(4)));
  }
}
