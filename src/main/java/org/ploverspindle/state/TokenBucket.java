package org.ploverspindle.state;

import org.ploverspindle.eventloop.Scheduler;

/** Budget of a rate with a burst, on the injected clock. */
public final class TokenBucket {
  private final Scheduler clock;
  private final double burst;
  private double perSecond;
  private double tokens;
  private long lastMs;

  public TokenBucket(Scheduler clock, double perSecond, double burst) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastMs = clock.nowMs();
  }

  public void rate(double newPerSecond) {
    refill();
    perSecond = newPerSecond;
  }

  private void refill() {
    long now = clock.nowMs();
    tokens = Math.min(burst, tokens + (now - lastMs) * perSecond / 1000.0);
    lastMs = now;
  }

  public double available() {
    refill();
    return tokens;
  }

  public boolean tryTake(double n) {
    refill();
    if (tokens < n) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Takes what must go out in any case; the debt is paid by what comes later. */
  public void take(double n) {
    refill();
    tokens -= n;
  }
}
