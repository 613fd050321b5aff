package org.ploverspindle.leadership;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader during one term. Starts and closes the components that do its work, and resigns when
 * another controller may have better connections. It is discarded when its term ends, so that no
 * knowledge of one term is used in another.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  /**
   * The interval at which the leader reads the state service by itself, as the messages by which
   * other controllers notify it of new jobs may be lost.
   */
  private static final long READ_INTERVAL_MS = 200;

  private static final long TICK_INTERVAL_MS = 400;
  private static final long DELAYED_RESPONSE_CHECK_MS = 100;
  private static final long PREEMPTION_INTERVAL_MS = 1_000;
  private static final long TIMINGS_LOG_INTERVAL_MS = 10_000;

  /** A leader none of whose writes has been committed for this long can't do its work. */
  private static final long FAILED_WRITES_BEFORE_RESIGNING_MS = 5_000;

  private final Scheduler scheduler;
  private final Replica replica;
  private final AcceptedJobIndex acceptedJobs;
  private final SafetyTiming timing;
  private final Term term;
  private final Election election;
  private final TermAuthority authority;
  private final LeaderComponents components;
  private final CancellableGroup periodicTasks = new CancellableGroup();

  /** Creates the leader of a term that has begun. It does nothing before {@link #start}. */
  public Leader(LeaderContext context, Term term, Election election) {
    this.scheduler = context.scheduler();
    this.replica = context.state().replica();
    this.acceptedJobs = context.state().acceptedJobs();
    this.timing = context.configuration().timing();
    this.term = term;
    this.election = election;
    this.authority = new TermAuthority(election);
    this.components = new LeaderComponents(context, term, election, authority);
  }

  /** Restores the state that earlier leaders recorded, and begins to lead. */
  public void start() {
    long nowMs = scheduler.nowMs();
    components.arrivals.loadRecentArrivals(acceptedJobs);
    boolean hasUnreadableLogRecord = components.recovery.restore(nowMs);
    components.arrivals.update();
    if (hasUnreadableLogRecord) {
      // Tasks that no record mentions may run until all worker leases of earlier terms expire.
      components.rounds.notBefore(nowMs + timing.takeoverWaitMs());
    }
    LOG.info(
        "term started: token={} jobs={} machines={}",
        term.fencingToken(),
        components.jobs.all().size(),
        components.machines.all().size());
    startPeriodicTasks();
    List.copyOf(components.jobs.all()).forEach(components.progress::cleanUp);
    components.rounds.schedule();
  }

  private void startPeriodicTasks() {
    periodicTasks.add(components.intake.start(replica));
    periodicTasks.add(components.autoscaler.start());
    periodicTasks.add(scheduler.scheduleWithFixedDelay(TICK_INTERVAL_MS, this::tick));
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(
            DELAYED_RESPONSE_CHECK_MS, components.delayedResponses::releaseDue));
    periodicTasks.add(components.tokenBroadcast.start());
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(
            READ_INTERVAL_MS, () -> replica.readIfOlderThan(READ_INTERVAL_MS)));
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(PREEMPTION_INTERVAL_MS, components.rounds::preempt));
    periodicTasks.add(scheduler.scheduleWithFixedDelay(TIMINGS_LOG_INTERVAL_MS, this::logTimings));
  }

  /** Ends all work of the term, and sends all delayed responses, without commands. */
  public void close() {
    authority.close();
    components.intake.close();
    components.commands.close();
    components.rounds.close();
    components.delayedResponses.releaseAll();
    components.writer.close();
    periodicTasks.cancel();
  }

  private void tick() {
    long nowMs = scheduler.nowMs();
    if (!components.machines.hasFencingTokensLeft()) {
      // A new term has new tokens. There is no backoff: if this controller is elected again, it
      // takes over from itself and nothing else changes.
      election.resign();
      return;
    }
    if (authority.getAsBoolean()) {
      components.progress.placementsLost(components.machines.expireLeases(nowMs));
      components.rounds.schedule();
      components.connectivity.resignationCause(nowMs).ifPresent(election::resignWithBackoff);
    }
  }

  private void logTimings() {
    LOG.debug("event loop time: {}", components.timings.drainSummary());
  }

  /** The term during which this leader leads. */
  public Term term() {
    return term;
  }

  /**
   * Processes a heartbeat and responds with commands. If the machine has free resources, the
   * response may be delayed for a short time: tasks that are placed there during the delay are
   * launched without waiting for the next heartbeat. While this leader's lease is not certainly
   * valid, the only commands that are sent are stops of cancelled jobs.
   */
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder) {
    components.heartbeats.accept(heartbeat, scheduler.nowMs(), responder);
  }

  /**
   * Records how many heartbeats of this leader's machines reached another controller, which
   * redirected the machines to this one.
   *
   * @param count the heartbeats within about one second
   */
  public void recordMisdirectedHeartbeats(int count) {
    components.connectivity.recordMisdirectedHeartbeats(scheduler.nowMs(), count);
  }

  /**
   * Whether writes of this leader have failed, and none has been committed since, for several
   * seconds.
   */
  public boolean isFailingToWrite() {
    OptionalLong failingSinceMs = components.writer.failingSinceMs();
    return authority.getAsBoolean()
        && failingSinceMs.isPresent()
        && scheduler.nowMs() - failingSinceMs.getAsLong() > FAILED_WRITES_BEFORE_RESIGNING_MS;
  }

  /** Counts of jobs, machines, placements and terminations, for the status page. */
  public String summary() {
    return components.status();
  }
}
