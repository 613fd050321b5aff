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

  private static final long RESIGNATION_BACKOFF_MS = 12_000;
  private static final long RESIGNATION_BACKOFF_RESET_MS = 120_000;
  private static final long VACANCY_BEFORE_RETRY_MS = 2_500;

  /** So many terms in so short a time: whatever ends them, another change does not help. */
  private static final int UNSTABLE_TERMS = 3;

  private static final long UNSTABLE_WINDOW_MS = 60_000;
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
  private final RoleLease leaderLease;
  private Optional<Term> term = Optional.empty();
  private long backoffUntilMs = Long.MIN_VALUE / 2;
  private long lastResignationMs = Long.MIN_VALUE / 2;
  private int resignations;
  private long vacantSinceMs;
  private final Deque<Long> recentTermStartsMs = new ArrayDeque<>();

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
    replica.addListener(this::leaderKeyChanged);
    LeaseTiming leaseTiming = new LeaseTiming(timing.stateLeaseMs(), timing.stateLeaseValidMs());
    this.leaderLease =
        new RoleLease(
            scheduler,
            store,
            replica,
            random,
            leaseTiming,
            new LeaderRecords(),
            member,
            new LeaseEvents());
  }

  /** Takes part from now on, until cancelled. */
  public Cancellable start() {
    return scheduler.every(timing.stateLeaseMs() / TICKS_PER_LEASE, leaderLease::tick);
  }

  /** The term in which this node leads, as far as it knows. */
  public Optional<Term> term() {
    return term;
  }

  /** The leader by the copy, also another node. */
  public Optional<String> leaderName() {
    return leaderLease.holder().map(RoleHolder::member);
  }

  /** The first token of the leader by the copy, also another node's. */
  public Optional<Long> leaderToken() {
    return leaderLease.holder().map(RoleHolder::epoch);
  }

  /** May this node decide? Only while its lease certainly lives. */
  public boolean isAuthoritative() {
    return leaderLease.isCertainlyHeld();
  }

  /** When the leader key was last known to be ours. */
  public long lastConfirmedMs() {
    return Math.min(leaderLease.lastRenewalMs(), replica.freshAsOfMs());
  }

  /** Has the lead changed again and again lately, as far as this node saw? */
  boolean isUnstable() {
    recentTermStartsMs.removeIf(seen -> scheduler.nowMs() - seen > UNSTABLE_WINDOW_MS);
    return recentTermStartsMs.size() >= UNSTABLE_TERMS;
  }

  private void leaderKeyChanged(String key, Optional<Entry> entry) {
    if (!key.equals(Keys.LEADER)) {
      return;
    }
    if (entry.isEmpty()) {
      vacantSinceMs = scheduler.nowMs();
    } else {
      recentTermStartsMs.addLast(scheduler.nowMs());
    }
  }

  /** A term begins and ends with the duty to lead. */
  private final class LeaseEvents implements RoleLease.Listener {
    @Override
    public void acquired(HeldRole role) {
      Term started = new Term(role.epoch(), role.modRevision(), role.sinceMs());
      LOG.info("leading with token {}", started.fencingToken());
      term = Optional.of(started);
      listener.elected(started);
    }

    @Override
    public void lost(HeldRole role, String cause) {
      Term ended = term.orElseThrow();
      term = Optional.empty();
      LOG.info("no longer leading with token {}: {}", ended.fencingToken(), cause);
      listener.ended(ended, cause);
    }

    @Override
    public boolean mayAcquire() {
      return !isBackingOff();
    }
  }

  /** Who leads and since when, how long renewals take, and how long nobody led, for people. */
  public String summary() {
    return new LeadershipStatus(scheduler.nowMs(), leaderLease).toString();
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
    leaderLease.end(cause);
    replica.readBarrier(ok -> {});
  }

  /**
   * Gives the lead up to whoever can do more with it, and does not try again for a while, longer
   * each time: a leader that no machine reaches keeps its key alive as well as any, and every lease
   * would end meanwhile.
   */
  public void resignWithBackoff(String cause) {
    long now = scheduler.nowMs();
    resignations = now - lastResignationMs > RESIGNATION_BACKOFF_RESET_MS ? 0 : resignations + 1;
    lastResignationMs = now;
    vacantSinceMs = now;
    backoffUntilMs = now + (RESIGNATION_BACKOFF_MS << Math.min(2, resignations));
    LOG.info("resigning the lead: {}", cause);
    resign();
  }

  /** Others go first for a while; where nobody does, a leader that is hard to reach beats none. */
  private boolean isBackingOff() {
    long now = scheduler.nowMs();
    return now < backoffUntilMs && now - vacantSinceMs < VACANCY_BEFORE_RETRY_MS;
  }

  /** Gives the lead up at once, so that others need not wait for the lease to end. */
  public void resign() {
    leaderLease.release("resigned");
  }
}
