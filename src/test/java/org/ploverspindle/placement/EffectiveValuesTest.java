package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Replica;

/**
 * Guards against wrong priorities, deadlines and slack of jobs in pipelines: placement must use a
 * job's own values unless it inherits a tighter deadline or a higher priority from its dependents.
 */
class EffectiveValuesTest {
  private static final long ACCEPTED = 5_000_000;
  private static final List<Settings.Objective> OBJECTIVES =
      List.of(
          new Settings.Objective("deadline", "c", 0.9, 1.5, 0),
          new Settings.Objective("deadline", "c", 0.9, 2, 0),
          new Settings.Objective("wait", "c", 0.9, 1, 70),
          new Settings.Objective("wait", "d", 0.9, 1, 1),
          new Settings.Objective("finished", "d", 0.9, 1, 300));

  private final Catalogue catalogue = new Catalogue(List.of("a"));
  private final TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final JobTable jobs;
  private final PendingJobOrder jobOrder;

  EffectiveValuesTest() {
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    Replica emptyReplica = new Replica(new EventLoop(), null, "x/", 700, new SplittableRandom(1));
    jobs = new JobTable(emptyReplica, new AcceptedJobIndex(emptyReplica), catalogue, teams);
    Term term = new Term(7, 1, 0);
    MachineRegistry fleet =
        new MachineRegistry(
            catalogue, teams, SafetyTiming.of(new Settings.WorkerLimits(3, 14, 39), 1), term);
    NoOpHeartbeatListener.heartbeatHandler(fleet, term)
        .handle(
            new Heartbeat("i-1", "", "t", "a", true, 1, 1, 7, OptionalDouble.empty(), List.of()),
            ACCEPTED);
    jobOrder =
        new PendingJobOrder(
            new ClusterView(catalogue, fleet, jobs, teams),
            estimates,
            new ServiceLevelObjectives(OBJECTIVES));
  }

  private static Job job(JobSpec spec) {
    return new Job(spec, ACCEPTED, 80, 0, new BitSet(), -1, 1);
  }

  private static JobSpec randomSpec(Random random, int i) {
    return JobSpecFixtures.batch(
        "run-" + i,
        random.nextBoolean() ? "c" : "d",
        "red",
        Priority.values()[random.nextInt(4)],
        1 + random.nextInt(9),
        1,
        1,
        1 + random.nextDouble() * 90,
        random.nextInt(3) == 0 ? 0 : 10 + random.nextDouble() * 300);
  }

