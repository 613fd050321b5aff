package org.ploverspindle.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Resources;
import org.ploverspindle.settings.Settings;

/**
 * The protocol's rules, plainly and slowly, over what truly happens on machines and what users are
 * told. Knows nothing of the code under test.
 */
final class InvariantChecker {
  enum Rule {
    RAN_TWICE,
    QUOTA,
    WRONG_PLACE,
    RAN_CANCELLED,
    FORGOTTEN,
    INVENTED,
    NOT_DONE,
    WENT_BACK,
    UNANSWERED,
    STARVED,
    /** Left waiting while there is room for it. */
    IDLE_ROOM,
    /** Accepted though it lacks a field or can never run. */
    WRONGLY_ACCEPTED,
    /** Not the status that the protocol has for such a request. */
    WRONG_STATUS,
    TOO_EARLY,
    ORPHANED
  }

  record Broken(Rule rule, long atMs, String what) {}

  record Place(String host, String type, String zone, boolean spot) {}

  /**
   * A start that was executed after a user was told that the job is cancelled. One that was ordered
   * before the word was in flight, and is no fault as long as it is gone in time; one that was
   * ordered after it is what the protocol forbids.
   */
  record LateStart(String uid, int task, long orderedAfterMs, long startedAfterMs) {
    boolean orderedAfterTheWord() {
      return orderedAfterMs > 0;
    }
  }

  /** A task began to be on a machine, by an order that was given then. */
  record Start(String uid, int task, long orderedMs, long startedMs) {}

  /** What the truth is on a machine, beside the tasks that are on it. */
  record Offer(Place place, Resources size, BooleanSupplier sound) {}

  private static final class JobSeen {
    private final JobSpec spec;
    private long acceptedMs = Long.MAX_VALUE;
    private long submittedMs;
    private long begunMs = -1;
    private long askedSinceMs = -1;
    private boolean cancelAsked;
    private long cancelToldMs = -1;
    private boolean runsOnReported;
    private String finalWord = "";
    private long finalMs = Long.MAX_VALUE;
    private final Set<Integer> done = new HashSet<>();
    private long doneMs = Long.MAX_VALUE;
    private final Map<Integer, Place> on = new LinkedHashMap<>();
    private final Map<String, Long> roomSinceMs = new HashMap<>();

    JobSeen(JobSpec spec) {
      this.spec = spec;
    }
  }

  private final SimClock clock;
  private final Settings settings;
  private final Map<String, JobSeen> jobs = new HashMap<>();

  private record Refusal(int status, String why) {}

  private final Map<String, Refusal> neverAcceptable = new HashMap<>();
  private final List<Broken> broken = new ArrayList<>();
  private final List<LateStart> lateStarts = new ArrayList<>();
  private final Map<String, Offer> offers = new LinkedHashMap<>();
  private int starts;
  private int cancelledWhileOn;
  private long troublesOverMs = -1;
  private Consumer<String> lastTaskEnded = uid -> {};
  private Consumer<Start> taskStarted = start -> {};

  /** A job about which nothing is answered for this long once all is well counts as forgotten. */
  private static final long UNANSWERED_MS = 75_000;

  /** No job waits so long beside a machine that has room for it. */
  private static final long WAIT_MS = 90_000;

  /** The largest jobs of a class are to begin within this. */
  private static final long BEGIN_MS = 240_000;

  InvariantChecker(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
  }

  List<Broken> broken() {
    return broken;
  }

  int starts() {
    return starts;
  }

  List<LateStart> lateStarts() {
    return lateStarts;
  }

  /**
   * A machine is up.
   *
   * @param sound whether it can still do what is asked of it
   */
  void machineUp(Place place, Resources size, BooleanSupplier sound) {
    offers.put(place.host(), new Offer(place, size, sound));
  }

