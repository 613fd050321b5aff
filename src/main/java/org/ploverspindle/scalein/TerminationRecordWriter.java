package org.ploverspindle.scalein;

import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.LeaderWriter.CreateOutcome;
import org.ploverspindle.state.StateStore.Change;

/**
 * Writes and removes termination records. A record is created once, under a key that no other
 * leader and no other termination of this term uses, and is never changed.
 */
public final class TerminationRecordWriter {
  private final LeaderWriter leaderWriter;
  private final long fencingToken;
  private final int valueBytes;
  private long recordCount;

  /**
   * @param fencingToken the first token of the term, which makes the keys unique over all terms
   * @param valueBytes the state service's lowest announced limit for a value in JSON form
   */
  public TerminationRecordWriter(LeaderWriter leaderWriter, long fencingToken, int valueBytes) {
    this.leaderWriter = leaderWriter;
    this.fencingToken = fencingToken;
    this.valueBytes = valueBytes;
  }

  /** Whether the write budget allows a write now that could also wait. */
  boolean hasSpareWrites() {
    return leaderWriter.hasSpareBudget();
  }

  /** Divides the machines into terminations whose records fit into a value; writes nothing. */
  List<PendingTermination> prepare(List<String> hosts, long nowMs) {
    return TerminationRecord.partition(hosts, valueBytes).stream()
        .map(record -> newTermination(record, nowMs))
        .toList();
  }

  /**
   * Two terminations in place of one whose record was refused for its size, and so was never
   * written.
   */
  List<PendingTermination> halve(PendingTermination refused, long nowMs) {
    List<String> hosts = refused.hosts();
    int half = hosts.size() / 2;
    return List.of(
        newTermination(new TerminationRecord(hosts.subList(0, half)), nowMs),
        newTermination(new TerminationRecord(hosts.subList(half, hosts.size())), nowMs));
  }

  private PendingTermination newTermination(TerminationRecord record, long nowMs) {
    recordCount++;
    String key = Keys.termination(fencingToken + "-" + recordCount);
    return new PendingTermination(key, record, PendingTermination.Phase.RECORDING, nowMs);
  }

  void create(PendingTermination pending, Consumer<CreateOutcome> then) {
    leaderWriter.create(new Change.Put(pending.key(), pending.record().encode()), then);
  }

  /**
   * @param then called with whether the record is known to be removed
   */
  void remove(PendingTermination pending, Consumer<Boolean> then) {
    leaderWriter.writeBestEffort(new Change.Remove(pending.key()), then);
  }
}
