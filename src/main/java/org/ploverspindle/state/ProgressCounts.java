package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Counts, for each unfinished job, the tasks that are recorded as completed and as placed. The
 * counts are used only for display.
 */
public final class ProgressCounts {
  /**
   * The counts of a whole job.
   *
   * @param sequence the sequence number of the progress log record that contains the counts; for
   *     counts in a snapshot, the last sequence number that the snapshot covers
   * @param completed the number of completed tasks
   * @param running the number of tasks that are placed on machines
   */
  public record Counts(long sequence, int completed, int running) {
    /** The counts of a job without records; any recorded counts replace them. */
    static final Counts NONE = new Counts(-1, 0, 0);
  }

  private final Map<String, Counts> counts = new HashMap<>();
  private final EndedJobs endedJobs;

  /** Creates counts that follow the records in the replica. */
  public ProgressCounts(Replica replica, AcceptedJobIndex acceptedJobs) {
    this.endedJobs = replica.endedJobs();
    replica.addListener(this::entryChanged);
    acceptedJobs.setCompletedTasks(uid -> of(uid).completed());
    acceptedJobs.addListener(
        new AcceptedJobIndex.Listener() {
          @Override
          public void accepted(AcceptedJobIndex.AcceptedJob job) {}

          @Override
          public void packed(String uid) {
            counts.remove(uid);
          }
        });
  }

  /** Returns the latest recorded counts of the job; zeros if none are recorded. */
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
      // Versions without a progress log stored only the counts of the snapshot itself, not those of
      // the whole job.
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
    Counts known = counts.get(uid);
    boolean isCounted = known != null ? known.sequence() <= sequence : !isOver(uid);
    if (isCounted) {
      counts.put(uid, new Counts(sequence, completed, running));
    }
  }

  /** Whether the counts of the job are not needed any more. */
  private boolean isOver(String uid) {
    return endedJobs.isDone(uid) || endedJobs.isPacked(uid);
  }
}
