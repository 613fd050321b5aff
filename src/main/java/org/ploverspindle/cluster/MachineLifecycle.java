package org.ploverspindle.cluster;

import java.util.OptionalDouble;

/**
 * The state of a machine between provisioning and termination: whether the cloud lists it, whether
 * it may get new tasks, and whether it is to be terminated.
 */
final class MachineLifecycle {
  /** Value of {@code quarantinedUntilMs} for a machine without quarantine: it is always past. */
  static final long NOT_QUARANTINED_MS = Long.MIN_VALUE;

  private final long knownSinceMs;
  private long provisionedSinceMs = Machine.NEVER_MS;
  private boolean isListed;
  private long listedSinceMs;
  private long quarantinedUntilMs = NOT_QUARANTINED_MS;
  private OptionalDouble spotNoticeS = OptionalDouble.empty();
  private boolean isDraining;
  private boolean isScaleInCandidate;
  private boolean isUnusable;
  private boolean isTerminating;

  MachineLifecycle(long knownSinceMs) {
    this.knownSinceMs = knownSinceMs;
  }

  long knownSinceMs() {
    return knownSinceMs;
  }

  long provisionedSinceMs() {
    return provisionedSinceMs;
  }

  /** Records that the machine was provisioned by this time. The earliest recorded time counts. */
  void recordProvisioned(long atMs) {
    provisionedSinceMs = provisionedSinceMs < 0 ? atMs : Math.min(provisionedSinceMs, atMs);
  }

  boolean isListed() {
    return isListed;
  }

  long listedSinceMs() {
    return listedSinceMs;
  }

  void recordListed(long nowMs) {
    listedSinceMs = isListed ? listedSinceMs : nowMs;
    isListed = true;
  }

  void quarantine(long untilMs) {
    quarantinedUntilMs = untilMs;
  }

  OptionalDouble spotNoticeS() {
    return spotNoticeS;
  }

  void recordSpotNotice(OptionalDouble noticeS) {
    if (noticeS.isPresent()) {
      spotNoticeS = noticeS;
    }
  }

  boolean isDraining() {
    return isDraining;
  }

  void drain() {
    isDraining = true;
  }

  boolean isScaleInCandidate() {
    return isScaleInCandidate;
  }

  void setScaleInCandidate(boolean candidate) {
    isScaleInCandidate = candidate;
  }

  void markUnusable() {
    isUnusable = true;
  }

  boolean isTerminating() {
    return isTerminating;
  }

  void beginTermination() {
    isTerminating = true;
  }

  boolean isDecommissioning() {
    return isUnusable || isTerminating;
  }

  /**
   * Whether the machine's lifecycle permits new tasks. Draining, decommissioning, a spot notice and
   * a quarantine each exclude them.
   */
  boolean allowsNewTasks(long nowMs) {
    return !isDraining
        && !isDecommissioning()
        && spotNoticeS.isEmpty()
        && nowMs >= quarantinedUntilMs;
  }
}
