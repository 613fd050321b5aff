package org.ploverspindle.cloud;

import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ploverspindle.cluster.HeartbeatTimeout;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.Term;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.placement.ScaleOutPlanner;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.scalein.MachineTerminations;
import org.ploverspindle.scalein.TerminationRecordWriter;
import org.ploverspindle.scalein.TerminationSender;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.Replica;

/**
 * Scales the fleet for one term of a leader: creates the components for scale-out, provisioning,
 * scale-in and the reading of the cloud's list of machines, and runs each of them periodically.
 */
public final class Autoscaler {
  private static final double MS_PER_S = 1_000;

  /**
   * Age of the oldest list of machines that the cloud may return, in milliseconds per second of the
   * configured list lag: a list may be twice as old as that lag. A termination record is kept for
   * this time and {@link #OLDEST_LIST_MARGIN_MS}, so that no later list can show its machines.
   */
  private static final double OLDEST_LIST_MS_PER_LAG_S = 2_000;

  private static final long OLDEST_LIST_MARGIN_MS = 1_000;

  private static final long SCALE_IN_PERIOD_MS = 1_000;
  private static final long MACHINE_TYPES_PERIOD_MS = 60_000;
  private static final long PROVISIONING_INTENTS_PERIOD_MS = 500;

  /** Shortest delay before a request to the cloud that got no response is sent again. */
  private static final int MIN_RETRY_DELAY_MS = 700;

  /** Exclusive upper bound of the random time that is added to {@link #MIN_RETRY_DELAY_MS}. */
  private static final int RETRY_JITTER_MS = 600;

  /**
   * Time in milliseconds per second of the heartbeat interval, that is, 1.25 intervals. After this
   * time and {@link #FIRST_HEARTBEAT_MARGIN_MS}, every machine that is up has sent a heartbeat to a
   * new leader.
   */
  private static final double FIRST_HEARTBEAT_MS_PER_INTERVAL_S = 1_250;

  private static final long FIRST_HEARTBEAT_MARGIN_MS = 1_500;

  /** The demand of the leader's jobs for machines, and the autoscaler's callbacks to the leader. */
  public interface Workload {
    /**
     * Plans the machines to request for pending work.
     *
     * @param candidates groups in which machines may be requested now
     * @param pending the groups of the machines that are booting or requested, one element for each
     *     machine
     */
    List<ScaleOutPlanner.Request> scaleOutRequests(
        List<ScaleOutPlanner.Candidate> candidates, List<MachineGroup> pending);

    /** Whether users have stopped submitting jobs. Idle machines are terminated sooner then. */
    boolean haveSubmissionsStopped();

    /**
     * Returns a stateful predicate that is tested on one idle machine after another. It is true if
     * the next high-priority job that is expected can do without the machine and without all
     * machines for which the predicate was true before.
     */
    Predicate<Machine> surplusMachines();

    /** Returns a predicate that is true for each machine on which a pending task could run. */
    Predicate<Machine> usefulMachines();

    /**
     * The time since which this leader has received heartbeats without a pause of its own process,
     * in milliseconds on the steady clock.
     */
    long receivingHeartbeatsSinceMs();

    /** Called with the placements that were removed when a machine's termination was confirmed. */
    void placementsLost(List<Placement> placements);

    /** Whether this leader's lease is certainly valid now. */
    boolean isAuthoritative();
  }

  /** The objects that a controller keeps for all its terms. */
  public record Environment(
      Scheduler scheduler,
      RandomGenerator random,
      CloudClient cloud,
      Catalogue catalogue,
      Policy policy,
      Settings settings) {}

  /** The objects that live for one term of the leader. */
  public record LeaderState(
      Term term, MachineRegistry fleet, Replica replica, LeaderWriter writer) {}

  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final Policy policy;
  private final Settings settings;
  private final Term term;
  private final MachineRegistry fleet;
  private final Replica replica;
  private final LeaderWriter writer;
  private final Workload workload;

