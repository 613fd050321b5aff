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
 * Acquires and keeps a role that only one process may hold at a time. A record that is attached to
 * a lease of the state service names the holder. The transaction that writes the record also raises
 * the epoch, so that each holder has a higher epoch than all earlier holders. A holder keeps the
 * role until its lease expires or it releases the role.
 */
public final class RoleLease {
  private static final Logger LOG = LoggerFactory.getLogger(RoleLease.class);

  /**
   * The upper bound of the random delay before the first attempt to acquire the role after the
   * holder's record is removed. The delay keeps all controllers from trying at the same time.
   */
  private static final int FIRST_ATTEMPT_JITTER_MS = 150;

  /**
   * The upper bound of the random delay before the first attempt after this process has loaded its
   * replica. Controllers that started together have loaded at about the same time.
   */
  private static final int START_JITTER_MS = 400;

  private static final int RETRY_DELAY_MS = 50;
  private static final int RETRY_JITTER_MS = 400;
  private static final long MAX_RECORDED_VACANCY_MS = 3_600_000;

  /** Is notified of acquiring and losing the role; its methods are called on the event loop. */
  public interface Listener {
    /** Called when the role is held and the replica contains all writes of earlier holders. */
    void acquired(HeldRole role);

    /** Called when the role is lost. From then on, no action may be taken under it. */
    void lost(HeldRole role, String cause);

    /** Returns whether this process may try to acquire the role now; called before each attempt. */
    boolean mayAcquire();
  }

  /**
   * The candidacy of a controller for a role.
   *
   * @param controllerName the name of this controller
   * @param records the keys and the encoding of the role's records
   * @param timing the timing of the lease that the holder's record is attached to
   */
  public record Candidacy(String controllerName, RoleRecords records, LeaseTiming timing) {}

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final RandomGenerator random;
  private final StateLease lease;
  private final RoleRecords records;
  private final String controllerName;
  private final String nonce;
  private final Listener listener;
  private final Histogram vacancyDurationsMs = new Histogram(MAX_RECORDED_VACANCY_MS, 2);
  private Optional<HeldRole> held = Optional.empty();
  private Optional<Long> vacantSinceMs = Optional.empty();
  private Optional<String> lastUnreadableKey = Optional.empty();
  private boolean acquiring;
  private boolean startDelayed;
  private boolean vacancyConfirmed;
  private long nextAttemptMs;

