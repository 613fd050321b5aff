package org.ploverspindle.leases;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Renewal;

/**
 * One lease of the state service: keys that are attached to it are removed when it ends.
 *
 * <p>Its validity is counted from the sending of the last renewal that was answered, on the steady
 * clock: a renewal whose answer is lost may have been carried out, and is not counted.
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

  /** The lease's number in the state service, while it is not known to have ended. */
  Optional<Long> id() {
    return id;
  }

  /** When the last answered opening or renewal was sent. */
  long lastRenewalSentMs() {
    return lastRenewalSentMs;
  }

  /** Does the lease certainly live, if this process's clock is right? */
  boolean isCertainlyValid() {
    return scheduler.nowMs() < lastRenewalSentMs + timing.validMs();
  }

  /** Is enough of the lease left to take a duty under it? */
  boolean isFresh() {
    return id.isPresent() && scheduler.nowMs() <= lastRenewalSentMs + timing.freshMs();
  }

  /**
   * Opens a new lease; one that was held before is left to end by itself.
   *
   * @param wanted asked when the answer comes. A try under the former lease may have been carried
   *     out meanwhile: renewals of another lease than the record's would say nothing about it.
   * @param opened called when the new lease is this process's
   */
  void open(BooleanSupplier isStillWanted, Runnable opened) {
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
            opened.run();
          }
        });
  }

  /**
   * Renews the lease when its time has come. One that failed is repeated with the next call.
   *
   * @param ended called when the state service no longer knows the lease
   */
  void renewIfDue(Runnable ended) {
    if (id.isPresent()
        && !requestInFlight
        && scheduler.nowMs() - lastRenewalSentMs >= timing.renewAfterMs()) {
      renew(id.get(), ended);
    }
  }

  private void renew(long leaseId, Runnable ended) {
    requestInFlight = true;
    long requestSentMs = scheduler.nowMs();
    store.renewLease(
        leaseId,
        result -> {
          requestInFlight = false;
          if (result == Renewal.RENEWED) {
            lastRenewalSentMs = Math.max(lastRenewalSentMs, requestSentMs);
            long tookMs = Math.max(0, scheduler.nowMs() - requestSentMs);
            renewalMs.recordValue(Math.min(MAX_RECORDED_RENEWAL_MS, tookMs));
          } else if (result == Renewal.GONE) {
            id = Optional.empty();
            ended.run();
          }
        });
  }

  /** The state service said that there is no such lease. */
  void forget() {
    id = Optional.empty();
  }

  /** Ends the lease at once, so that others need not wait for it to run out. */
  void close() {
    id.ifPresent(store::closeLease);
    id = Optional.empty();
  }

  /** How long renewals took to be answered. */
  Histogram renewalMs() {
    return renewalMs;
  }
}
