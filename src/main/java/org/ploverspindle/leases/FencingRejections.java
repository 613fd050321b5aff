package org.ploverspindle.leases;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts what receivers refused of this process because another holder had replaced it. Nothing is
 * decided by it: people see from it that a controller stalled, and that the fencing held.
 */
public final class FencingRejections {
  /** Who refused. */
  public enum Kind {
    /** The state service: the holder's record is not the one that the write was bound to. */
    STATE_WRITE,
    /** A worker: it has seen a higher epoch. */
    WORKER_COMMAND
  }

  private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

  /** One more was refused. */
  public void add(Kind kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  /** How many were refused since the process started. */
  public long count(Kind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** Numbers for people. */
  public String summary() {
    return "refused state_writes="
        + count(Kind.STATE_WRITE)
        + " worker_commands="
        + count(Kind.WORKER_COMMAND);
  }
}
