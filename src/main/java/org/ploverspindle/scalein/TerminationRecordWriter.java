package org.ploverspindle.scalein;

import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.LeaderWriter.CreateOutcome;
import org.ploverspindle.state.StateStore.Change;

/**
 * Writes and removes termination records. A record is never changed after its creation. No other
 * leader and no other termination of this term uses its key.
 */
public final class TerminationRecordWriter {
  private final LeaderWriter leaderWriter;
  private final long fencingToken;
  private final int maxValueBytes;
  private long recordCount;

  /**
   * @param fencingToken the first fencing token of the term, which makes the keys unique over all
   *     terms
   * @param maxValueBytes the lowest limit that the state service has announced for the size of a
   *     value in JSON form
   */
  public TerminationRecordWriter(LeaderWriter leaderWriter, long fencingToken, int maxValueBytes) {
    this.leaderWriter = leaderWriter;
    this.fencingToken = fencingToken;
    this.maxValueBytes = maxValueBytes;
  }

  /** Whether the write budget allows a write now that can also wait. */
  boolean hasSpareWrites() {
    return leaderWriter.hasSpareBudget();
  }

  /**
   * Divides the machines into terminations whose records each fit into one value. Nothing is
   * written here.
   */
  List<PendingTermination> prepare(List<String> hosts, long nowMs) {
    return TerminationRecord.partition(hosts, maxValueBytes).stream()
        .map(record -> newTermination(record, nowMs))
        .toList();
  }

  /**
   * Replaces a termination by two of half its size, after its record was refused as too large and
   * thus was not written.
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

  /**
   * Creates the termination's record.
   *
   * @param callback called with what is known of the outcome
   */
  void create(PendingTermination pending, Consumer<CreateOutcome> callback) {
    leaderWriter.create(new Change.Put(pending.key(), pending.record().encode()), callback);
  }

  /**
   * Removes the termination's record.
   *
   * @param callback called with true if the record is known to be removed, otherwise with false
   */
  void remove(PendingTermination pending, Consumer<Boolean> callback) {
    leaderWriter.writeBestEffort(new Change.Remove(pending.key()), callback);
  }
}
