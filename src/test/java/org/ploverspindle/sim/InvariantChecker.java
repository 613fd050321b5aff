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

  record Violation(Rule rule, long atMs, String description) {}

  record Place(String host, String type, String zone, boolean spot) {}

  /**
   * A start that was executed after a user was told that the job is cancelled. One that was ordered
   * before the word was in flight, and is no fault as long as it is gone in time; one that was
   * ordered after it is what the protocol forbids.
   */
  record LateStart(String uid, int task, long commandSentAfterMs, long startedAfterMs) {
    boolean isCommandSentAfterConfirmation() {
      return commandSentAfterMs > 0;
    }
  }

  /** A task began to be on a machine, by an order that was given then. */
  record Start(String uid, int task, long orderedMs, long startedMs) {}

  private final SimClock clock;
  private final Settings settings;
  private final ObservedJobs jobs = new ObservedJobs();

  private final List<Violation> violations = new ArrayList<>();
  private final List<LateStart> lateStarts = new ArrayList<>();
  private final IdleCapacityCheck idleCapacity;
  private final UnknownJobAnswers unknownJobs = new UnknownJobAnswers(this::report);
  private int starts;
  private int cancelledWhileOn;
  private long faultsEndedMs = -1;
  private Consumer<String> lastTaskListener = uid -> {};
  private Consumer<Start> startListener = start -> {};

  /** A job about which nothing is answered for this long once all is well counts as forgotten. */
  private static final long MAX_UNANSWERED_MS = 75_000;

  InvariantChecker(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
    this.idleCapacity = new IdleCapacityCheck(clock, settings);
  }

  List<Violation> broken() {
    return violations;
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
   * @param usable whether it can still do what is asked of it
   */
  void machineUp(Place place, Resources size, BooleanSupplier usable) {
    idleCapacity.machineUp(place, size, usable);
  }

  long jobsDone() {
    return jobs.all().stream().filter(job -> job.finalStatus.equals("done")).count();
  }

  private void report(Rule rule, String description) {
    violations.add(new Violation(rule, clock.nowMs(), description));
  }

  void submitted(JobSpec spec) {
    ObservedJob job = new ObservedJob(spec);
    job.submittedMs = clock.nowMs();
    jobs.add(job);
  }

  /** A user's own submission of the job, which names only jobs known as accepted, is answered. */
  void submissionTold(String uid, int status) {
    if (status == 400 || status == 422) {
      report(Rule.WRONG_STATUS, uid + " is answered " + status);
    }
  }

  /** Nobody submits a job of this id in a form that can be accepted: it is to be refused so. */
  void expectRefusal(String uid, int status, String reason) {
    unknownJobs.expectRefusal(uid, status, reason);
  }

  void troublesAreOver() {
    faultsEndedMs = clock.nowMs();
    jobs.all().forEach(job -> job.unansweredSinceMs = -1);
  }

  /** A user asks about a job; the question may go unanswered. */
  void asked(String uid) {
    ObservedJob job = jobs.get(uid);
    if (job != null && job.unansweredSinceMs < 0) {
      job.unansweredSinceMs = clock.nowMs();
    }
  }

  private void checkUnansweredPolls() {
    if (faultsEndedMs < 0) {
      return;
    }
    for (ObservedJob job : jobs.all()) {
      if (job.acceptedMs <= clock.nowMs()
          && !job.cancellationRequested
          && job.unansweredSinceMs >= 0
          && clock.nowMs() - Math.max(faultsEndedMs, job.unansweredSinceMs) > MAX_UNANSWERED_MS) {
        report(Rule.UNANSWERED, job.spec.uid());
        job.unansweredSinceMs = -1;
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
    return jobs.get(uid).completedMs;
  }

  boolean isAccepted(String uid) {
    return jobs.get(uid).acceptedMs <= clock.nowMs();
  }

  /** The last word on it, once there is one: done or aborted. */
  String finalWord(String uid) {
    return jobs.get(uid).finalStatus;
  }

  /** When the job's first task began, or -1. */
  long begunMs(String uid) {
    return jobs.get(uid).firstStartMs;
  }

  /** How many of its tasks have completed. */
  int tasksDone(String uid) {
    return jobs.get(uid).completedTasks.size();
  }

  boolean isDone(String uid) {
    return jobs.get(uid).isComplete();
  }

  /** Accepted jobs that nobody cancelled and that have not begun. */
  long neverBegun() {
    return jobs.neverBegun();
  }

  private boolean isCancellationOverdue(ObservedJob cancelled) {
    return cancelled.cancellationConfirmedMs >= 0
        && clock.nowMs() - cancelled.cancellationConfirmedMs > settings.workers().cancelS() * 1000;
  }

  void cancelAsked(String uid) {
    ObservedJob job = jobs.get(uid);
    if (job != null) {
      job.cancellationRequested = true;
    }
  }

  /** To be run whenever a task begins to be on a machine. */
  void whenATaskStarts(Consumer<Start> listener) {
    startListener = listener;
  }

  /** To be run whenever the last task of a job has completed. */
  void whenALastTaskEnds(Consumer<String> listener) {
    lastTaskListener = listener;
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
    return jobs.get(uid).placesByTask.values().stream().map(Place::host).distinct().toList();
  }

  /** A task that was on a machine goes on after the machine stood still. */
  void goesOn(String uid, int task, Place place) {
    ObservedJob job = jobs.get(uid);
    Place otherPlace = job.placesByTask.putIfAbsent(task, place);
    if (otherPlace != null && !otherPlace.equals(place)) {
      report(Rule.RAN_TWICE, uid + "/" + task + " goes on on " + place + " while on " + otherPlace);
    }
    if (isStopOverdue(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " goes on on " + place);
    }
  }

  /** It, or a job that it needs. */
  private boolean isStopOverdue(ObservedJob job) {
    return isCancellationOverdue(job)
        || jobs.dependenciesOf(job).stream().anyMatch(this::isCancellationOverdue);
  }

  /** A task begins to be on a machine, by an order that was given just now. */
  void starts(String uid, int task, Place place) {
    starts(uid, task, place, clock.nowMs());
  }

  /**
   * A task begins to be on a machine: it has its image.
   *
   * @param commandSentMs when a controller gave the order that it starts by
   */
  void starts(String uid, int task, Place place, long commandSentMs) {
    starts++;
    startListener.accept(new Start(uid, task, commandSentMs, clock.nowMs()));
    ObservedJob job = jobs.get(uid);
    job.firstStartMs = job.firstStartMs < 0 ? clock.nowMs() : job.firstStartMs;
    Place otherPlace = job.placesByTask.get(task);
    if (otherPlace != null) {
      report(Rule.RAN_TWICE, uid + "/" + task + " starts on " + place + " while on " + otherPlace);
    }
    if (!jobs.dependenciesOf(job).stream().allMatch(ObservedJob::isComplete)) {
      report(Rule.TOO_EARLY, uid + "/" + task + " starts before what it needs is done");
    }
    job.roomSinceMsByHost.clear();
    if (!job.allowsPlace(place)) {
      report(Rule.WRONG_PLACE, uid + "/" + task + " on " + place);
    }
    job.placesByTask.put(task, place);
    if (job.cancellationConfirmedMs >= 0) {
      long confirmedMs = job.cancellationConfirmedMs;
      lateStarts.add(
          new LateStart(uid, task, commandSentMs - confirmedMs, clock.nowMs() - confirmedMs));
    }
    if (isStopOverdue(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " starts");
    }
    checkLimit(job.spec.team());
  }

  private void checkLimit(String team) {
    Settings.Team teamSettings = settings.team(team).orElseThrow();
    if (teamSettings.maxCores() <= 0) {
      return;
    }
    double cores = coresInUse(team);
    if (cores > teamSettings.maxCores() + 1e-6) {
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
      job.placesByTask.remove(task, place);
    }
  }

  void completes(String uid, int task) {
    ObservedJob job = jobs.get(uid);
    if (job.completedTasks.add(task) && job.isComplete()) {
      job.completedMs = Math.min(job.completedMs, clock.nowMs());
      lastTaskListener.accept(uid);
    }
  }

  /** Looked at now and then: whatever is on a machine too long after its cancellation. */
  void look() {
    checkUnansweredPolls();
    if (faultsEndedMs >= 0) {
      idleCapacity.check(jobs.all(), jobs::mayRun, this::report);
    }
    for (ObservedJob job : jobs.all()) {
      if (!job.placesByTask.isEmpty() && !job.overdueReported && isStopOverdue(job)) {
        report(Rule.RAN_CANCELLED, job.spec.uid() + " is still on " + job.placesByTask.values());
        job.overdueReported = true;
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
      job.unansweredSinceMs = -1;
      job.acceptedMs = Math.min(job.acceptedMs, clock.nowMs());
      checkState(job, state, askedMs);
      recordState(job, state);
    }
  }

  private void checkState(ObservedJob job, String state, long askedMs) {
    String uid = job.spec.uid();
    if ((askedMs >= job.finalStatusMs || isFinal(state) && !job.finalStatus.isEmpty())
        && !job.finalStatus.equals(state)) {
      report(Rule.WENT_BACK, uid + " was " + job.finalStatus + " and is " + state);
    }
    if (!isFinal(state)
        && jobs.dependenciesOf(job).stream().anyMatch(this::isCancellationOverdue)) {
      report(
          Rule.ORPHANED, uid + " is called " + state + " after a job that it needs is cancelled");
    }
    if (state.equals("aborted")
        && !job.cancellationRequested
        && jobs.dependenciesOf(job).stream().noneMatch(ObservedJob::isCancelled)) {
      report(Rule.WENT_BACK, uid + " is called cancelled, which nobody asked for");
    }
    if (state.equals("done") && job.completedTasks.size() < job.spec.tasks()) {
      report(Rule.NOT_DONE, uid + " with " + job.completedTasks.size() + " of " + job.spec.tasks());
    }
  }

  private void recordState(ObservedJob job, String state) {
    if (isFinal(state)) {
      job.finalStatus = state;
      job.finalStatusMs = Math.min(job.finalStatusMs, clock.nowMs());
    }
    if (state.equals("aborted") && job.cancellationConfirmedMs < 0) {
      job.cancellationConfirmedMs = clock.nowMs();
      cancelledWhileOn += job.placesByTask.isEmpty() ? 0 : 1;
    }
  }

  private static boolean isFinal(String state) {
    return state.equals("done") || state.equals("aborted");
  }
}
