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
 * Takes part in the election of the leader: the controller whose record is stored under the leader
 * key, attached to a lease of the state service. The transaction that writes the record also raises
 * the fencing token, so the tokens of each leader are higher than those of all earlier leaders.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /**
   * Leadership is unstable if this many terms began within the window: whatever ends the terms,
   * another change of leader would not help.
   */
  private static final int UNSTABLE_TERMS = 3;

  private static final long UNSTABLE_WINDOW_MS = 60_000;
  private static final int TICKS_PER_LEASE = 20;

  /** Receives the beginning and the end of this controller's terms, on the event loop. */
  public interface Listener {
    /** A term of this controller began. The replica has everything that earlier leaders wrote. */
    void elected(Term term);

    /** The term ended: no decision may be made and no command sent under it any more. */
    void ended(Term term, String cause);
  }

  private final Scheduler scheduler;
  private final Replica replica;
  private final SafetyTiming timing;
  private final Listener listener;
  private final RoleLease leaderLease;
  private final ResignationBackoff backoff = new ResignationBackoff();
  private final Deque<Long> recentTermStartsMs = new ArrayDeque<>();
  private Optional<Term> term = Optional.empty();

  /**
   * Creates an election in which this controller takes part after {@link #start}.
   *
   * @param controllerName the name of this controller
   */
  public Election(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      RandomGenerator random,
      SafetyTiming timing,
      String controllerName,
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
            new RoleLease.Candidacy(controllerName, new LeaderRecords(), leaseTiming),
            new LeaseEvents());
  }

  /** Takes part in the election until the result is cancelled. */
  public Cancellable start() {
    return scheduler.scheduleWithFixedDelay(
        timing.stateLeaseMs() / TICKS_PER_LEASE, leaderLease::tick);
  }

  /** The term in which this controller leads as far as it knows; empty while it does not lead. */
  public Optional<Term> term() {
    return term;
  }

  /** The name of the leader, this or another controller, according to the replica. */
  public Optional<String> leaderName() {
    return leaderLease.holder().map(RoleHolder::controllerName);
  }

  /** The first fencing token of the term of the leader that the replica shows. */
  public Optional<Long> leaderToken() {
    return leaderLease.holder().map(RoleHolder::epoch);
  }

  /** Whether this controller may act as the leader now: only while its lease is certainly valid. */
  public boolean isAuthoritative() {
    return leaderLease.isCertainlyHeld();
  }

  /**
   * The latest time on the steady clock as of which this controller had renewed its lease and the
   * replica was up to date.
   */
  public long lastConfirmedMs() {
    return Math.min(leaderLease.lastRenewalSentMs(), replica.freshAsOfMs());
  }

  /** Whether this controller observed so many new terms lately that leadership is unstable. */
  boolean isUnstable() {
    long nowMs = scheduler.nowMs();
    recentTermStartsMs.removeIf(startMs -> nowMs - startMs > UNSTABLE_WINDOW_MS);
    return recentTermStartsMs.size() >= UNSTABLE_TERMS;
  }

  private void leaderKeyChanged(String key, Optional<Entry> entry) {
    if (!key.equals(Keys.LEADER)) {
      return;
    }
    if (entry.isEmpty()) {
      backoff.leadershipVacant(scheduler.nowMs());
    } else {
      recentTermStartsMs.addLast(scheduler.nowMs());
    }
  }

  /** One line for the status page: the leader, lease renewal times, and times without a leader. */
  public String summary() {
    return new LeadershipStatus(scheduler.nowMs(), leaderLease).toString();
  }

  /**
   * Handles the announcement of another controller that it leads under this token. Ends this
   * controller's term if that is an earlier one; otherwise reads the state service, so that the
   * replica shows the new leader.
   */
  public void observeToken(long token) {
    if (term.isPresent() && term.get().isDeposedBy(token)) {
      endTerm("another controller has a higher token");
    } else {
      replica.readBarrier(isRead -> {});
    }
  }

  /**
   * Ends this controller's term on a sign that a newer leader exists, and reads the state service.
   */
  public void endTerm(String cause) {
    leaderLease.stopHolding(cause);
    replica.readBarrier(isRead -> {});
  }

  /**
   * Resigns so that a controller with better connections can lead. This controller is not a
   * candidate again until the backoff ends; see {@link ResignationBackoff}.
   */
  public void resignWithBackoff(String cause) {
    backoff.resigned(scheduler.nowMs());
    LOG.info("resigning leadership: cause=\"{}\"", cause);
    resign();
  }

  /** Resigns and closes the lease, so that other controllers need not wait for it to expire. */
  public void resign() {
    leaderLease.release("resigned");
  }

  /** Begins a term when the leader role is acquired, and ends it when the role is lost. */
  private final class LeaseEvents implements RoleLease.Listener {
    @Override
    public void acquired(HeldRole role) {
      Term started = new Term(role.epoch(), role.modRevision(), role.heldSinceMs());
      LOG.info("leadership acquired: token={}", started.fencingToken());
      term = Optional.of(started);
      listener.elected(started);
    }

    @Override
    public void lost(HeldRole role, String cause) {
      Term ended = term.orElseThrow();
      term = Optional.empty();
      LOG.info("leadership lost: token={} cause=\"{}\"", ended.fencingToken(), cause);
      listener.ended(ended, cause);
    }

    @Override
    public boolean mayAcquire() {
      return !backoff.isActive(scheduler.nowMs());
    }
  }
}
