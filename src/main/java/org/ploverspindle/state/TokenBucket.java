package org.ploverspindle.state;

import org.ploverspindle.eventloop.Scheduler;

/**
 * A token bucket that limits a rate and allows bursts. It reads time from the scheduler, so that
 * tests can simulate it.
 */
public final class TokenBucket {
  private final Scheduler scheduler;
  private final double burst;
  private double ratePerSecond;
  private double tokens;
  private long lastRefillMs;

  /**
   * Creates a full bucket.
   *
   * @param burst the capacity of the bucket in tokens
   */
  public TokenBucket(Scheduler scheduler, double ratePerSecond, double burst) {
    this.scheduler = scheduler;
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastRefillMs = scheduler.nowMs();
  }

  /** Sets the rate at which tokens are added from now on. */
  public void setRate(double newRatePerSecond) {
    refill();
    ratePerSecond = newRatePerSecond;
  }

  private void refill() {
    long nowMs = scheduler.nowMs();
    tokens = Math.min(burst, tokens + (nowMs - lastRefillMs) * ratePerSecond / 1000.0);
    lastRefillMs = nowMs;
  }

  /**
   * Returns the tokens that are available now. The number is negative if {@link #take} took more
   * than were available.
   */
  public double available() {
    refill();
    return tokens;
  }

  /** Takes the tokens if they are available; returns whether it did. */
  public boolean tryTake(double amount) {
    refill();
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /**
   * Takes tokens for a request that must be sent in any case. The available tokens may become
   * negative.
   */
  public void take(double amount) {
    refill();
    tokens -= amount;
  }
}
