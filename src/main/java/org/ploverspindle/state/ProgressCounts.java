package org.ploverspindle.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.state.StateStore.Entry;

/** How many tasks of each unfinished job are done and placed, by the log: for display alone. */
public final class ProgressCounts {
  /** Of a whole job; by the log's record {@code n}. */
  public record Counts(long n, int done, int running) {
    static final Counts NONE = new Counts(-1, 0, 0);
  }

  private final Map<String, Counts> counts = new HashMap<>();

  public ProgressCounts(Replica replica) {
    replica.addListener(this::changed);
  }

  public Counts of(String uid) {
    return counts.getOrDefault(uid, Counts.NONE);
  }

  private void changed(String key, Optional<Entry> entry) {
    if (entry.isEmpty()) {
      return;
    }
    if (key.startsWith(Keys.PROGRESS_LOG)) {
      long n = entry.get().value().path("n").asLong();
      ProgressLogRecord.counts(
          entry.get().value(), (uid, done, running) -> put(uid, n, done, running));
    } else if (key.startsWith(Keys.SNAPSHOTS)) {
      int slash = key.lastIndexOf('/');
      var v = entry.get().value();
      put(
          key.substring(Keys.SNAPSHOTS.length(), slash),
          v.path("upto").asLong(0),
          v.path("job_done").asInt(v.path("n").asInt()),
          v.path("job_running").asInt(v.path("r").asInt()));
    } else if (key.startsWith(Keys.COMPLETIONS)) {
      counts.remove(key.substring(Keys.COMPLETIONS.length()));
    }
  }

  private void put(String uid, long n, int done, int running) {
    if (counts.getOrDefault(uid, Counts.NONE).n() <= n) {
      counts.put(uid, new Counts(n, done, running));
    }
  }
}
