package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ploverspindle.cloud.Catalogue;
import org.ploverspindle.cloud.CloudApi;
import org.ploverspindle.cloud.MachineType;
import org.ploverspindle.cloud.Rentals;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.jobs.JobTable;
import org.ploverspindle.jobs.ProgressWriter;
import org.ploverspindle.jobs.RecordedProgress;
import org.ploverspindle.jobs.Resources;
import org.ploverspindle.jobs.TeamUsage;
import org.ploverspindle.jobs.Urgency;
import org.ploverspindle.loop.DutyTimes;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.loop.Scope;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.placement.Aims;
import org.ploverspindle.placement.Arrivals;
import org.ploverspindle.placement.Demand;
import org.ploverspindle.placement.Estimates;
import org.ploverspindle.placement.Placer;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWrites;
import org.ploverspindle.state.ProgressRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SpecIndex;
import org.ploverspindle.state.SpecRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.TokenBucket;
import org.ploverspindle.workers.FailureDetector;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.MachineRegistry;
import org.ploverspindle.workers.Order;
import org.ploverspindle.workers.Placement;
import org.ploverspindle.workers.Report;
import org.ploverspindle.workers.ReportHandler;
import org.ploverspindle.workers.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term's leader: rebuilds what earlier leaders recorded, then takes reports, places, and rents.
 * It is thrown away with its term, so that nothing known in one term is believed in another.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final long PLACING_PAUSE_MS = 40;

  /** Hints of new jobs may be lost: a leader looks for them by itself as well. */
  private static final long READ_MS = 200;

  private static final long REMEMBERED_MS = 120_000;

  /** For what is proven gone by silence to be known before the lead could change again. */
  private static final long PATIENCE_MARGIN_MS = 4_000;

  /** A leader that has written nothing for so long is of no use. */
  private static final long USELESS_MS = 5_000;

  private static final long ANNOUNCE_MS = 600;
  private static final long ANNOUNCE_FROM_MS = 2_400;
  private static final long ANNOUNCED_AGAIN_MS = 6_000;
  private static final int ANNOUNCED_AT_ONCE = 8;

  /** Direct commands at a time: each has a connection of its own, and sockets are counted. */
  public static final int MOST_DIRECT = 48;

  /** Of these so many for stops: launches of pressing jobs have the rest to themselves. */
  private static final int MOST_DIRECT_STOPS = MOST_DIRECT / 2;

  /** What a steward works with, the same in all terms. */
  public record LeaderContext(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      SpecIndex specs,
      Pipelines pipelines,
      CloudApi cloud,
      WorkerClient workers,
      Catalogue catalogue,
      Settings settings,
      Policy policy,
      Timing timing,
      RandomGenerator random,
      TokenBucket writes) {}

  /** A report whose answer waits for orders to become durable. */
  private record Held(Report report, Consumer<ReportHandler.Reply> then, long untilMs) {}

  private final LeaderContext with;
  private final Term term;
  private final Election election;
  private final TeamUsage teams;
  private final JobTable jobs;
  private final MachineRegistry fleet;
  private final Estimates estimates = new Estimates();
  private final FailureDetector blame;
  private final Reachability reach;
  private final Aims aims;
  private final Arrivals arrivals = new Arrivals();
  private final PriorityInheritance passedBack;
  private final List<Job> newlyReady = new ArrayList<>();
  private final ProgressWriter writer;
  private final ReportHandler desk;
  private final Placer placer;
  private final Rentals rentals;
  private final DutyTimes times = new DutyTimes();
  private final Scope duties = new Scope();
  private final Map<String, Held> held = new LinkedHashMap<>();
  private final long reportHoldMs;
  private long attemptCounter;
  private final Map<String, Long> announcedMs = new HashMap<>();
  private long placingTookMs;
  private long placingFromMs = Long.MIN_VALUE;
  private boolean placingPlanned;
  private int directs;
  private boolean closed;

  public Leader(LeaderContext with, Term term, Election election) {
    this.with = with;
    this.term = term;
    this.election = election;
    this.reportHoldMs = Math.round(Math.min(2.0, 0.6 * with.settings().workers().reportS()) * 1000);
    this.teams = new TeamUsage(with.settings().teams());
    this.jobs = new JobTable(with.replica(), with.specs(), with.catalogue(), teams);
    this.fleet = new MachineRegistry(with.catalogue(), teams, with.timing(), term);
    this.writer =
        new ProgressWriter(
            with.scheduler(),
            with.store(),
            with.replica(),
            with.writes(),
            with.settings().writeLimits().txnOps(),
            with.settings().writeLimits().valueBytes(),
            term,
            this::hostName,
            new WriterEvents());
    this.desk =
        new ReportHandler(
            fleet,
            term,
            this::mayDecide,
            jobs::get,
            this::owner,
            writer::isDurablyDone,
            new ReportEvents());
    this.blame = new FailureDetector(this::works);
    this.reach =
        new Reachability(
            fleet,
            term,
            with.settings(),
            this::listRead,
            election.changesOften() ? with.timing().takeoverSilenceMs() + PATIENCE_MARGIN_MS : 0);
    this.aims = new Aims(with.settings().objectives());
    this.passedBack =
        new PriorityInheritance(
            with.pipelines().graph(),
            uid -> with.specs().get(uid).flatMap(s -> SpecRecord.decode(uid, s.value())),
            jobs,
            estimates,
            aims);
    this.placer =
        new Placer(
            with.catalogue(),
            fleet,
            jobs,
            teams,
            estimates,
            this::nextAttempt,
            aims,
            Math.round(with.settings().workers().reportS() * 2_200 + 1_500),
            this::placed);
    this.rentals =
        new Rentals(
            with.scheduler(),
            with.cloud(),
            with.catalogue(),
            fleet,
            with.replica(),
            new LeaderWrites(with.store(), with.replica(), with.writes(), term),
            with.policy(),
            with.settings(),
            with.random(),
            term,
            new RentalHost());
  }

  public void start() {
    long now = with.scheduler().nowMs();
    with.specs().uids().stream()
        .flatMap(uid -> with.specs().get(uid).stream())
        .sorted(Comparator.comparingLong(spec -> SpecRecord.acceptedWallMs(spec.value())))
        .forEach(this::remember);
    RecordedProgress recorded = new RecordedProgress(with.replica(), writer);
    DependencyGraph graph = with.pipelines().graph();
    for (Job job : jobs.loadAll(uid -> graph.isReady(uid) || recorded.speaksOf(uid))) {
      if (!graph.isReady(job.uid())) {
        LOG.error("tasks of job {} are recorded before what it awaits is done", job.uid());
        job.await();
      } else if (graph.awaitsOthers(job.uid())) {
        job.readySince(readyWallMs(job));
      }
      rebuild(job, recorded.of(job), now);
    }
    passedBack.update(now);
    if (recorded.logDamaged()) {
      placingFromMs = now + with.timing().takeoverSilenceMs();
    }
    LOG.info(
        "took over {} jobs and {} machines under token {}",
        jobs.all().size(),
        fleet.all().size(),
        term.token());
    duties.add(with.replica().listen(this::recordChanged));
    duties.add(with.specs().listen(this::accepted));
    duties.add(graph.listen(new GraphEvents()));
    duties.add(rentals.start());
    duties.add(with.scheduler().every(400, this::tick));
    duties.add(with.scheduler().every(100, this::releaseHeld));
    duties.add(with.scheduler().every(ANNOUNCE_MS, this::announce));
    duties.add(with.scheduler().every(READ_MS, () -> with.replica().readIfOlderThan(READ_MS)));
    duties.add(with.scheduler().every(1_000, () -> times.run("preemption", this::preempt)));
    duties.add(with.scheduler().every(10_000, () -> LOG.debug("busy with {}", times.take())));
    for (Job job : List.copyOf(jobs.all())) {
      tidy(job);
    }
    planPlacing();
  }

  public void close() {
    closed = true;
    List.copyOf(held.keySet()).forEach(this::release);
    writer.close();
    duties.cancel();
  }

  public Term term() {
    return term;
  }

  private boolean mayDecide() {
    return !closed && election.mayDecide();
  }

  private boolean listRead() {
    return rentals.listRead();
  }

  /** Unique over all leaders: the token is part of it. */
  private long nextAttempt() {
    return term.token() << 24 | ++attemptCounter;
  }

  private ProgressRecord.Host hostName(Machine m) {
    return new ProgressRecord.Host(
        m.host(),
        with.catalogue().type(m.type()).name(),
        with.catalogue().zoneName(m.zone()),
        m.spot());
  }

  // ---- taking over

  private void rebuild(Job job, RecordedProgress.State recorded, long now) {
    recorded.done().stream().forEach(job::markDone);
    for (ProgressRecord.Live l : recorded.live().values()) {
      ProgressRecord.Host h = l.host();
      Optional<Machine> m = fleet.adopt(h.id(), h.type(), h.zone(), h.spot(), now);
      if (m.isEmpty() || l.task() >= job.spec().tasks()) {
        LOG.error(
            "job {} has a record of a machine or task that can't be: it is not run", job.uid());
        job.block();
      } else {
        fleet.place(
            new Placement(
                job, l.task(), l.attempt(), m.get(), l.tenure(), Placement.Phase.RECORDED));
        stopIfDone(job, l.task());
      }
    }
    if (job.allDone() && !job.cancelled()) {
      writer.changed(job, 0);
    }
  }

  private long readyWallMs(Job job) {
    return with.pipelines().readyWallMs(job.uid()).orElse(job.acceptedWallMs());
  }

  /** An attempt that goes on although a report that came late showed the task done by another. */
  private static void stopIfDone(Job job, int task) {
    Placement p = job.liveAt(task);
    if (p != null && job.done().get(task)) {
      p.stop(0);
    }
  }

  // ---- changes made by any node

  private void recordChanged(String key, Optional<Entry> entry) {
    if (closed || entry.isEmpty()) {
      return;
    }
    if (key.startsWith(Keys.CANCELS)) {
      jobs.get(key.substring(Keys.CANCELS.length())).ifPresent(this::cancel);
    }
  }

  private void accepted(SpecIndex.Spec spec) {
    if (closed) {
      return;
    }
    LOG.debug("job {} is here", spec.uid());
    if (with.pipelines().graph().awaitsOthers(spec.uid())) {
      passedBack.changed();
      if (with.pipelines().graph().isReady(spec.uid())) {
        ready(spec);
      }
      return;
    }
    jobs.add(spec).ifPresent(this::arrived);
    rentals.scanSoon();
    planPlacing();
  }

  /** All that the job awaited is done: it comes as a new one does. */
  private void ready(SpecIndex.Spec spec) {
    Optional<Job> known = jobs.get(spec.uid());
    if (known.isPresent()) {
      Job job = known.get();
      if (job.awaiting()) {
        job.readySince(readyWallMs(job));
        if (!job.over()) {
          writer.changed(job, 0);
        }
      }
    } else {
      jobs.add(spec)
          .ifPresent(
              job -> {
                LOG.debug("what job {} awaited is done", job.uid());
                job.readySince(readyWallMs(job));
                newlyReady.add(job);
                passedBack.changed();
              });
    }
    rentals.scanSoon();
    planPlacing();
  }

  /**
   * What is decided next goes by what jobs pass back now. All that became ready at once, of which
   * there may be many, is looked at once.
   */
  private void updatePassedBack() {
    passedBack.update(with.scheduler().nowMs());
    newlyReady.forEach(this::arrived);
    newlyReady.clear();
  }

  /** What came under earlier leaders tells how much will come under this one. */
  private void remember(SpecIndex.Spec spec) {
    if (with.pipelines().graph().awaitsOthers(spec.uid())) {
      // It came when it became ready, which nobody has recorded.
      return;
    }
    long wallMs = SpecRecord.acceptedWallMs(spec.value());
    arrivals.came(wallMs);
    if (with.scheduler().wallMs() - wallMs < REMEMBERED_MS) {
      SpecRecord.decode(spec.uid(), spec.value())
          .ifPresent(r -> arrivals.work(r.spec(), r.spec().dueS(), r.acceptedWallMs()));
    }
  }

  private void arrived(Job job) {
    if (with.pipelines().graph().awaitsOthers(job.uid())) {
      arrivals.becameReady(job.sinceWallMs());
    } else {
      arrivals.came(job.sinceWallMs());
    }
    arrivals.work(job.spec(), job.dueS(), job.sinceWallMs());
    Resources whole =
        new Resources(
            job.perTask().cores() * job.spec().tasks(),
            job.perTask().accelerators() * job.spec().tasks(),
            0);
    if (job.urgency().compareTo(Urgency.HIGH) <= 0
        || teams.guarantees(job.team(), whole) && job.dueS().isEmpty()) {
      arrivals.pressing(job);
    }
  }

  private void cancel(Job job) {
    if (job.cancelled()) {
      return;
    }
    job.cancel();
    long now = with.scheduler().nowMs();
    for (Placement p : List.copyOf(job.live())) {
      if (p.neverSent()) {
        fleet.gone(p, now);
      }
    }
    LOG.info("job {} is cancelled with {} tasks out", job.uid(), job.live().size());
    stopDirectly(job);
    tidy(job);
    planPlacing();
  }

  /** Its machines are told at once, as far as connections allow; all others with their reports. */
  private void stopDirectly(Job job) {
    Set<Machine> machines = new LinkedHashSet<>();
    job.live().forEach(p -> machines.add(p.machine()));
    for (Machine m : machines) {
      if (directs >= MOST_DIRECT_STOPS) {
        return;
      }
      desk.directStops(m).ifPresent(d -> send(m, d));
    }
  }

  /** Drops a job that is over as soon as none of its tasks can be anywhere. */
  private void tidy(Job job) {
    if (job.over() && job.live().isEmpty()) {
      writer.over(job);
      jobs.remove(job);
    }
  }

  /** Whose an unrecorded task is: it counts for its team as long as it may run. */
  private Optional<ReportHandler.Owner> owner(String uid) {
    return with.specs()
        .get(uid)
        .flatMap(spec -> SpecRecord.decode(uid, spec.value()))
        .flatMap(
            r ->
                teams
                    .index(r.spec().team())
                    .map(t -> new ReportHandler.Owner(t, r.spec().perTask())));
  }

  // ---- reports

  /**
   * Takes a report in and answers with orders. The answer waits a little when the machine has room:
   * what is placed there by then goes out at once, where it would wait for the next report. Without
   * a sure lead nothing is ordered.
   */
  public void report(Report report, Consumer<ReportHandler.Reply> then) {
    release(report.host());
    long now = with.scheduler().nowMs();
    reach.heard(now);
    ReportHandler.Reply[] taken = new ReportHandler.Reply[1];
    times.run("reports", () -> taken[0] = desk.take(report, now));
    ReportHandler.Reply reply = taken[0];
    Optional<Machine> m = fleet.get(report.host());
    if (report.recallS().isPresent()) {
      m.ifPresent(this::recalled);
    }
    if (!mayDecide()) {
      then.accept(certain(reply));
    } else if (reply.orders().isEmpty() && m.isPresent() && roomFor(m.get(), report, now)) {
      held.put(report.host(), new Held(report, then, now + reportHoldMs));
    } else {
      then.accept(reply);
    }
  }

  /**
   * Without a sure lead nothing is decided; but a cancellation that is known is final, whoever
   * leads. A leader that lost the state service before it had stopped a cancelled job's tasks would
   * otherwise keep their leases alive until too late.
   */
  private ReportHandler.Reply certain(ReportHandler.Reply reply) {
    return new ReportHandler.Reply(
        reply.token(),
        reply.orders().stream()
            .filter(
                o ->
                    o instanceof Order.Stop && with.replica().get(Keys.cancel(o.uid())).isPresent())
            .toList());
  }

  private boolean roomFor(Machine m, Report report, long now) {
    return m.tally() == report.tally()
        && m.tenure() == report.tenure()
        && m.usable(now, reportHoldMs)
        && m.free().cores() > 0;
  }

  private void release(String host) {
    Held h = held.remove(host);
    if (h != null) {
      h.then()
          .accept(mayDecide() ? desk.later(h.report(), with.scheduler().nowMs()) : desk.none(host));
    }
  }

  /** Answers what was held for long enough, or for what has now become durable. */
  private void releaseHeld() {
    long now = with.scheduler().nowMs();
    for (Held h : List.copyOf(held.values())) {
      boolean orders =
          fleet
              .get(h.report().host())
              .map(m -> m.placements().stream().anyMatch(Leader::hasOrder))
              .orElse(true);
      if (orders || now >= h.untilMs() || !mayDecide()) {
        release(h.report().host());
      }
    }
  }

  /**
   * What presses and found no report to be an answer to goes straight to its machine: its next
   * report may be seconds away.
   */
  private void launchDirectly(List<Placement> placements) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (Placement p : placements) {
      if (p.phase() == Placement.Phase.READY && p.job().urgency().compareTo(Urgency.HIGH) <= 0) {
        machines.add(p.machine());
      }
    }
    for (Machine m : machines) {
      if (directs >= MOST_DIRECT) {
        return;
      }
      desk.direct(m, with.scheduler().nowMs()).ifPresent(d -> send(m, d));
    }
  }

  private void send(Machine m, ReportHandler.Direct d) {
    directs++;
    with.workers()
        .order(
            d.address(),
            d.token(),
            d.tenure(),
            d.orders(),
            answer -> {
              directs--;
              if (!closed) {
                answer.ifPresent(r -> desk.takeDirect(r, with.scheduler().nowMs()));
              }
            });
  }

  private static boolean hasOrder(Placement p) {
    return p.phase() == Placement.Phase.READY || !p.neverSent() && (p.stopping() || p.job().over());
  }

  /**
   * The cloud takes the machine back: what can't end in time is stopped, so that it saves its work
   * or at least starts again elsewhere without waiting for the lease.
   */
  private void recalled(Machine m) {
    double leftS = m.recallS();
    for (Placement p : List.copyOf(m.placements())) {
      if (p.stopping()) {
        continue;
      }
      double restS = restS(p);
      double saveS = p.job().spec().saveCostS();
      if (restS < leftS - 1) {
        continue;
      }
      if (p.job().spec().saves() && leftS > saveS) {
        p.stop(Math.max(saveS + 0.5, Math.min(leftS, saveS * 2)));
      } else if (restS > leftS * 1.5) {
        p.stop(0);
      }
    }
  }

  private double restS(Placement p) {
    if (p.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    double ranS =
        p.runningSinceMs() < 0 ? 0 : (with.scheduler().nowMs() - p.runningSinceMs()) / 1000.0;
    return estimates.runS(p.job()) - ranS;
  }

  private void tick() {
    long now = with.scheduler().nowMs();
    if (!fleet.fencesLeft()) {
      // A new term has new tokens; nothing else changes, as a leader takes over from itself.
      election.resign();
      return;
    }
    if (mayDecide()) {
      lost(fleet.expire(now));
      planPlacing();
      reach.trouble(now).ifPresent(election::resignAndPause);
    }
  }

  /** So many reports came to another controller, which sends the machines here. */
  public void strayed(int reports) {
    reach.strayed(with.scheduler().nowMs(), reports);
  }

  /**
   * Tells a few of the machines that have not come to us that there is a new token. A leader that
   * has lost the state service and us, but not its workers, goes on answering them; the first
   * report that shows it the higher token ends that, where it would keep the fleet for its whole
   * grace.
   */
  private void announce() {
    long now = with.scheduler().nowMs();
    long ageMs = now - term.startMs();
    if (!mayDecide() || ageMs < ANNOUNCE_FROM_MS || ageMs > with.timing().answerMs()) {
      return;
    }
    int most = ANNOUNCED_AT_ONCE;
    for (Machine m : fleet.all()) {
      if (most == 0 || directs >= MOST_DIRECT) {
        return;
      }
      long tenure = m.lastKnownTenure();
      if (!m.up()
          && !m.releasing()
          && tenure > 0
          && !m.address().isEmpty()
          && now - announcedMs.getOrDefault(m.host(), Long.MIN_VALUE / 2) > ANNOUNCED_AGAIN_MS) {
        announcedMs.put(m.host(), now);
        send(m, new ReportHandler.Direct(m.address(), m.fence(), tenure, List.of()));
        most--;
      }
    }
  }

  private void preempt() {
    if (mayDecide()) {
      updatePassedBack();
      int stopped = placer.preempt(with.scheduler().nowMs(), with.scheduler().wallMs());
      if (stopped > 0) {
        LOG.info("{} tasks are stopped to make room for pressing jobs", stopped);
      }
    }
  }

  private void lost(List<Placement> placements) {
    for (Placement p : placements) {
      ended(p);
    }
  }

  private void ended(Placement p) {
    if (p.job().over()) {
      tidy(p.job());
    } else {
      writer.changed(p.job(), p.task());
    }
    planPlacing();
  }

  private void planPlacing() {
    if (!placingPlanned && !closed) {
      placingPlanned = true;
      with.scheduler()
          .schedule(
              // A quarter of the time at most: what places a large backlog must leave room for the
              // reports that end it.
              Math.max(PLACING_PAUSE_MS, 3 * placingTookMs),
              () -> {
                placingPlanned = false;
                long now = with.scheduler().nowMs();
                if (mayDecide() && now >= placingFromMs) {
                  updatePassedBack();
                  times.run("placing", () -> placer.run(now, with.scheduler().wallMs()));
                  placingTookMs = with.scheduler().nowMs() - now;
                }
              });
    }
  }

  private void placed(Placement p) {
    LOG.debug("{}/{} goes to {}", p.job().uid(), p.task(), p.machine().host());
    writer.changed(p.job(), p.task());
  }

  /** Have this leader's writes come to nothing for a good while? */
  public boolean writesFail() {
    long sinceMs = writer.failingSinceMs();
    return mayDecide() && sinceMs >= 0 && with.scheduler().nowMs() - sinceMs > USELESS_MS;
  }

  /** Numbers for people. */
  public String summary() {
    int up = 0;
    int out = 0;
    for (Machine m : fleet.all()) {
      up += m.up() ? 1 : 0;
      out += m.placements().size();
    }
    return "jobs="
        + jobs.all().size()
        + " machines="
        + fleet.all().size()
        + " up="
        + up
        + " placed="
        + out
        + " unwritten="
        + writer.backlog();
  }

  private final class WriterEvents implements ProgressWriter.Listener {
    @Override
    public void durable(List<Placement> placements) {
      releaseHeld();
      launchDirectly(placements);
    }

    @Override
    public void finished(Job job) {
      LOG.info("job {} is done", job.uid());
      tidy(job);
      // The write has been carried out: what awaits it need not wait for the next read.
      with.pipelines().graph().done(job.uid());
    }

    @Override
    public void deposed(String cause) {
      election.deposed(cause);
    }
  }

  private final class GraphEvents implements DependencyGraph.Listener {
    @Override
    public void ready(String uid) {
      if (!closed) {
        with.specs().get(uid).ifPresent(Leader.this::ready);
      }
    }

    /** Nothing of it has begun, unless records are damaged; others need no longer press for it. */
    @Override
    public void aborted(String uid) {
      if (!closed) {
        passedBack.changed();
        jobs.get(uid).ifPresent(Leader.this::cancel);
      }
    }
  }

  private final class ReportEvents implements ReportHandler.Listener {
    @Override
    public void completed(Placement p, long nowMs) {
      if (p.runningSinceMs() >= 0) {
        estimates.observed(p.job(), (nowMs - p.runningSinceMs()) / 1000.0);
      }
      completedUnplaced(p.job(), p.task());
    }

    @Override
    public void completedUnplaced(Job job, int task) {
      if (job.over()) {
        tidy(job);
        return;
      }
      job.markDone(task);
      stopIfDone(job, task);
      writer.changed(job, task);
      planPlacing();
    }

    @Override
    public void ended(Placement p, Report.Cause cause, boolean saved, long nowMs) {
      Job job = p.job();
      if (cause != Report.Cause.NONE) {
        LOG.debug(
            "{}/{} ended on {}: {}{}",
            job.uid(),
            p.task(),
            p.machine().host(),
            cause,
            saved ? ", saved" : "");
      }
      switch (cause) {
        case ERROR -> failed(p, nowMs);
        case NO_ROOM, BUSY -> job.putOff(p.task(), nowMs + 1_000);
        case NO_SUCH -> job.putOff(p.task(), nowMs + 4_000);
        default -> {}
      }
      Leader.this.ended(p);
    }

    @Override
    public void moved(Placement p) {
      if (LOG.isDebugEnabled()
          && p.phase() == Placement.Phase.RUNNING
          && p.job().urgency().compareTo(Urgency.HIGH) <= 0) {
        // For people who ask why a pressing task waited.
        long now = with.scheduler().nowMs();
        LOG.debug(
            "{}/{} runs {} ms after it could first; {} ms after its record, {} ms after its launch",
            p.job().uid(),
            p.task(),
            with.scheduler().wallMs() - p.job().sinceWallMs(),
            now - p.recordedMs(),
            now - p.sentMs());
      }
    }
  }

  private boolean works(String uid) {
    return jobs.get(uid)
        .map(j -> j.works(with.scheduler().nowMs()))
        .orElseGet(() -> with.replica().get(Keys.done(uid)).isPresent());
  }

  private void failed(Placement p, long now) {
    Job job = p.job();
    Machine m = p.machine();
    boolean looked = job.looksBroken(now);
    job.failedOn(m.host(), p.runningSinceMs() < 0 ? 0 : now - p.runningSinceMs(), now);
    if (job.works(now)) {
      job.putOff(p.task(), now + Math.min(20_000, 1_000L * (1 + job.failures())));
    }
    if (blame.failed(m, job, now) && !m.draining()) {
      LOG.info("machine {} fails tasks of jobs that run elsewhere: it is returned", m.host());
      m.drain();
    }
    if (!looked && job.looksBroken(now)) {
      LOG.info(
          "job {} fails on several machines and runs nowhere: one task is tried now and then",
          job.uid());
    }
  }

  private final class RentalHost implements Rentals.Host {
    @Override
    public List<Demand.Wanted> wanted(List<Demand.Offer> offers, List<Demand.Coming> coming) {
      long now = with.scheduler().nowMs();
      long wall = with.scheduler().wallMs();
      updatePassedBack();
      // Work that is about to become ready could be counted here, from what its dependencies'
      // tasks have left to run; whether renting ahead for it pays is for measurement to say.
      List<Machine> usable = fleet.all().stream().filter(m -> m.usable(now, 60_000)).toList();
      Demand demand = new Demand(with.catalogue(), teams, estimates, aims, with.policy().drainS());
      List<Demand.Wanted> wanted =
          demand.plan(
              placer.waitingJobs(now, wall),
              jobs.all(),
              usable,
              coming,
              offers,
              expected(),
              arrivals.coresForRate(estimates, wall),
              now,
              wall);
      retire(usable, demand);
      return wanted;
    }

    /**
     * Dear machines that nothing needs any more take no new work that could wait, so that they
     * empty and go back: a busy machine would otherwise stay for as long as any work waits.
     */
    private void retire(List<Machine> usable, Demand demand) {
      List<Machine> dear = new ArrayList<>();
      for (Machine m : usable) {
        m.retiring(false);
        MachineType type = with.catalogue().type(m.type());
        if (!m.spot() && type.price(false) > type.price(true) * Demand.DEAR) {
          dear.add(m);
        }
      }
      dear.sort(Comparator.comparingLong(m -> -m.free().cores()));
      for (Machine m : dear) {
        m.retiring(demand.isDearSurplus(m));
      }
    }

    @Override
    public Predicate<Machine> needed() {
      return placer.wanted(with.scheduler().nowMs());
    }

    @Override
    public boolean quiet() {
      return arrivals.over(with.scheduler().wallMs());
    }

    /** Without its room the next pressing job would wait for a machine to boot. */
    @Override
    public Predicate<Machine> spare() {
      Optional<Job> next = expected();
      if (next.isEmpty()) {
        return m -> true;
      }
      Job job = next.get();
      long slots = 0;
      for (Machine m : fleet.all()) {
        slots += slots(m, job);
      }
      long[] left = {slots - job.spec().tasks()};
      return m -> {
        int its = slots(m, job);
        if (left[0] < its) {
          return its == 0;
        }
        left[0] -= its;
        return true;
      };
    }

    private int slots(Machine m, Job job) {
      return m.usable(with.scheduler().nowMs(), 60_000) && Placer.allows(job, m)
          ? m.free().times(job.perTask())
          : 0;
    }

    private Optional<Job> expected() {
      return arrivals.nothingFollows(with.scheduler().wallMs())
          ? Optional.empty()
          : arrivals.typicalPressing();
    }

    @Override
    public void lost(List<Placement> placements) {
      Leader.this.lost(placements);
    }

    @Override
    public long listeningSinceMs() {
      return reach.listeningSinceMs();
    }

    @Override
    public boolean mayDecide() {
      return Leader.this.mayDecide();
    }
  }
}
