package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
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

/** The placer looks only at machines with room and fills each; a plain one looks at all, always. */
class PlacerTest {
  private static final long NOW = 1_000_000;
  private static final Term TERM = new Term(7, 1, NOW);
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(3, 14, 39);

  private final Catalogue catalogue = new Catalogue(List.of("a", "b"));
  private final TeamUsage teams =
      new TeamUsage(
          List.of(new Settings.Team("red", 0, 60, 0, 0), new Settings.Team("blue", 0, 0, 0, 0)));
  private final Map<String, String> placed = new TreeMap<>();

  private static JobSpec spec(Random r, int i) {
    return new JobSpec(
        "run-" + i,
        "c",
        r.nextBoolean() ? "red" : "blue",
        JobKind.BATCH,
        Priority.values()[r.nextInt(4)],
        1 + r.nextInt(20),
        1 + r.nextInt(4),
        0,
        1 + r.nextInt(6),
        r.nextInt(3) == 0 ? Optional.of(List.of("large")) : Optional.empty(),
        r.nextInt(4) == 0 ? Optional.of("b") : Optional.empty(),
        r.nextInt(4) == 0,
        r.nextInt(4) == 0,
        r.nextInt(3) > 0,
        "image-" + r.nextInt(4),
        1 + r.nextInt(3),
        10 + r.nextInt(30),
        r.nextBoolean() ? 15 : 0,
        0,
        OptionalDouble.of(300),
        List.of());
  }

  private MachineRegistry fleet(Random r, int machines) {
    MachineRegistry fleet =
        new MachineRegistry(catalogue, teams, SafetyTiming.of(WORKERS, 1), TERM);
    HeartbeatHandler reportHandler = NoOpHeartbeatListener.reportHandler(fleet, TERM);
    for (int i = 0; i < machines; i++) {
      String type = r.nextBoolean() ? "small" : "large";
      String zone = r.nextBoolean() ? "a" : "b";
      reportHandler.handle(
          new Heartbeat(
              "i-" + i,
              "",
              type,
              zone,
              r.nextBoolean(),
              1,
              1,
              7,
              OptionalDouble.empty(),
              List.of()),
          NOW);
    }
    return fleet;
  }

  /** As the placer should: each task to the best of all machines, one after the other. */
  private Map<String, String> plainly(List<Job> order, MachineRegistry fleet) {
    Map<String, String> result = new TreeMap<>();
    Map<Machine, Resources> free = new HashMap<>();
    Map<Machine, Set<String>> images = new HashMap<>();
    long[] red = {0};
    fleet.all().forEach(m -> free.put(m, m.free()));
    for (Job job : order) {
      Map<Integer, Integer> inZone = new HashMap<>();
      for (int task = 0; task < job.spec().tasks(); task++) {
        long limit = job.spec().team().equals("red") ? 60_000 : Long.MAX_VALUE;
        if (job.spec().team().equals("red") && red[0] + job.perTask().cores() > limit) {
          break;
        }
        Machine best = null;
        double bestScore = Double.MAX_VALUE;
        for (Machine m : fleet.all()) {
          int here = inZone.getOrDefault(m.zone(), 0);
          int all = inZone.values().stream().mapToInt(Integer::intValue).sum();
          boolean allowed =
              job.types().get(m.type())
                  && (job.spec().spot() || !m.spot())
                  && (job.zone() < 0 || job.zone() == m.zone())
                  && (!job.spec().oneZone() || here == all)
                  && (!job.spec().spreadOverZones() || here < (job.spec().tasks() + 1) / 2)
                  && job.perTask().fitsIn(free.get(m));
          boolean has = images.getOrDefault(m, Set.of()).contains(job.spec().image());
          double score = free.get(m).cores() / 1000.0 + (has ? 0 : job.spec().imageGb() * 2);
          boolean losesMuch = job.spec().checkpointIntervalS() == 0 && job.spec().expectedS() > 20;
          score += losesMuch == m.spot() ? 20 : 0;
          if (allowed && score < bestScore) {
            best = m;
            bestScore = score;
          }
        }
        if (best == null) {
          break;
        }
        free.merge(best, job.perTask(), Resources::minus);
        images.computeIfAbsent(best, m -> new HashSet<>()).add(job.spec().image());
        inZone.merge(best.zone(), 1, Integer::sum);
        red[0] += job.spec().team().equals("red") ? job.perTask().cores() : 0;
        result.put(job.uid() + "/" + task, best.host());
      }
    }
    return result;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void placesAsThePlainOneDoes(long seed) {
    Random r = new Random(seed);
    List<String> zones = List.of("a", "b");
    catalogue.update(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, zones),
            new MachineType("large", Resources.offered(16, 0, 64), 40, 1, 1.1, 0.4, 5, zones)));
    MachineRegistry fleet = fleet(r, 5 + r.nextInt(25));
    Replica none = new Replica(new EventLoop(), null, "x/", 700);
    JobTable jobs = new JobTable(none, new AcceptedJobIndex(none), catalogue, teams);
    for (int i = 0; i < 14; i++) {
      jobs.add(
          new AcceptedJobIndex.AcceptedJob(
              "run-" + i, new JobRecord(spec(r, i), NOW, 50).encode(), i, "k"));
    }
    long[] attempt = {0};
    Placer placer =
        new Placer(
            new ClusterView(catalogue, fleet, jobs, teams),
            new RuntimeEstimates(),
            new ServiceLevelObjectives(List.of()),
            60_000,
            () -> ++attempt[0],
            p -> placed.put(p.job().uid() + "/" + p.task(), p.machine().host()));
    Map<String, String> expected = plainly(new ArrayList<>(placer.pendingJobs(NOW, NOW)), fleet);
    placer.run(NOW, NOW);
    assertTrue(expected.size() > 10, "something is placed");
    assertEquals(expected, placed);
  }
}
