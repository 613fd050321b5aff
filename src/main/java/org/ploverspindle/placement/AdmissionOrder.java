package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.ploverspindle.cluster.Job;

/**
 * Which jobs can still be done when due, if there is more work than room. Serving by latest start
 * alone would, under overload, start every job just too late. As in Moore and Hodgson's rule,
 * whenever a job in that order would be late, the one with the most work so far steps back, which
 * keeps the most jobs in time. Those that stepped back are served after the others, the least work
 * first.
 */
final class AdmissionOrder {
  /** Estimates are wrong by half: only what is late by a good part steps back. */
  private static final double CERTAINTY = 0.6;

  private static final double SPARE_S = 6;

  private final Function<Job, OptionalDouble> openSlackS;
  private final RuntimeEstimates estimates;
  private final Capacity capacity;
  private final Map<Integer, Capacity> ofTeams;
  private final long nowMs;

  AdmissionOrder(
      Function<Job, OptionalDouble> openSlackS,
      Capacity capacity,
      Map<Integer, Capacity> ofTeams,
      RuntimeEstimates estimates,
      long nowMs) {
    this.ofTeams = ofTeams;
    this.nowMs = nowMs;
    this.openSlackS = openSlackS;
    this.estimates = estimates;
    this.capacity = capacity;
  }

  /** Core seconds of the job's tasks that wait and may start. */
  private double work(Job job) {
    return job.schedulableTasks(nowMs) * job.perTask().cores() * estimates.runS(job);
  }

  /** The same jobs; within an urgency, those that can be in time come first. */
  List<Job> order(List<Job> byStart) {
    List<Job> result = new ArrayList<>(byStart.size());
    double before = 0;
    Map<Integer, Double> teamBefore = new HashMap<>();
    for (int from = 0; from < byStart.size(); ) {
      int to = from;
      while (to < byStart.size() && byStart.get(to).priority() == byStart.get(from).priority()) {
        to++;
      }
      List<Job> inTime = new ArrayList<>();
      List<Job> late = new ArrayList<>();
      double sum = before;
      Map<Integer, Double> teamSums = new HashMap<>(teamBefore);
      for (Job job : byStart.subList(from, to)) {
        OptionalDouble slackS = openSlackS.apply(job);
        if (slackS.isEmpty()) {
          // It can't be in time even alone: nobody else should step back for it.
          late.add(job);
          continue;
        }
        inTime.add(job);
        sum += work(job);
        teamSums.merge(job.team(), work(job), Double::sum);
        double withinS = Math.max(0, slackS.getAsDouble()) + SPARE_S;
        double withinSlack = capacity.within(withinS);
        Optional<Capacity> ofTeam = Optional.ofNullable(ofTeams.get(job.team()));
        double teamSlack = ofTeam.map(c -> c.within(withinS)).orElse(Double.MAX_VALUE);
        // Its last tasks start about when the work before them is through. Doubt is in its favour.
        while (true) {
          boolean teamFull = (teamSums.get(job.team()) - work(job)) * CERTAINTY > teamSlack;
          if (!teamFull && (sum - work(job)) * CERTAINTY <= withinSlack) {
            break;
          }
          Job back = largest(inTime, teamFull ? job.team() : -1);
          if (work(back) < work(job) * 1.5) {
            back = job;
          }
          inTime.remove(back);
          late.add(back);
          sum -= work(back);
          teamSums.merge(back.team(), -work(back), Double::sum);
          if (back == job) {
            break;
          }
        }
      }
      late.sort(Comparator.comparingDouble(this::work).thenComparing(Job::uid));
      result.addAll(inTime);
      result.addAll(late);
      for (Job job : byStart.subList(from, to)) {
        before += work(job);
        teamBefore.merge(job.team(), work(job), Double::sum);
      }
      from = to;
    }
    return result;
  }

  /** Of the team, or of all. */
  private Job largest(List<Job> jobs, int team) {
    return jobs.stream()
        .filter(j -> team < 0 || j.team() == team)
        .max(Comparator.comparingDouble(this::work))
        .orElseThrow();
  }
}
