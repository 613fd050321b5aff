package org.ploverspindle.cloud;

import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.TokenBucket;

/**
 * The rate limit of one leader's calls to the cloud. The listing of machines and machine types,
 * scale-out and scale-in share it.
 */
final class CloudCallBudget {
  /**
   * Share of the cloud's rate limit that is used. The rest is a margin, because the cloud may
   * measure a second differently from this process.
   */
  private static final double RATE_SHARE = 0.75;

  /**
   * Smallest burst of the budget, in calls. A reading of the machine list begins only when one more
   * call is left for provisioning. With a burst of one call it would never begin, and neither would
   * provisioning, since nothing is requested before the first list has been read.
   */
  private static final double MIN_BURST = 2;

  private final TokenBucket tokens;
  private final double callsPerS;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param cloudRps the cloud's rate limit, in requests per second
   * @param isAuthoritative whether this leader's lease is certainly valid now
   */
  CloudCallBudget(Scheduler scheduler, double cloudRps, BooleanSupplier isAuthoritative) {
    this.callsPerS = cloudRps * RATE_SHARE;
    this.tokens = new TokenBucket(scheduler, callsPerS, Math.max(MIN_BURST, cloudRps));
    this.isAuthoritative = isAuthoritative;
  }

  /** The rate at which the budget is refilled, in calls per second. */
  double callsPerS() {
    return callsPerS;
  }

  /** Whether this leader's lease is certainly valid now. */
  boolean isAuthoritative() {
    return isAuthoritative.getAsBoolean();
  }

  /** Whether at least this number of calls can be taken now. */
  boolean hasAvailable(int count) {
    return tokens.available() >= count;
  }

  /** Takes one call, if the budget allows it. Used for calls that only read. */
  boolean tryTake() {
    return tokens.tryTake(1);
  }

  /**
   * Takes one call, if this leader's lease is certainly valid and the budget allows it. Used for
   * calls that provision or terminate machines.
   */
  boolean tryTakeAsLeader() {
    return isAuthoritative() && tryTake();
  }
}
