package org.ploverspindle.cluster;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * When a job became eligible to run, and its effective priority and deadline. The priority is the
 * higher, and the deadline the earlier, of the job's own and the one inherited from its dependents.
 */
final class JobDeadline {
  private static final double MS_PER_S = 1000.0;

  private final JobSpec spec;
  private final long acceptedWallMs;
  private long eligibleSinceWallMs;
  private Priority priority;
  private OptionalLong inheritedDeadlineWallMs = OptionalLong.empty();
  private OptionalLong latestInheritedDeadlineWallMs = OptionalLong.empty();

  JobDeadline(JobSpec spec, long acceptedWallMs) {
    this.spec = spec;
    this.acceptedWallMs = acceptedWallMs;
    this.eligibleSinceWallMs = acceptedWallMs;
    this.priority = spec.priority();
  }

  long acceptedWallMs() {
    return acceptedWallMs;
  }

  long eligibleSinceWallMs() {
    return eligibleSinceWallMs;
  }

  void setEligibleSince(long wallMs) {
    eligibleSinceWallMs = wallMs;
  }

  Priority priority() {
    return priority;
  }

  /** Implements {@link Job#inherit}. */
  void inherit(
      Priority highestPriority, OptionalLong finishByWallMs, OptionalLong latestFinishByWallMs) {
    priority = highestPriority.compareTo(spec.priority()) < 0 ? highestPriority : spec.priority();
    inheritedDeadlineWallMs =
        isBeforeOwnDeadline(finishByWallMs) ? finishByWallMs : OptionalLong.empty();
    latestInheritedDeadlineWallMs =
        inheritedDeadlineWallMs.isPresent() ? latestFinishByWallMs : OptionalLong.empty();
  }

  private boolean isBeforeOwnDeadline(OptionalLong wallMs) {
    return wallMs.isPresent()
        && (spec.deadlineS().isEmpty() || wallMs.getAsLong() < ownDeadlineWallMs());
  }

  private long ownDeadlineWallMs() {
    return acceptedWallMs + Math.round(spec.deadlineS().getAsDouble() * MS_PER_S);
  }

  /** Implements {@link Job#deadlineS}. */
  OptionalDouble deadlineS() {
    return inheritedDeadlineWallMs.isPresent()
        ? sinceEligibleS(inheritedDeadlineWallMs)
        : ownDeadlineS(1);
  }

  /** Implements {@link Job#latestDeadlineS}. */
  OptionalDouble latestDeadlineS() {
    return sinceEligibleS(latestInheritedDeadlineWallMs);
  }

  private OptionalDouble sinceEligibleS(OptionalLong wallMs) {
    return wallMs.isPresent()
        ? OptionalDouble.of((wallMs.getAsLong() - eligibleSinceWallMs) / MS_PER_S)
        : OptionalDouble.empty();
  }

  /** Implements {@link Job#ownDeadlineS}. */
  OptionalDouble ownDeadlineS(double multiple) {
    if (spec.deadlineS().isEmpty()) {
      return OptionalDouble.empty();
    }
    double blockedS = (eligibleSinceWallMs - acceptedWallMs) / MS_PER_S;
    return OptionalDouble.of(spec.deadlineS().getAsDouble() * multiple - blockedS);
  }
}
