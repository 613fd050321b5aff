package org.ploverspindle.scalein;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One record of a return, and how far the return has come in this term. */
final class PendingTermination {
  /** Steps of a return; it never goes back to an earlier one. */
  enum Phase {
    /** The record may or may not stand; the cloud must not be asked yet. */
    RECORDING,
    /** The record stands: the cloud is asked until it confirms. */
    RECORDED,
    /** The cloud confirmed; the record stays until no list can show the machines any more. */
    CONFIRMED
  }

  private final String key;
  private final TerminationRecord record;
  private final long startedMs;
  private final Set<String> unconfirmed;
  private Phase phase;
  private boolean markWriting;
  private long writeNotBeforeMs = Long.MIN_VALUE / 2;
  private long confirmedMs;

  PendingTermination(String key, TerminationRecord record, Phase phase, long nowMs) {
    this.key = key;
    this.record = record;
    this.phase = phase;
    this.startedMs = nowMs;
    this.unconfirmed = new LinkedHashSet<>(record.hosts());
  }

  String key() {
    return key;
  }

  TerminationRecord record() {
    return record;
  }

  List<String> hosts() {
    return record.hosts();
  }

  Phase phase() {
    return phase;
  }

  long startedMs() {
    return startedMs;
  }

  /** Machines of whose end there is no proof yet. */
  Set<String> unconfirmed() {
    return unconfirmed;
  }

  /** True when a write of the record, or of its removal, may go out now. */
  boolean mayWrite(long nowMs) {
    return !markWriting && nowMs >= writeNotBeforeMs;
  }

  void markWriting() {
    markWriting = true;
  }

  void retryWriteAt(long retryAtMs) {
    markWriting = false;
    writeNotBeforeMs = retryAtMs;
  }

  void markRecorded() {
    markWriting = false;
    phase = Phase.RECORDED;
  }

  /** The cloud confirmed that this machine is gone. */
  void confirm(String host, long nowMs) {
    unconfirmed.remove(host);
    if (unconfirmed.isEmpty() && phase == Phase.RECORDED) {
      phase = Phase.CONFIRMED;
      confirmedMs = nowMs;
    }
  }

  /** When the last of its machines was confirmed to be gone; only in {@link Phase#CONFIRMED}. */
  long confirmedMs() {
    return confirmedMs;
  }
}
