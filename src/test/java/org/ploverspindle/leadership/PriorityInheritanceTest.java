package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.placement.ServiceLevelObjectives;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Replica;

/**
 * Checks that a job inherits the deadline and the priority of its dependents, from their acceptance
 * until they are cancelled. Guards against a pipeline whose first job is placed too late for the
 * deadline of the last one.
 */
class PriorityInheritanceTest {
  private static final long ACCEPTED = 5_000_000;
  private static final ServiceLevelObjectives OBJECTIVES =
      new ServiceLevelObjectives(
          List.of(new Settings.Objective("deadline", "publish", 0.9, 1.5, 0)));

  private final DependencyGraph graph = new DependencyGraph(uid -> false, uid -> false);
  private final Map<String, JobRecord> records = new HashMap<>();
  private final List<String> read = new ArrayList<>();
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final JobTable jobs;
  private final PriorityInheritance inheritance;
  private long nowMs = 1_000;

  PriorityInheritanceTest() {
    Replica emptyReplica = new Replica(new EventLoop(), null, "x/", 700, new SplittableRandom(1));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    jobs =
        new JobTable(
            emptyReplica, new AcceptedJobIndex(emptyReplica), new Catalogue(List.of("a")), teams);
    inheritance =
        new PriorityInheritance(
            graph,
            uid -> {
              read.add(uid);
              return Optional.ofNullable(records.get(uid));
            },
            jobs,
            estimates,
            OBJECTIVES);
  }

  private void accept(
      String uid,
      String jobClass,
      Priority priority,
      double runS,
      double deadlineS,
      String... dependencies) {
    JobSpec spec = JobSpecFixtures.batch(uid, jobClass, "red", priority, 2, 1, 1, runS, deadlineS);
    records.put(uid, new JobRecord(spec, ACCEPTED, 50));
    if (dependencies.length > 0) {
      graph.setDependencies(uid, List.of(dependencies));
    }
    inheritance.changed();
  }

  private Job addToTable(String uid) {
    return jobs.add(new AcceptedJobIndex.AcceptedJob(uid, records.get(uid).encode(), 1, "k"))
        .orElseThrow();
  }

  private void update() {
    nowMs += 40;
    inheritance.update(nowMs);
  }

  @Test
  void firstJobInheritsDeadlineAndPriorityOfTheLastUntilThatIsCancelled() {
    accept("index", "index", Priority.BEST_EFFORT, 10, 0);
    Job index = addToTable("index");
    update();
    assertEquals(Priority.BEST_EFFORT, index.priority());
    assertEquals(OptionalDouble.empty(), index.deadlineS());
    accept("compare", "compare", Priority.BEST_EFFORT, 25, 0, "index");
    accept("draft", "draft", Priority.NORMAL, 20, 0, "compare");
    update();
    assertEquals(Priority.NORMAL, index.priority());
    assertEquals(OptionalDouble.empty(), index.deadlineS());
    accept("publish", "publish", Priority.HIGH, 8, 200, "draft");
    update();
    assertEquals(Priority.HIGH, index.priority());
    assertEquals(OptionalDouble.of(200 - 8 - 20 - 25), index.deadlineS());
    assertEquals(OptionalDouble.of(300 - 8 - 20 - 25), index.latestDeadlineS());
    graph.cancelled("publish");
    inheritance.changed();
    update();
    assertEquals(Priority.NORMAL, index.priority());
    assertEquals(OptionalDouble.empty(), index.deadlineS());
    assertEquals(OptionalDouble.empty(), index.latestDeadlineS());
  }

  @Test
  void jobWithSeveralDependentsInheritsHighestPriorityAndEarliestDeadline() {
    accept("index", "index", Priority.BEST_EFFORT, 10, 0);
    Job index = addToTable("index");
    accept("left", "left", Priority.HIGH, 50, 0, "index");
    accept("right", "right", Priority.NORMAL, 5, 100, "index");
    accept("publish", "publish", Priority.NORMAL, 8, 120, "left", "right");
    update();
    assertEquals(Priority.HIGH, index.priority());
    assertEquals(OptionalDouble.of(120 - 8 - 50), index.deadlineS());
    assertEquals(
        OptionalDouble.of(95),
        index.latestDeadlineS(),
        "the class of the right job has no deadline multiple");
  }

  @Test
  void newEstimatesChangeDeadlinesPeriodicallyAndNoRecordIsReadTwice() {
    accept("index", "index", Priority.BEST_EFFORT, 10, 0);
    Job index = addToTable("index");
    accept("compare", "compare", Priority.BEST_EFFORT, 20, 0, "index");
    accept("publish", "publish", Priority.HIGH, 8, 100, "compare");
    update();
    assertEquals(OptionalDouble.of(72), index.deadlineS());
    estimates.recordRuntime(addToTable("compare"), 30);
    update();
    assertEquals(
        OptionalDouble.of(72), index.deadlineS(), "values are not computed again with each update");
    nowMs += 5_000;
    update();
    assertEquals(OptionalDouble.of(62), index.deadlineS());
    assertEquals(3, read.size(), "each record is read once");
  }
}
