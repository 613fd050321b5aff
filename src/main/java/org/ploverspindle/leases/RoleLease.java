package org.ploverspindle.leases;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires a role that one process may hold at a time, and keeps it. A record that is attached to a
 * lease of the state service names the holder. The transaction that writes the record also raises
 * the epoch, so epochs grow from holder to holder and none is used twice. A holder keeps the role
 * until its lease expires or it releases the role.
 */
public final class RoleLease {
  private static final Logger LOG = LoggerFactory.getLogger(RoleLease.class);

  /** Spreads the first attempts of all controllers after the holder's record is removed. */
  private static final int FIRST_ATTEMPT_JITTER_MS = 150;

  private static final int RETRY_DELAY_MS = 50;
  private static final int RETRY_JITTER_MS = 400;
  private static final long MAX_RECORDED_VACANCY_MS = 3_600_000;

  /** Is called on the event loop. */
  public interface Listener {
    /** The role is held; the replica has all that earlier holders wrote. */
    void acquired(HeldRole role);

    /** The role is lost: nothing may be done under it any more. */
    void lost(HeldRole role, String cause);

    /** May this process try to acquire the role now? Asked before each attempt. */
    boolean mayAcquire();
  }

  /**
   * Who tries to acquire which role, and for how long its lease lives.
   *
   * @param member the name of this controller
   */
  public record Candidacy(String member, RoleRecords records, LeaseTiming timing) {}

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final RandomGenerator random;
  private final StateLease lease;
  private final RoleRecords records;
  private final String member;
  private final String nonce;
  private final Listener listener;
  private final Histogram vacantMs = new Histogram(MAX_RECORDED_VACANCY_MS, 2);
  private Optional<HeldRole> held = Optional.empty();
  private Optional<Long> vacantSinceMs = Optional.empty();
  private Optional<String> lastUnreadableKey = Optional.empty();
  private boolean acquiring;
  private long nextAttemptMs;

  /** A role that no attempt is made for before the first {@link #tick}. */
  public RoleLease(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      RandomGenerator random,
      Candidacy candidacy,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.random = random;
    this.lease = new StateLease(scheduler, store, candidacy.timing());
    this.records = candidacy.records();
    this.member = candidacy.member();
    this.nonce = Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
    this.listener = listener;
    replica.addListener(this::holderRecordChanged);
  }

  /** The role, if this process holds it as far as it knows. */
  public Optional<HeldRole> held() {
    return held;
  }

  /**
   * Does this process certainly hold the role, if its clock runs at the right rate? To be asked
   * last before each send. It is no proof: only the receiver's check of the epoch is.
   */
  public boolean isCertainlyHeld() {
    return held.isPresent() && lease.isCertainlyValid();
  }

  /** When the lease was last known to be valid, on the steady clock. */
  public long lastRenewalMs() {
    return lease.lastRenewalSentMs();
  }

  /** The holder by the replica, whichever controller it is. */
  public Optional<RoleHolder> holder() {
    return replica.get(records.holderKey()).map(Entry::value).flatMap(records::decode);
  }

  /** How long renewals of the lease took to be answered, in milliseconds. */
  public Histogram renewalMs() {
    return lease.renewalMs();
  }

  /** For how long the role had no holder, each time, in milliseconds, as this process saw it. */
  public Histogram vacantMs() {
    return vacantMs;
  }

  /** Renews the lease or tries to acquire the role. To be called many times within a lease. */
  public void tick() {
    if (!replica.isLoaded()) {
      return;
    }
    if (held.isPresent()) {
      lease.renewIfDue(() -> end("the state lease ended"));
    } else if (isVacant()) {
      tryToAcquire();
    }
  }

  private boolean isVacant() {
    return replica.get(records.holderKey()).isEmpty();
  }

  private void tryToAcquire() {
    if (acquiring || scheduler.nowMs() < nextAttemptMs || !listener.mayAcquire()) {
      return;
    }
    // A lease is opened only for an attempt: renewals by all controllers would use up the shared
    // rate limit of the state service.
    if (!lease.isFreshEnoughToAcquire()) {
      lease.open(this::isVacant, this::tick);
      return;
    }
    Optional<Entry> epochRecord = replica.get(records.epochKey());
    Optional<Long> epoch = records.nextEpoch(epochRecord.map(Entry::value));
    if (epoch.isEmpty()) {
      // A guessed epoch could be one that a former holder still acts under.
      logUnreadable(records.epochKey());
      return;
    }
    acquire(epoch.get(), epochRecord.map(Entry::modRevision).orElse(0L), lease.id().orElseThrow());
  }