  /**
   * Once troubles are over: a job that waits, of which nothing begins, beside one and the same
   * machine that has room for a task of it all the while.
   */
  private void lookForIdleRoom() {
    if (troublesOverMs < 0) {
      return;
    }
    Map<String, Resources> used = new HashMap<>();
    Map<String, Resources> usedByTeam = new HashMap<>();
    for (JobSeen job : jobs.values()) {
      Resources task = job.spec.perTask();
      for (Place p : job.on.values()) {
        used.merge(p.host(), task, Resources::plus);
        usedByTeam.merge(job.spec.team(), task, Resources::plus);
      }
    }
    List<Offer> sound = offers.values().stream().filter(o -> o.sound().getAsBoolean()).toList();
    for (JobSeen job : jobs.values()) {
      boolean waits =
          job.acceptedMs <= clock.nowMs()
              && mayRun(job)
              && job.finalWord.isEmpty()
              && job.done.size() + job.on.size() < job.spec.tasks();
      if (!waits || !isBelowLimit(job.spec, usedByTeam)) {
        job.roomSinceMs.clear();
        continue;
      }
      Set<String> withRoom = new HashSet<>();
      for (Offer o : sound) {
        Resources left = o.size().minus(used.getOrDefault(o.place().host(), Resources.NONE));
        if (mayBeOn(job, o.place()) && job.spec.perTask().fitsIn(left)) {
          withRoom.add(o.place().host());
          job.roomSinceMs.putIfAbsent(o.place().host(), clock.nowMs());
        }
      }
      job.roomSinceMs.keySet().retainAll(withRoom);
      for (Map.Entry<String, Long> e : job.roomSinceMs.entrySet()) {
        if (clock.nowMs() - e.getValue() > WAIT_MS) {
          report(Rule.IDLE_ROOM, job.spec.uid() + " waits beside " + e.getKey());
          job.roomSinceMs.clear();
          break;
        }
      }
    }
  }

  private boolean isBelowLimit(JobSpec spec, Map<String, Resources> usedByTeam) {
    Settings.Team t = settings.team(spec.team()).orElseThrow();
    Resources then = usedByTeam.getOrDefault(spec.team(), Resources.NONE).plus(spec.perTask());
    Resources limit =
        Resources.offered(
            t.coresMax() > 0 ? t.coresMax() : 1e12,
            t.acceleratorsMax() > 0 ? t.acceleratorsMax() : 1e12,
            1e12);
    return then.fitsIn(limit);
  }

  /** By the job's demands and where its other tasks are now. */
  private static boolean mayBeOn(JobSeen job, Place place) {
    JobSpec s = job.spec;
    boolean typeOk = s.types().map(t -> t.contains(place.type())).orElse(true);
    boolean zoneOk = s.zone().map(z -> z.equals(place.zone())).orElse(true);
    long sameZone = job.on.values().stream().filter(p -> p.zone().equals(place.zone())).count();
    boolean together = !s.oneZone() || sameZone == job.on.size();
    boolean apart = !s.spreadOverZones() || sameZone < (s.tasks() + 1) / 2;
    return typeOk && zoneOk && together && apart && (s.spot() || !place.spot());
  }

  long jobsDone() {
    return jobs.values().stream().filter(j -> j.finalWord.equals("done")).count();
  }

  private void report(Rule rule, String what) {
    broken.add(new Broken(rule, clock.nowMs(), what));
  }

  void submitted(JobSpec spec) {
    JobSeen seen = new JobSeen(spec);
    seen.submittedMs = clock.nowMs();
    jobs.putIfAbsent(spec.uid(), seen);
  }

  /** A user's own submission of the job, which names only jobs known as accepted, is answered. */
  void submissionTold(String uid, int status) {
    if (status == 400 || status == 422) {
      report(Rule.WRONG_STATUS, uid + " is answered " + status);
    }
  }

  /** Nobody submits a job of this id in a form that can be accepted: it is to be refused so. */
  void neverAcceptable(String uid, int status, String why) {
    neverAcceptable.put(uid, new Refusal(status, why));
  }

