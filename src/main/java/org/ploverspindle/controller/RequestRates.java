package org.ploverspindle.controller;

import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.TokenBucket;

/**
 * Divides the rates that the state service allows among the controllers and their uses. All shares
 * together stay below the allowed rates, so that lease renewals find room.
 */
final class RequestRates {
  /** Shares of all requests; the rest is for writes, which are far fewer, and for renewals. */
  private static final double LEADER_READ_SHARE = 0.2;

  private static final double FOLLOWER_READ_SHARE = 0.45;
  private static final long MIN_LEADER_READ_INTERVAL_MS = 60;
  private static final long MIN_FOLLOWER_READ_INTERVAL_MS = 150;

  /** Shares of the writes, per second, and the number that may be sent at once. */
  private static final double LEADER_WRITE_SHARE = 0.65;

  private static final double LEADER_WRITE_BURST_SHARE = 0.4;
  private static final double MIN_LEADER_WRITE_BURST = 2;
  private static final double ACCEPTANCE_WRITE_SHARE = 0.12;
  private static final double MIN_ACCEPTANCE_WRITES_PER_S = 1;
  private static final double MIN_ACCEPTANCE_WRITE_BURST = 3;
  private static final double MS_PER_S = 1_000;

  private final Settings settings;

  RequestRates(Settings settings) {
    this.settings = settings;
  }

  /** How often the leader reads the state service at most. */
  long leaderReadIntervalMs() {
    double perSecond = settings.effectiveStateLimits().requestsPerS() * LEADER_READ_SHARE;
    return Math.max(MIN_LEADER_READ_INTERVAL_MS, Math.round(MS_PER_S / perSecond));
  }

  /** How often each other controller reads the state service at most. */
  long followerReadIntervalMs() {
    int followers = Math.max(1, settings.controllerCount() - 1);
    double perSecond =
        settings.effectiveStateLimits().requestsPerS() * FOLLOWER_READ_SHARE / followers;
    return Math.max(MIN_FOLLOWER_READ_INTERVAL_MS, Math.round(MS_PER_S / perSecond));
  }

  /** The budget of a leader's own writes. */
  TokenBucket leaderWriteBudget(Scheduler scheduler) {
    double writesPerS = settings.effectiveStateLimits().changesPerS();
    return new TokenBucket(
        scheduler,
        writesPerS * LEADER_WRITE_SHARE,
        Math.max(MIN_LEADER_WRITE_BURST, writesPerS * LEADER_WRITE_BURST_SHARE));
  }

  /**
   * The budget of one controller's writes for submissions and cancellations. They have a share of
   * their own on every controller: on the leader they would otherwise wait behind its own writes.
   * One write takes many submissions, so shares are seldom used up, and are not divided by the
   * number of controllers.
   */
  TokenBucket acceptanceWriteBudget(Scheduler scheduler) {
    double writesPerS = settings.effectiveStateLimits().changesPerS() * ACCEPTANCE_WRITE_SHARE;
    return new TokenBucket(
        scheduler,
        Math.max(MIN_ACCEPTANCE_WRITES_PER_S, writesPerS),
        Math.max(MIN_ACCEPTANCE_WRITE_BURST, writesPerS));
  }
}
