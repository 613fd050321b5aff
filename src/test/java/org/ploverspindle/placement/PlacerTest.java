package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
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
 * Guards against placements that differ from those of a search over all machines for every task.
 * The placer searches only machines with free cores and fills the selected machine before it
 * searches again; the reference placer searches all machines for each task.
 */
class PlacerTest {
  private static final long NOW = 1_000_000;
  private static final Term TERM = new Term(7, 1, NOW);
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(3, 14, 39);

  private final Catalogue catalogue = new Catalogue(List.of("a", "b"));
  private final TeamUsage teams =
      new TeamUsage(
          List.of(new Settings.Team("red", 0, 60, 0, 0), new Settings.Team("blue", 0, 0, 0, 0)));
  private final Map<String, String> placed = new TreeMap<>();

  PlacerTest() {
    List<String> zones = List.of("a", "b");
    catalogue.update(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, zones),
            new MachineType("large", Resources.offered(16, 0, 64), 40, 1, 1.1, 0.4, 5, zones)));
  }

  private static JobSpec spec(Random random, int i) {
    return new JobSpec(
        "run-" + i,
        "c",
        random.nextBoolean() ? "red" : "blue",
        JobKind.BATCH,
        Priority.values()[random.nextInt(4)],
        1 + random.nextInt(20),
        1 + random.nextInt(4),
        0,
        1 + random.nextInt(6),
        random.nextInt(3) == 0 ? Optional.of(List.of("large")) : Optional.empty(),
        random.nextInt(4) == 0 ? Optional.of("b") : Optional.empty(),
        random.nextInt(4) == 0,
        random.nextInt(4) == 0,
        random.nextInt(3) > 0,
        "image-" + random.nextInt(4),
        1 + random.nextInt(3),
        10 + random.nextInt(30),
        random.nextBoolean() ? 15 : 0,
        0,
        OptionalDouble.of(300),
        List.of());
  }

  private MachineRegistry fleet(Random random, int machines) {
    MachineRegistry fleet =
        new MachineRegistry(catalogue, teams, SafetyTiming.of(WORKERS, 1), TERM);
    HeartbeatHandler handler = NoOpHeartbeatListener.heartbeatHandler(fleet, TERM);
    for (int i = 0; i < machines; i++) {
      String type = random.nextBoolean() ? "small" : "large";
      String zone = random.nextBoolean() ? "a" : "b";
      handler.handle(
          new Heartbeat(
              "i-" + i,
              "",
              type,
              zone,
              random.nextBoolean(),
              1,
              1,
              7,
              OptionalDouble.empty(),
              List.of()),
          NOW);
    }
    return fleet;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void placementsEqualThoseOfTheReference(long seed) {
    Random random = new Random(seed);
    MachineRegistry fleet = fleet(random, 5 + random.nextInt(25));
    Replica emptyReplica = new Replica(new EventLoop(), null, "x/", 700, new SplittableRandom(1));
    JobTable jobs =
        new JobTable(emptyReplica, new AcceptedJobIndex(emptyReplica), catalogue, teams);
    for (int i = 0; i < 14; i++) {
      jobs.add(
          new AcceptedJobIndex.AcceptedJob(
              "run-" + i, new JobRecord(spec(random, i), NOW, 50).encode(), i, "k"));
    }
    long[] attempt = {0};
    Placer placer =
        new Placer(
            new ClusterView(catalogue, fleet, jobs, teams),
            new RuntimeEstimates(),
            new ServiceLevelObjectives(List.of()),
            60_000,
            () -> ++attempt[0],
            placement ->
                placed.put(
                    placement.job().uid() + "/" + placement.task(), placement.machine().host()));
    List<Job> pending = new ArrayList<>(placer.pendingJobs(NOW, NOW));
    Map<String, String> expected = new ReferencePlacer(fleet).place(pending);
    placer.run(NOW, NOW);
    assertTrue(expected.size() > 10, "the reference places more than 10 tasks");
    assertEquals(expected, placed);
  }
}