  private void acquire(long epoch, long epochModRevision, long leaseId) {
    acquiring = true;
    JsonNode record = records.encode(new RoleHolder(member, nonce, epoch, leaseId));
    store.commit(
        new StateStore.Transaction(
            List.of(
                new Condition(records.holderKey(), 0),
                new Condition(records.epochKey(), epochModRevision)),
            List.of(
                new Change.Put(records.holderKey(), record, Optional.of(leaseId)),
                new Change.Put(records.epochKey(), records.encodeEpochs(epoch)))),
        result -> {
          if (result instanceof TransactionResult.NoSuchLease) {
            lease.discard();
          }
          // Whatever the result, the replica shows who holds the role: an attempt without an answer
          // may have been executed.
          replica.readBarrier(
              isRead -> {
                acquiring = false;
                nextAttemptMs =
                    scheduler.nowMs() + RETRY_DELAY_MS + random.nextInt(RETRY_JITTER_MS);
              });
        });
  }

  private void holderRecordChanged(String key, Optional<Entry> entry) {
    if (!key.equals(records.holderKey())) {
      return;
    }
    if (entry.isEmpty()) {
      vacantSinceMs = Optional.of(scheduler.nowMs());
      nextAttemptMs = scheduler.nowMs() + random.nextInt(FIRST_ATTEMPT_JITTER_MS);
      end("the holder's record is gone");
      return;
    }
    vacantSinceMs.ifPresent(this::recordVacancy);
    vacantSinceMs = Optional.empty();
    Optional<RoleHolder> holder = records.decode(entry.get().value());
    if (holder.isEmpty()) {
      logUnreadable(key);
      end("the holder's record is malformed");
    } else if (isOwnRecord(holder.get())) {
      ownRecordWritten(entry.get().modRevision(), holder.get());
    } else {
      closeIfAbandoned(holder.get());
      end("another controller holds the role: " + holder.get().member());
    }
  }

  private void recordVacancy(long sinceMs) {
    long durationMs = Math.max(0, scheduler.nowMs() - sinceMs);
    vacantMs.recordValue(Math.min(MAX_RECORDED_VACANCY_MS, durationMs));
  }

  /**
   * Was the record written by this process under its current lease? An attempt that was executed
   * late, under a lease that was dropped, does not count: its record is removed with that lease.
   */
  private boolean isOwnRecord(RoleHolder holder) {
    return holder.nonce().equals(nonce) && lease.id().map(id -> id == holder.lease()).orElse(false);
  }

  /**
   * Ends the lease of a record that was left by an earlier process of this controller, or by a late
   * attempt of it: nobody renews that lease, and others need not wait for it to expire.
   */
  private void closeIfAbandoned(RoleHolder holder) {
    if (holder.member().equals(member)) {
      store.closeLease(holder.lease());
    }
  }

  private void ownRecordWritten(long modRevision, RoleHolder ownRecord) {
    if (held.isPresent() && held.get().modRevision() == modRevision) {
      return;
    }
    end("the holder's record was replaced");
    HeldRole role = new HeldRole(ownRecord.epoch(), modRevision, scheduler.nowMs());
    // One more read after the record was written: then the replica has every write of earlier
    // holders, and any later one fails on its condition.
    replica.readBarrier(isRead -> confirmAcquired(role, ownRecord.lease(), isRead));
  }

  /** Begins to hold the role, unless it was lost or released while the replica was read. */
  private void confirmAcquired(HeldRole role, long leaseId, boolean isRead) {
    boolean isCurrent =
        replica
            .get(records.holderKey())
            .map(entry -> entry.modRevision() == role.modRevision())
            .orElse(false);
    boolean isLeaseCurrent = lease.id().map(id -> id == leaseId).orElse(false);
    if (!isCurrent || !isLeaseCurrent || held.isPresent()) {
      return;
    }
    if (!isRead) {
      replica.readBarrier(isReadAgain -> confirmAcquired(role, leaseId, isReadAgain));
      return;
    }
    held = Optional.of(role);
    listener.acquired(role);
  }

  /** Ends the role in this process on a sign that it is lost; the record stays with its lease. */
  public void end(String cause) {
    if (held.isPresent()) {
      HeldRole lostRole = held.get();
      held = Optional.empty();
      listener.lost(lostRole, cause);
    }
  }

  /** Releases the role at once, so that others need not wait for the lease to expire. */
  public void release(String cause) {
    lease.close();
    end(cause);
  }

  private void logUnreadable(String key) {
    if (!lastUnreadableKey.equals(Optional.of(key))) {
      lastUnreadableKey = Optional.of(key);
      LOG.error("role not acquired, its record is malformed: role={} key={}", records.name(), key);
    }
  }
}
