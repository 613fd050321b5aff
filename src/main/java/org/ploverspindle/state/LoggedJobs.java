package org.ploverspindle.state;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The jobs that the progress log or a snapshot mentions. A new leader needs the records of these
 * jobs, even if they have ended: their tasks may be on machines, or their snapshots be left over.
 */
final class LoggedJobs {
  private final Replica replica;
  private final Set<String> changedLogKeys = new HashSet<>();
  private final Map<String, List<String>> uidsByLogKey = new HashMap<>();
  private final Multiset<String> mentions = HashMultiset.create();

  LoggedJobs(Replica replica) {
    this.replica = replica;
  }

  boolean isMentioned(String uid) {
    changedLogKeys.forEach(this::readRecord);
    changedLogKeys.clear();
    return mentions.contains(uid) || !replica.withPrefix(Keys.snapshotsOf(uid)).isEmpty();
  }

  /**
   * Follows a change of a key of the replica. Records are read only when a job is looked up, as
   * most of them are overwritten before that.
   */
  void entryChanged(String key) {
    if (key.startsWith(Keys.PROGRESS_LOG)) {
      changedLogKeys.add(key);
    }
  }

  private void readRecord(String key) {
    uidsByLogKey.getOrDefault(key, List.of()).forEach(mentions::remove);
    List<String> uids = new ArrayList<>();
    replica
        .get(key)
        .ifPresent(
            record ->
                ProgressLogRecord.readCounts(
                    record.value(), (uid, completed, running) -> uids.add(uid)));
    uidsByLogKey.put(key, uids);
    mentions.addAll(uids);
  }
}