  /** The slack in seconds of a job without dependents, computed from the user's values alone. */
  private static OptionalDouble referenceSlackS(JobSpec spec, double runS, long wallMs) {
    double waitedS = (wallMs - ACCEPTED) / 1000.0;
    List<Double> startBy = new ArrayList<>();
    if (spec.deadlineS().isPresent()) {
      startBy.add(spec.deadlineS().getAsDouble() - runS);
      for (double multiple : spec.jobClass().equals("c") ? List.of(1.5, 2.0) : List.<Double>of()) {
        startBy.add(spec.deadlineS().getAsDouble() * multiple - runS);
      }
    }
    startBy.add(spec.jobClass().equals("c") ? 70 : 300 - runS);
    OptionalDouble first =
        startBy.stream()
            .filter(by -> by >= waitedS - 0.4 * runS - 2)
            .mapToDouble(Double::doubleValue)
            .min();
    if (first.isPresent()) {
      return OptionalDouble.of(first.getAsDouble() - waitedS);
    }
    return spec.deadlineS().isPresent() ? first : OptionalDouble.of(1e6 - waitedS - runS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void jobWithoutTighterDependentsUsesItsOwnValues(long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < 200; i++) {
      JobSpec spec = randomSpec(random, i);
      Job job = job(spec);
      if (random.nextBoolean()) {
        // The job's dependents have a lower priority or the same, and no earlier deadline.
        OptionalLong ownDeadlineWallMs =
            spec.deadlineS().isPresent()
                ? OptionalLong.of(ACCEPTED + Math.round(spec.deadlineS().getAsDouble() * 1000))
                : OptionalLong.empty();
        job.inherit(Priority.BEST_EFFORT, ownDeadlineWallMs, ownDeadlineWallMs);
      }
      double runS = spec.expectedS();
      long wallMs = ACCEPTED + random.nextInt(700_000);
      assertEquals(spec.priority(), job.priority());
      assertEquals(spec.deadlineS(), job.deadlineS());
      assertEquals(ACCEPTED, job.eligibleSinceWallMs());
      assertEquals(
          spec.deadlineS().orElse(1e6) - (wallMs - ACCEPTED) / 1000.0 - runS,
          jobOrder.slackS(job, wallMs));
      assertEquals(referenceSlackS(spec, runS, wallMs), jobOrder.remainingSlackS(job, wallMs));
      assertEquals(wallMs - ACCEPTED > 90_000, StarvationProtection.isStarving(job, wallMs));
    }
  }

  @Test
  void deadlinesCountFromAcceptanceAndOtherTimesFromReadiness() {
    Job job = job(JobSpecFixtures.batch("run-1", "c", "red", Priority.NORMAL, 2, 1, 1, 20, 100));
    job.markEligible(ACCEPTED + 60_000);
    ServiceLevelObjectives objectives = new ServiceLevelObjectives(OBJECTIVES);
    assertEquals(OptionalDouble.of(40), job.deadlineS());
    assertEquals(OptionalDouble.of(20), objectives.startByS(job, 20, 0));
    assertEquals(
        OptionalDouble.of(70),
        objectives.startByS(job, 20, 21),
        "a start objective counts from readiness");
    assertEquals(
        OptionalDouble.of(120),
        objectives.startByS(job, 20, 71),
        "twice the deadline counts from acceptance");
    assertEquals(15, jobOrder.slackS(job, ACCEPTED + 65_000));
    assertTrue(
        !StarvationProtection.isStarving(job, ACCEPTED + 149_000),
        "the time for which a job is blocked on dependencies does not count as waiting");
    assertTrue(StarvationProtection.isStarving(job, ACCEPTED + 151_000));
  }

  @Test
  void dependentsOnlyRaisePriorityAndTightenTheDeadline() {
    Job job = job(JobSpecFixtures.batch("run-1", "d", "red", Priority.NORMAL, 2, 1, 1, 20, 100));
    job.inherit(
        Priority.HIGH, OptionalLong.of(ACCEPTED + 60_000), OptionalLong.of(ACCEPTED + 90_000));
    ServiceLevelObjectives objectives = new ServiceLevelObjectives(List.of());
    assertEquals(Priority.HIGH, job.priority());
    assertEquals(OptionalDouble.of(60), job.deadlineS());
    assertEquals(OptionalDouble.of(40), objectives.startByS(job, 20, 0));
    assertEquals(
        OptionalDouble.of(70),
        objectives.startByS(job, 20, 41),
        "the last multiple of the dependents' deadline comes next");
    assertEquals(
        OptionalDouble.of(80),
        objectives.startByS(job, 20, 71),
        "the job's own deadline comes after it");
    job.inherit(Priority.BEST_EFFORT, OptionalLong.of(ACCEPTED + 160_000), OptionalLong.empty());
    assertEquals(Priority.NORMAL, job.priority());
    assertEquals(OptionalDouble.of(100), job.deadlineS());
    assertEquals(OptionalDouble.empty(), job.latestDeadlineS());
  }

  @Test
  void jobsAreOrderedByInheritedPriorityAndDeadline() {
    List<Job> waiting = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      JobSpec spec = JobSpecFixtures.batch("run-" + i, "e", "red", Priority.NORMAL, 2, 1, 1, 20, 0);
      JobSpec low =
          JobSpecFixtures.batch("run-" + i, "e", "red", Priority.BEST_EFFORT, 2, 1, 1, 20, 0);
      jobs.add(
              new AcceptedJobIndex.AcceptedJob(
                  "run-" + i, new JobRecord(i < 2 ? spec : low, ACCEPTED, 50).encode(), i, "k"))
          .ifPresent(waiting::add);
    }
    waiting.get(3).inherit(Priority.HIGH, OptionalLong.of(ACCEPTED + 90_000), OptionalLong.empty());
    waiting
        .get(1)
        .inherit(Priority.NORMAL, OptionalLong.of(ACCEPTED + 90_000), OptionalLong.empty());
    assertEquals(
        List.of("run-3", "run-1", "run-0", "run-2"),
        jobOrder.order(ACCEPTED, ACCEPTED).stream().map(Job::uid).toList());
  }

  @Test
  void jobBlockedOnDependenciesHasNoSchedulableTasks() {
    Job job = job(JobSpecFixtures.batch("run-1", "c", "red", Priority.NORMAL, 2, 1, 1, 20, 0));
    job.blockOnDependencies();
    assertEquals(0, job.schedulableTasks(0));
    job.markEligible(ACCEPTED + 1);
    assertEquals(2, job.schedulableTasks(0));
  }
}
