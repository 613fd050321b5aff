package org.ploverspindle.cloud;

import java.util.List;
import java.util.Optional;
import org.ploverspindle.placement.MachineGroup;

/** A provisioning intent and how far it has come: recorded, requested, answered, being removed. */
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

  /** A new intent of this term, which is not recorded yet. */
  static ProvisioningIntent create(
      String name, ProvisioningIntentRecords.Requested requested, long nowMs) {
    return new ProvisioningIntent(name, requested, false, nowMs);
  }

  /** An intent that an earlier leader recorded. */
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

  /** Since when this leader knows of the intent, on the steady clock. */
  long sinceMs() {
    return sinceMs;
  }

  boolean isRecorded() {
    return recorded;
  }

  void markRecorded() {
    recorded = true;
  }

  /** True from a request until its response, or until it may be sent again. */
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

  /** When the request was last sent, on the steady clock. */
  long requestedMs() {
    return requestedMs;
  }

  /** True once the cloud has answered, or the intent was given up. */
  boolean isAnswered() {
    return hosts.isPresent();
  }

  /** The provisioned hosts; empty until the intent is answered. */
  Optional<List<String>> hosts() {
    return hosts;
  }

  void answered(List<String> provisioned) {
    hosts = Optional.of(provisioned);
  }

  /** True while the removal of the record is in flight or waits to be repeated. */
  boolean isRemoving() {
    return removing;
  }

  void removing(boolean now) {
    removing = now;
  }
}
