package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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
import org.ploverspindle.jobs.TeamUsage;
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
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.MachineRegistry;
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

  /** Hints of new jobs may be lost: a leader looks for them by itself as well. */
  private static final long READ_MS = 200;

  /** For what is proven gone by silence to be known before the lead could change again. */
  private static final long PATIENCE_MARGIN_MS = 4_000;

  /** A leader that has written nothing for so long is of no use. */
  private static final long USELESS_MS = 5_000;

  /** Direct commands at a time: each has a connection of its own, and sockets are counted. */
  public static final int MOST_DIRECT = DirectCommands.MOST_UNDER_WAY;

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

  private final LeaderContext with;
  private final Term term;
  private final Election election;
  private final TeamUsage teams;
  private final JobTable jobs;
  private final MachineRegistry fleet;
  private final Estimates estimates = new Estimates();
  private final Reachability reach;
  private final Aims aims;
  private final Arrivals arrivals = new Arrivals();
  private final JobArrivals jobArrivals;
  private final ProgressWriter writer;
  private final TaskProgress progress;
  private final Placer placer;
  private final PlacingRounds placing;
  private final Rentals rentals;
  private final DutyTimes times = new DutyTimes();
  private final Scope duties = new Scope();
  private final DirectCommands commands;
  private final HeldReplies heldReplies;
  private final ReportIntake reports;
  private final TokenAnnouncement announcement;
  private long attemptCounter;
  private boolean closed;

  public Leader(LeaderContext with, Term term, Election election) {
    this.with = with;
    this.term = term;
    this.election = election;
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
    this.progress =
        new TaskProgress(
            with.scheduler(),
            jobs,
            estimates,
            writer,
            new TaskFailures(with.scheduler(), jobs, with.replica()),
            this::planPlacing);
    ReportHandler desk =
        new ReportHandler(
            fleet,
            term,
            this::mayDecide,
            jobs::get,
            new TaskOwners(with.specs(), teams)::of,
            writer::isDurablyDone,
            progress);
    this.reach =
        new Reachability(
            fleet,
            term,
            with.settings(),
            this::listRead,
            election.changesOften() ? with.timing().takeoverSilenceMs() + PATIENCE_MARGIN_MS : 0);
    this.aims = new Aims(with.settings().objectives());
    PriorityInheritance inheritance =
        new PriorityInheritance(
            with.pipelines().graph(),
            uid -> with.specs().get(uid).flatMap(s -> SpecRecord.decode(uid, s.value())),
            jobs,
            estimates,
            aims);
    this.jobArrivals =
        new JobArrivals(with.scheduler(), with.pipelines(), inheritance, arrivals, teams);
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
            progress::placed);
    this.placing = new PlacingRounds(with.scheduler(), placer, jobArrivals, times, this::mayDecide);
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
    this.commands = new DirectCommands(with.scheduler(), with.workers(), desk);
    this.heldReplies =
        new HeldReplies(
            with.scheduler(),
            fleet,
            desk,
            this::mayDecide,
            Math.round(Math.min(2.0, 0.6 * with.settings().workers().reportS()) * 1000));
    this.reports =
        new ReportIntake(
            with.scheduler(),
            with.replica(),
            fleet,
            desk,
            heldReplies,
            new SpotDrain(estimates),
            reach,
            times,
            this::mayDecide);
    this.announcement =
        new TokenAnnouncement(
            with.scheduler(), term, with.timing(), fleet, commands, this::mayDecide);
  }

  public void start() {
    long now = with.scheduler().nowMs();
    with.specs().uids().stream()
        .flatMap(uid -> with.specs().get(uid).stream())
        .sorted(Comparator.comparingLong(spec -> SpecRecord.acceptedWallMs(spec.value())))
        .forEach(jobArrivals::remember);
    DependencyGraph graph = with.pipelines().graph();
    boolean logDamaged =
        new Recovery(with.replica(), graph, jobs, fleet, writer, jobArrivals).restore(now);
    jobArrivals.update();
    if (logDamaged) {
      placing.notBefore(now + with.timing().takeoverSilenceMs());
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
    duties.add(with.scheduler().every(100, heldReplies::releaseDue));
    duties.add(announcement.start());
    duties.add(with.scheduler().every(READ_MS, () -> with.replica().readIfOlderThan(READ_MS)));
    duties.add(with.scheduler().every(1_000, placing::preempt));
    duties.add(with.scheduler().every(10_000, () -> LOG.debug("busy with {}", times.take())));
    for (Job job : List.copyOf(jobs.all())) {
      progress.tidy(job);
    }
    planPlacing();
  }

  public void close() {
    closed = true;
    commands.close();
    placing.close();
    heldReplies.releaseAll();
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
      jobArrivals.dependenciesChanged();
      if (with.pipelines().graph().isReady(spec.uid())) {
        ready(spec);
      }
      return;
    }
    jobs.add(spec).ifPresent(jobArrivals::arrived);
    rentals.scanSoon();
    planPlacing();
  }

  /** All that the job awaited is done: it comes as a new one does. */
  private void ready(SpecIndex.Spec spec) {
    Optional<Job> known = jobs.get(spec.uid());
    if (known.isPresent()) {
      Job job = known.get();
      if (job.awaiting()) {
        jobArrivals.ready(job);
        if (!job.over()) {
          writer.changed(job, 0);
        }
      }
    } else {
      jobs.add(spec)
          .ifPresent(
              job -> {
                LOG.debug("what job {} awaited is done", job.uid());
                jobArrivals.newlyReady(job);
              });
    }
    rentals.scanSoon();
    planPlacing();
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
    commands.stop(job);
    progress.tidy(job);
    planPlacing();
  }

  // ---- reports

  /**
   * Takes a report in and answers with orders. The answer waits a little when the machine has room:
   * what is placed there by then goes out at once, where it would wait for the next report. Without
   * a sure lead nothing is ordered.
   */
  public void report(Report report, Consumer<ReportHandler.Reply> then) {
    reports.report(report, then);
  }

  private void tick() {
    long now = with.scheduler().nowMs();
    if (!fleet.fencesLeft()) {
      // A new term has new tokens; nothing else changes, as a leader takes over from itself.
      election.resign();
      return;
    }
    if (mayDecide()) {
      progress.lost(fleet.expire(now));
      planPlacing();
      reach.trouble(now).ifPresent(election::resignAndPause);
    }
  }

  /** So many reports came to another controller, which sends the machines here. */
  public void strayed(int reports) {
    reach.strayed(with.scheduler().nowMs(), reports);
  }

  private void planPlacing() {
    placing.plan();
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
      heldReplies.releaseDue();
      commands.launch(placements);
    }

    @Override
    public void finished(Job job) {
      LOG.info("job {} is done", job.uid());
      progress.tidy(job);
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
        jobArrivals.dependenciesChanged();
        jobs.get(uid).ifPresent(Leader.this::cancel);
      }
    }
  }

  private final class RentalHost implements Rentals.Host {
    @Override
    public List<Demand.Wanted> wanted(List<Demand.Offer> offers, List<Demand.Coming> coming) {
      long now = with.scheduler().nowMs();
      long wall = with.scheduler().wallMs();
      jobArrivals.update();
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
      return quiet() ? Optional.empty() : arrivals.typicalPressing();
    }

    @Override
    public void lost(List<Placement> placements) {
      progress.lost(placements);
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
