package org.ploverspindle.sim;

/** A published limit on a rate: what it allows, what it refused, and the most asked in a second. */
final class RateLimiter {
  private final SimClock clock;
  private final double burstSeconds;
  private double perSecond;
  private double burst;
  private double tokens;
  private long lastMs;
  private long second = -1;
  private double inSecond;
  private double most;
  private long asked;
  private long refused;
  private double amount;

  RateLimiter(SimClock clock, double perSecond, double burstSeconds) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.burstSeconds = burstSeconds;
    this.burst = perSecond * burstSeconds;
    this.tokens = burst;
  }

  /** From now on it allows this. */
  void perSecond(double now) {
    perSecond = now;
    burst = now * burstSeconds;
  }

  boolean take(double n) {
    long now = clock.nowMs();
    tokens = Math.min(burst, tokens + (now - lastMs) * perSecond / 1000.0);
    lastMs = now;
    asked++;
    amount += n;
    inSecond = now / 1000 == second ? inSecond + n : n;
    second = now / 1000;
    most = Math.max(most, inSecond);
    if (tokens < n) {
      refused++;
      return false;
    }
    tokens -= n;
    return true;
  }

  long asked() {
    return asked;
  }

  /** All that was asked for, refused or not. */
  double amount() {
    return amount;
  }

  long refused() {
    return refused;
  }

  double mostInASecond() {
    return most;
  }
}
