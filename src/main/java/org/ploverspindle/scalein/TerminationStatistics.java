package org.ploverspindle.scalein;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** What became of this term's returns, for people. */
final class TerminationStatistics {
  private static final long LONGEST_MS = 3_600_000;
  private static final double MEDIAN = 50;
  private static final double NEARLY_ALL = 99;

  /** From the decision to return a machine to the cloud's confirmation, in milliseconds. */
  private final Histogram confirmedAfterMs = new Histogram(LONGEST_MS, 2);

  private long machines;
  private long inherited;
  private long requests;
  private long repeated;

  void began(int hosts) {
    machines += hosts;
  }

  void inherited(int hosts) {
    inherited += hosts;
  }

  void sent(boolean again) {
    requests++;
    repeated += again ? 1 : 0;
  }

  void confirmed(long afterMs) {
    confirmedAfterMs.recordValue(Math.max(0, Math.min(LONGEST_MS, afterMs)));
  }

  String text(int recording, int recorded, int kept) {
    return String.format(
        Locale.ROOT,
        "returns decided=%d inherited=%d recording=%d recorded=%d kept_records=%d requests=%d"
            + " repeated=%d gone_ms(n=%d p50=%d p99=%d max=%d)",
        machines,
        inherited,
        recording,
        recorded,
        kept,
        requests,
        repeated,
        confirmedAfterMs.getTotalCount(),
        confirmedAfterMs.getValueAtPercentile(MEDIAN),
        confirmedAfterMs.getValueAtPercentile(NEARLY_ALL),
        confirmedAfterMs.getMaxValue());
  }
}
