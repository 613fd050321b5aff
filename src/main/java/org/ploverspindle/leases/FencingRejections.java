package org.ploverspindle.leases;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the requests of this process that receivers rejected because another holder had replaced
 * it. The counts influence no decision. They show operators that a controller was paused, and that
 * fencing protected the cluster from its late requests.
 */
public final class FencingRejections {
  /** The receiver that rejected a request. */
  public enum Kind {
    /**
     * The state service rejected a write, because the holder's record is not the one that the write
     * is conditional on.
     */
    STATE_WRITE,
    /** A worker rejected a command, because it has seen a higher epoch. */
    WORKER_COMMAND
  }

  private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

  /** Counts one rejected request. */
  public void add(Kind kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  /** Returns the number of requests that were rejected since the process started. */
  public long count(Kind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** Returns a text with the counts of both kinds, for the status page. */
  public String summary() {
    return "refused state_writes="
        + count(Kind.STATE_WRITE)
        + " worker_commands="
        + count(Kind.WORKER_COMMAND);
  }
}