  private final CloudCallBudget callBudget;
  private final BootTracker bootTracker;
  private final GroupBackoffs backoffs;
  private final ProvisioningIntents intents;
  private final Pools pools;
  private final PoolBoundsRecords boundsRecords;
  private final MachineTypesRefresh machineTypesRefresh;
  private final MachineTerminations terminations;
  private final ScaleInPlanner scaleInPlanner;
  private final ScaleOutRound scaleOutRound;
  private final MachineListReader listReader;
  private final CancellableGroup periodicTasks = new CancellableGroup();

  /** Whether an earlier leader left provisioning intents or machines. */
  private boolean hasInheritedFleet;

  public Autoscaler(Environment environment, LeaderState leader, Workload workload) {
    this.scheduler = environment.scheduler();
    this.catalogue = environment.catalogue();
    this.policy = environment.policy();
    this.settings = environment.settings();
    this.term = leader.term();
    this.fleet = leader.fleet();
    this.replica = leader.replica();
    this.writer = leader.writer();
    this.workload = workload;
    CloudClient cloud = environment.cloud();
    RandomGenerator random = environment.random();
    RetryDelay retryDelay = new RetryDelay(random, MIN_RETRY_DELAY_MS, RETRY_JITTER_MS);
    int maxValueBytes = settings.effectiveStateLimits().maxValueBytes();
    this.callBudget =
        new CloudCallBudget(
            scheduler, settings.cloudLimits().requestsPerS(), workload::isAuthoritative);
    this.bootTracker = new BootTracker(catalogue);
    this.backoffs = new GroupBackoffs(scheduler, catalogue, policy, random);
    ScaleOutLimits limits = new ScaleOutLimits(backoffs, policy, settings, callBudget.callsPerS());
    this.intents = newIntents(cloud, limits, retryDelay);
    this.pools = new Pools(catalogue, fleet, intents, backoffs, policy);
    this.boundsRecords = new PoolBoundsRecords(catalogue, backoffs, writer, maxValueBytes);
    this.machineTypesRefresh =
        new MachineTypesRefresh(cloud, catalogue, callBudget, writer, maxValueBytes);
    HeartbeatTimeout heartbeatTimeout =
        new HeartbeatTimeout(
            settings.workers().heartbeatIntervalS(),
            term.startMs(),
            workload::receivingHeartbeatsSinceMs);
    this.terminations = newTerminations(cloud, heartbeatTimeout, retryDelay);
    this.scaleInPlanner = newScaleInPlanner();
    this.scaleOutRound = newScaleOutRound(limits);
    this.listReader = newListReader(cloud, heartbeatTimeout);
  }

  private ProvisioningIntents newIntents(
      CloudClient cloud, ScaleOutLimits limits, RetryDelay retryDelay) {
    return new ProvisioningIntents(
        scheduler,
        cloud,
        fleet,
        new ProvisioningIntentRecords(catalogue, writer, term.fencingToken()),
        limits,
        callBudget::tryTakeAsLeader,
        retryDelay);
  }

  private MachineTerminations newTerminations(
      CloudClient cloud, HeartbeatTimeout heartbeatTimeout, RetryDelay retryDelay) {
    long recordRetentionMs =
        Math.round(settings.cloudLimits().maxListLagS() * OLDEST_LIST_MS_PER_LAG_S)
            + OLDEST_LIST_MARGIN_MS;
    return new MachineTerminations(
        scheduler,
        fleet,
        heartbeatTimeout,
        new TerminationRecordWriter(
            writer, term.fencingToken(), settings.effectiveStateLimits().maxValueBytes()),
        new TerminationSender(scheduler, cloud, callBudget::tryTakeAsLeader, retryDelay),
        recordRetentionMs,
        workload::placementsLost);
  }

