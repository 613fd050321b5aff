package org.ploverspindle.sim;

/**
 * A published rate limit, enforced by a token bucket. It also counts requests and refusals, and the
 * highest amount requested within a second.
 */
final class RateLimiter {
  private final SimClock clock;
  private final double burstSeconds;
  private double ratePerSecond;
  private double maxTokens;
  private double tokens;
  private long refilledMs;
  private long currentSecond = -1;
  private double amountInSecond;
  private double peakPerSecond;
  private long requestCount;
  private long refusedCount;
  private double requestedAmount;

  RateLimiter(SimClock clock, double ratePerSecond, double burstSeconds) {
    this.clock = clock;
    this.ratePerSecond = ratePerSecond;
    this.burstSeconds = burstSeconds;
    this.maxTokens = ratePerSecond * burstSeconds;
    this.tokens = maxTokens;
  }

  /** Changes the allowed rate, and the burst in proportion. */
  void setRatePerSecond(double newRate) {
    ratePerSecond = newRate;
    maxTokens = newRate * burstSeconds;
  }

  boolean tryAcquire(double amount) {
    long nowMs = clock.nowMs();
    tokens = Math.min(maxTokens, tokens + (nowMs - refilledMs) * ratePerSecond / 1000.0);
    refilledMs = nowMs;
    requestCount++;
    requestedAmount += amount;
    amountInSecond = nowMs / 1000 == currentSecond ? amountInSecond + amount : amount;
    currentSecond = nowMs / 1000;
    peakPerSecond = Math.max(peakPerSecond, amountInSecond);
    if (tokens < amount) {
      refusedCount++;
      return false;
    }
    tokens -= amount;
    return true;
  }

  long requestCount() {
    return requestCount;
  }

  /** Total amount requested, including what was refused. */
  double requestedAmount() {
    return requestedAmount;
  }

  long refusedCount() {
    return refusedCount;
  }

  double peakPerSecond() {
    return peakPerSecond;
  }
}
