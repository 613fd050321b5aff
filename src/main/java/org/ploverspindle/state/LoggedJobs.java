package org.ploverspindle.state;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.state.StateStore.Entry;

/**
 * The jobs that the progress log or a snapshot mentions. A new leader needs the records of these
 * jobs, even if they have ended: their tasks may be on machines, or their snapshots be left over.
 */
final class LoggedJobs {
  private final Replica replica;
  private final Map<String, List<String>> uidsByLogKey = new HashMap<>();
  private final Multiset<String> mentions = HashMultiset.create();

  LoggedJobs(Replica replica) {
    this.replica = replica;
  }

  boolean isMentioned(String uid) {
    return mentions.contains(uid) || !replica.withPrefix(Keys.snapshotsOf(uid)).isEmpty();
  }

  /** Follows a change of a key of the replica. */
  void entryChanged(String key, Optional<Entry> entry) {
    if (!key.startsWith(Keys.PROGRESS_LOG)) {
      return;
    }
    uidsByLogKey.getOrDefault(key, List.of()).forEach(mentions::remove);
    List<String> uids = new ArrayList<>();
    entry.ifPresent(
        record ->
            ProgressLogRecord.readCounts(
                record.value(), (uid, completed, running) -> uids.add(uid)));
    uidsByLogKey.put(key, uids);
    mentions.addAll(uids);
  }
}
