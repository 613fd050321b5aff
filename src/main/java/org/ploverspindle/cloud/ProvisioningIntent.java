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
  private final ProvisioningIntentRecords.MachineRequest request;
  private final boolean inherited;
  private final long knownSinceMs;
  private boolean recorded;
  private boolean requestInFlight;
  private long requestedMs;
  private Optional<List<String>> hosts = Optional.empty();
  private boolean removing;

  private ProvisioningIntent(
      String name,
      ProvisioningIntentRecords.MachineRequest request,
      boolean inherited,
      long knownSinceMs) {
    this.name = name;
    this.request = request;
    this.inherited = inherited;
    this.recorded = inherited;
    this.knownSinceMs = knownSinceMs;
  }

  /** Creates an intent of this term, which is not recorded yet. */
  static ProvisioningIntent create(
      String name, ProvisioningIntentRecords.MachineRequest request, long nowMs) {
    return new ProvisioningIntent(name, request, false, nowMs);
  }

  /** Creates the object for an intent that an earlier leader recorded. */
  static ProvisioningIntent inherit(
      String name, ProvisioningIntentRecords.MachineRequest request, long nowMs) {
    return new ProvisioningIntent(name, request, true, nowMs);
  }

  String name() {
    return name;
  }

  MachineGroup group() {
    return request.group();
  }

  int count() {
    return request.count();
  }

  boolean isInherited() {
    return inherited;
  }

  /** Since when this leader knows of the intent, in milliseconds on the steady clock. */
  long knownSinceMs() {
    return knownSinceMs;
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

  void markRequestSent(long nowMs) {
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

  void markAnswered(List<String> provisioned) {
    hosts = Optional.of(provisioned);
  }

  /** Whether the removal of the record is in flight or waits for its next attempt. */
  boolean isRemoving() {
    return removing;
  }

  void setRemoving(boolean isRemoving) {
    removing = isRemoving;
  }
}