  private static boolean comesAgain(int status) {
    return status == 429 || status == 503 || status == 504;
  }

  private void toldOfNoJob(String uid, int status, boolean submission) {
    Refusal refusal = neverAcceptable.getOrDefault(uid, new Refusal(404, "nobody submitted it"));
    String what = uid + " (" + refusal.why + ") is answered " + status;
    if (status == 200 || status == 201) {
      report(submission ? Rule.WRONGLY_ACCEPTED : Rule.INVENTED, what);
    } else if (!comesAgain(status) && status != (submission ? refusal.status : 404)) {
      report(Rule.WRONG_STATUS, what);
    }
  }

  void troublesAreOver() {
    troublesOverMs = clock.nowMs();
    jobs.values().forEach(j -> j.askedSinceMs = -1);
  }

  /** A user asks about a job; the question may go unanswered. */
  void asked(String uid) {
    JobSeen job = jobs.get(uid);
    if (job != null && job.askedSinceMs < 0) {
      job.askedSinceMs = clock.nowMs();
    }
  }

  private void lookForUnanswered() {
    if (troublesOverMs < 0) {
      return;
    }
    for (JobSeen job : jobs.values()) {
      if (job.acceptedMs <= clock.nowMs()
          && !job.cancelAsked
          && job.askedSinceMs >= 0
          && clock.nowMs() - Math.max(troublesOverMs, job.askedSinceMs) > UNANSWERED_MS) {
        report(Rule.UNANSWERED, job.spec.uid());
        job.askedSinceMs = -1;
      }
    }
  }

  /**
   * At the end: of each class, of each team, and of the largest jobs of each class at least half is
   * served, and the largest began in time. Cancelled jobs count for nobody.
   */
  void endOfDay() {
    Map<String, List<JobSeen>> groups = new LinkedHashMap<>();
    Map<String, Integer> largest = new HashMap<>();
    for (JobSeen job : jobs.values()) {
      largest.merge(job.spec.jobClass(), job.spec.tasks(), Math::max);
    }
    for (JobSeen job : jobs.values()) {
      if (!mayRun(job) || job.acceptedMs == Long.MAX_VALUE) {
        continue;
      }
      String jobClass = job.spec.jobClass();
      groups.computeIfAbsent("class " + jobClass, k -> new ArrayList<>()).add(job);
      groups.computeIfAbsent("team " + job.spec.team(), k -> new ArrayList<>()).add(job);
      if (job.spec.tasks() * 2 >= largest.get(jobClass)) {
        groups.computeIfAbsent("largest of " + jobClass, k -> new ArrayList<>()).add(job);
        if (job.begunMs < 0 || job.begunMs - readyMs(job) > BEGIN_MS) {
          report(Rule.STARVED, job.spec.uid() + ", one of the largest, began at " + job.begunMs);
        }
      }
    }
    groups.forEach(
        (name, members) -> {
          long served =
              members.stream()
                  .filter(j -> j.spec.expectedS() > 0 ? allDone(j) : j.begunMs >= 0)
                  .count();
          if (served * 2 < members.size()) {
            report(Rule.STARVED, name + ": " + served + " of " + members.size() + " served");
          }
        });
  }

  private static boolean allDone(JobSeen job) {
    return job.done.size() == job.spec.tasks();
  }

  /** How many cancellations were confirmed to users while tasks of theirs were on machines. */
  int cancelledWhileOn() {
    return cancelledWhileOn;
  }

  /** All jobs that it needs, directly or through others. */
  private Set<JobSeen> needed(JobSeen job) {
    Set<JobSeen> needed = new LinkedHashSet<>();
    Deque<JobSeen> open = new ArrayDeque<>(List.of(job));
    while (!open.isEmpty()) {
      for (String uid : open.poll().spec.dependencies()) {
        JobSeen d = jobs.get(uid);
        if (d != null && needed.add(d)) {
          open.add(d);
        }
      }
    }
    return needed;
  }

