package org.ploverspindle.leases;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the requests of this process that receivers refused because another holder had replaced
 * it. Nothing is decided by these counts: they show operators that a controller was paused, and
 * that fencing protected the cluster from it.
 */
public final class FencingRejections {
  /** Who refused. */
  public enum Kind {
    /** The state service: the holder's record is not the one that the write is conditional on. */
    STATE_WRITE,
    /** A worker: it has seen a higher epoch. */
    WORKER_COMMAND
  }

  private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

  /** Counts one more refused request. */
  public void add(Kind kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  /** How many requests were refused since the process started. */
  public long count(Kind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** Both counts, for the status page. */
  public String summary() {
    return "refused state_writes="
        + count(Kind.STATE_WRITE)
        + " worker_commands="
        + count(Kind.WORKER_COMMAND);
  }
}
