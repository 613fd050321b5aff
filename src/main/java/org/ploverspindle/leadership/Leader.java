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
 * One term's leader: starts and closes the parts that do its work, and resigns where another
 * controller would lead better. It is discarded with its term, so that nothing that was known in
 * one term is relied on in another.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  /** Hints of new jobs may be lost: a leader reads the state service by itself as well. */
  private static final long READ_INTERVAL_MS = 200;

  private static final long TICK_INTERVAL_MS = 400;
  private static final long DELAYED_RESPONSE_CHECK_MS = 100;
  private static final long PREEMPTION_INTERVAL_MS = 1_000;
  private static final long TIMINGS_LOG_INTERVAL_MS = 10_000;

  /** A leader none of whose writes was carried out for so long is of no use. */
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

  /** A leader for a term that has begun; it does nothing before it is started. */
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

  /** Rebuilds what earlier leaders recorded, and begins to lead. */
  public void start() {
    long nowMs = scheduler.nowMs();
    components.arrivals.loadRecentArrivals(acceptedJobs);
    boolean logDamaged = components.recovery.restore(nowMs);
    components.arrivals.update();
    if (logDamaged) {
      // Tasks may run that no record mentions, until every worker lease of earlier terms is over.
      components.rounds.notBefore(nowMs + timing.takeoverSilenceMs());
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

  /** Ends all work of the term; delayed responses go out without commands that need authority. */
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
      // A new term has new tokens; nothing else changes, as a leader takes over from itself.
      election.resign();
      return;
    }
    if (authority.getAsBoolean()) {
      components.progress.lost(components.machines.expireLeases(nowMs));
      components.rounds.schedule();
      components.connectivity.reasonToStepDown(nowMs).ifPresent(election::resignWithBackoff);
    }
  }

  private void logTimings() {
    LOG.debug("event loop time: {}", components.timings.drainSummary());
  }

  /** The term that this leader leads in. */
  public Term term() {
    return term;
  }

  /**
   * Processes a heartbeat and responds with commands. The response waits a little while the machine
   * has free resources: what is placed there meanwhile goes out at once instead of waiting for the
   * next heartbeat. Without certain authority nothing but final stops is sent.
   */
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder) {
    components.heartbeats.accept(heartbeat, scheduler.nowMs(), responder);
  }

  /**
   * So many heartbeats of this leader's machines reached another controller in the last second,
   * which redirects the machines to this one.
   */
  public void misdirectedHeartbeats(int count) {
    components.connectivity.misdirectedHeartbeats(scheduler.nowMs(), count);
  }

  /** Has none of this leader's writes been carried out for several seconds, though it has tried? */
  public boolean isFailingToWrite() {
    OptionalLong failingSinceMs = components.writer.failingSinceMs();
    return authority.getAsBoolean()
        && failingSinceMs.isPresent()
        && scheduler.nowMs() - failingSinceMs.getAsLong() > FAILED_WRITES_BEFORE_RESIGNING_MS;
  }

  /** Counts of jobs, machines and placements, and the state of scale-in, for the status page. */
  public String summary() {
    return components.status();
  }
}
