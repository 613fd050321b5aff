package org.ploverspindle.leases;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Renewal;

/**
 * A lease of the state service. The state service removes the keys that are attached to a lease
 * when the lease expires.
 *
 * <p>The validity of the lease is counted from the time at which the last acknowledged renewal was
 * sent, on the monotonic clock. A renewal whose response was lost may have been executed, but does
 * not extend the validity.
 */
final class StateLease {
  private static final long MAX_RECORDED_RENEWAL_MS = 60_000;

  private final Scheduler scheduler;
  private final StateStore store;
  private final LeaseTiming timing;
  private final Histogram renewalDurationsMs = new Histogram(MAX_RECORDED_RENEWAL_MS, 2);
  private Optional<Long> id = Optional.empty();
  private long lastRenewalSentMs;
  private boolean requestInFlight;

  StateLease(Scheduler scheduler, StateStore store, LeaseTiming timing) {
    this.scheduler = scheduler;
    this.store = store;
    this.timing = timing;
  }

  /** Returns the id of the lease in the state service; empty if there is none or it has ended. */
  Optional<Long> id() {
    return id;
  }

  /**
   * Returns when the last acknowledged request to open or renew the lease was sent, in milliseconds
   * on the monotonic clock.
   */
  long lastRenewalSentMs() {
    return lastRenewalSentMs;
  }

  /**
   * Returns whether the lease is certainly valid, provided that the clock runs at the right rate.
   */
  boolean isCertainlyValid() {
    return scheduler.nowMs() < lastRenewalSentMs + timing.validMs();
  }

  /** Returns whether the last renewal is recent enough to acquire a role under the lease. */
  boolean isFreshEnoughToAcquire() {
    return id.isPresent() && scheduler.nowMs() <= lastRenewalSentMs + timing.maxAgeToAcquireMs();
  }

  /**
   * Opens a new lease that replaces the current one, which expires without renewals. Does nothing
   * if another request is in flight.
   *
   * @param isStillWanted called when the lease was opened; if it returns false, the new lease is
   *     ended. A late transaction may have written the holder's record under the current lease in
   *     the meantime, and renewals of the new lease would not keep that record.
   * @param onOpened called after the new lease replaced the current one
   */
  void open(BooleanSupplier isStillWanted, Runnable onOpened) {
    if (requestInFlight) {
      return;
    }
    requestInFlight = true;
    long requestSentMs = scheduler.nowMs();
    store.openLease(
        timing.ttlMs(),
        leaseId -> {
          requestInFlight = false;
          if (leaseId.isPresent() && !isStillWanted.getAsBoolean()) {
            store.closeLease(leaseId.get());
          } else if (leaseId.isPresent()) {
            id = leaseId;
            lastRenewalSentMs = requestSentMs;
            onOpened.run();
          }
        });
  }

  /**
   * Renews the lease if a renewal is due. The next call repeats a failed renewal.
   *
   * @param onExpired called if the state service no longer has the lease
   */
  void renewIfDue(Runnable onExpired) {
    if (id.isPresent()
        && !requestInFlight
        && scheduler.nowMs() - lastRenewalSentMs >= timing.renewAfterMs()) {
      renew(id.get(), onExpired);
    }
  }

  private void renew(long leaseId, Runnable onExpired) {
    requestInFlight = true;
    long requestSentMs = scheduler.nowMs();
    store.renewLease(
        leaseId,
        result -> {
          requestInFlight = false;
          if (result == Renewal.RENEWED) {
            lastRenewalSentMs = Math.max(lastRenewalSentMs, requestSentMs);
            long durationMs = Math.max(0, scheduler.nowMs() - requestSentMs);
            renewalDurationsMs.recordValue(Math.min(MAX_RECORDED_RENEWAL_MS, durationMs));
          } else if (result == Renewal.GONE) {
            id = Optional.empty();
            onExpired.run();
          }
        });
  }

  /** Forgets the lease after the state service reported that it does not exist. */
  void discard() {
    id = Optional.empty();
  }

  /** Ends the lease immediately, so that its keys are removed before it would expire. */
  void close() {
    id.ifPresent(store::closeLease);
    id = Optional.empty();
  }

  /** Returns the response times of acknowledged renewals, in milliseconds. */
  Histogram renewalDurationsMs() {
    return renewalDurationsMs;
  }
}
