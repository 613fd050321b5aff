package org.ploverspindle.scalein;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Counts and latencies of this term's terminations. */
final class TerminationStatistics {
  /** Upper bound of the recorded latencies. Longer ones are recorded as this value. */
  private static final long MAX_RECORDED_MS = 3_600_000;

  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double TAIL_PERCENTILE = 99;

  /**
   * Latencies of the confirmed terminations, in milliseconds, one for each machine: from the
   * beginning of the termination in this term to the cloud's confirmation.
   */
  private final Histogram confirmationLatenciesMs =
      new Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS);

  private long decided;
  private long inherited;
  private long requests;
  private long repeated;

  void recordDecided(int hosts) {
    decided += hosts;
  }

  void recordInherited(int hosts) {
    inherited += hosts;
  }

  void recordRequest(boolean isRepeat) {
    requests++;
    repeated += isRepeat ? 1 : 0;
  }

  void recordConfirmed(long latencyMs) {
    confirmationLatenciesMs.recordValue(Math.max(0, Math.min(MAX_RECORDED_MS, latencyMs)));
  }

  /**
   * Formats the line of the status output. Its wording must not change.
   *
   * @param recording number of terminations whose record is not known to be durable
   * @param recorded number of terminations that are recorded and not confirmed by the cloud
   * @param keptRecords number of terminations that are confirmed and whose record is kept
   */
  String statusLine(int recording, int recorded, int keptRecords) {
    return String.format(
        Locale.ROOT,
        "returns decided=%d inherited=%d recording=%d recorded=%d kept_records=%d requests=%d"
            + " repeated=%d gone_ms(n=%d p50=%d p99=%d max=%d)",
        decided,
        inherited,
        recording,
        recorded,
        keptRecords,
        requests,
        repeated,
        confirmationLatenciesMs.getTotalCount(),
        confirmationLatenciesMs.getValueAtPercentile(MEDIAN_PERCENTILE),
        confirmationLatenciesMs.getValueAtPercentile(TAIL_PERCENTILE),
        confirmationLatenciesMs.getMaxValue());
  }
}
