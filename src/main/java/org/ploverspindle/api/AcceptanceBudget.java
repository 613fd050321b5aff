package org.ploverspindle.api;

import java.util.OptionalLong;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.TokenBucket;

/**
 * How many records of accepted jobs may be written: this controller's share of the state service's
 * changes, and a little beyond it while the state service refuses no write.
 */
final class AcceptanceBudget {
  /** After a refused write each controller keeps to its share for this long. */
  private static final long SHARE_ONLY_AFTER_REFUSAL_MS = 5_000;

  /** Least time between a write and one beyond the share. */
  private static final long MIN_INTERVAL_BEYOND_SHARE_MS = 60;

  /** Changes that a refusal costs, so that the leader's writes get ahead of acceptances. */
  private static final double REFUSAL_COST = 2;

  /**
   * Permission for one write.
   *
   * @param records how many it may have; 0: no write now
   * @param withinShare whether it is charged to this controller's share
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

  /** What may be written now. */
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

  /** A write of so many records is sent by that grant. */
  void recordWrite(Grant grant, int records) {
    lastWriteMs = OptionalLong.of(scheduler.nowMs());
    if (grant.withinShare()) {
      share.take(records);
    }
  }

  /** The state service refused a write: all controllers together ask for more than it serves. */
  void recordRefusal() {
    share.take(REFUSAL_COST);
    lastRefusalMs = OptionalLong.of(scheduler.nowMs());
  }
}
