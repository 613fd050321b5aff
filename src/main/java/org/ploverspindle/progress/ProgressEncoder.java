package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.TaskRanges;

/** Converts statuses of tasks to their stored forms. */
final class ProgressEncoder {
  private final Function<Machine, SnapshotRecord.MachineInfo> machineInfo;

  ProgressEncoder(Function<Machine, SnapshotRecord.MachineInfo> machineInfo) {
    this.machineInfo = machineInfo;
  }

  /**
   * Encodes statuses for a log record. Tasks that are neither completed nor on a machine are
   * encoded as cleared.
   */
  ProgressLogRecord.Delta encodeDelta(TaskStatuses statuses) {
    BitSet cleared = (BitSet) statuses.tasks().clone();
    cleared.andNot(statuses.completed());
    statuses.placements().forEach(placement -> cleared.clear(placement.task()));
    Job job = statuses.job();
    return new ProgressLogRecord.Delta(
        job.uid(),
        job.completedTasks().size(),
        job.activePlacements().size(),
        TaskRanges.of(statuses.completed()),
        TaskRanges.of(cleared),
        toRecorded(statuses.placements()));
  }

  /**
   * Encodes the statuses of a whole shard as a snapshot.
   *
   * @param lastCoveredSequence the sequence number of the last log record that the snapshot covers
   */
  JsonNode encodeSnapshot(TaskStatuses statuses, long lastCoveredSequence) {
    List<SnapshotRecord.RecordedPlacement> placements = toRecorded(statuses.placements());
    Job job = statuses.job();
    return new SnapshotRecord(
            statuses.completed(), placements, placements.size(), lastCoveredSequence)
        .encode(job.completedTasks().size(), job.activePlacements().size());
  }

  private List<SnapshotRecord.RecordedPlacement> toRecorded(List<Placement> placements) {
    return placements.stream().map(this::toRecorded).toList();
  }

  private SnapshotRecord.RecordedPlacement toRecorded(Placement placement) {
    return new SnapshotRecord.RecordedPlacement(
        placement.task(),
        placement.attempt(),
        machineInfo.apply(placement.machine()),
        placement.workerEpoch());
  }
}