  /** Its user asked to cancel it, and was not told that it is done already. */
  private static boolean isCancelled(JobSeen job) {
    return job.cancelAsked && !job.finalWord.equals("done");
  }

  private boolean mayRun(JobSeen job) {
    return !job.cancelAsked && needed(job).stream().allMatch(d -> allDone(d) && !isCancelled(d));
  }

  /** When the last job that it needs had its last task done, or when it was submitted. */
  private long readyMs(JobSeen job) {
    return needed(job).stream().mapToLong(d -> d.doneMs).reduce(job.submittedMs, Math::max);
  }

  /** When its last task completed; far off until then. */
  long doneMs(String uid) {
    return jobs.get(uid).doneMs;
  }

  boolean isAccepted(String uid) {
    return jobs.get(uid).acceptedMs <= clock.nowMs();
  }

  /** The last word on it, once there is one: done or aborted. */
  String finalWord(String uid) {
    return jobs.get(uid).finalWord;
  }

  /** When the job's first task began, or -1. */
  long begunMs(String uid) {
    return jobs.get(uid).begunMs;
  }

  /** How many of its tasks have completed. */
  int tasksDone(String uid) {
    return jobs.get(uid).done.size();
  }

  boolean isDone(String uid) {
    return allDone(jobs.get(uid));
  }

  /** Accepted jobs that nobody cancelled and that have not begun. */
  long neverBegun() {
    return jobs.values().stream()
        .filter(j -> j.acceptedMs < Long.MAX_VALUE && mayRun(j) && j.begunMs < 0)
        .count();
  }

  private boolean isToldLongAgo(JobSeen cancelled) {
    return cancelled.cancelToldMs >= 0
        && clock.nowMs() - cancelled.cancelToldMs > settings.workers().cancelS() * 1000;
  }

  void cancelAsked(String uid) {
    JobSeen job = jobs.get(uid);
    if (job != null) {
      job.cancelAsked = true;
    }
  }

  /** To be run whenever a task begins to be on a machine. */
  void whenATaskStarts(Consumer<Start> then) {
    taskStarted = then;
  }

  /** To be run whenever the last task of a job has completed. */
  void whenALastTaskEnds(Consumer<String> then) {
    lastTaskEnded = then;
  }

  /** Jobs of which something is on a machine, and that nobody has asked to cancel. */
  List<String> running() {
    return jobs.values().stream()
        .filter(j -> !j.on.isEmpty() && !j.cancelAsked)
        .map(j -> j.spec.uid())
        .sorted()
        .toList();
  }

  /** Jobs that a user was told to be accepted and not to be over. */
  List<String> unfinished() {
    return jobs.values().stream()
        .filter(j -> j.acceptedMs <= clock.nowMs() && j.finalWord.isEmpty())
        .map(j -> j.spec.uid())
        .sorted()
        .toList();
  }

  /** Jobs that a user was told to be done. */
  List<String> toldDone() {
    return jobs.values().stream()
        .filter(j -> j.finalWord.equals("done"))
        .map(j -> j.spec.uid())
        .sorted()
        .toList();
  }

  /** The machines that tasks of the job are on. */
  List<String> hostsOf(String uid) {
    return jobs.get(uid).on.values().stream().map(Place::host).distinct().toList();
  }

  /** A task that was on a machine goes on after the machine stood still. */
  void goesOn(String uid, int task, Place place) {
    JobSeen job = jobs.get(uid);
    Place other = job.on.putIfAbsent(task, place);
    if (other != null && !other.equals(place)) {
      report(Rule.RAN_TWICE, uid + "/" + task + " goes on on " + place + " while on " + other);
    }
    if (isCancelledTooLong(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " goes on on " + place);
    }
  }

  /** It, or a job that it needs. */
  private boolean isCancelledTooLong(JobSeen job) {
    return isToldLongAgo(job) || needed(job).stream().anyMatch(this::isToldLongAgo);
  }

