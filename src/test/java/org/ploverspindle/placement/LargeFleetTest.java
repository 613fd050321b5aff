package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
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

/** What is kept between looks or counted in steps, against plain sums over everything. */
class LargeFleetTest {
  private static final long NOW = 5_000_000;
  private static final Term TERM = new Term(7, 1, 0);
  private static final int RUNNING = 90;
  private static final List<String> ZONES = List.of("a", "b", "c");

  private final Catalogue catalogue = new Catalogue(ZONES);
  private final TeamUsage teams =
      new TeamUsage(
          List.of(
              new Settings.Team("red", 900, 0, 0, 0), new Settings.Team("blue", 4_000, 0, 0, 0)));
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final Map<String, Job> jobs = new HashMap<>();
  private MachineRegistry fleet;
  private HeartbeatHandler reportHandler;

  private Job job(Random r, int i, Priority urgency, int tasks) {
    JobSpec spec =
        JobSpecBuilder.job("run-" + i)
            .jobClass("class-" + r.nextInt(3))
            .team(r.nextBoolean() ? "red" : "blue")
            .kind(r.nextInt(12) == 0 ? JobKind.SERVICE : JobKind.BATCH)
            .priority(urgency)
            .tasks(tasks)
            .cores(1 + r.nextInt(4))
            .memoryGb(1 + r.nextInt(8))
            .zone(r.nextInt(6) == 0 ? Optional.of("b") : Optional.empty())
            .spot(r.nextInt(4) > 0)
            .runsForS(r.nextInt(12) == 0 ? 0 : 5 + r.nextInt(200))
            .checkpoints(r.nextBoolean() ? 15 : 0, 2)
            .deadlineS(300)
            .build();
    BitSet types = new BitSet();
    types.set(0, 2);
    Job job =
        new Job(
            spec,
            NOW - r.nextInt(100_000),
            80,
            spec.team().equals("red") ? 0 : 1,
            types,
            spec.zone().isPresent() ? 1 : -1,
            3);
    jobs.put(job.uid(), job);
    return job;
  }

