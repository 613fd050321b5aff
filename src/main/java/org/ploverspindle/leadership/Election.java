package org.ploverspindle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.leases.HeldRole;
import org.ploverspindle.leases.LeaseTiming;
import org.ploverspindle.leases.RoleHolder;
import org.ploverspindle.leases.RoleLease;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: whoever's key stands in the state service, attached to a lease. The transaction that
 * makes a leader also raises the token, so tokens grow with leaders and none is used twice.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  private static final long RESIGNATION_PAUSE_MS = 12_000;
  private static final long RESIGNATION_FORGOTTEN_MS = 120_000;
  private static final long OTHERS_FIRST_MS = 2_500;

  /** So many terms in so short a time: whatever ends them, another change does not help. */
  private static final int MANY_TERMS = 3;

  private static final long MANY_TERMS_MS = 60_000;
  private static final int TICKS_PER_LEASE = 20;

  /** What the rest of the process is told; always on the loop. */
  public interface Listener {
    /** The term began; the copy holds all that earlier leaders wrote. */
    void elected(Term term);

    /** The term is over: nothing may be decided any more. */
    void ended(Term term, String cause);
  }

  private final Scheduler scheduler;
  private final Replica replica;
  private final SafetyTiming timing;
  private final Listener listener;
  private final RoleLease lead;
  private Optional<Term> term = Optional.empty();
  private long pausedUntilMs = Long.MIN_VALUE / 2;
  private long lastResignationMs = Long.MIN_VALUE / 2;
  private int resignations;
  private long vacantSinceMs;
  private final Deque<Long> termsSeenMs = new ArrayDeque<>();

  /** An election that this controller takes part in once it is started. */
  public Election(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      RandomGenerator random,
      SafetyTiming timing,
      String member,
      Listener listener) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.timing = timing;
    this.listener = listener;
    replica.addListener(this::changed);
    LeaseTiming leaseTiming = new LeaseTiming(timing.stateLeaseMs(), timing.stateLeaseValidMs());
    this.lead =
        new RoleLease(
            scheduler,
            store,
            replica,
            random,
            leaseTiming,
            new LeaderRecords(),
            member,
            new LeadEvents());
  }

  /** Takes part from now on, until cancelled. */
  public Cancellable start() {
    return scheduler.every(timing.stateLeaseMs() / TICKS_PER_LEASE, lead::tick);
  }

  /** The term in which this node leads, as far as it knows. */
  public Optional<Term> term() {
    return term;
  }

  /** The leader by the copy, also another node. */
  public Optional<String> leaderName() {
    return lead.holder().map(RoleHolder::member);
  }

  /** The first token of the leader by the copy, also another node's. */
  public Optional<Long> leaderToken() {
    return lead.holder().map(RoleHolder::epoch);
  }

  /** May this node decide? Only while its lease certainly lives. */
  public boolean isAuthoritative() {
    return lead.isCertainlyHeld();
  }

  /** When the leader key was last known to be ours. */
  public long lastConfirmedMs() {
    return Math.min(lead.lastRenewalMs(), replica.freshAsOfMs());
  }

  /** Has the lead changed again and again lately, as far as this node saw? */
  boolean changesOften() {
    termsSeenMs.removeIf(seen -> scheduler.nowMs() - seen > MANY_TERMS_MS);
    return termsSeenMs.size() >= MANY_TERMS;
  }

  private void changed(String key, Optional<Entry> entry) {
    if (!key.equals(Keys.LEADER)) {
      return;
    }
    if (entry.isEmpty()) {
      vacantSinceMs = scheduler.nowMs();
    } else {
      termsSeenMs.addLast(scheduler.nowMs());
    }
  }

  /** A term begins and ends with the duty to lead. */
  private final class LeadEvents implements RoleLease.Listener {
    @Override
    public void acquired(HeldRole duty) {
      Term fresh = new Term(duty.epoch(), duty.modRevision(), duty.sinceMs());
      LOG.info("leading with token {}", fresh.fencingToken());
      term = Optional.of(fresh);
      listener.elected(fresh);
    }

    @Override
    public void lost(HeldRole duty, String cause) {
      Term over = term.orElseThrow();
      term = Optional.empty();
      LOG.info("no longer leading with token {}: {}", over.fencingToken(), cause);
      listener.ended(over, cause);
    }

    @Override
    public boolean mayAcquire() {
      return !pausesAfterResigning();
    }
  }

  /** Who leads and since when, how long renewals take, and how long nobody led, for people. */
  public String summary() {
    return new LeadershipStatus(scheduler.nowMs(), lead).toString();
  }

  /** Another controller says that it leads: ends an older lead of ours, and is looked up. */
  public void observeToken(long token) {
    if (term.isPresent() && term.get().isBefore(token)) {
      deposed("another controller has a higher token");
    } else {
      replica.readBarrier(ok -> {});
    }
  }

  /** Called with any sign that a newer leader exists. */
  public void deposed(String cause) {
    lead.end(cause);
    replica.readBarrier(ok -> {});
  }

  /**
   * Gives the lead up to whoever can do more with it, and does not try again for a while, longer
   * each time: a leader that no machine reaches keeps its key alive as well as any, and every lease
   * would end meanwhile.
   */
  public void resignAndPause(String cause) {
    long now = scheduler.nowMs();
    resignations = now - lastResignationMs > RESIGNATION_FORGOTTEN_MS ? 0 : resignations + 1;
    lastResignationMs = now;
    vacantSinceMs = now;
    pausedUntilMs = now + (RESIGNATION_PAUSE_MS << Math.min(2, resignations));
    LOG.info("resigning the lead: {}", cause);
    resign();
  }

  /** Others go first for a while; where nobody does, a leader that is hard to reach beats none. */
  private boolean pausesAfterResigning() {
    long now = scheduler.nowMs();
    return now < pausedUntilMs && now - vacantSinceMs < OTHERS_FIRST_MS;
  }

  /** Gives the lead up at once, so that others need not wait for the lease to end. */
  public void resign() {
    lead.release("resigned");
  }
}