  private ScaleInPlanner newScaleInPlanner() {
    return new ScaleInPlanner(
        scheduler,
        fleet,
        new UnusableMachines(
            fleet, bootTracker, backoffs, term.startMs(), settings.workers().leaseS()),
        new IdleMachines(pools, policy, workload),
        terminations,
        workload::isAuthoritative);
  }

  private ScaleOutRound newScaleOutRound(ScaleOutLimits limits) {
    return new ScaleOutRound(
        scheduler,
        fleet,
        bootTracker,
        new CandidateGroups(catalogue, pools, boundsRecords, limits, bootTracker),
        limits,
        intents,
        workload);
  }

  private MachineListReader newListReader(CloudClient cloud, HeartbeatTimeout heartbeatTimeout) {
    double lagS = settings.cloudLimits().maxListLagS();
    ListedMachines listed =
        new ListedMachines(scheduler, fleet, heartbeatTimeout, lagS, term.startMs());
    return new MachineListReader(scheduler, cloud, callBudget, listed, lagS, this::onListRead);
  }

  /**
   * Inherits the terminations, provisioning intents and group backoffs that earlier leaders
   * recorded, and starts the periodic work. Must be called before the first placement of the term.
   *
   * @return cancels all periodic work of the autoscaler
   */
  public Cancellable start() {
    replica.withPrefix(Keys.TERMINATIONS).values().forEach(terminations::inheritTermination);
    replica.withPrefix(Keys.PROVISIONING_INTENTS).values().forEach(intents::inherit);
    hasInheritedFleet = !intents.isEmpty();
    replica.withPrefix(Keys.POOL_BOUNDS).values().forEach(boundsRecords::inherit);
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(Math.round(policy.scanS() * MS_PER_S), this::scaleOut));
    periodicTasks.add(scheduler.scheduleWithFixedDelay(SCALE_IN_PERIOD_MS, scaleInPlanner::run));
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(MACHINE_TYPES_PERIOD_MS, machineTypesRefresh::run));
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(PROVISIONING_INTENTS_PERIOD_MS, intents::advance));
    periodicTasks.add(listReader.start());
    machineTypesRefresh.run();
    return periodicTasks;
  }

  /** Whether a complete list of machines has been read in this term. */
  public boolean isMachineListRead() {
    return listReader.hasReadList();
  }

  /**
   * Runs a scale-out round now instead of at its next period, if the list of machines has been read
   * and no machine exists or is requested.
   */
  public void scaleOutIfFleetIsEmpty() {
    if (listReader.hasReadList() && intents.isEmpty() && fleet.all().isEmpty()) {
      scaleOut();
    }
  }

  /** Counts and latencies of this term's terminations, as text for the status. */
  public String terminationStatus() {
    return terminations.summary();
  }

  private void scaleOut() {
    if (workload.isAuthoritative() && isFleetKnown()) {
      scaleOutRound.run();
    }
  }

  /**
   * Whether scale-out can rely on the registry: the list of machines has been read, no provisioning
   * intent waits for the cloud's answer, and machines of an earlier leader have had the time to
   * send a heartbeat. Before that, capacity that exists already would be requested again. Without
   * intents or machines of an earlier leader, no heartbeats have to be waited for.
   */
  private boolean isFleetKnown() {
    if (!listReader.hasReadList() || intents.hasUnanswered()) {
      return false;
    }
    long heartbeatsReceivedMs =
        term.startMs()
            + Math.round(
                settings.workers().heartbeatIntervalS() * FIRST_HEARTBEAT_MS_PER_INTERVAL_S)
            + FIRST_HEARTBEAT_MARGIN_MS;
    return !hasInheritedFleet || scheduler.nowMs() >= heartbeatsReceivedMs;
  }

  private void onListRead(boolean firstOfTerm) {
    hasInheritedFleet |= firstOfTerm && !fleet.all().isEmpty();
    if (firstOfTerm) {
      scaleOut();
    }
  }
}
