package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Replica;

/**
 * Guards against work that grows faster than the fleet: handling a heartbeat must visit no other
 * machine, and a placement run must visit each machine and each job only a few times.
 */
class LargeFleetTest {
  private static final long NOW = RandomFleet.NOW;
  private static final int MACHINES = 1_700;

  /** A map that counts the values visited by iteration; lookups of single keys do not count. */
  private static final class CountingMap<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;
    private long visited;

    CountingMap(Map<String, V> from) {
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
              visited++;
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

  private static <V> CountingMap<V> replaceByCountingMap(Object owner, String field)
      throws Exception {
    Field mapField = owner.getClass().getDeclaredField(field);
    mapField.setAccessible(true);
    @SuppressWarnings("unchecked")
    CountingMap<V> counting = new CountingMap<>((Map<String, V>) mapField.get(owner));
    mapField.set(owner, counting);
    return counting;
  }

  private final Random random = new Random(9);
  private final RandomFleet fleet = new RandomFleet(random, MACHINES);

  /** A heartbeat that shows the first of the machine's tasks completed and the others running. */
  private Heartbeat heartbeat(Machine machine) {
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (Placement placement : machine.placements()) {
      boolean first = tasks.isEmpty();
      tasks.add(
          new Heartbeat.TaskStatus(
              placement.job().uid(),
              placement.task(),
              placement.attempt(),
              first ? Heartbeat.Phase.EXITED : Heartbeat.Phase.RUNNING,
              first ? Heartbeat.ExitReason.DONE : Heartbeat.ExitReason.NONE,
              false));
    }
    return fleet.heartbeat(machine, 3, tasks);
  }

  private JobTable pendingJobs() {
    Replica emptyReplica = new Replica(new EventLoop(), null, "x/", 700, new SplittableRandom(1));
    JobTable table =
        new JobTable(
            emptyReplica, new AcceptedJobIndex(emptyReplica), fleet.catalogue, fleet.teams);
    for (int i = 1_000; i < 3_000; i++) {
      Priority priority = Priority.values()[random.nextInt(4)];
      JobSpec spec = fleet.job(i, priority, 1 + random.nextInt(9)).spec();
      table.add(
          new AcceptedJobIndex.AcceptedJob(
              spec.uid(), new JobRecord(spec, NOW, 50).encode(), i, "k"));
    }
    return table;
  }

  @Test
  void heartbeatVisitsNoOtherMachineAndPlacementVisitsEachAFewTimes() throws Exception {
    CountingMap<Machine> machines = replaceByCountingMap(fleet.machines, "machines");
    for (Machine machine : List.copyOf(fleet.machines.all()).subList(0, 200)) {
      Heartbeat heartbeat = heartbeat(machine);
      machines.visited = 0;
      fleet.heartbeatHandler.handle(heartbeat, NOW);
      assertEquals(0, machines.visited, "machines visited while a heartbeat is handled");
    }

    JobTable table = pendingJobs();
    CountingMap<Job> jobs = replaceByCountingMap(table, "jobs");
    long[] attempt = {1 << 20};
    int[] placed = {0};
    Placer placer =
        new Placer(
            new ClusterView(fleet.catalogue, fleet.machines, table, fleet.teams),
            fleet.estimates,
            new ServiceLevelObjectives(List.of()),
            60_000,
            () -> ++attempt[0],
            placement -> placed[0]++);
    machines.visited = 0;
    placer.run(NOW, NOW);
    assertTrue(placed[0] > 100, placed[0] + " tasks placed, more than 100 expected");
    assertTrue(
        machines.visited <= 3 * MACHINES, machines.visited + " machines visited in the first run");
    assertTrue(jobs.visited <= 2 * 2_000, jobs.visited + " jobs visited in the first run");
    machines.visited = 0;
    jobs.visited = 0;
    placer.run(NOW + 40, NOW + 40);
    assertTrue(
        machines.visited <= 2 * MACHINES, machines.visited + " machines visited in the second run");
    Predicate<Machine> useful = placer.usefulMachines(NOW);
    jobs.visited = 0;
    fleet.machines.all().forEach(useful::test);
    assertEquals(0, jobs.visited, "jobs visited while machines are tested with the predicate");
  }
}
