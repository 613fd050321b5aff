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
  private static final long READ_INTERVAL_MS = 200;

  /** For what is proven gone by silence to be known before the lead could change again. */
  private static final long SILENCE_PROOF_MARGIN_MS = 4_000;

  /** A leader that has written nothing for so long is of no use. */
  private static final long FAILED_WRITES_BEFORE_RESIGNING_MS = 5_000;

  private static final long TICK_INTERVAL_MS = 400;
  private static final long DELAYED_RESPONSE_CHECK_MS = 100;
  private static final long PREEMPTION_INTERVAL_MS = 1_000;
  private static final long TIMINGS_LOG_INTERVAL_MS = 10_000;

  /** An answer is held for no longer than this, nor than this part of the time between reports. */
  private static final double MAX_RESPONSE_DELAY_S = 2;

  private static final double RESPONSE_DELAY_PER_HEARTBEAT_INTERVAL = 0.6;

  /** A machine that missed two reports, with a margin, is no place for new tasks. */
  private static final double UNSCHEDULABLE_AFTER_INTERVALS = 2.2;

  private static final double UNSCHEDULABLE_MARGIN_S = 1.5;

  private static final double MS_PER_S = 1_000;

  /** Attempts of a term are numbered in this many bits, below those of its token. */
  private static final int ATTEMPT_BITS = 24;

  private final Scheduler scheduler;
  private final Replica replica;
  private final AcceptedJobIndex acceptedJobs;
  private final DependencyGraph graph;
  private final SafetyTiming timing;
  private final Term term;
  private final Election election;
  private final TaskTimings timings = new TaskTimings();
  private final CancellableGroup periodicTasks = new CancellableGroup();
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final ArrivalForecast forecast = new ArrivalForecast();
  private final ServiceLevelObjectives objectives;
  private final TeamUsage teams;
  private final JobTable jobs;
  private final MachineRegistry machines;
  private final ProgressWriter writer;
  private final TaskProgress progress;
  private final LeaderConnectivity connectivity;
  private final JobArrivals arrivals;
  private final SchedulingRounds rounds;
  private final Autoscaler autoscaler;
  private final DirectCommandSender commands;
  private final DelayedResponses delayedResponses;
  private final HeartbeatIntake heartbeats;
  private final JobIntake intake;
  private final Recovery recovery;
  private final FencingTokenBroadcast tokenBroadcast;
  private long attempts;
  private boolean closed;

  /** A leader for a term that has begun; it does nothing before it is started. */
  public Leader(LeaderContext context, Term term, Election election) {
    this.scheduler = context.scheduler();
    this.replica = context.replica();
    this.acceptedJobs = context.acceptedJobs();
    this.graph = context.pipelines().graph();
    this.timing = context.timing();
    this.term = term;
    this.election = election;
    this.objectives = new ServiceLevelObjectives(context.settings().objectives());
    this.teams = new TeamUsage(context.settings().teams());
    this.jobs = new JobTable(replica, acceptedJobs, context.catalogue(), teams);
    this.machines = new MachineRegistry(context.catalogue(), teams, timing, term);
    this.writer = newWriter(context);
    TaskFailures failures = new TaskFailures(scheduler, jobs, replica);
    this.progress =
        new TaskProgress(scheduler, jobs, estimates, writer, failures, this::scheduleRound);
    this.connectivity = newConnectivity(context.settings());
    this.arrivals =
        new JobArrivals(scheduler, context.pipelines(), newInheritance(), forecast, teams);
    Placer placer = newPlacer(context);
    this.rounds = new SchedulingRounds(scheduler, placer, arrivals, timings, this::isAuthoritative);
    this.autoscaler = newAutoscaler(context, newDemand(context, placer));
    HeartbeatHandler heartbeatHandler = newHeartbeatHandler();
    DirectCommands directCommands = new DirectCommands(machines, this::isAuthoritative);
    this.commands =
        new DirectCommandSender(
            SocketBudget.of(context.settings()).directCommands(),
            scheduler,
            new FencedWorkerClient(context.workers(), term, context.rejections()),
            directCommands,
            heartbeatHandler);
    this.delayedResponses = newDelayedResponses(context.settings(), heartbeatHandler);
    this.heartbeats = newHeartbeatIntake(heartbeatHandler);
    this.intake = newJobIntake(context.pipelines());
    this.recovery = new Recovery(replica, graph, jobs, machines, writer, arrivals);
    this.tokenBroadcast =
        new FencingTokenBroadcast(
            scheduler, term, timing, machines, commands, this::isAuthoritative);
  }

  // ---- wiring; each of these uses what the constructor has set before

  private ProgressWriter newWriter(LeaderContext context) {
    Catalogue catalogue = context.catalogue();
    return new ProgressWriter(
        scheduler,
        context.store(),
        replica,
        context.writeBudget(),
        context.settings().writeLimits().txnOps(),
        context.settings().writeLimits().valueBytes(),
        term,
        machine -> machineInfo(catalogue, machine),
        new WriterEvents());
  }

  private static SnapshotRecord.MachineInfo machineInfo(Catalogue catalogue, Machine machine) {
    return new SnapshotRecord.MachineInfo(
        machine.host(),
        catalogue.type(machine.type()).name(),
        catalogue.zoneName(machine.zone()),
        machine.spot());
  }

  private LeaderConnectivity newConnectivity(Settings settings) {
    long minUnheardMs =
        election.isUnstable() ? timing.takeoverSilenceMs() + SILENCE_PROOF_MARGIN_MS : 0;
    return new LeaderConnectivity(machines, term, settings, this::isMachineListRead, minUnheardMs);
  }

  private PriorityInheritance newInheritance() {
    return new PriorityInheritance(
        graph,
        uid -> acceptedJobs.get(uid).flatMap(spec -> JobRecord.decode(uid, spec.value())),
        jobs,
        estimates,
        objectives);
  }

  private Placer newPlacer(LeaderContext context) {
    double heartbeatIntervalS = context.settings().workers().reportS();
    return new Placer(
        context.catalogue(),
        machines,
        jobs,
        teams,
        estimates,
        this::nextAttempt,
        objectives,
        Math.round(
            (heartbeatIntervalS * UNSCHEDULABLE_AFTER_INTERVALS + UNSCHEDULABLE_MARGIN_S)
                * MS_PER_S),
        progress::placed);
  }

  private ScaleOutDemand newDemand(LeaderContext context, Placer placer) {
    Catalogue catalogue = context.catalogue();
    double drainS = context.policy().drainS();
    return new ScaleOutDemand(
        scheduler,
        catalogue,
        machines,
        jobs,
        estimates,
        forecast,
        arrivals,
        () -> new ScaleOutPlanner(catalogue, teams, estimates, objectives, drainS),
        placer,
        progress,
        connectivity,
        this::isAuthoritative);
  }

  private Autoscaler newAutoscaler(LeaderContext context, ScaleOutDemand demand) {
    return new Autoscaler(
        scheduler,
        context.cloud(),
        context.catalogue(),
        machines,
        replica,
        new LeaderWriter(context.store(), replica, context.writeBudget(), term),
        context.policy(),
        context.settings(),
        context.random(),
        term,
        demand);
  }

  private HeartbeatHandler newHeartbeatHandler() {
    return new HeartbeatHandler(
        machines,
        term,
        this::isAuthoritative,
        jobs::get,
        new TaskOwners(acceptedJobs, teams)::of,
        writer::isDurablyDone,
        progress);
  }

  private DelayedResponses newDelayedResponses(
      Settings settings, HeartbeatHandler heartbeatHandler) {
    double maxDelayS =
        Math.min(
            MAX_RESPONSE_DELAY_S,
            RESPONSE_DELAY_PER_HEARTBEAT_INTERVAL * settings.workers().reportS());
    return new DelayedResponses(
        scheduler,
        machines,
        heartbeatHandler,
        this::isAuthoritative,
        Math.round(maxDelayS * MS_PER_S));
  }

  private HeartbeatIntake newHeartbeatIntake(HeartbeatHandler heartbeatHandler) {
    return new HeartbeatIntake(
        scheduler,
        replica,
        machines,
        heartbeatHandler,
        delayedResponses,
        new SpotDrain(estimates),
        connectivity,
        timings,
        this::isAuthoritative);
  }

  private JobIntake newJobIntake(Pipelines pipelines) {
    return new JobIntake(
        scheduler,
        pipelines,
        acceptedJobs,
        jobs,
        machines,
        writer,
        arrivals,
        progress,
        commands,
        rounds,
        autoscaler);
  }

  // ---- the term's life

  /** Rebuilds what earlier leaders recorded, and begins to lead. */
  public void start() {
    long nowMs = scheduler.nowMs();
    arrivals.loadRecentArrivals(acceptedJobs);
    boolean logDamaged = recovery.restore(nowMs);
    arrivals.update();
    if (logDamaged) {
      // Tasks may run where no record says that they do, until every lease is over.
      rounds.notBefore(nowMs + timing.takeoverSilenceMs());
    }
    LOG.info(
        "took over {} jobs and {} machines under token {}",
        jobs.all().size(),
        machines.all().size(),
        term.fencingToken());
    startPeriodicTasks();
    List.copyOf(jobs.all()).forEach(progress::cleanUp);
    rounds.schedule();
  }

  private void startPeriodicTasks() {
    periodicTasks.add(intake.start(replica));
    periodicTasks.add(autoscaler.start());
    periodicTasks.add(scheduler.every(TICK_INTERVAL_MS, this::tick));
    periodicTasks.add(scheduler.every(DELAYED_RESPONSE_CHECK_MS, delayedResponses::releaseDue));
    periodicTasks.add(tokenBroadcast.start());
    periodicTasks.add(
        scheduler.every(READ_INTERVAL_MS, () -> replica.readIfOlderThan(READ_INTERVAL_MS)));
    periodicTasks.add(scheduler.every(PREEMPTION_INTERVAL_MS, rounds::preempt));
    periodicTasks.add(
        scheduler.every(TIMINGS_LOG_INTERVAL_MS, () -> LOG.debug("busy with {}", timings.take())));
  }

  /** Ends all work of the term; what is held is answered without orders. */
  public void close() {
    closed = true;
    intake.close();
    commands.close();
    rounds.close();
    delayedResponses.releaseAll();
    writer.close();
    periodicTasks.cancel();
  }

  private void tick() {
    long nowMs = scheduler.nowMs();
    if (!machines.hasFencingTokensLeft()) {
      // A new term has new tokens; nothing else changes, as a leader takes over from itself.
      election.resign();
      return;
    }
    if (isAuthoritative()) {
      progress.lost(machines.expireLeases(nowMs));
      rounds.schedule();
      connectivity.reasonToStepDown(nowMs).ifPresent(election::resignWithBackoff);
    }
  }

  private boolean isAuthoritative() {
    return !closed && election.isAuthoritative();
  }

  private boolean isMachineListRead() {
    return autoscaler.isMachineListRead();
  }

  private void scheduleRound() {
    rounds.schedule();
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
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder) {
    heartbeats.accept(heartbeat, responder);
  }

  /** So many reports came to another controller, which sends the machines here. */
  public void misdirectedHeartbeats(int count) {
    connectivity.misdirectedHeartbeats(scheduler.nowMs(), count);
  }

  /** Have this leader's writes come to nothing for a good while? */
  public boolean isFailingToWrite() {
    long failingSinceMs = writer.failingSinceMs();
    return isAuthoritative()
        && failingSinceMs >= 0
        && scheduler.nowMs() - failingSinceMs > FAILED_WRITES_BEFORE_RESIGNING_MS;
  }

  /** Numbers for people. */
  public String summary() {
    return new LeaderStatus(jobs, machines, writer, autoscaler).toString();
  }

  /** Passes on what has become durable, to the parts that waited for it. */
  private final class WriterEvents implements ProgressWriter.Listener {
    @Override
    public void durable(List<Placement> placements) {
      delayedResponses.releaseDue();
      commands.launchHighPriority(placements);
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