  /** Creates a candidate that does not try to acquire the role before the first {@link #tick}. */
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
    this.controllerName = candidacy.controllerName();
    this.nonce = Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
    this.listener = listener;
    replica.addListener(this::holderRecordChanged);
  }

  /** Returns the role if this process holds it as far as it knows. */
  public Optional<HeldRole> held() {
    return held;
  }

  /**
   * Returns whether this process certainly holds the role, provided that its clock runs at the
   * right rate. Callers must check this immediately before each request that they send under the
   * role. The result is no proof, since the process may be paused before it sends: only the
   * receiver's check of the epoch or of the mod revision proves that the role is held.
   */
  public boolean isCertainlyHeld() {
    return held.isPresent() && lease.isCertainlyValid();
  }

  /**
   * Returns when the last acknowledged request to open or renew the lease was sent, in milliseconds
   * on the monotonic clock.
   */
  public long lastRenewalSentMs() {
    return lease.lastRenewalSentMs();
  }

  /** Returns the holder that the replica shows, which may be any controller. */
  public Optional<RoleHolder> holder() {
    return replica.get(records.holderKey()).map(Entry::value).flatMap(records::decode);
  }

  /** Returns the response times of acknowledged renewals of the lease, in milliseconds. */
  public Histogram renewalDurationsMs() {
    return lease.renewalDurationsMs();
  }

  /**
   * Returns the durations of the periods without a holder that this process saw, in milliseconds.
   */
  public Histogram vacancyDurationsMs() {
    return vacancyDurationsMs;
  }

  /**
   * Renews the lease if a renewal is due, or tries to acquire the role if it has no holder. Must be
   * called many times within the time to live of the lease.
   */
  public void tick() {
    if (!replica.isLoaded()) {
      return;
    }
    if (held.isPresent()) {
      lease.renewIfDue(() -> stopHolding("the state lease ended"));
    } else if (isVacant()) {
      tryToAcquire();
    }
  }

  private boolean isVacant() {
    return replica.get(records.holderKey()).isEmpty();
  }

  private void tryToAcquire() {
    if (!startDelayed) {
      startDelayed = true;
      nextAttemptMs = scheduler.nowMs() + random.nextInt(START_JITTER_MS);
    }
    if (acquiring || scheduler.nowMs() < nextAttemptMs || !listener.mayAcquire()) {
      return;
    }
    if (!vacancyConfirmed) {
      confirmVacancy();
      return;
    }
    // A lease is opened only for an attempt to acquire the role. If all controllers kept a lease,
    // its
    // renewals would use up the rate limit of the state service, which all controllers share.
    if (!lease.isFreshEnoughToAcquire()) {
      lease.open(this::isVacant, this::tick);
      return;
    }
    Optional<Entry> epochRecord = replica.get(records.epochKey());
    Optional<Long> epoch = records.nextEpoch(epochRecord.map(Entry::value));
    if (epoch.isEmpty()) {
      // The role is not acquired with a guessed epoch, since a former holder could still use it.
      logUnreadable(records.epochKey());
      return;
    }
    acquire(epoch.get(), epochRecord.map(Entry::modRevision).orElse(0L), lease.id().orElseThrow());
  }

  /**
   * Reads whether the role is still vacant after the delay of the first attempt. Otherwise all
   * controllers that started together would send a transaction, and the failed ones use up the rate
   * of changes that the first leader needs.
   */
  private void confirmVacancy() {
    acquiring = true;
    replica.readBarrier(
        isRead -> {
          acquiring = false;
          vacancyConfirmed = isRead;
          tick();
        });
  }

  private void acquire(long epoch, long epochModRevision, long leaseId) {
    acquiring = true;
    JsonNode record = records.encode(new RoleHolder(controllerName, nonce, epoch, leaseId));
    store.commit(
        new StateStore.Transaction(
            List.of(
                new Condition(records.holderKey(), 0),
                new Condition(records.epochKey(), epochModRevision)),
            List.of(
                new Change.Put(records.holderKey(), record, Optional.of(leaseId)),
                new Change.Put(records.epochKey(), records.encodeEpoch(epoch)))),
        result -> {
          if (result instanceof TransactionResult.NoSuchLease) {
            lease.discard();
          }
          // Only the replica shows who holds the role, whatever the result of the transaction is: a
          // transaction without a response may have been executed.
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
      stopHolding("the holder's record is gone");
      return;
    }
    vacantSinceMs.ifPresent(this::recordVacancy);
    vacantSinceMs = Optional.empty();
    Optional<RoleHolder> holder = records.decode(entry.get().value());
    if (holder.isEmpty()) {
      logUnreadable(key);
      stopHolding("the holder's record is malformed");
    } else if (isOwnRecord(holder.get())) {
      ownRecordWritten(entry.get().modRevision(), holder.get());
    } else {
      closeIfAbandoned(holder.get());
      stopHolding("another controller holds the role: " + holder.get().controllerName());
    }
  }

  private void recordVacancy(long sinceMs) {
    long durationMs = Math.max(0, scheduler.nowMs() - sinceMs);
    vacancyDurationsMs.recordValue(Math.min(MAX_RECORDED_VACANCY_MS, durationMs));
  }

  /**
   * Returns whether this process wrote the record under its current lease. A record that was
   * written late, under an earlier lease of this process, does not count, because it is removed
   * when that lease ends.
   */
  private boolean isOwnRecord(RoleHolder holder) {
    return holder.nonce().equals(nonce)
        && lease.id().map(id -> id == holder.leaseId()).orElse(false);
  }

  /**
   * Ends the lease of a record that an earlier process of this controller wrote, or that this
   * process wrote late under an earlier lease. No process renews that lease, and ending it lets
   * controllers acquire the role without waiting for it to expire.
   */
  private void closeIfAbandoned(RoleHolder holder) {
    if (holder.controllerName().equals(controllerName)) {
      store.closeLease(holder.leaseId());
    }
  }

  private void ownRecordWritten(long modRevision, RoleHolder ownRecord) {
    if (held.isPresent() && held.get().modRevision() == modRevision) {
      return;
    }
    stopHolding("the holder's record was replaced");
    HeldRole role = new HeldRole(ownRecord.epoch(), modRevision, scheduler.nowMs());
    // After a read that is sent now, the replica contains every write of earlier holders that was
    // executed. Their later writes fail, as they are conditional on the replaced holder's record.
    replica.readBarrier(isRead -> confirmAcquired(role, ownRecord.leaseId(), isRead));
  }

  /**
   * Begins to hold the role, unless it was lost or released while the replica was read. A failed
   * read is repeated.
   */
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

  /**
   * Stops holding the role in this process because it may have been lost. The holder's record stays
   * until its lease ends.
   */
  public void stopHolding(String cause) {
    if (held.isPresent()) {
      HeldRole lostRole = held.get();
      held = Optional.empty();
      listener.lost(lostRole, cause);
    }
  }

  /**
   * Releases the role immediately, so that other controllers can acquire it without waiting for the
   * lease to expire.
   */
  public void release(String cause) {
    lease.close();
    stopHolding(cause);
  }

  private void logUnreadable(String key) {
    if (!lastUnreadableKey.equals(Optional.of(key))) {
      lastUnreadableKey = Optional.of(key);
      LOG.error("role not acquired, its record is malformed: role={} key={}", records.name(), key);
    }
  }
}
