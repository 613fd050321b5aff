package org.ploverspindle.scalein;

import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.LeaderWriter.CreateOutcome;
import org.ploverspindle.state.StateStore.Change;

/**
 * Writes and removes the records of returns. A record is created once, under a name that no other
 * leader and no other return of this term uses, and is never changed.
 */
public final class TerminationRecordWriter {
  private final LeaderWriter leaderWriter;
  private final long fencingToken;
  private final int valueBytes;
  private long recordCount;

  /**
   * @param fencingToken the term's first token, which makes the records' names unique over all
   *     terms
   * @param valueBytes the least limit of the state service for a value that was announced
   */
  public TerminationRecordWriter(LeaderWriter leaderWriter, long fencingToken, int valueBytes) {
    this.leaderWriter = leaderWriter;
    this.fencingToken = fencingToken;
    this.valueBytes = valueBytes;
  }

  /** True when a write that can wait need not wait. */
  boolean hasSpareWrites() {
    return leaderWriter.hasSpareBudget();
  }

  List<PendingTermination> prepare(List<String> hosts, long nowMs) {
    return TerminationRecord.partition(hosts, valueBytes).stream()
        .map(record -> pending(record, nowMs))
        .toList();
  }

  /** Two returns in place of one whose record was refused for its size, so never carried out. */
  List<PendingTermination> halve(PendingTermination refused, long nowMs) {
    List<String> hosts = refused.hosts();
    int half = hosts.size() / 2;
    return List.of(
        pending(new TerminationRecord(hosts.subList(0, half)), nowMs),
        pending(new TerminationRecord(hosts.subList(half, hosts.size())), nowMs));
  }

  private PendingTermination pending(TerminationRecord record, long nowMs) {
    String key = Keys.termination(fencingToken + "-" + ++recordCount);
    return new PendingTermination(key, record, PendingTermination.Phase.RECORDING, nowMs);
  }

  void create(PendingTermination pending, Consumer<CreateOutcome> then) {
    leaderWriter.create(new Change.Put(pending.key(), pending.record().encode()), then);
  }

  void remove(PendingTermination pending, Consumer<Boolean> then) {
    leaderWriter.writeBestEffort(new Change.Remove(pending.key()), then);
  }
}
