package org.ploverspindle.scalein;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A termination record, and the progress that its termination has made in this term. */
final class PendingTermination {
  /** The phases of a termination. It never returns to an earlier phase. */
  enum Phase {
    /** The record may or may not be durable. The cloud must not be asked yet. */
    RECORDING,
    /** The record is durable. The request to the cloud is repeated until the cloud confirms it. */
    RECORDED,
    /**
     * The cloud confirmed that all machines of the record are gone. The record is kept until no
     * list can show them any more.
     */
    CONFIRMED
  }

  /** A time that has always passed: the write may be sent immediately. */
  private static final long IMMEDIATELY_MS = Long.MIN_VALUE;

  private final String key;
  private final TerminationRecord record;
  private final long startedMs;
  private final Set<String> unconfirmed;
  private final Set<String> unconfirmedView;
  private Phase phase;
  private boolean isWriteInFlight;
  private long writeNotBeforeMs = IMMEDIATELY_MS;
  private long confirmedMs;

  /**
   * @param nowMs when the termination began in this term, in milliseconds on the steady clock
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

  /** The names of the machines that are not proven gone, as a live, unmodifiable view. */
  Set<String> unconfirmed() {
    return unconfirmedView;
  }

  /** Whether the record's write or removal may be sent now. */
  boolean mayWrite(long nowMs) {
    return !isWriteInFlight && nowMs >= writeNotBeforeMs;
  }

  void markWriteInFlight() {
    isWriteInFlight = true;
  }

  /**
   * Records that the record's write or removal failed or had no response.
   *
   * @param retryAtMs when it may be sent again, in milliseconds on the steady clock
   */
  void retryWriteAt(long retryAtMs) {
    isWriteInFlight = false;
    writeNotBeforeMs = retryAtMs;
  }

  void markRecorded() {
    isWriteInFlight = false;
    phase = Phase.RECORDED;
  }

  /** Records that the cloud confirmed that this machine is gone. */
  void confirm(String host, long nowMs) {
    unconfirmed.remove(host);
    if (unconfirmed.isEmpty() && phase == Phase.RECORDED) {
      phase = Phase.CONFIRMED;
      confirmedMs = nowMs;
    }
  }

  /**
   * When the last machine was confirmed to be gone, in milliseconds on the steady clock. Valid only
   * in {@link Phase#CONFIRMED}.
   */
  long confirmedMs() {
    return confirmedMs;
  }
}
