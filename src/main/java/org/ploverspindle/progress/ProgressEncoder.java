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

/** Statements in the forms that are stored. */
final class ProgressEncoder {
  private final Function<Machine, SnapshotRecord.MachineInfo> machineInfo;

  ProgressEncoder(Function<Machine, SnapshotRecord.MachineInfo> machineInfo) {
    this.machineInfo = machineInfo;
  }

  /** For a record of the log: tasks that are neither done nor on a machine are cleared. */
  ProgressLogRecord.Delta delta(TaskStatuses s) {
    BitSet cleared = (BitSet) s.tasks().clone();
    cleared.andNot(s.completed());
    s.placements().forEach(p -> cleared.clear(p.task()));
    Job job = s.job();
    return new ProgressLogRecord.Delta(
        job.uid(),
        job.completedTasks().cardinality(),
        job.activePlacements().size(),
        s.completed(),
        cleared,
        placements(s));
  }

  /** For a checkpoint that covers all records up to {@code upTo}. */
  JsonNode snapshot(TaskStatuses s, long upTo) {
    List<SnapshotRecord.RecordedPlacement> live = placements(s);
    Job job = s.job();
    return new SnapshotRecord(s.completed(), live, live.size(), upTo)
        .encode(job.completedTasks().cardinality(), job.activePlacements().size());
  }

  private List<SnapshotRecord.RecordedPlacement> placements(TaskStatuses s) {
    return s.placements().stream().map(this::placements).toList();
  }

  private SnapshotRecord.RecordedPlacement placements(Placement p) {
    return new SnapshotRecord.RecordedPlacement(
        p.task(), p.attempt(), machineInfo.apply(p.machine()), p.agentEpoch());
  }
}
