package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.settings.Settings;

/**
 * Guards against requests for too few machines, because cores that a job cannot use are counted for
 * it, for too many, and for machines in groups that are crowded or boot late. Also checks which
 * objective sets the time by which a job must start.
 */
class ScaleOutPlannerTest {
  private static final long NOW = 1_000_000;
  private static final List<ScaleOutPlanner.Candidate> CANDIDATES =
      List.of(
          new ScaleOutPlanner.Candidate(new MachineGroup(0, 0, true), 500, 0, false),
          new ScaleOutPlanner.Candidate(new MachineGroup(1, 0, true), 500, 0, false));

  private final Catalogue catalogue = new Catalogue(List.of("a", "b", "c"));
  private final TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));

  ScaleOutPlannerTest() {
    List<String> zones = List.of("a", "b", "c");
    catalogue.update(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 30, zones),
            new MachineType("large", Resources.offered(16, 0, 64), 40, 1, 1.2, 0.4, 30, zones)));
  }

  private static Job job(double cores, int tasks, double runS, double deadlineS) {
    JobSpec spec =
        JobSpecFixtures.batch(
            "run-1", "c", "red", Priority.NORMAL, tasks, cores, 1, runS, deadlineS);
    BitSet types = new BitSet();
    types.set(cores > 4 ? 1 : 0, 2);
    return new Job(spec, NOW, 80, 0, types, -1, 3);
  }

  /** Work that consists of this job alone, with its tasks pending. */
  private static ScaleOutPlanner.Work onlyJob(Job job) {
    return new ScaleOutPlanner.Work(List.of(job), List.of(job), Optional.empty(), 0);
  }

  private Machine idleMachine(int i, int type) {
    return new Machine("i-" + i, type, 0, true, catalogue.type(type).size(), NOW, 1);
  }

  /** Returns the cores that are requested for this job alone, by machine type. */
  private double[] requestedCores(
      Job job, List<Machine> machines, ServiceLevelObjectives objectives) {
    double[] cores = new double[2];
    new ScaleOutPlanner(catalogue, teams, new RuntimeEstimates(), objectives, 30)
        .plan(onlyJob(job), new ScaleOutPlanner.Supply(machines, List.of(), CANDIDATES), NOW, NOW)
        .forEach(
            request ->
                cores[request.group().type()] +=
                    request.count() * (request.group().type() == 0 ? 4 : 16));
    return cores;
  }

  @Test
  void coresOfMachinesOnWhichATaskDoesNotFitDoNotCount() {
    ServiceLevelObjectives noObjectives = new ServiceLevelObjectives(List.of());
    List<Machine> small = IntStream.range(0, 200).mapToObj(i -> idleMachine(i, 0)).toList();
    double[] withSmall = requestedCores(job(8, 40, 50, 400), small, noObjectives);
    double[] withoutMachines = requestedCores(job(8, 40, 50, 400), List.of(), noObjectives);
    assertTrue(
        withoutMachines[1] >= 80,
        "40 tasks of 8 cores and 50 s need 80 cores within half of 400 s");
    assertEquals(withoutMachines[1], withSmall[1]);
    assertEquals(0, withSmall[0]);
  }

  @Test
  void coresOfMachinesOnWhichATaskFitsCount() {
    List<Machine> large = IntStream.range(0, 40).mapToObj(i -> idleMachine(i, 1)).toList();
    assertEquals(
        0, requestedCores(job(8, 40, 50, 400), large, new ServiceLevelObjectives(List.of()))[1]);
    List<Machine> small = IntStream.range(0, 200).mapToObj(i -> idleMachine(i, 0)).toList();
    assertEquals(
        0, requestedCores(job(2, 40, 50, 400), small, new ServiceLevelObjectives(List.of()))[0]);
  }

  @Test
  void startObjectiveRequestsMoreCoresThanALateDeadline() {
    ServiceLevelObjectives objectives =
        new ServiceLevelObjectives(List.of(new Settings.Objective("wait", "c", 0.95, 1, 60)));
    double withoutObjective =
        requestedCores(job(8, 100, 50, 900), List.of(), new ServiceLevelObjectives(List.of()))[1];
    double withObjective = requestedCores(job(8, 100, 50, 900), List.of(), objectives)[1];
    assertTrue(
        withObjective >= 3 * withoutObjective,
        withObjective + " cores with the objective, " + withoutObjective + " cores without it");
  }

  @Test
  void requestedMachinesOfATypeAreSpreadOverItsZones() {
    int[] requested = new int[3];
    List<ScaleOutPlanner.Candidate> candidates =
        List.of(
            new ScaleOutPlanner.Candidate(new MachineGroup(1, 0, true), 450, 30, false),
            new ScaleOutPlanner.Candidate(new MachineGroup(1, 1, true), 450, 0, false),
            new ScaleOutPlanner.Candidate(new MachineGroup(1, 2, true), 4, 0, false));
    Job job = job(8, 100, 50, 60);
    new ScaleOutPlanner(
            catalogue, teams, new RuntimeEstimates(), new ServiceLevelObjectives(List.of()), 30)
        .plan(onlyJob(job), new ScaleOutPlanner.Supply(List.of(), List.of(), candidates), NOW, NOW)
        .forEach(request -> requested[request.group().zone()] += request.count());
    assertEquals(50, requested[0] + requested[1] + requested[2]);
    assertEquals(4, requested[2], "all machines that the third zone may grow by");
    assertTrue(
        Math.abs(requested[0] + 30 - requested[1]) <= 1,
        requested[0] + " and " + requested[1] + " machines requested in the first two zones");
  }

  @Test
  void groupsThatBootLateAreUsedOnlyWhenNoOtherCanGrow() {
    Job job = job(2, 100, 50, 60);
    List<ScaleOutPlanner.Candidate> candidates =
        List.of(
            new ScaleOutPlanner.Candidate(new MachineGroup(0, 0, true), 500, 0, true),
            new ScaleOutPlanner.Candidate(new MachineGroup(1, 0, true), 3, 0, false));
    int[] requested = new int[2];
    new ScaleOutPlanner(
            catalogue, teams, new RuntimeEstimates(), new ServiceLevelObjectives(List.of()), 30)
        .plan(onlyJob(job), new ScaleOutPlanner.Supply(List.of(), List.of(), candidates), NOW, NOW)
        .forEach(request -> requested[request.group().type()] += request.count());
    assertEquals(3, requested[1], "all machines of the group that boots in time");
    assertTrue(
        requested[0] >= 30,
        requested[0] + " machines requested in the group that boots late, at least 30 expected");
  }

  @Test
  void nextObjectiveThatCanBeMetSetsTheLatestStart() {
    ServiceLevelObjectives objectives =
        new ServiceLevelObjectives(
            List.of(
                new Settings.Objective("deadline", "c", 0.9, 2, 0),
                new Settings.Objective("wait", "c", 0.9, 1, 70),
                new Settings.Objective("wait", "c", 0.9, 1, 1),
                new Settings.Objective("finished", "c", 0.9, 1, 300)));
    Job job = job(1, 1, 20, 80);
    assertEquals(OptionalDouble.of(60), objectives.startByS(job, 20, 0));
    assertEquals(OptionalDouble.of(70), objectives.startByS(job, 20, 61));
    assertEquals(OptionalDouble.of(140), objectives.startByS(job, 20, 71));
    assertEquals(OptionalDouble.of(280), objectives.startByS(job, 20, 141));
    assertEquals(OptionalDouble.empty(), objectives.startByS(job, 20, 281));
    assertTrue(objectives.requiresPromptStart(job));
    assertEquals(OptionalDouble.of(70), objectives.lastTaskStartByS(job));
  }
}
