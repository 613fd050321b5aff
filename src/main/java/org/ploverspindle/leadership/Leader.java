package org.ploverspindle.leadership;

import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.cloud.Autoscaler;
import org.ploverspindle.cluster.DirectCommands;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.eventloop.TaskTimings;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.placement.ArrivalForecast;
import org.ploverspindle.placement.ClusterView;
import org.ploverspindle.placement.Placer;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.placement.ScaleOutPlanner;
import org.ploverspindle.placement.ServiceLevelObjectives;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SocketBudget;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term's leader: wires the parts that do its work, starts and closes them, and gives the lead
 * up where another controller would lead better. It is thrown away with its term, so that nothing
 * known in one term is believed in another.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  /** Hints of new jobs may be lost: a leader looks for them by itself as well. */
  private static final long READ_MS = 200;

  /** For what is proven gone by silence to be known before the lead could change again. */
  private static final long PATIENCE_MARGIN_MS = 4_000;

  /** A leader that has written nothing for so long is of no use. */
  private static final long USELESS_MS = 5_000;

  private static final long TICK_MS = 400;
  private static final long RELEASE_MS = 100;
  private static final long PREEMPTION_MS = 1_000;
  private static final long LOG_TIMES_MS = 10_000;

  /** An answer is held for no longer than this, nor than this part of the time between reports. */
  private static final double MOST_HOLD_S = 2;

  private static final double HOLD_PART = 0.6;

  /** A machine that missed two reports, with a margin, is no place for new tasks. */
  private static final double SILENCE_PER_REPORT = 2.2;

  private static final double SILENCE_MARGIN_S = 1.5;

  private static final double MS_PER_S = 1_000;

  /** Attempts of a term are numbered in this many bits, below those of its token. */
  private static final int ATTEMPT_BITS = 24;

  private final Scheduler scheduler;
  private final Replica replica;
  private final AcceptedJobIndex specs;
  private final DependencyGraph graph;
  private final SafetyTiming timing;
  private final Term term;
  private final Election election;
  private final TaskTimings times = new TaskTimings();
  private final CancellableGroup duties = new CancellableGroup();
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final ArrivalForecast forecast = new ArrivalForecast();
  private final ServiceLevelObjectives aims;
  private final TeamUsage teams;
  private final JobTable jobs;
  private final MachineRegistry fleet;
  private final ProgressWriter writer;
  private final TaskProgress progress;
  private final LeaderConnectivity reachability;
  private final JobArrivals arrivals;
  private final SchedulingRounds placing;
  private final Autoscaler rentals;
  private final DirectCommandSender commands;
  private final DelayedResponses heldReplies;
  private final HeartbeatIntake reports;
  private final JobIntake intake;
  private final Recovery recovery;
  private final FencingTokenBroadcast announcement;
  private long attempts;
  private boolean closed;

  /** A leader for a term that has begun; it does nothing before it is started. */
  public Leader(LeaderContext context, Term term, Election election) {
    this.scheduler = context.scheduler();
    this.replica = context.replica();
    this.specs = context.specs();
    this.graph = context.pipelines().graph();
    this.timing = context.timing();
    this.term = term;
    this.election = election;
    this.aims = new ServiceLevelObjectives(context.settings().objectives());
    this.teams = new TeamUsage(context.settings().teams());
    this.jobs = new JobTable(replica, specs, context.catalogue(), teams);
    this.fleet = new MachineRegistry(context.catalogue(), teams, timing, term);
    this.writer = newWriter(context);
    TaskFailures failures = new TaskFailures(scheduler, jobs, replica);
    this.progress =
        new TaskProgress(scheduler, jobs, estimates, writer, failures, this::planPlacing);
    this.reachability = newReachability(context.settings());
    this.arrivals =
        new JobArrivals(scheduler, context.pipelines(), newInheritance(), forecast, teams);
    Placer placer = newPlacer(context);
    this.placing = new SchedulingRounds(scheduler, placer, arrivals, times, this::isAuthoritative);
    this.rentals = newRentals(context, newDemand(context, placer));
    HeartbeatHandler reportHandler = newReportHandler();
    DirectCommands directOrders = new DirectCommands(fleet, this::isAuthoritative);
    this.commands =
        new DirectCommandSender(
            SocketBudget.of(context.settings()).directCommands(),
            scheduler,
            new FencedWorkerClient(context.workers(), term, context.refused()),
            directOrders,
            reportHandler);
    this.heldReplies = newHeldReplies(context.settings(), reportHandler);
    this.reports = newReportIntake(reportHandler);
    this.intake = newJobIntake(context.pipelines());
    this.recovery = new Recovery(replica, graph, jobs, fleet, writer, arrivals);
    this.announcement =
        new FencingTokenBroadcast(scheduler, term, timing, fleet, commands, this::isAuthoritative);
  }

  // ---- wiring; each of these uses what the constructor has set before

  private ProgressWriter newWriter(LeaderContext context) {
    Catalogue catalogue = context.catalogue();
    return new ProgressWriter(
        scheduler,
        context.store(),
        replica,
        context.writes(),
        context.settings().writeLimits().txnOps(),
        context.settings().writeLimits().valueBytes(),
        term,
        machine -> hostName(catalogue, machine),
        new WriterEvents());
  }

  private static SnapshotRecord.MachineInfo hostName(Catalogue catalogue, Machine machine) {
    return new SnapshotRecord.MachineInfo(
        machine.host(),
        catalogue.type(machine.type()).name(),
        catalogue.zoneName(machine.zone()),
        machine.spot());
  }

  private LeaderConnectivity newReachability(Settings settings) {
    long patientMs = election.changesOften() ? timing.takeoverSilenceMs() + PATIENCE_MARGIN_MS : 0;
    return new LeaderConnectivity(fleet, term, settings, this::listRead, patientMs);
  }

  private PriorityInheritance newInheritance() {
    return new PriorityInheritance(
        graph,
        uid -> specs.get(uid).flatMap(spec -> JobRecord.decode(uid, spec.value())),
        jobs,
        estimates,
        aims);
  }

  private Placer newPlacer(LeaderContext context) {
    double reportS = context.settings().workers().reportS();
    return new Placer(
        new ClusterView(context.catalogue(), fleet, jobs, teams),
        estimates,
        aims,
        Math.round((reportS * SILENCE_PER_REPORT + SILENCE_MARGIN_S) * MS_PER_S),
        this::nextAttempt,
        progress::placed);
  }

  private ScaleOutDemand newDemand(LeaderContext context, Placer placer) {
    Catalogue catalogue = context.catalogue();
    double drainS = context.policy().drainS();
    return new ScaleOutDemand(
        scheduler,
        catalogue,
        fleet,
        jobs,
        estimates,
        forecast,
        arrivals,
        () -> new ScaleOutPlanner(catalogue, teams, estimates, aims, drainS),
        placer,
        progress,
        reachability,
        this::isAuthoritative);
  }

  private Autoscaler newRentals(LeaderContext context, ScaleOutDemand demand) {
    Autoscaler.Environment environment =
        new Autoscaler.Environment(
            scheduler,
            context.random(),
            context.cloud(),
            context.catalogue(),
            context.policy(),
            context.settings());
    LeaderWriter leaderWriter = new LeaderWriter(context.store(), replica, context.writes(), term);
    return new Autoscaler(
        environment, new Autoscaler.LeaderState(term, fleet, replica, leaderWriter), demand);
  }

  private HeartbeatHandler newReportHandler() {
    return new HeartbeatHandler(
        fleet,
        term,
        this::isAuthoritative,
        jobs::get,
        new TaskOwners(specs, teams)::of,
        writer::isDurablyDone,
        progress);
  }

  private DelayedResponses newHeldReplies(Settings settings, HeartbeatHandler reportHandler) {
    double holdS = Math.min(MOST_HOLD_S, HOLD_PART * settings.workers().reportS());
    return new DelayedResponses(
        scheduler, fleet, reportHandler, this::isAuthoritative, Math.round(holdS * MS_PER_S));
  }

  private HeartbeatIntake newReportIntake(HeartbeatHandler reportHandler) {
    return new HeartbeatIntake(
        scheduler,
        replica,
        fleet,
        reportHandler,
        heldReplies,
        new SpotDrain(estimates),
        reachability,
        times,
        this::isAuthoritative);
  }

  private JobIntake newJobIntake(Pipelines pipelines) {
    return new JobIntake(
        scheduler, pipelines, specs, jobs, fleet, writer, arrivals, progress, commands, placing,
        rentals);
  }

  // ---- the term's life

  /** Rebuilds what earlier leaders recorded, and begins to lead. */
  public void start() {
    long nowMs = scheduler.nowMs();
    arrivals.loadRecentArrivals(specs);
    boolean logDamaged = recovery.restore(nowMs);
    arrivals.update();
    if (logDamaged) {
      // Tasks may run where no record says that they do, until every lease is over.
      placing.notBefore(nowMs + timing.takeoverSilenceMs());
    }
    LOG.info(
        "took over {} jobs and {} machines under token {}",
        jobs.all().size(),
        fleet.all().size(),
        term.fencingToken());
    startDuties();
    List.copyOf(jobs.all()).forEach(progress::cleanUp);
    placing.schedule();
  }

  private void startDuties() {
    duties.add(intake.start(replica));
    duties.add(rentals.start());
    duties.add(scheduler.every(TICK_MS, this::tick));
    duties.add(scheduler.every(RELEASE_MS, heldReplies::releaseDue));
    duties.add(announcement.start());
    duties.add(scheduler.every(READ_MS, () -> replica.readIfOlderThan(READ_MS)));
    duties.add(scheduler.every(PREEMPTION_MS, placing::preempt));
    duties.add(scheduler.every(LOG_TIMES_MS, () -> LOG.debug("busy with {}", times.take())));
  }

  /** Ends all work of the term; what is held is answered without orders. */
  public void close() {
    closed = true;
    intake.close();
    commands.close();
    placing.close();
    heldReplies.releaseAll();
    writer.close();
    duties.cancel();
  }

  private void tick() {
    long nowMs = scheduler.nowMs();
    if (!fleet.hasFencingTokensLeft()) {
      // A new term has new tokens; nothing else changes, as a leader takes over from itself.
      election.resign();
      return;
    }
    if (isAuthoritative()) {
      progress.lost(fleet.expireLeases(nowMs));
      placing.schedule();
      reachability.reasonToStepDown(nowMs).ifPresent(election::resignAndPause);
    }
  }

  private boolean isAuthoritative() {
    return !closed && election.isAuthoritative();
  }

  private boolean listRead() {
    return rentals.isMachineListRead();
  }

  private void planPlacing() {
    placing.schedule();
  }

  /** Unique over all leaders: the token is part of it. */
  private long nextAttempt() {
    return term.fencingToken() << ATTEMPT_BITS | ++attempts;
  }

  // ---- what the controller asks of its leader

  /** The term that this leader leads in. */
  public Term term() {
    return term;
  }

  /**
   * Takes a report in and answers with orders. The answer waits a little when the machine has room:
   * what is placed there by then goes out at once, where it would wait for the next report. Without
   * a sure lead nothing is ordered.
   */
  public void handleHeartbeat(Heartbeat report, Consumer<HeartbeatHandler.Response> then) {
    reports.accept(report, then);
  }

  /** So many reports came to another controller, which sends the machines here. */
  public void misdirectedHeartbeats(int count) {
    reachability.misdirectedHeartbeats(scheduler.nowMs(), count);
  }

  /** Have this leader's writes come to nothing for a good while? */
  public boolean isFailingToWrite() {
    long sinceMs = writer.failingSinceMs();
    return isAuthoritative() && sinceMs >= 0 && scheduler.nowMs() - sinceMs > USELESS_MS;
  }

  /** Numbers for people. */
  public String summary() {
    return new LeaderStatus(jobs, fleet, writer, rentals).toString();
  }

  /** Passes on what has become durable, to the parts that waited for it. */
  private final class WriterEvents implements ProgressWriter.Listener {
    @Override
    public void durable(List<Placement> placements) {
      heldReplies.releaseDue();
      commands.launch(placements);
    }

    @Override
    public void finished(Job job) {
      LOG.info("job {} is done", job.uid());
      progress.cleanUp(job);
      // The write has been carried out: what awaits it need not wait for the next read.
      graph.done(job.uid());
    }

    @Override
    public void deposed(String cause) {
      election.deposed(cause);
    }
  }
}