  /** A task begins to be on a machine, by an order that was given just now. */
  void starts(String uid, int task, Place place) {
    starts(uid, task, place, clock.nowMs());
  }

  /**
   * A task begins to be on a machine: it has its image.
   *
   * @param orderedMs when a controller gave the order that it starts by
   */
  void starts(String uid, int task, Place place, long orderedMs) {
    starts++;
    taskStarted.accept(new Start(uid, task, orderedMs, clock.nowMs()));
    JobSeen job = jobs.get(uid);
    job.begunMs = job.begunMs < 0 ? clock.nowMs() : job.begunMs;
    Place other = job.on.get(task);
    if (other != null) {
      report(Rule.RAN_TWICE, uid + "/" + task + " starts on " + place + " while on " + other);
    }
    if (!needed(job).stream().allMatch(InvariantChecker::allDone)) {
      report(Rule.TOO_EARLY, uid + "/" + task + " starts before what it needs is done");
    }
    job.roomSinceMs.clear();
    if (!mayBeOn(job, place)) {
      report(Rule.WRONG_PLACE, uid + "/" + task + " on " + place);
    }
    job.on.put(task, place);
    if (job.cancelToldMs >= 0) {
      long told = job.cancelToldMs;
      lateStarts.add(new LateStart(uid, task, orderedMs - told, clock.nowMs() - told));
    }
    if (isCancelledTooLong(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " starts");
    }
    checkLimit(job.spec.team());
  }

  private void checkLimit(String team) {
    Settings.Team t = settings.team(team).orElseThrow();
    if (t.coresMax() <= 0) {
      return;
    }
    double cores = coresInUse(team);
    if (cores > t.coresMax() + 1e-6) {
      report(Rule.QUOTA, team + " uses " + cores);
    }
  }

  /** What the team's tasks on machines take. */
  double coresInUse(String team) {
    double cores = 0;
    for (JobSeen job : jobs.values()) {
      if (job.spec.team().equals(team)) {
        cores += job.on.size() * job.spec.cores();
      }
    }
    return cores;
  }

  void leaves(String uid, int task, Place place) {
    JobSeen job = jobs.get(uid);
    if (job != null) {
      job.on.remove(task, place);
    }
  }

  void completes(String uid, int task) {
    JobSeen job = jobs.get(uid);
    if (job.done.add(task) && allDone(job)) {
      job.doneMs = Math.min(job.doneMs, clock.nowMs());
      lastTaskEnded.accept(uid);
    }
  }

  /** Looked at now and then: whatever is on a machine too long after its cancellation. */
  void look() {
    lookForUnanswered();
    lookForIdleRoom();
    for (JobSeen job : jobs.values()) {
      if (!job.on.isEmpty() && !job.runsOnReported && isCancelledTooLong(job)) {
        report(Rule.RAN_CANCELLED, job.spec.uid() + " is still on " + job.on.values());
        job.runsOnReported = true;
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
      toldOfNoJob(uid, status, submission);
      return;
    }
    if (askedMs >= job.acceptedMs
        && (status == 404 || submission && (status == 400 || status == 422))) {
      report(Rule.FORGOTTEN, uid + " is answered " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    job.askedSinceMs = -1;
    job.acceptedMs = Math.min(job.acceptedMs, clock.nowMs());
    boolean over = state.equals("done") || state.equals("aborted");
    if ((askedMs >= job.finalMs || over && !job.finalWord.isEmpty())
        && !job.finalWord.equals(state)) {
      report(Rule.WENT_BACK, uid + " was " + job.finalWord + " and is " + state);
    }
    if (!over && needed(job).stream().anyMatch(this::isToldLongAgo)) {
      report(
          Rule.ORPHANED, uid + " is called " + state + " after a job that it needs is cancelled");
    }
    if (state.equals("aborted")
        && !job.cancelAsked
        && needed(job).stream().noneMatch(InvariantChecker::isCancelled)) {
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
      cancelledWhileOn += job.on.isEmpty() ? 0 : 1;
    }
  }
}
