package org.ploverspindle.state;

import org.ploverspindle.eventloop.Scheduler;

/** A token bucket on the injected clock: a budget with a rate and a burst. */
public final class TokenBucket {
  private final Scheduler scheduler;
  private final double burst;
  private double ratePerSecond;
  private double tokens;
  private long lastRefillMs;

  /** A full bucket. */
  public TokenBucket(Scheduler scheduler, double ratePerSecond, double burst) {
    this.scheduler = scheduler;
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastRefillMs = scheduler.nowMs();
  }

  /** Changes the rate from now on. */
  public void setRate(double newRatePerSecond) {
    refill();
    ratePerSecond = newRatePerSecond;
  }

  private void refill() {
    long nowMs = scheduler.nowMs();
    tokens = Math.min(burst, tokens + (nowMs - lastRefillMs) * ratePerSecond / 1000.0);
    lastRefillMs = nowMs;
  }

  /** The tokens that may be taken now; negative while there is debt. */
  public double available() {
    refill();
    return tokens;
  }

  /** Takes the tokens if they are available. */
  public boolean tryTake(double amount) {
    refill();
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Takes tokens for what must be sent in any case; the bucket may go into debt. */
  public void take(double amount) {
    refill();
    tokens -= amount;
  }
}
