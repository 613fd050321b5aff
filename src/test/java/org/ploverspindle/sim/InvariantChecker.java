package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Resources;
import org.ploverspindle.settings.Settings;

/**
 * Checks the protocol's rules against what happens on the simulated machines and what users are
 * answered. It is independent of the code under test.
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
    /** A job waits although a machine has room for a task of it. */
    IDLE_ROOM,
    /** A submission is accepted that lacks a field or can never run. */
    WRONGLY_ACCEPTED,
    /** A request is refused with another status than the protocol defines for it. */
    WRONG_STATUS,
    TOO_EARLY,
    ORPHANED
  }

  record Violation(Rule rule, long atMs, String description) {}

  record Place(String host, String type, String zone, boolean spot) {}

  /**
   * A start that was executed after a user got the confirmation that the job is cancelled. If its
   * command was sent before the confirmation, it was in flight and only has to be stopped in time;
   * the protocol forbids sending the command later. Both times are in ms from the confirmation.
   */
  record LateStart(String uid, int task, long commandSentAfterMs, long startedAfterMs) {
    boolean isCommandSentAfterConfirmation() {
      return commandSentAfterMs > 0;
    }
  }

  /** A start of a task on a machine; {@code orderedMs} is when its command was sent. */
  record Start(String uid, int task, long commandSentMs, long startedMs) {}

  private final SimClock clock;
  private final Settings settings;
  private final ObservedJobs jobs = new ObservedJobs();

  private final List<Violation> violations = new ArrayList<>();
  private final List<LateStart> lateStarts = new ArrayList<>();
  private final IdleCapacityCheck idleCapacity;
  private final UnknownJobAnswers unknownJobs = new UnknownJobAnswers(this::report);
  private int starts;
  private int cancelledWithRunningTasks;
  private long faultsEndedMs = -1;
  private Consumer<String> lastTaskListener = uid -> {};
  private Consumer<Start> startListener = start -> {};

  /** Longest time, after the faults have ended, without an answer to the polls of a job. */
  private static final long MAX_UNANSWERED_MS = 75_000;

  InvariantChecker(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
    this.idleCapacity = new IdleCapacityCheck(clock, settings);
  }

  List<Violation> violations() {
    return violations;
  }

  int starts() {
    return starts;
  }

  List<LateStart> lateStarts() {
    return lateStarts;
  }

  /** Records that a machine is up; {@code usable} tells whether it can still execute commands. */
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

  /** Checks the answer to an acceptable submission, whose dependencies all are accepted jobs. */
  void checkAcceptableSubmission(String uid, int status) {
    if (status == 400 || status == 422) {
      report(Rule.WRONG_STATUS, uid + ", an acceptable submission, was refused with " + status);
    }
  }

  /** Expects each submission under this uid to be refused with the status. */
  void expectRefusal(String uid, int status, String reason) {
    unknownJobs.expectRefusal(uid, status, reason);
  }

  void faultsEnded() {
    faultsEndedMs = clock.nowMs();
    jobs.all().forEach(job -> job.unansweredSinceMs = -1);
  }

  /** Records that a user polls a job; the poll may stay unanswered. */
  void recordPoll(String uid) {
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

  /** Returns how many cancellations were confirmed while tasks of the job were on machines. */
  int cancelledWithRunningTasks() {
    return cancelledWithRunningTasks;
  }

  /** Checks, at the end of a run, that no group of jobs was starved: see {@link ServiceCheck}. */
  void checkService() {
    new ServiceCheck(jobs::mayRun, jobs::readyMs, this::report).check(jobs.all());
  }

  /** Returns when the job's last task completed, or {@code Long.MAX_VALUE}. */
  long completedMs(String uid) {
    return jobs.get(uid).completedMs;
  }

  boolean isAccepted(String uid) {
    return jobs.get(uid).acceptedMs <= clock.nowMs();
  }

  /** Returns the final status that users were answered, done or aborted, or an empty string. */
  String finalStatus(String uid) {
    return jobs.get(uid).finalStatus;
  }

  /** Returns when the job's first task started, or -1. */
  long firstStartMs(String uid) {
    return jobs.get(uid).firstStartMs;
  }

  int tasksDone(String uid) {
    return jobs.get(uid).completedTasks.size();
  }

  boolean isDone(String uid) {
    return jobs.get(uid).isComplete();
  }

  /** Counts the accepted jobs that may run and have not started. */
  long neverStartedCount() {
    return jobs.neverStartedCount();
  }

  private boolean isCancellationOverdue(ObservedJob cancelled) {
    return cancelled.cancellationConfirmedMs >= 0
        && clock.nowMs() - cancelled.cancellationConfirmedMs > settings.workers().cancelS() * 1000;
  }

  void recordCancellationRequest(String uid) {
    ObservedJob job = jobs.get(uid);
    if (job != null) {
      job.cancellationRequested = true;
    }
  }

  /** Sets the listener of task starts. */
  void onTaskStart(Consumer<Start> listener) {
    startListener = listener;
  }

  /** Sets the listener of the uids of jobs whose last task has completed. */
  void onLastTaskEnd(Consumer<String> listener) {
    lastTaskListener = listener;
  }

  /** Returns the jobs with tasks on machines for which no cancellation was requested. */
  List<String> running() {
    return jobs.running();
  }

  /** Returns the accepted jobs for which no user was answered a final status. */
  List<String> unfinished() {
    return jobs.unfinished(clock.nowMs());
  }

  /** Returns the jobs that a user was answered to be done. */
  List<String> answeredDone() {
    return jobs.answeredDone();
  }

  /** Returns the machines on which tasks of the job run. */
  List<String> hostsOf(String uid) {
    return jobs.get(uid).placesByTask.values().stream().map(Place::host).distinct().toList();
  }

  /** Records that a task resumes on a machine that had been unresponsive. */
  void recordResume(String uid, int task, Place place) {
    ObservedJob job = jobs.get(uid);
    Place other = job.placesByTask.putIfAbsent(task, place);
    if (other != null && !other.equals(place)) {
      report(Rule.RAN_TWICE, uid + "/" + task + " resumes on " + place + " while on " + other);
    }
    if (isStopOverdue(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " resumes after cancellation on " + place);
    }
  }

  /** Whether the cancellation time of the job or of one of its dependencies is over. */
  private boolean isStopOverdue(ObservedJob job) {
    return isCancellationOverdue(job)
        || jobs.dependenciesOf(job).stream().anyMatch(this::isCancellationOverdue);
  }

  /** Records a start of a task on a machine by a command sent at this moment. */
  void starts(String uid, int task, Place place) {
    starts(uid, task, place, clock.nowMs());
  }

  /**
   * Records a start of a task on a machine, which has its image by now.
   *
   * @param commandSentMs when a controller sent the command for this start
   */
  void starts(String uid, int task, Place place, long commandSentMs) {
    starts++;
    startListener.accept(new Start(uid, task, commandSentMs, clock.nowMs()));
    ObservedJob job = jobs.get(uid);
    job.firstStartMs = job.firstStartMs < 0 ? clock.nowMs() : job.firstStartMs;
    Place other = job.placesByTask.get(task);
    if (other != null) {
      report(Rule.RAN_TWICE, uid + "/" + task + " starts on " + place + " while on " + other);
    }
    if (!jobs.dependenciesOf(job).stream().allMatch(ObservedJob::isComplete)) {
      report(Rule.TOO_EARLY, uid + "/" + task + " starts before its dependencies are done");
    }
    job.roomSinceMsByHost.clear();
    if (!job.allowsPlace(place)) {
      report(Rule.WRONG_PLACE, uid + "/" + task + " starts where its job may not run: " + place);
    }
    job.placesByTask.put(task, place);
    if (job.cancellationConfirmedMs >= 0) {
      long confirmedMs = job.cancellationConfirmedMs;
      lateStarts.add(
          new LateStart(uid, task, commandSentMs - confirmedMs, clock.nowMs() - confirmedMs));
    }
    if (isStopOverdue(job)) {
      report(Rule.RAN_CANCELLED, uid + "/" + task + " starts after its cancellation time");
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
      report(Rule.QUOTA, team + " uses more cores than its limit: " + cores);
    }
  }

  /** Returns how many cores the team's tasks on machines use. */
  double coresInUse(String team) {
    return jobs.coresInUse(team);
  }

  void recordStop(String uid, int task, Place place) {
    ObservedJob job = jobs.get(uid);
    if (job != null) {
      job.placesByTask.remove(task, place);
    }
  }

  void recordCompletion(String uid, int task) {
    ObservedJob job = jobs.get(uid);
    if (job.completedTasks.add(task) && job.isComplete()) {
      job.completedMs = Math.min(job.completedMs, clock.nowMs());
      lastTaskListener.accept(uid);
    }
  }

  /** Checks, once per interval, the rules that are violated by the passing of time. */
  void checkOverdue() {
    checkUnansweredPolls();
    if (faultsEndedMs >= 0) {
      idleCapacity.check(jobs.all(), jobs::mayRun, this::report);
    }
    for (ObservedJob job : jobs.all()) {
      if (!job.placesByTask.isEmpty() && !job.overdueReported && isStopOverdue(job)) {
        report(
            Rule.RAN_CANCELLED,
            job.spec.uid() + " runs after its cancellation time on " + job.placesByTask.values());
        job.overdueReported = true;
      }
    }
  }

  /**
   * Checks an answer to a user's submission, poll or cancellation. A request sent before another
   * answer arrived may be answered with an older status.
   *
   * @param sentMs when the request was sent
   */
  void recordAnswer(String uid, int status, String state, boolean submission, long sentMs) {
    ObservedJob job = jobs.get(uid);
    if (job == null) {
      unknownJobs.check(uid, status, submission);
      return;
    }
    if (sentMs >= job.acceptedMs
        && (status == 404 || submission && (status == 400 || status == 422))) {
      report(Rule.FORGOTTEN, uid + ", an accepted job, is answered " + status);
    }
    if (status == 200 || status == 201) {
      job.unansweredSinceMs = -1;
      job.acceptedMs = Math.min(job.acceptedMs, clock.nowMs());
      checkState(job, state, sentMs);
      recordState(job, state);
    }
  }

  private void checkState(ObservedJob job, String state, long sentMs) {
    String uid = job.spec.uid();
    if ((sentMs >= job.finalStatusMs || isFinal(state) && !job.finalStatus.isEmpty())
        && !job.finalStatus.equals(state)) {
      report(Rule.WENT_BACK, uid + " was answered " + job.finalStatus + " and then " + state);
    }
    if (!isFinal(state)
        && jobs.dependenciesOf(job).stream().anyMatch(this::isCancellationOverdue)) {
      report(
          Rule.ORPHANED, uid + " is answered " + state + " long after a dependency's cancellation");
    }
    if (state.equals("aborted")
        && !job.cancellationRequested
        && jobs.dependenciesOf(job).stream().noneMatch(ObservedJob::isCancelled)) {
      report(Rule.WENT_BACK, uid + " is answered aborted without a cancellation");
    }
    if (state.equals("done") && job.completedTasks.size() < job.spec.tasks()) {
      report(
          Rule.NOT_DONE,
          uid + " is answered done with " + job.completedTasks.size() + " of " + job.spec.tasks());
    }
  }

  private void recordState(ObservedJob job, String state) {
    if (isFinal(state)) {
      job.finalStatus = state;
      job.finalStatusMs = Math.min(job.finalStatusMs, clock.nowMs());
    }
    if (state.equals("aborted") && job.cancellationConfirmedMs < 0) {
      job.cancellationConfirmedMs = clock.nowMs();
      cancelledWithRunningTasks += job.placesByTask.isEmpty() ? 0 : 1;
    }
  }

  private static boolean isFinal(String state) {
    return state.equals("done") || state.equals("aborted");
  }
}
