package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.List;
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

  private final SimClock clock;
  private final Settings settings;
  private final ObservedJobs jobs = new ObservedJobs();

  private final List<Broken> broken = new ArrayList<>();
  private final List<LateStart> lateStarts = new ArrayList<>();
  private final IdleCapacityCheck idleCapacity;
  private final UnknownJobAnswers unknownJobs = new UnknownJobAnswers(this::report);
  private int starts;
  private int cancelledWhileOn;
  private long troublesOverMs = -1;
  private Consumer<String> lastTaskEnded = uid -> {};
  private Consumer<Start> taskStarted = start -> {};

  /** A job about which nothing is answered for this long once all is well counts as forgotten. */
  private static final long UNANSWERED_MS = 75_000;

  InvariantChecker(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
    this.idleCapacity = new IdleCapacityCheck(clock, settings);
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
    idleCapacity.machineUp(place, size, sound);
  }

  long jobsDone() {
    return jobs.all().stream().filter(j -> j.finalWord.equals("done")).count();
  }

  private void report(Rule rule, String what) {
    broken.add(new Broken(rule, clock.nowMs(), what));
  }

  void submitted(JobSpec spec) {
    ObservedJob seen = new ObservedJob(spec);
    seen.submittedMs = clock.nowMs();
    jobs.add(seen);
  }

  /** A user's own submission of the job, which names only jobs known as accepted, is answered. */
  void submissionTold(String uid, int status) {
    if (status == 400 || status == 422) {
      report(Rule.WRONG_STATUS, uid + " is answered " + status);
    }
  }

  /** Nobody submits a job of this id in a form that can be accepted: it is to be refused so. */
  void neverAcceptable(String uid, int status, String why) {
    unknownJobs.refuse(uid, status, why);
  }

  void troublesAreOver() {
    troublesOverMs = clock.nowMs();
    jobs.all().forEach(j -> j.askedSinceMs = -1);
  }

  /** A user asks about a job; the question may go unanswered. */
  void asked(String uid) {
    ObservedJob job = jobs.get(uid);
    if (job != null && job.askedSinceMs < 0) {
      job.askedSinceMs = clock.nowMs();
    }
  }

  private void lookForUnanswered() {
    if (troublesOverMs < 0) {
      return;
    }
    for (ObservedJob job : jobs.all()) {
      if (job.acceptedMs <= clock.nowMs()
          && !job.cancelAsked
          && job.askedSinceMs >= 0
          && clock.nowMs() - Math.max(troublesOverMs, job.askedSinceMs) > UNANSWERED_MS) {
        report(Rule.UNANSWERED, job.spec.uid());
        job.askedSinceMs = -1;
      }
    }
  }

  /** How many cancellations were confirmed to users while tasks of theirs were on machines. */
  int cancelledWhileOn() {
    return cancelledWhileOn;
  }

  /**
   * At the end: of each class, of each team, and of the largest jobs of each class at least half is
   * served, and the largest began in time. Cancelled jobs count for nobody.
   */
  void endOfDay() {
    new ServiceCheck(jobs::mayRun, jobs::readyMs, this::report).check(jobs.all());
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
    return jobs.get(uid).allDone();
  }

  /** Accepted jobs that nobody cancelled and that have not begun. */
  long neverBegun() {
    return jobs.neverBegun();
  }

  private boolean isToldLongAgo(ObservedJob cancelled) {
    return cancelled.cancelToldMs >= 0
        && clock.nowMs() - cancelled.cancelToldMs > settings.workers().cancelS() * 1000;
  }

  void cancelAsked(String uid) {
    ObservedJob job = jobs.get(uid);
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
    return jobs.running();
  }

  /** Jobs that a user was told to be accepted and not to be over. */
  List<String> unfinished() {
    return jobs.unfinished(clock.nowMs());
  }

  /** Jobs that a user was told to be done. */
  List<String> toldDone() {
    return jobs.toldDone();
  }

  /** The machines that tasks of the job are on. */
  List<String> hostsOf(String uid) {
    return jobs.get(uid).on.values().stream().map(Place::host).distinct().toList();
  }

  /** A task that was on a machine goes on after the machine stood still. */
  void goesOn(String uid, int task, Place place) {
    ObservedJob job = jobs.get(uid);
    Place other = job.on.putIfAbsent(task, place);
    if (other != null && !other.equals(place)) {
      report(Rule.RAN_TWICE, uid + "/" + task + " goes on on " + place + " while on " + other);
    }
    if (isCancelledTooLong(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " goes on on " + place);
    }
  }

  /** It, or a job that it needs. */
  private boolean isCancelledTooLong(ObservedJob job) {
    return isToldLongAgo(job) || jobs.neededBy(job).stream().anyMatch(this::isToldLongAgo);
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
    ObservedJob job = jobs.get(uid);
    job.begunMs = job.begunMs < 0 ? clock.nowMs() : job.begunMs;
    Place other = job.on.get(task);
    if (other != null) {
      report(Rule.RAN_TWICE, uid + "/" + task + " starts on " + place + " while on " + other);
    }
    if (!jobs.neededBy(job).stream().allMatch(ObservedJob::allDone)) {
      report(Rule.TOO_EARLY, uid + "/" + task + " starts before what it needs is done");
    }
    job.roomSinceMs.clear();
    if (!job.mayBeOn(place)) {
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
    if (t.maxCores() <= 0) {
      return;
    }
    double cores = coresInUse(team);
    if (cores > t.maxCores() + 1e-6) {
      report(Rule.QUOTA, team + " uses " + cores);
    }
  }

  /** What the team's tasks on machines take. */
  double coresInUse(String team) {
    return jobs.coresInUse(team);
  }

  void leaves(String uid, int task, Place place) {
    ObservedJob job = jobs.get(uid);
    if (job != null) {
      job.on.remove(task, place);
    }
  }

  void completes(String uid, int task) {
    ObservedJob job = jobs.get(uid);
    if (job.done.add(task) && job.allDone()) {
      job.doneMs = Math.min(job.doneMs, clock.nowMs());
      lastTaskEnded.accept(uid);
    }
  }

  /** Looked at now and then: whatever is on a machine too long after its cancellation. */
  void look() {
    lookForUnanswered();
    if (troublesOverMs >= 0) {
      idleCapacity.check(jobs.all(), jobs::mayRun, this::report);
    }
    for (ObservedJob job : jobs.all()) {
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
    ObservedJob job = jobs.get(uid);
    if (job == null) {
      unknownJobs.check(uid, status, submission);
      return;
    }
    if (askedMs >= job.acceptedMs
        && (status == 404 || submission && (status == 400 || status == 422))) {
      report(Rule.FORGOTTEN, uid + " is answered " + status);
    }
    if (status == 200 || status == 201) {
      job.askedSinceMs = -1;
      job.acceptedMs = Math.min(job.acceptedMs, clock.nowMs());
      checkState(job, state, askedMs);
      noteState(job, state);
    }
  }

  private void checkState(ObservedJob job, String state, long askedMs) {
    String uid = job.spec.uid();
    if ((askedMs >= job.finalMs || isFinal(state) && !job.finalWord.isEmpty())
        && !job.finalWord.equals(state)) {
      report(Rule.WENT_BACK, uid + " was " + job.finalWord + " and is " + state);
    }
    if (!isFinal(state) && jobs.neededBy(job).stream().anyMatch(this::isToldLongAgo)) {
      report(
          Rule.ORPHANED, uid + " is called " + state + " after a job that it needs is cancelled");
    }
    if (state.equals("aborted")
        && !job.cancelAsked
        && jobs.neededBy(job).stream().noneMatch(ObservedJob::isCancelled)) {
      report(Rule.WENT_BACK, uid + " is called cancelled, which nobody asked for");
    }
    if (state.equals("done") && job.done.size() < job.spec.tasks()) {
      report(Rule.NOT_DONE, uid + " with " + job.done.size() + " of " + job.spec.tasks());
    }
  }

  private void noteState(ObservedJob job, String state) {
    if (isFinal(state)) {
      job.finalWord = state;
      job.finalMs = Math.min(job.finalMs, clock.nowMs());
    }
    if (state.equals("aborted") && job.cancelToldMs < 0) {
      job.cancelToldMs = clock.nowMs();
      cancelledWhileOn += job.on.isEmpty() ? 0 : 1;
    }
  }

  private static boolean isFinal(String state) {
    return state.equals("done") || state.equals("aborted");
  }
}
