package org.ploverspindle.controller;

import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.TokenBucket;

/**
 * Divides the request and change rates that the state service allows among the controllers and
 * their uses. The read shares together, and the share of the leader's own writes, stay below the
 * allowed rates, so that lease renewals find room.
 */
final class RequestRates {
  /**
   * Share of the allowed requests for the reads of the leader. What the two read shares leave over
   * is for writes, which are far fewer, and for lease renewals.
   */
  private static final double LEADER_READ_SHARE = 0.2;

  /** Share of the allowed requests for the reads of all other controllers together. */
  private static final double FOLLOWER_READ_SHARE = 0.45;

  /**
   * Share of the allowed requests for the loads of all controllers together, as all may have to
   * load at the same time. A controller that loads sends no other reads.
   */
  private static final double LOAD_SHARE = 0.5;

  private static final long MIN_LEADER_READ_INTERVAL_MS = 60;
  private static final long MIN_FOLLOWER_READ_INTERVAL_MS = 150;

  /** Share of the allowed changes per second for the leader's own writes. */
  private static final double LEADER_WRITE_SHARE = 0.65;

  /** Changes that the leader may send at once, as a share of the allowed changes per second. */
  private static final double LEADER_WRITE_BURST_SHARE = 0.4;

  private static final double MIN_LEADER_WRITE_BURST = 2;

  /** Share of the allowed changes per second for one controller's submissions and cancellations. */
  private static final double ACCEPTANCE_WRITE_SHARE = 0.12;

  private static final double MIN_ACCEPTANCE_WRITES_PER_S = 1;
  private static final double MIN_ACCEPTANCE_WRITE_BURST = 3;
  private static final double MS_PER_S = 1_000;

  private final Settings settings;

  RequestRates(Settings settings) {
    this.settings = settings;
  }

  /**
   * Returns the average time between two reads that the leader's share allows, in milliseconds, but
   * not less than {@link #MIN_LEADER_READ_INTERVAL_MS}.
   */
  long leaderReadIntervalMs() {
    double perSecond = settings.effectiveStateLimits().requestsPerS() * LEADER_READ_SHARE;
    return Math.max(MIN_LEADER_READ_INTERVAL_MS, Math.round(MS_PER_S / perSecond));
  }

  /**
   * Returns the average time between two reads that the share of each other controller allows, in
   * milliseconds, but not less than {@link #MIN_FOLLOWER_READ_INTERVAL_MS}.
   */
  long followerReadIntervalMs() {
    int followers = Math.max(1, settings.controllerCount() - 1);
    double perSecond =
        settings.effectiveStateLimits().requestsPerS() * FOLLOWER_READ_SHARE / followers;
    return Math.max(MIN_FOLLOWER_READ_INTERVAL_MS, Math.round(MS_PER_S / perSecond));
  }

  /** Returns how many requests per second a load of this controller may send on average. */
  double loadRequestsPerS() {
    return settings.effectiveStateLimits().requestsPerS() * LOAD_SHARE / settings.controllerCount();
  }

  /** Creates the budget of changes for the leader's own writes. */
  TokenBucket leaderWriteBudget(Scheduler scheduler) {
    double writesPerS = settings.effectiveStateLimits().changesPerS();
    return new TokenBucket(
        scheduler,
        writesPerS * LEADER_WRITE_SHARE,
        Math.max(MIN_LEADER_WRITE_BURST, writesPerS * LEADER_WRITE_BURST_SHARE));
  }

  /**
   * Creates the budget of changes for one controller's submissions and cancellations. It is
   * separate from {@link #leaderWriteBudget}, since submissions on the leader would otherwise wait
   * behind the leader's own writes. Every controller gets the whole share: one write takes many
   * submissions, so the share is seldom used up and is not divided by the number of controllers.
   */
  TokenBucket acceptanceWriteBudget(Scheduler scheduler) {
    double writesPerS = settings.effectiveStateLimits().changesPerS() * ACCEPTANCE_WRITE_SHARE;
    return new TokenBucket(
        scheduler,
        Math.max(MIN_ACCEPTANCE_WRITES_PER_S, writesPerS),
        Math.max(MIN_ACCEPTANCE_WRITE_BURST, writesPerS));
  }
}
