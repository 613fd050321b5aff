package org.ploverspindle.leases;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Renewal;

/**
 * One lease of the state service, which removes the keys that are attached to it when it expires.
 *
 * <p>Its validity is counted from the sending of the last renewal that was answered, on the steady
 * clock. A renewal whose answer is lost may have been executed, but is not counted.
 */
final class StateLease {
  private static final long MAX_RECORDED_RENEWAL_MS = 60_000;

  private final Scheduler scheduler;
  private final StateStore store;
  private final LeaseTiming timing;
  private final Histogram renewalMs = new Histogram(MAX_RECORDED_RENEWAL_MS, 2);
  private Optional<Long> id = Optional.empty();
  private long lastRenewalSentMs;
  private boolean requestInFlight;

  StateLease(Scheduler scheduler, StateStore store, LeaseTiming timing) {
    this.scheduler = scheduler;
    this.store = store;
    this.timing = timing;
  }

  /** The lease's id in the state service, while the lease is not known to have ended. */
  Optional<Long> id() {
    return id;
  }

  /** When the last request to open or renew the lease that was answered was sent. */
  long lastRenewalSentMs() {
    return lastRenewalSentMs;
  }

  /** Is the lease certainly valid, if this process's clock runs at the right rate? */
  boolean isCertainlyValid() {
    return scheduler.nowMs() < lastRenewalSentMs + timing.validMs();
  }

  /** Is enough of the lease left to acquire a role under it? */
  boolean isFreshEnoughToAcquire() {
    return id.isPresent() && scheduler.nowMs() <= lastRenewalSentMs + timing.maxAgeToAcquireMs();
  }

  /**
   * Opens a new lease; an earlier one is left to expire by itself.
   *
   * @param isStillWanted asked when the lease is opened. An attempt to acquire the role under the
   *     earlier lease may have been executed meanwhile: then the record depends on that lease, and
   *     renewals of the new one would not keep it.
   * @param opened called when the new lease is this process's
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
   * Renews the lease if a renewal is due. A failed renewal is repeated with the next call.
   *
   * @param ended called when the state service no longer knows the lease
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
            renewalMs.recordValue(Math.min(MAX_RECORDED_RENEWAL_MS, durationMs));
          } else if (result == Renewal.GONE) {
            id = Optional.empty();
            onExpired.run();
          }
        });
  }

  /** Drops the lease: the state service does not know it. */
  void discard() {
    id = Optional.empty();
  }

  /** Ends the lease at once, so that others need not wait for it to expire. */
  void close() {
    id.ifPresent(store::closeLease);
    id = Optional.empty();
  }

  /** How long renewals took to be answered, in milliseconds. */
  Histogram renewalMs() {
    return renewalMs;
  }
}
