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
 * Elects the leader: the controller whose record is under the leader key, attached to a lease of
 * the state service. The transaction that writes the record also raises the fencing token, so
 * tokens grow from leader to leader and none is used twice.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /** So many terms within the window: whatever ends them, another change of leader won't help. */
  private static final int UNSTABLE_TERMS = 3;

  private static final long UNSTABLE_WINDOW_MS = 60_000;
  private static final int TICKS_PER_LEASE = 20;

  /** Is called on the event loop. */
  public interface Listener {
    /** A term of this controller began; the replica holds all that earlier leaders wrote. */
    void elected(Term term);

    /** The term is over: nothing may be decided under it any more. */
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
   * An election that this controller takes part in once it is started.
   *
   * @param member the name of this controller
   */
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
            new RoleLease.Candidacy(member, new LeaderRecords(), leaseTiming),
            new LeaseEvents());
  }

  /** Takes part from now on, until cancelled. */
  public Cancellable start() {
    return scheduler.scheduleWithFixedDelay(
        timing.stateLeaseMs() / TICKS_PER_LEASE, leaderLease::tick);
  }

  /** The term in which this controller leads, as far as it knows. */
  public Optional<Term> term() {
    return term;
  }

  /** The name of the leader by the replica, whichever controller it is. */
  public Optional<String> leaderName() {
    return leaderLease.holder().map(RoleHolder::member);
  }

  /** The first token of the leader's term by the replica, whichever controller it is. */
  public Optional<Long> leaderToken() {
    return leaderLease.holder().map(RoleHolder::epoch);
  }

  /** May this controller decide as the leader now? Only while its lease is certainly valid. */
  public boolean isAuthoritative() {
    return leaderLease.isCertainlyHeld();
  }

  /** When the leader key was last known to be this controller's, on the steady clock. */
  public long lastConfirmedMs() {
    return Math.min(leaderLease.lastRenewalMs(), replica.freshAsOfMs());
  }

  /** Has leadership changed several times lately, as far as this controller saw? */
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

  /** One line for the status page: the leader, renewal times, and how long nobody led. */
  public String summary() {
    return new LeadershipStatus(scheduler.nowMs(), leaderLease).toString();
  }

  /**
   * Another controller announced that it leads under this token. Ends an older term of this
   * controller, or reads the state service to learn of the change.
   */
  public void observeToken(long token) {
    if (term.isPresent() && term.get().isBefore(token)) {
      deposed("another controller has a higher token");
    } else {
      replica.readBarrier(isRead -> {});
    }
  }

  /** Ends this controller's term on any sign that a newer leader exists. */
  public void deposed(String cause) {
    leaderLease.end(cause);
    replica.readBarrier(isRead -> {});
  }

  /**
   * Resigns in favour of a controller that can do more, and is not a candidate again for a while.
   */
  public void resignWithBackoff(String cause) {
    backoff.resigned(scheduler.nowMs());
    LOG.info("resigning leadership: cause=\"{}\"", cause);
    resign();
  }

  /** Resigns at once, so that others need not wait for the lease to expire. */
  public void resign() {
    leaderLease.release("resigned");
  }

  /** A term begins and ends with the lease on the leader key. */
  private final class LeaseEvents implements RoleLease.Listener {
    @Override
    public void acquired(HeldRole role) {
      Term started = new Term(role.epoch(), role.modRevision(), role.sinceMs());
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
