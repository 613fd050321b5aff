package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.workers.Fleet;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.Placement;

/**
 * Which jobs can still be done when due, if there is more work than room. Serving by latest start
 * alone would, under overload, start every job just too late. As in Moore and Hodgson's rule,
 * whenever a job in that order would be late, the one with the most work so far steps back, which
 * keeps the most jobs in time. Those that stepped back are served after the others, the least work
 * first.
 */
final class Triage {
  /** Estimates are wrong by half: only what is late by a good part steps back. */
  private static final double CERTAINTY = 0.75;

  private static final double SPARE_S = 3;

  private final Placer placer;
  private final Estimates estimates;
  private final long nowMs;
  private final long wallMs;
  private final double cores;
  private final double runningS;

  Triage(Placer placer, Fleet fleet, Estimates estimates, long nowMs, long wallMs) {
    this.placer = placer;
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
  List<Job> order(List<Job> byStart) {
    List<Job> result = new ArrayList<>(byStart.size());
    double beforeS = runningS;
    for (int from = 0; from < byStart.size(); ) {
      int to = from;
      while (to < byStart.size()
          && byStart.get(to).spec().urgency() == byStart.get(from).spec().urgency()) {
        to++;
      }
      List<Job> inTime = new ArrayList<>();
      List<Job> late = new ArrayList<>();
      double sumS = beforeS;
      for (Job job : byStart.subList(from, to)) {
        double slackS = placer.slackS(job, wallMs);
        if (slackS < 0) {
          // It can't be in time even alone: nobody else should step back for it.
          late.add(job);
          continue;
        }
        inTime.add(job);
        sumS += workS(job);
        // Its last tasks start about when the work before them is through. Doubt is in its favour.
        while (!inTime.isEmpty() && (sumS - workS(job)) * CERTAINTY > slackS + SPARE_S) {
          Job back = largest(inTime);
          if (workS(back) < workS(job) * 1.5) {
            back = job;
          }
          inTime.remove(back);
          late.add(back);
          sumS -= workS(back);
          if (back == job) {
            break;
          }
        }
      }
      late.sort(Comparator.comparingDouble(this::workS).thenComparing(Job::uid));
      result.addAll(inTime);
      result.addAll(late);
      for (Job job : byStart.subList(from, to)) {
        beforeS += workS(job);
      }
      from = to;
    }
    return result;
  }

  private Job largest(List<Job> jobs) {
    return jobs.stream().max(Comparator.comparingDouble(this::workS)).orElseThrow();
  }
}
