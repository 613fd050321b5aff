package org.ploverspindle.cloud;

import java.util.List;
import java.util.Optional;
import org.ploverspindle.placement.MachineGroup;

/**
 * A provisioning intent and its progress: whether it is recorded, requested from the cloud,
 * answered by it, and being removed.
 */
final class ProvisioningIntent {
  private final String name;
  private final ProvisioningIntentRecords.Requested requested;
  private final boolean inherited;
  private final long sinceMs;
  private boolean recorded;
  private boolean requestInFlight;
  private long requestedMs;
  private Optional<List<String>> hosts = Optional.empty();
  private boolean removing;

  private ProvisioningIntent(
      String name, ProvisioningIntentRecords.Requested requested, boolean inherited, long sinceMs) {
    this.name = name;
    this.requested = requested;
    this.inherited = inherited;
    this.recorded = inherited;
    this.sinceMs = sinceMs;
  }

  /** Creates an intent of this term, which is not recorded yet. */
  static ProvisioningIntent create(
      String name, ProvisioningIntentRecords.Requested requested, long nowMs) {
    return new ProvisioningIntent(name, requested, false, nowMs);
  }

  /** Creates the object for an intent that an earlier leader recorded. */
  static ProvisioningIntent inherit(
      String name, ProvisioningIntentRecords.Requested requested, long nowMs) {
    return new ProvisioningIntent(name, requested, true, nowMs);
  }

  String name() {
    return name;
  }

  MachineGroup group() {
    return requested.group();
  }

  int count() {
    return requested.count();
  }

  boolean isInherited() {
    return inherited;
  }

  /** Since when this leader knows of the intent, in milliseconds on the steady clock. */
  long sinceMs() {
    return sinceMs;
  }

  boolean isRecorded() {
    return recorded;
  }

  void markRecorded() {
    recorded = true;
  }

  /** Whether a request has been sent and may not be sent again yet. */
  boolean isRequestInFlight() {
    return requestInFlight;
  }

  void requestSent(long nowMs) {
    requestInFlight = true;
    requestedMs = nowMs;
  }

  void allowRetry() {
    requestInFlight = false;
  }

  /** When the request was last sent, in milliseconds on the steady clock. */
  long requestedMs() {
    return requestedMs;
  }

  /**
   * Whether it is known which machines were provisioned: the cloud has provisioned them, or it has
   * rejected the request and an attempt to remove the intent's record has failed.
   */
  boolean isAnswered() {
    return hosts.isPresent();
  }

  /** The names of the provisioned machines; empty until the intent is answered. */
  Optional<List<String>> hosts() {
    return hosts;
  }

  void answered(List<String> provisioned) {
    hosts = Optional.of(provisioned);
  }

  /** Whether the removal of the record is in flight or waits for its next attempt. */
  boolean isRemoving() {
    return removing;
  }

  void removing(boolean now) {
    removing = now;
  }
}
