package org.ploverspindle.api;

import java.util.OptionalLong;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.TokenBucket;

/**
 * Limits how many records of accepted jobs are written. A controller may use its share of the state
 * service's changes, and may also write single records beyond its share at intervals, as long as
 * the state service refuses no write.
 */
final class AcceptanceBudget {
  /** Time after a refused write during which a controller does not write beyond its share. */
  private static final long SHARE_ONLY_AFTER_REFUSAL_MS = 5_000;

  /** Minimum time between any write and a subsequent write beyond the share. */
  private static final long MIN_INTERVAL_BEYOND_SHARE_MS = 60;

  /**
   * Number of changes that are charged to the share for a refused write, so that the leader's
   * writes take precedence over acceptances.
   */
  private static final double REFUSAL_COST = 2;

  /**
   * Permission for one write.
   *
   * @param maxRecords largest number of records in the write; 0 means that nothing may be written
   *     now
   * @param withinShare whether the records are charged to this controller's share
   */
  record Grant(int maxRecords, boolean withinShare) {}

  private static final Grant NONE = new Grant(0, false);
  private static final Grant ONE_BEYOND_SHARE = new Grant(1, false);

  private final Scheduler scheduler;
  private final TokenBucket share;
  private OptionalLong lastWriteMs = OptionalLong.empty();
  private OptionalLong lastRefusalMs = OptionalLong.empty();

  AcceptanceBudget(Scheduler scheduler, TokenBucket share) {
    this.scheduler = scheduler;
    this.share = share;
  }

  /** Returns the permission for a write at this time, with at most {@code maxRecords} records. */
  Grant grant(int maxRecords) {
    int withinShare = (int) Math.min(maxRecords, Math.floor(share.available()));
    if (withinShare >= 1) {
      return new Grant(withinShare, true);
    }
    boolean refusedRecently = happenedWithin(SHARE_ONLY_AFTER_REFUSAL_MS, lastRefusalMs);
    return refusedRecently || happenedWithin(MIN_INTERVAL_BEYOND_SHARE_MS, lastWriteMs)
        ? NONE
        : ONE_BEYOND_SHARE;
  }

  private boolean happenedWithin(long periodMs, OptionalLong eventMs) {
    return eventMs.isPresent() && scheduler.nowMs() - eventMs.getAsLong() < periodMs;
  }

  /** Notes that a write with this number of records was sent under the grant. */
  void recordWrite(Grant grant, int records) {
    lastWriteMs = OptionalLong.of(scheduler.nowMs());
    if (grant.withinShare()) {
      share.take(records);
    }
  }

  /**
   * Notes that the state service refused a write, because all controllers together exceed its
   * limits.
   */
  void recordRefusal() {
    share.take(REFUSAL_COST);
    lastRefusalMs = OptionalLong.of(scheduler.nowMs());
  }
}