  /** A fleet whose machines run something, seen running at different times before. */
  private void fill(Random r, int machines) {
    catalogue.update(
        List.of(
            new MachineType("small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, ZONES),
            new MachineType("large", Resources.offered(16, 0, 64), 40, 1, 1.1, 0.4, 5, ZONES)));
    fleet =
        new MachineRegistry(
            catalogue, teams, SafetyTiming.of(new Settings.WorkerLimits(5, 26.5, 51.5), 1), TERM);
    reportHandler =
        new HeartbeatHandler(
            fleet,
            TERM,
            () -> true,
            u -> Optional.ofNullable(jobs.get(u)),
            u -> Optional.empty(),
            (j, t) -> false,
            new NoOpHeartbeatListener());
    List<Job> running = new ArrayList<>();
    for (int i = 0; i < RUNNING; i++) {
      running.add(job(r, i, Priority.values()[r.nextInt(4)], 500));
    }
    int[] nextTask = new int[RUNNING];
    long attempt = 1;
    for (int i = 0; i < machines; i++) {
      String host = "i-" + i;
      String type = r.nextInt(3) == 0 ? "small" : "large";
      String zone = ZONES.get(r.nextInt(3));
      long seenMs = NOW - r.nextInt(150_000);
      Machine m = fleet.adopt(host, type, zone, r.nextBoolean(), seenMs).orElseThrow();
      List<Heartbeat.TaskStatus> items = new ArrayList<>();
      for (int k = 0; k < 30; k++) {
        Job job = running.get(r.nextInt(RUNNING));
        int task = nextTask[Integer.parseInt(job.uid().substring(4))];
        if (task < 500 && job.perTask().fitsIn(m.free()) && Placer.allows(job, m)) {
          nextTask[Integer.parseInt(job.uid().substring(4))]++;
          fleet.addPlacement(new Placement(job, task, attempt, m, 1, Placement.Phase.RECOVERED));
          items.add(
              new Heartbeat.TaskStatus(
                  job.uid(),
                  task,
                  attempt++,
                  Heartbeat.Phase.RUNNING,
                  Heartbeat.ExitReason.NONE,
                  false));
        }
      }
      reportHandler.handle(
          new Heartbeat(host, "", type, zone, m.spot(), 1, 1, 7, OptionalDouble.empty(), items),
          seenMs);
      reportHandler.handle(
          new Heartbeat(host, "", type, zone, m.spot(), 1, 2, 7, OptionalDouble.empty(), items),
          NOW);
    }
  }

  /** Cores that are free within the time, each for what is left of it then. */
  private double plainCapacity(double withinS) {
    double sum = 0;
    for (Machine m : fleet.all()) {
      sum += m.free().cores() * withinS;
      for (Placement p : m.placements()) {
        sum += p.job().perTask().cores() * Math.max(0, withinS - estimates.remainingS(p, NOW));
      }
    }
    return sum;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void capacityInStepsIsThePlainSum(long seed) {
    Random r = new Random(seed);
    fill(r, 1_700);
    Capacity capacity = new Capacity(fleet, estimates, NOW, 60_000);
    for (int i = 0; i < 200; i++) {
      double withinS = r.nextDouble() * 240;
      double plain = plainCapacity(withinS);
      assertEquals(plain, capacity.within(withinS), plain * 0.005 + 20_000, "at " + withinS);
    }
  }

  /** Task by task, every machine looked at anew for each: what the real one is to choose. */
  private TreeSet<String> plainVictims(List<Job> waiting, int most) {
    Map<Machine, Resources> free = new HashMap<>();
    fleet.all().forEach(m -> free.put(m, m.free()));
    Map<Integer, Resources> promised = new HashMap<>();
    TreeSet<String> stopped = new TreeSet<>();
    for (Job job : waiting) {
      for (int i = 0; i < job.pendingTasks().cardinality() && stopped.size() < most; i++) {
        Resources before = promised.getOrDefault(job.team(), Resources.NONE);
        boolean within = teams.withinGuarantee(job.team(), before.plus(job.perTask()));
        boolean presses =
            job.spec().priority().compareTo(Priority.HIGH) <= 0
                || teams.withinGuarantee(job.team(), job.perTask());
        Machine best = null;
        List<Placement> bestVictims = List.of();
        double least = Double.MAX_VALUE;
        for (Machine m : fleet.all()) {
          if (!presses || !Placer.allows(job, m)) {
            continue;
          }
          Resources room = free.get(m);
          double lost = 0;
          List<Placement> victims = new ArrayList<>();
          for (Placement p :
              m.placements().stream()
                  .filter(p -> !stopped.contains(p.job().uid() + "/" + p.task()))
                  .filter(p -> mayStop(job, p, within))
                  .sorted(
                      Comparator.comparingDouble(LargeFleetTest::lost)
                          .thenComparingLong(Placement::attempt))
                  .toList()) {
            if (job.perTask().fitsIn(room)) {
              break;
            }
            victims.add(p);
            room = room.plus(p.job().perTask());
            lost += lost(p);
          }
          if (job.perTask().fitsIn(room) && lost < least) {
            best = m;
            bestVictims = victims;
            least = lost;
          }
        }
        if (best == null) {
          break;
        }
        promised.merge(job.team(), job.perTask(), Resources::plus);
        for (Placement p : bestVictims) {
          stopped.add(p.job().uid() + "/" + p.task());
          free.merge(best, p.job().perTask(), Resources::plus);
        }
        free.put(best, free.get(best).minus(job.perTask()));
      }
    }
    return stopped;
  }

  private static double ranS(Placement p) {
    return (NOW - p.runningSinceMs()) / 1000.0;
  }

  private static double lost(Placement p) {
    return (p.job().spec().isCheckpointed() ? p.job().spec().checkpointCostS() : ranS(p))
        * p.job().perTask().cores()
        / 1000.0;
  }

  private boolean mayStop(Job job, Placement p, boolean within) {
    Job other = p.job();
    boolean lower = other.spec().priority().compareTo(job.spec().priority()) > 0;
    boolean borrowed =
        within
            && other.team() != job.team()
            && !teams.withinGuarantee(other.team(), Resources.NONE);
    double runS = other.spec().expectedS();
    boolean fresh = ranS(p) <= 30 && other.spec().priority().compareTo(Priority.HIGH) <= 0;
    return (lower || borrowed) && !fresh && (runS <= 0 || runS - ranS(p) > 8);
  }

  @ParameterizedTest
  @CsvSource({"1,40", "2,40", "3,300", "4,300", "5,1700"})
  void stopsWhatThePlainOneWould(long seed, int machines) {
    Random r = new Random(seed);
    fill(r, machines);
    List<Job> waiting = new ArrayList<>();
    for (int i = 100; i < 112; i++) {
      waiting.add(job(r, i, Priority.values()[r.nextInt(4)], 1 + r.nextInt(20)));
    }
    int most = Math.max(24, machines / 10);
    TreeSet<String> plain = plainVictims(waiting, most);
    new Preemption(fleet, teams, estimates, new ServiceLevelObjectives(List.of()), 60_000)
        .run(waiting, NOW);
    TreeSet<String> real = new TreeSet<>();
    for (Machine m : fleet.all()) {
      m.placements().stream()
          .filter(Placement::stopping)
          .forEach(p -> real.add(p.job().uid() + "/" + p.task()));
    }
    assertTrue(plain.size() >= 5, plain.size() + " are stopped");
    assertEquals(plain, real);
  }

  /** Counts what is gone through of a map; looking up one key is not counted. */
  private static final class Counting<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;
    private long seen;

    Counting(Map<String, V> from) {
      super(from);
    }

    @Override
    public Collection<V> values() {
      Collection<V> all = super.values();
      return new AbstractCollection<>() {
        @Override
        public Iterator<V> iterator() {
          Iterator<V> each = all.iterator();
          return new Iterator<>() {
            @Override
            public boolean hasNext() {
              return each.hasNext();
            }

            @Override
            public V next() {
              seen++;
              return each.next();
            }
          };
        }

        @Override
        public int size() {
          return all.size();
        }
      };
    }
  }

  private static <V> Counting<V> count(Object owner, String field) throws Exception {
    Field f = owner.getClass().getDeclaredField(field);
    f.setAccessible(true);
    @SuppressWarnings("unchecked")
    Counting<V> counting = new Counting<>((Map<String, V>) f.get(owner));
    f.set(owner, counting);
    return counting;
  }

  @Test
  void aReportLooksAtNoOtherMachineAndPlacingAtEachAFewTimes() throws Exception {
    Random r = new Random(9);
    fill(r, 1_700);
    Counting<Machine> machines = count(fleet, "machines");
    for (Machine m : List.copyOf(fleet.all()).subList(0, 200)) {
      List<Heartbeat.TaskStatus> items = new ArrayList<>();
      for (Placement p : m.placements()) {
        items.add(
            new Heartbeat.TaskStatus(
                p.job().uid(),
                p.task(),
                p.attempt(),
                items.isEmpty() ? Heartbeat.Phase.EXITED : Heartbeat.Phase.RUNNING,
                items.isEmpty() ? Heartbeat.ExitReason.DONE : Heartbeat.ExitReason.NONE,
                false));
      }
      machines.seen = 0;
      reportHandler.handle(
          new Heartbeat(
              m.host(),
              "",
              catalogue.type(m.type()).name(),
              catalogue.zoneName(m.zone()),
              m.spot(),
              1,
              3,
              7,
              OptionalDouble.empty(),
              items),
          NOW);
      assertEquals(0, machines.seen, "machines looked at for a report");
    }

    Replica none = new Replica(new EventLoop(), null, "x/", 700);
    JobTable table = new JobTable(none, new AcceptedJobIndex(none), catalogue, teams);
    for (int i = 1_000; i < 3_000; i++) {
      JobSpec spec = job(r, i, Priority.values()[r.nextInt(4)], 1 + r.nextInt(9)).spec();
      table.add(
          new AcceptedJobIndex.AcceptedJob(
              spec.uid(), new JobRecord(spec, NOW, 50).encode(), i, "k"));
    }
    Counting<Job> waiting = count(table, "jobs");
    long[] attempt = {1 << 20};
    int[] placed = {0};
    Placer placer =
        new Placer(
            new ClusterView(catalogue, fleet, table, teams),
            estimates,
            new ServiceLevelObjectives(List.of()),
            60_000,
            () -> ++attempt[0],
            p -> placed[0]++);
    machines.seen = 0;
    placer.run(NOW, NOW);
    assertTrue(placed[0] > 100, placed[0] + " are placed");
    assertTrue(machines.seen <= 3 * 1_700, machines.seen + " machines looked at in a run");
    assertTrue(waiting.seen <= 2 * 2_000, waiting.seen + " jobs looked at in a run");
    machines.seen = 0;
    waiting.seen = 0;
    placer.run(NOW + 40, NOW + 40);
    assertTrue(machines.seen <= 2 * 1_700, machines.seen + " machines looked at in the next run");
    Predicate<Machine> wanted = placer.usefulMachines(NOW);
    waiting.seen = 0;
    fleet.all().forEach(wanted::test);
    assertEquals(0, waiting.seen, "the jobs are gone through once for all idle machines");
  }
}
