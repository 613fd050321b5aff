package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.Specs;
import org.ploverspindle.cloud.Catalogue;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.jobs.JobTable;
import org.ploverspindle.jobs.TeamUsage;
import org.ploverspindle.jobs.Urgency;
import org.ploverspindle.loop.EventLoop;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.placement.Aims;
import org.ploverspindle.placement.Estimates;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SpecIndex;
import org.ploverspindle.state.SpecRecord;

/** A job presses as the jobs that need it do, from when they come until they are over. */
class PriorityInheritanceTest {
  private static final long ACCEPTED = 5_000_000;
  private static final Aims AIMS =
      new Aims(List.of(new Settings.Objective("deadline", "publish", 0.9, 1.5, 0)));

  private final DependencyGraph graph = new DependencyGraph(uid -> false, uid -> false);
  private final Map<String, SpecRecord> records = new HashMap<>();
  private final List<String> read = new ArrayList<>();
  private final Estimates estimates = new Estimates();
  private final JobTable jobs;
  private final PriorityInheritance passedBack;
  private long nowMs = 1_000;

  PriorityInheritanceTest() {
    Replica none = new Replica(new EventLoop(), null, "x/", 700);
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    jobs = new JobTable(none, new SpecIndex(none), new Catalogue(List.of("a")), teams);
    passedBack =
        new PriorityInheritance(
            graph,
            uid -> {
              read.add(uid);
              return Optional.ofNullable(records.get(uid));
            },
            jobs,
            estimates,
            AIMS);
  }

  private void accepted(
      String uid, String jobClass, Urgency urgency, double runS, double dueS, String... awaits) {
    JobSpec spec = Specs.batch(uid, jobClass, "red", urgency, 2, 1, 1, runS, dueS);
    records.put(uid, new SpecRecord(spec, ACCEPTED, 50));
    if (awaits.length > 0) {
      graph.put(uid, List.of(awaits));
    }
    passedBack.changed();
  }

  private Job table(String uid) {
    return jobs.add(new SpecIndex.Spec(uid, records.get(uid).encode(), 1, "k")).orElseThrow();
  }

  private void update() {
    nowMs += 40;
    passedBack.update(nowMs);
  }

  @Test
  void theLastJobsDueTimeAndUrgencyReachTheFirstUntilItIsCancelled() {
    accepted("index", "index", Urgency.BEST_EFFORT, 10, 0);
    Job index = table("index");
    update();
    assertEquals(Urgency.BEST_EFFORT, index.urgency());
    assertEquals(OptionalDouble.empty(), index.dueS());
    accepted("compare", "compare", Urgency.BEST_EFFORT, 25, 0, "index");
    accepted("draft", "draft", Urgency.NORMAL, 20, 0, "compare");
    update();
    assertEquals(Urgency.NORMAL, index.urgency());
    assertEquals(OptionalDouble.empty(), index.dueS());
    accepted("publish", "publish", Urgency.HIGH, 8, 200, "draft");
    update();
    assertEquals(Urgency.HIGH, index.urgency());
    assertEquals(OptionalDouble.of(200 - 8 - 20 - 25), index.dueS());
    assertEquals(OptionalDouble.of(300 - 8 - 20 - 25), index.lastChanceS());
    graph.cancelled("publish");
    passedBack.changed();
    update();
    assertEquals(Urgency.NORMAL, index.urgency());
    assertEquals(OptionalDouble.empty(), index.dueS());
    assertEquals(OptionalDouble.empty(), index.lastChanceS());
  }

  @Test
  void theMostUrgentAndTheEarliestCountWhereBranchesMeet() {
    accepted("index", "index", Urgency.BEST_EFFORT, 10, 0);
    Job index = table("index");
    accepted("left", "left", Urgency.HIGH, 50, 0, "index");
    accepted("right", "right", Urgency.NORMAL, 5, 100, "index");
    accepted("publish", "publish", Urgency.NORMAL, 8, 120, "left", "right");
    update();
    assertEquals(Urgency.HIGH, index.urgency());
    assertEquals(OptionalDouble.of(120 - 8 - 50), index.dueS());
    assertEquals(OptionalDouble.of(95), index.lastChanceS(), "no multiple counts for the right");
  }

  @Test
  void correctedEstimatesMoveItNowAndThenAndNothingIsReadTwice() {
    accepted("index", "index", Urgency.BEST_EFFORT, 10, 0);
    Job index = table("index");
    accepted("compare", "compare", Urgency.BEST_EFFORT, 20, 0, "index");
    accepted("publish", "publish", Urgency.HIGH, 8, 100, "compare");
    update();
    assertEquals(OptionalDouble.of(72), index.dueS());
    estimates.observed(table("compare"), 30);
    update();
    assertEquals(OptionalDouble.of(72), index.dueS(), "not worked out at every turn");
    nowMs += 5_000;
    update();
    assertEquals(OptionalDouble.of(62), index.dueS());
    assertEquals(3, read.size(), "each record once");
  }
}
