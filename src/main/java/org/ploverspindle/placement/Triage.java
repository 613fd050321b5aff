package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.workers.Fleet;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.Placement;

/**
 * Which jobs can still be done when due, if there is more work than room. Serving by due time alone
 * would, under overload, start every job just too late. As in Moore and Hodgson's rule, whenever a
 * job in that order would be late, the one with the most work so far steps back, which keeps the
 * most jobs in time. Those that stepped back are served after the others, the least work first.
 */
final class Triage {
  private final Estimates estimates;
  private final long nowMs;
  private final long wallMs;
  private final double cores;
  private final double runningS;

  Triage(Fleet fleet, Estimates estimates, long nowMs, long wallMs) {
    this.estimates = estimates;
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    double allCores = 0;
    double rest = 0;
    for (Machine m : fleet.all()) {
      if (m.usable(nowMs, 60_000)) {
        allCores += m.size().cores();
        for (Placement p : m.placements()) {
          rest += restS(p) * p.job().perTask().cores();
        }
      }
    }
    cores = Math.max(1, allCores);
    runningS = rest / cores;
  }

  private double restS(Placement p) {
    double ranS = p.runningSinceMs() < 0 ? 0 : (nowMs - p.runningSinceMs()) / 1000.0;
    double runS = estimates.runS(p.job());
    return Math.max(runS * 0.2, runS - ranS);
  }

  /** How long all cores would work on the job's waiting tasks. */
  private double workS(Job job) {
    return job.waiting().cardinality() * job.perTask().cores() * estimates.runS(job) / cores;
  }

  /** The same jobs; within an urgency, those that can be in time come first. */
  List<Job> order(List<Job> byDue) {
    List<Job> result = new ArrayList<>(byDue.size());
    double beforeS = runningS;
    for (int from = 0; from < byDue.size(); ) {
      int to = from;
      while (to < byDue.size()
          && byDue.get(to).spec().urgency() == byDue.get(from).spec().urgency()) {
        to++;
      }
      List<Job> inTime = new ArrayList<>();
      List<Job> late = new ArrayList<>();
      double sumS = beforeS;
      for (Job job : byDue.subList(from, to)) {
        inTime.add(job);
        sumS += workS(job);
        double leftS = Placer.dueInS(job, wallMs);
        if (leftS < estimates.runS(job)) {
          // It can't be in time even alone: nobody else should step back for it.
          sumS -= stepBack(job, inTime, late);
        } else if (sumS > leftS) {
          sumS -= stepBack(largest(inTime), inTime, late);
        }
      }
      late.sort(Comparator.comparingDouble(this::workS).thenComparing(Job::uid));
      result.addAll(inTime);
      result.addAll(late);
      for (Job job : byDue.subList(from, to)) {
        beforeS += workS(job);
      }
      from = to;
    }
    return result;
  }

  private double stepBack(Job job, List<Job> inTime, List<Job> late) {
    inTime.remove(job);
    late.add(job);
    return workS(job);
  }

  private Job largest(List<Job> jobs) {
    return jobs.stream().max(Comparator.comparingDouble(this::workS)).orElseThrow();
  }
}
