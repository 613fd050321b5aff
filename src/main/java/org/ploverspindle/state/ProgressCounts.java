package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.state.StateStore.Entry;

/**
 * How many tasks of each unfinished job are recorded as completed and placed; for display alone.
 */
public final class ProgressCounts {
  /**
   * Counts of a whole job.
   *
   * @param sequence sequence number of the log record that they are from, or that the snapshot
   *     covers
   */
  public record Counts(long sequence, int completed, int running) {
    /** Older than any record. */
    static final Counts NONE = new Counts(-1, 0, 0);
  }

  private final Map<String, Counts> counts = new HashMap<>();

  /** Follows the records in the replica. */
  public ProgressCounts(Replica replica) {
    replica.addListener(this::entryChanged);
  }

  /** The latest counts of the job; zeros if none are recorded. */
  public Counts of(String uid) {
    return counts.getOrDefault(uid, Counts.NONE);
  }

  private void entryChanged(String key, Optional<Entry> entry) {
    if (entry.isEmpty()) {
      return;
    }
    JsonNode value = entry.get().value();
    if (key.startsWith(Keys.PROGRESS_LOG)) {
      long sequence = value.path("n").asLong();
      ProgressLogRecord.readCounts(
          value, (uid, completed, running) -> update(uid, sequence, completed, running));
    } else if (key.startsWith(Keys.SNAPSHOTS)) {
      // Versions without a progress log stored the counts of the snapshot alone.
      update(
          key.substring(Keys.SNAPSHOTS.length(), key.lastIndexOf('/')),
          value.path("upto").asLong(0),
          value.path("job_done").asInt(value.path("n").asInt()),
          value.path("job_running").asInt(value.path("r").asInt()));
    } else if (key.startsWith(Keys.COMPLETIONS)) {
      counts.remove(key.substring(Keys.COMPLETIONS.length()));
    }
  }

  private void update(String uid, long sequence, int completed, int running) {
    if (of(uid).sequence() <= sequence) {
      counts.put(uid, new Counts(sequence, completed, running));
    }
  }
}
