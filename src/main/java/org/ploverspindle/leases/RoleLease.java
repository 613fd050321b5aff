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
 * Takes one duty and keeps it: a record attached to a lease of the state service says who holds it.
 * The transaction that writes the record also raises the epoch, so epochs grow with holders and
 * none is used twice. A holder keeps its duty until its lease ends or it gives the duty up.
 */
public final class RoleLease {
  private static final Logger LOG = LoggerFactory.getLogger(RoleLease.class);

  /** After the record is gone, controllers try one after the other and not all at once. */
  private static final int FIRST_ATTEMPT_JITTER_MS = 150;

  private static final int RETRY_DELAY_MS = 50;
  private static final int RETRY_JITTER_MS = 400;
  private static final long MAX_RECORDED_VACANCY_MS = 3_600_000;

  /** What the process is told; always on the loop. */
  public interface Listener {
    /** The duty is held; the replica has all that earlier holders wrote. */
    void acquired(HeldRole role);

    /** The duty is over: nothing may be done under it any more. */
    void lost(HeldRole role, String cause);

    /** May this process try to take the duty now? Asked before each try. */
    boolean mayAcquire();
  }

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

  /** A duty that is not tried for before the first {@link #tick}. */
  public RoleLease(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      RandomGenerator random,
      LeaseTiming timing,
      RoleRecords records,
      String member,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.random = random;
    this.lease = new StateLease(scheduler, store, timing);
    this.records = records;
    this.member = member;
    this.nonce = Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
    this.listener = listener;
    replica.addListener(this::holderRecordChanged);
  }

  /** The duty, if this process holds it as far as it knows. */
  public Optional<HeldRole> held() {
    return held;
  }

  /**
   * Does this process certainly hold the duty, if its clock is right? To be asked last before each
   * send; the receiver's check is the proof.
   */
  public boolean isCertainlyHeld() {
    return held.isPresent() && lease.isCertainlyValid();
  }

  /** When the lease was last known to live, on the steady clock. */
  public long lastRenewalMs() {
    return lease.lastRenewalSentMs();
  }

  /** The holder by the replica, whoever it is. */
  public Optional<RoleHolder> holder() {
    return replica.get(records.holderKey()).map(Entry::value).flatMap(records::decode);
  }

  /** How long answers to renewals took. */
  public Histogram renewalMs() {
    return lease.renewalMs();
  }

  /** For how long the duty had no holder, each time, as this process saw it. */
  public Histogram vacantMs() {
    return vacantMs;
  }

  /** Renews the lease or tries to take the duty. To be called many times within a lease. */
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
    // Only who tries needs a lease: renewals of all others would use up shared requests.
    if (!lease.isFresh()) {
      lease.open(this::isVacant, this::tick);
      return;
    }
    Optional<Entry> epochRecord = replica.get(records.epochKey());
    Optional<Long> epoch = records.nextEpoch(epochRecord.map(Entry::value));
    if (epoch.isEmpty()) {
      // Any guess could be an epoch that a former holder still acts under.
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
            lease.forget();
          }
          // Whatever was answered, the replica tells who holds the duty: an unanswered try may
          // have been carried out.
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
      end("the record of the holder is gone");
      return;
    }
    vacantSinceMs.ifPresent(this::recordVacancy);
    vacantSinceMs = Optional.empty();
    Optional<RoleHolder> holder = records.decode(entry.get().value());
    if (holder.isEmpty()) {
      logUnreadable(key);
      end("the record of the holder can't be read");
    } else if (isOurs(holder.get())) {
      acquiredAt(entry.get().modRevision(), holder.get());
    } else {
      closeIfAbandoned(holder.get());
      end("another controller holds the duty: " + holder.get().member());
    }
  }

  private void recordVacancy(long sinceMs) {
    long durationMs = Math.max(0, scheduler.nowMs() - sinceMs);
    vacantMs.recordValue(Math.min(MAX_RECORDED_VACANCY_MS, durationMs));
  }

  /**
   * A try that was carried out late, under a lease that was given up or is not renewed any more, is
   * not ours: the record goes with that lease, whatever is known of another one.
   */
  private boolean isOurs(RoleHolder holder) {
    return holder.nonce().equals(nonce) && lease.id().map(id -> id == holder.lease()).orElse(false);
  }

  /**
   * Left by this controller's process before this one, or by a try of it that was carried out late:
   * nobody renews it, and the others need not wait for its end.
   */
  private void closeIfAbandoned(RoleHolder holder) {
    if (holder.member().equals(member)) {
      store.closeLease(holder.lease());
    }
  }

  private void acquiredAt(long modRevision, RoleHolder ownRecord) {
    if (held.isPresent() && held.get().modRevision() == modRevision) {
      return;
    }
    end("the record of the holder is a newer one");
    HeldRole role = new HeldRole(ownRecord.epoch(), modRevision, scheduler.nowMs());
    // One more read after our record stood: then the replica has every write of earlier holders,
    // and later ones fail on their condition.
    replica.readBarrier(isRead -> confirmAcquired(role, ownRecord.lease(), isRead));
  }

  /** Meanwhile another one may have taken the duty, or this process have given it up. */
  private void confirmAcquired(HeldRole role, long leaseId, boolean isRead) {
    boolean isCurrent =
        replica
            .get(records.holderKey())
            .map(e -> e.modRevision() == role.modRevision())
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

  /** Ends the duty here on a sign that it is over; the record is left to its lease. */
  public void end(String cause) {
    if (held.isPresent()) {
      HeldRole lost = held.get();
      held = Optional.empty();
      listener.lost(lost, cause);
    }
  }

  /** Gives the duty up at once, so that others need not wait for the lease to end. */
  public void release(String cause) {
    lease.close();
    end(cause);
  }

  private void logUnreadable(String key) {
    if (!lastUnreadableKey.equals(Optional.of(key))) {
      lastUnreadableKey = Optional.of(key);
      LOG.error(
          "the record {} can't be read: the duty {} is not taken by guess", key, records.name());
    }
  }
}
