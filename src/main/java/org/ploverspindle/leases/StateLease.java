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
  private static final long LONGEST_RENEWAL_MS = 60_000;

  private final Scheduler scheduler;
  private final StateStore store;
  private final LeaseTiming timing;
  private final Histogram renewalMs = new Histogram(LONGEST_RENEWAL_MS, 2);
  private Optional<Long> id = Optional.empty();
  private long sentMs;
  private boolean busy;

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
  long sentMs() {
    return sentMs;
  }

  /** Does the lease certainly live, if this process's clock is right? */
  boolean isCertainlyValid() {
    return scheduler.nowMs() < sentMs + timing.validMs();
  }

  /** Is enough of the lease left to take a duty under it? */
  boolean isFresh() {
    return id.isPresent() && scheduler.nowMs() <= sentMs + timing.freshMs();
  }

  /**
   * Opens a new lease; one that was held before is left to end by itself.
   *
   * @param wanted asked when the answer comes. A try under the former lease may have been carried
   *     out meanwhile: renewals of another lease than the record's would say nothing about it.
   * @param opened called when the new lease is this process's
   */
  void open(BooleanSupplier wanted, Runnable opened) {
    if (busy) {
      return;
    }
    busy = true;
    long askedMs = scheduler.nowMs();
    store.openLease(
        timing.ttlMs(),
        fresh -> {
          busy = false;
          if (fresh.isPresent() && !wanted.getAsBoolean()) {
            store.closeLease(fresh.get());
          } else if (fresh.isPresent()) {
            id = fresh;
            sentMs = askedMs;
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
    if (id.isPresent() && !busy && scheduler.nowMs() - sentMs >= timing.renewAfterMs()) {
      renew(id.get(), ended);
    }
  }

  private void renew(long lease, Runnable ended) {
    busy = true;
    long askedMs = scheduler.nowMs();
    store.renewLease(
        lease,
        result -> {
          busy = false;
          if (result == Renewal.RENEWED) {
            sentMs = Math.max(sentMs, askedMs);
            long tookMs = Math.max(0, scheduler.nowMs() - askedMs);
            renewalMs.recordValue(Math.min(LONGEST_RENEWAL_MS, tookMs));
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
