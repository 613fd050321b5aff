package org.ploverspindle.cloud;

import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.TokenBucket;

/** One leader's rate limit for calls to the cloud, shared by listing, scale-out and scale-in. */
final class CloudCallBudget {
  /** Part of the cloud's rate limit that is used, as the cloud measures a second differently. */
  private static final double RATE_SHARE = 0.75;

  /**
   * Listing leaves one call for provisioning. With a burst of one call provisioning would never
   * begin, as nothing is requested before the first list is read.
   */
  private static final double MIN_BURST = 2;

  private final TokenBucket calls;
  private final double callsPerS;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param cloudRps the cloud's rate limit, in requests per second
   * @param isAuthoritative whether this leader's lease is certainly valid
   */
  CloudCallBudget(Scheduler scheduler, double cloudRps, BooleanSupplier isAuthoritative) {
    this.callsPerS = cloudRps * RATE_SHARE;
    this.calls = new TokenBucket(scheduler, callsPerS, Math.max(MIN_BURST, cloudRps));
    this.isAuthoritative = isAuthoritative;
  }

  /** The rate at which the budget grows. */
  double callsPerS() {
    return callsPerS;
  }

  boolean isAuthoritative() {
    return isAuthoritative.getAsBoolean();
  }

  /** True when at least so many calls can be taken now. */
  boolean isAvailable(int count) {
    return calls.available() >= count;
  }

  /** Takes one call; for calls that change nothing. */
  boolean tryTake() {
    return calls.tryTake(1);
  }

  /** Takes one call if this leader's lease is certainly valid; for calls that change the fleet. */
  boolean tryTakeAsLeader() {
    return isAuthoritative() && tryTake();
  }
}
