package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/**
 * Makes room for high-priority jobs, and for jobs within their team's guarantee, by stopping tasks.
 * {@link PreemptionPlanner} decides which tasks may be stopped for a job.
 */
final class Preemption {
  /**
   * A round makes no further room once it has stopped this many tasks, or one for every ten
   * machines if that is more.
   */
  private static final int MIN_TASK_LIMIT = 24;

  private static final int MACHINES_PER_TASK = 10;

  private final MachineRegistry fleet;
  private final TeamUsage teams;
  private final PreemptionPlanner planner;
  private final long heartbeatTimeoutMs;

  /**
   * @param heartbeatTimeoutMs on a machine whose last heartbeat is older than this no tasks are
   *     stopped
   */
  Preemption(
      MachineRegistry fleet,
      TeamUsage teams,
      RuntimeEstimates estimates,
      ServiceLevelObjectives objectives,
      long heartbeatTimeoutMs) {
    this.fleet = fleet;
    this.teams = teams;
    this.planner = new PreemptionPlanner(teams, estimates, objectives);
    this.heartbeatTimeoutMs = heartbeatTimeoutMs;
  }

  /**
   * Stops tasks to make room for those pending jobs that may preempt others.
   *
   * @param pending the pending jobs, in the order in which they are served
   * @return how many tasks are stopped
   */
  int run(List<Job> pending, long nowMs) {
    List<Job> preemptors = pending.stream().filter(this::mayPreempt).toList();
    if (preemptors.isEmpty()) {
      return 0;
    }
    Round round = new Round(nowMs);
    preemptors.forEach(round::makeRoom);
    return round.stopped;
  }

  private boolean mayPreempt(Job job) {
    return job.priority().compareTo(Priority.HIGH) <= 0
        || teams.isWithinGuarantee(job.team(), job.perTask());
  }

  /**
   * All properties of a job on which its plans depend. When there is no plan for a job, there is
   * none in the same round for another job with equal requirements.
   */
  private record Requirements(
      Resources perTask,
      BitSet types,
      boolean spot,
      Priority priority,
      int team,
      boolean withinGuarantee,
      Optional<String> uidIfBoundToZones) {
    static Requirements of(Job job, boolean withinGuarantee) {
      boolean isBoundToZones =
          job.requiredZone() >= 0 || job.spec().oneZone() || job.spec().spreadOverZones();
      return new Requirements(
          job.perTask(),
          job.compatibleTypes(),
          job.spec().spot(),
          job.priority(),
          job.team(),
          withinGuarantee,
          isBoundToZones ? Optional.of(job.uid()) : Optional.empty());
    }
  }

  private final class Round {
    private final long nowMs;
    private final List<PreemptionPlanner.Room> rooms = new ArrayList<>();
    private final int maxTasks;

    /** The resources for which jobs got room in this round, by team. */
    private final Map<Integer, Resources> reservedByTeam = new HashMap<>();

    private final Set<Requirements> requirementsWithoutPlan = new HashSet<>();
    private int stopped;

    Round(long nowMs) {
      this.nowMs = nowMs;
      for (Machine machine : fleet.all()) {
        if (machine.isSchedulable(nowMs, heartbeatTimeoutMs)) {
          rooms.add(new PreemptionPlanner.Room(machine, rooms.size()));
        }
      }
      this.maxTasks = Math.max(MIN_TASK_LIMIT, rooms.size() / MACHINES_PER_TASK);
    }

    void makeRoom(Job job) {
      int tasks =
          Math.min(job.schedulableTasks(nowMs), teams.tasksWithinLimit(job.team(), job.perTask()));
      if (tasks <= 0 || stopped >= maxTasks) {
        return;
      }
      boolean withinGuarantee = isWithinGuarantee(job);
      PriorityQueue<PreemptionPlanner.Plan> plans =
          requirementsWithoutPlan.contains(Requirements.of(job, withinGuarantee))
              ? new PriorityQueue<>()
              : planner.plans(job, rooms, withinGuarantee, nowMs);
      for (int i = 0; i < tasks && stopped < maxTasks; i++) {
        if (isWithinGuarantee(job) != withinGuarantee) {
          withinGuarantee = !withinGuarantee;
          plans = planner.plans(job, rooms, withinGuarantee, nowMs);
        }
        PreemptionPlanner.Plan plan = plans.poll();
        if (plan == null) {
          requirementsWithoutPlan.add(Requirements.of(job, withinGuarantee));
          return;
        }
        execute(job, plan);
        // Only the room on this machine has changed, so the plans for all others stay valid.
        planner.plan(job, plan.room(), withinGuarantee, nowMs).ifPresent(plans::add);
      }
    }

    private boolean isWithinGuarantee(Job job) {
      Resources reserved = reservedByTeam.getOrDefault(job.team(), Resources.NONE);
      return teams.isWithinGuarantee(job.team(), reserved.plus(job.perTask()));
    }

    private void execute(Job job, PreemptionPlanner.Plan plan) {
      reservedByTeam.merge(job.team(), job.perTask(), Resources::plus);
      for (Placement victim : plan.victims()) {
        victim.requestStop(gracePeriodS(victim.job()));
        plan.room().release(victim);
        stopped++;
      }
      plan.room().reserve(job);
    }

    private static double gracePeriodS(Job job) {
      return job.spec().isCheckpointed() ? job.spec().checkpointCostS() + 1 : 0;
    }
  }
}
