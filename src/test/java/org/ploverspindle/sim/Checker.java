package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.settings.Settings;

/**
 * The protocol's rules, plainly and slowly, over what truly happens on machines and what users are
 * told. Knows nothing of the code under test.
 */
final class Checker {
  enum Rule {
    RAN_TWICE,
    QUOTA,
    WRONG_PLACE,
    RAN_CANCELLED,
    FORGOTTEN,
    INVENTED,
    NOT_DONE,
    WENT_BACK
  }

  record Broken(Rule rule, long atMs, String what) {}

  record Place(String host, String type, String zone, boolean spot) {}

  private static final class JobSeen {
    private final JobSpec spec;
    private long acceptedMs = Long.MAX_VALUE;
    private boolean cancelAsked;
    private long cancelToldMs = -1;
    private String finalWord = "";
    private long finalMs = Long.MAX_VALUE;
    private final Set<Integer> done = new HashSet<>();
    private final Map<Integer, Place> on = new LinkedHashMap<>();

    JobSeen(JobSpec spec) {
      this.spec = spec;
    }
  }

  private final SimClock clock;
  private final Settings settings;
  private final Map<String, JobSeen> jobs = new HashMap<>();
  private final List<Broken> broken = new ArrayList<>();
  private int starts;

  Checker(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
  }

  List<Broken> broken() {
    return broken;
  }

  int starts() {
    return starts;
  }

  long jobsDone() {
    return jobs.values().stream().filter(j -> j.finalWord.equals("done")).count();
  }

  private void report(Rule rule, String what) {
    broken.add(new Broken(rule, clock.nowMs(), what));
  }

  void submitted(JobSpec spec) {
    jobs.putIfAbsent(spec.uid(), new JobSeen(spec));
  }

  void cancelAsked(String uid) {
    JobSeen job = jobs.get(uid);
    if (job != null) {
      job.cancelAsked = true;
    }
  }

  /** A task begins to be on a machine: it has its image. */
  void starts(String uid, int task, Place place) {
    starts++;
    JobSeen job = jobs.get(uid);
    Place other = job.on.get(task);
    if (other != null) {
      report(Rule.RAN_TWICE, uid + "/" + task + " starts on " + place + " while on " + other);
    }
    JobSpec s = job.spec;
    boolean typeOk = s.types().map(t -> t.contains(place.type())).orElse(true);
    boolean zoneOk = s.zone().map(z -> z.equals(place.zone())).orElse(true);
    long sameZone = job.on.values().stream().filter(p -> p.zone().equals(place.zone())).count();
    boolean together = !s.oneZone() || sameZone == job.on.size();
    boolean apart = !s.apart() || sameZone < (s.tasks() + 1) / 2;
    if (!typeOk || !zoneOk || !together || !apart || place.spot() && !s.spot()) {
      report(Rule.WRONG_PLACE, uid + "/" + task + " on " + place);
    }
    job.on.put(task, place);
    if (job.cancelToldMs >= 0
        && clock.nowMs() - job.cancelToldMs > settings.workers().cancelS() * 1000) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " starts");
    }
    checkLimit(s.team());
  }

  private void checkLimit(String team) {
    Settings.Team t = settings.team(team).orElseThrow();
    double cores = 0;
    for (JobSeen job : jobs.values()) {
      if (job.spec.team().equals(team)) {
        cores += job.on.size() * job.spec.cores();
      }
    }
    if (t.coresMax() > 0 && cores > t.coresMax() + 1e-6) {
      report(Rule.QUOTA, team + " uses " + cores);
    }
  }

  void leaves(String uid, int task, Place place) {
    JobSeen job = jobs.get(uid);
    if (job != null) {
      job.on.remove(task, place);
    }
  }

  void completes(String uid, int task) {
    jobs.get(uid).done.add(task);
  }

  /** Looked at now and then: whatever is on a machine too long after its cancellation. */
  void look() {
    for (JobSeen job : jobs.values()) {
      if (job.cancelToldMs >= 0
          && !job.on.isEmpty()
          && clock.nowMs() - job.cancelToldMs > settings.workers().cancelS() * 1000) {
        report(Rule.RAN_CANCELLED, job.spec.uid() + " is still on " + job.on.values());
        job.cancelToldMs = Long.MAX_VALUE / 2;
      }
    }
  }

  /**
   * A user gets an answer on a job: to a submission, a poll or a cancellation. What was asked
   * before another answer came may be older than that one.
   */
  void told(String uid, int status, String state, boolean submission, long askedMs) {
    JobSeen job = jobs.get(uid);
    if (job == null) {
      if (status == 200) {
        report(Rule.INVENTED, uid);
      }
      return;
    }
    if (askedMs >= job.acceptedMs
        && (status == 404 || submission && (status == 400 || status == 422))) {
      report(Rule.FORGOTTEN, uid + " is answered " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    job.acceptedMs = Math.min(job.acceptedMs, clock.nowMs());
    boolean over = state.equals("done") || state.equals("aborted");
    if ((askedMs >= job.finalMs || over && !job.finalWord.isEmpty())
        && !job.finalWord.equals(state)) {
      report(Rule.WENT_BACK, uid + " was " + job.finalWord + " and is " + state);
    }
    if (state.equals("aborted") && !job.cancelAsked) {
      report(Rule.WENT_BACK, uid + " is called cancelled, which nobody asked for");
    }
    if (state.equals("done") && job.done.size() < job.spec.tasks()) {
      report(Rule.NOT_DONE, uid + " with " + job.done.size() + " of " + job.spec.tasks());
    }
    if (over) {
      job.finalWord = state;
      job.finalMs = Math.min(job.finalMs, clock.nowMs());
    }
    if (state.equals("aborted") && job.cancelToldMs < 0) {
      job.cancelToldMs = clock.nowMs();
    }
  }
}
