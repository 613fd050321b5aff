package org.ploverspindle.leadership;

import java.util.List;
import java.util.Optional;
import org.ploverspindle.cloud.Autoscaler;
import org.ploverspindle.cluster.DirectCommands;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.eventloop.WorkTimings;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.placement.ArrivalForecast;
import org.ploverspindle.placement.ClusterView;
import org.ploverspindle.placement.Placer;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.placement.ScaleOutPlanner;
import org.ploverspindle.placement.ServiceLevelObjectives;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SocketBudget;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.SnapshotRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the components of one term's leader and connects them. Each component has a single
 * responsibility and receives only what it uses. {@link Leader} starts and closes them.
 */
final class LeaderComponents {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderComponents.class);

  /**
   * Added to the time without heartbeats after which tasks of earlier terms are proven gone, so
   * that the leader acts on this proof before it resigns.
   */
  private static final long TAKEOVER_WAIT_MARGIN_MS = 4_000;

  /** The longest delay of a response in seconds. The shorter of this and the next limit applies. */
  private static final double MAX_RESPONSE_DELAY_S = 2;

  /** The longest delay of a response as a part of the heartbeat interval. */
  private static final double MAX_RESPONSE_DELAY_INTERVALS = 0.6;

  /**
   * A machine gets no new tasks if its last heartbeat is older than this many heartbeat intervals
   * and the margin below, that is, if two heartbeats are missing.
   */
  private static final double UNSCHEDULABLE_AFTER_INTERVALS = 2.2;

  private static final double UNSCHEDULABLE_MARGIN_S = 1.5;
  private static final double MS_PER_S = 1_000;

  /**
   * The number of low bits of an attempt number that count the attempts of a term. The bits above
   * them are the fencing token of the term.
   */
  private static final int ATTEMPT_BITS = 24;

  private final LeaderContext context;
  private final Scheduler scheduler;
  private final Settings settings;
  private final Catalogue catalogue;
  private final SafetyTiming timing;
  private final DependencyGraph graph;
  private final Term term;
  private final Election election;
  private final TermAuthority authority;

  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final ServiceLevelObjectives objectives;
  private final TeamUsage teams;
  private final HeartbeatHandler heartbeatHandler;
  private final Placer placer;

  final WorkTimings timings = new WorkTimings();
  final JobTable jobs;
  final MachineRegistry machines;
  final ProgressWriter writer;
  final TaskProgress progress;
  final LeaderConnectivity connectivity;
  final JobArrivals arrivals;
  final SchedulingRounds rounds;
  final Autoscaler autoscaler;
  final DirectCommandSender commands;
  final DelayedResponses delayedResponses;
  final HeartbeatIntake heartbeats;
  final JobIntake intake;
  final Recovery recovery;
  final FencingTokenBroadcast tokenBroadcast;

  private long lastAttempt;

  /**
   * Creates the components in the order of their dependencies. Some components call others that are
   * created after them, as the progress writer calls the command sender. This happens only after
   * the leader is started.
   */
  LeaderComponents(LeaderContext context, Term term, Election election, TermAuthority authority) {
    this.context = context;
    this.scheduler = context.scheduler();
    this.settings = context.configuration().settings();
    this.catalogue = context.configuration().catalogue();
    this.timing = context.configuration().timing();
    this.graph = context.state().pipelines().graph();
    this.term = term;
    this.election = election;
    this.authority = authority;
    this.objectives = new ServiceLevelObjectives(settings.objectives());
    this.teams = new TeamUsage(settings.teams());
    this.jobs =
        new JobTable(context.state().replica(), context.state().acceptedJobs(), catalogue, teams);
    this.machines = new MachineRegistry(catalogue, teams, timing, term);
    this.writer = newProgressWriter();
    this.progress = newTaskProgress();
    this.connectivity = newConnectivity();
    this.arrivals = newArrivals();
    this.placer = newPlacer();
    this.rounds = new SchedulingRounds(scheduler, placer, arrivals, timings, authority);
    this.autoscaler = newAutoscaler();
    this.heartbeatHandler = newHeartbeatHandler();
    this.commands = newCommandSender();
    this.delayedResponses = newDelayedResponses();
    this.heartbeats = newHeartbeatIntake();
    this.intake = newJobIntake();
    this.recovery =
        new Recovery(context.state().replica(), graph, jobs, machines, writer, arrivals);
    this.tokenBroadcast =
        new FencingTokenBroadcast(scheduler, term, timing, machines, commands, authority);
  }

  /** Counts of jobs, machines, placements and terminations, for the status page. */
  String status() {
    return new LeaderStatus(jobs, machines, writer, autoscaler).toString();
  }

  // ---- recording the progress of tasks

  private ProgressWriter newProgressWriter() {
    return new ProgressWriter(
        scheduler,
        new ProgressWriter.StateAccess(
            context.state().store(),
            context.state().replica(),
            context.state().writeBudget(),
            settings.effectiveStateLimits().maxChangesPerTransaction(),
            settings.effectiveStateLimits().maxValueBytes()),
        term,
        this::machineInfo,
        new WriterEvents());
  }

  private SnapshotRecord.MachineInfo machineInfo(Machine machine) {
    return new SnapshotRecord.MachineInfo(
        machine.host(),
        catalogue.type(machine.type()).name(),
        catalogue.zoneName(machine.zone()),
        machine.isSpot());
  }

  private TaskProgress newTaskProgress() {
    TaskFailures failures = new TaskFailures(scheduler, jobs, context.state().replica());
    return new TaskProgress(scheduler, jobs, estimates, writer, failures, () -> rounds.schedule());
  }

  // ---- placing pending tasks

  private JobArrivals newArrivals() {
    PriorityInheritance inheritance =
        new PriorityInheritance(graph, this::acceptedRecord, jobs, estimates, objectives);
    return new JobArrivals(
        scheduler,
        context.state().pipelines(),
        inheritance,
        new ArrivalForecast(),
        estimates,
        teams);
  }

  private Optional<JobRecord> acceptedRecord(String uid) {
    return context
        .state()
        .acceptedJobs()
        .get(uid)
        .flatMap(accepted -> JobRecord.decode(uid, accepted.value()));
  }

  private Placer newPlacer() {
    double unschedulableS =
        settings.workers().heartbeatIntervalS() * UNSCHEDULABLE_AFTER_INTERVALS
            + UNSCHEDULABLE_MARGIN_S;
    return new Placer(
        new ClusterView(catalogue, machines, jobs, teams),
        estimates,
        objectives,
        Math.round(unschedulableS * MS_PER_S),
        this::nextAttempt,
        progress::placed);
  }

  /** Returns an attempt number that no leader has used, as the term's token is part of it. */
  private long nextAttempt() {
    return term.fencingToken() << ATTEMPT_BITS | ++lastAttempt;
  }

  // ---- scaling, and connectivity to machines

  private Autoscaler newAutoscaler() {
    LeaderContext.StateAccess state = context.state();
    LeaderWriter leaderWriter =
        new LeaderWriter(state.store(), state.replica(), state.writeBudget(), term);
    return new Autoscaler(
        new Autoscaler.Environment(
            scheduler,
            context.random(),
            context.services().cloud(),
            catalogue,
            context.configuration().policy(),
            settings),
        new Autoscaler.LeaderState(term, machines, state.replica(), leaderWriter),
        newScaleOutDemand());
  }

  private ScaleOutDemand newScaleOutDemand() {
    double drainS = context.configuration().policy().drainS();
    ScaleOutRequests requests =
        new ScaleOutRequests(
            scheduler,
            catalogue,
            machines,
            jobs,
            arrivals,
            () -> new ScaleOutPlanner(catalogue, teams, estimates, objectives, drainS),
            placer);
    HighPriorityHeadroom headroom = new HighPriorityHeadroom(scheduler, machines, arrivals);
    return new ScaleOutDemand(requests, headroom, arrivals, progress, connectivity, authority);
  }

  private LeaderConnectivity newConnectivity() {
    long minNoContactTimeoutMs =
        election.isUnstable() ? timing.takeoverWaitMs() + TAKEOVER_WAIT_MARGIN_MS : 0;
    return new LeaderConnectivity(
        machines, term, settings, () -> autoscaler.isMachineListRead(), minNoContactTimeoutMs);
  }

  // ---- heartbeats and commands

  private HeartbeatHandler newHeartbeatHandler() {
    return new HeartbeatHandler(
        machines,
        term,
        authority,
        jobs::get,
        new TaskOwners(context.state().acceptedJobs(), teams)::of,
        writer::isDurablyCompleted,
        progress);
  }

  private DirectCommandSender newCommandSender() {
    return new DirectCommandSender(
        SocketBudget.of(settings).directCommands(),
        scheduler,
        new FencedWorkerClient(context.services().workers(), term, context.rejections()),
        new DirectCommands(machines, authority),
        heartbeatHandler);
  }

  private DelayedResponses newDelayedResponses() {
    double maxDelayS =
        Math.min(
            MAX_RESPONSE_DELAY_S,
            MAX_RESPONSE_DELAY_INTERVALS * settings.workers().heartbeatIntervalS());
    return new DelayedResponses(
        scheduler, machines, heartbeatHandler, authority, Math.round(maxDelayS * MS_PER_S));
  }

  private HeartbeatIntake newHeartbeatIntake() {
    return new HeartbeatIntake(
        machines,
        heartbeatHandler,
        new AuthorityFilter(context.state().replica(), authority),
        delayedResponses,
        new SpotDrain(estimates),
        connectivity,
        timings);
  }

  private JobIntake newJobIntake() {
    JobCancellation cancellation =
        new JobCancellation(scheduler, machines, commands, progress, rounds);
    return new JobIntake(
        context.state().pipelines(),
        context.state().acceptedJobs(),
        jobs,
        writer,
        arrivals,
        cancellation,
        this::schedulePendingTasks);
  }

  private void schedulePendingTasks() {
    autoscaler.scaleOutIfFleetIsEmpty();
    rounds.schedule();
  }

  /**
   * Notifies the components that wait for records to become durable, and ends the term when a write
   * shows that there is a newer leader.
   */
  private final class WriterEvents implements ProgressWriter.Listener {
    @Override
    public void placementsRecorded(List<Placement> placements) {
      delayedResponses.releaseDue();
      commands.launchHighPriority(placements);
    }

    @Override
    public void completionRecorded(Job job) {
      LOG.info("job done: job={}", job.uid());
      progress.cleanUp(job);
      // The completion is durable, so dependents need not wait until the replica has it.
      graph.done(job.uid());
    }

    @Override
    public void deposed(String cause) {
      election.endTerm(cause);
    }
  }
}
