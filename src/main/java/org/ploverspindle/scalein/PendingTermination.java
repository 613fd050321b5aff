package org.ploverspindle.scalein;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One termination record, and the progress of its termination in this term. */
final class PendingTermination {
  /** Steps of a termination, which never goes back to an earlier one. */
  enum Phase {
    /** The record may or may not be durable: the cloud must not be asked yet. */
    RECORDING,
    /** The record is durable: the cloud is asked until it confirms. */
    RECORDED,
    /** The cloud confirmed; the record is kept until no list can show the machines any more. */
    CONFIRMED
  }

  /** A time that is always past. */
  private static final long AT_ONCE_MS = Long.MIN_VALUE;

  private final String key;
  private final TerminationRecord record;
  private final long startedMs;
  private final Set<String> unconfirmed;
  private final Set<String> unconfirmedView;
  private Phase phase;
  private boolean writing;
  private long writeNotBeforeMs = AT_ONCE_MS;
  private long confirmedMs;

  /**
   * @param nowMs when the termination began in this term, on the steady clock
   */
  PendingTermination(String key, TerminationRecord record, Phase phase, long nowMs) {
    this.key = key;
    this.record = record;
    this.phase = phase;
    this.startedMs = nowMs;
    this.unconfirmed = new LinkedHashSet<>(record.hosts());
    this.unconfirmedView = Collections.unmodifiableSet(unconfirmed);
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

  /** The machines that are not proven gone: a live, unmodifiable view. */
  Set<String> unconfirmed() {
    return unconfirmedView;
  }

  /** Whether a write of the record, or its removal, may be sent now. */
  boolean mayWrite(long nowMs) {
    return !writing && nowMs >= writeNotBeforeMs;
  }

  void markWriting() {
    writing = true;
  }

  /** The write failed or had no response. */
  void retryWriteAt(long retryAtMs) {
    writing = false;
    writeNotBeforeMs = retryAtMs;
  }

  void markRecorded() {
    writing = false;
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

  /** When the last machine was confirmed to be gone; only in {@link Phase#CONFIRMED}. */
  long confirmedMs() {
    return confirmedMs;
  }
}
