package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.ProgressLogRecord;

/** Builds one record of the progress log. It has no effect until it is added to its batch. */
final class LogRecordBuilder {
  private static final BitSet NO_TASKS = new BitSet();

  private final long sequence;
  private final WriteBatch batch;
  private final WriteBatchContext context;
  private final ProgressLogRecord.Builder builder;
  private final Map<TaskShard, BitSet> includedTasks = new LinkedHashMap<>();
  private final List<TaskStatuses> statuses = new ArrayList<>();

  LogRecordBuilder(long sequence, String id, WriteBatch batch, WriteBatchContext context) {
    this.sequence = sequence;
    this.batch = batch;
    this.context = context;
    this.builder = new ProgressLogRecord.Builder(sequence, id, context.limits().maxRecordBytes());
  }

  long sequence() {
    return sequence;
  }

  JsonNode value() {
    return builder.value();
  }

  int bytes() {
    return builder.bytes();
  }

  /** Returns the tasks whose status is in the record, by shard. */
  Map<TaskShard, BitSet> includedTasks() {
    return Collections.unmodifiableMap(includedTasks);
  }

  List<TaskStatuses> statuses() {
    return Collections.unmodifiableList(statuses);
  }

  /**
   * Appends the current status of each task whose latest status is in the record that this one
   * overwrites, unless the batch includes the task already. Fully stopped jobs are skipped, except
   * where an older status of them would take effect.
   *
   * @param overwrittenSequence the sequence number of the record in the slot; 0 if there is none
   * @return false if not all of these statuses can be appended, so that the slot can't be reused
   *     yet
   */
  boolean carryOver(long overwrittenSequence) {
    Map<TaskShard, BitSet> overwritten = context.slots().latestStatusIn(overwrittenSequence);
    for (Map.Entry<TaskShard, BitSet> entry : overwritten.entrySet()) {
      TaskShard shard = entry.getKey();
      Job job = shard.job();
      if (job.isFullyStopped() && !hidesOlderStatuses(shard, overwrittenSequence)) {
        continue;
      }
      BitSet missing = notYetIncluded(shard, entry.getValue());
      if (!missing.isEmpty() && (job.quarantined() || !appendTasks(job, missing))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether a snapshot of the shard exists, or a record before the overwritten one has statuses of
   * the job. Readers would use these older statuses if the overwritten record were gone. Always
   * false for a quarantined job.
   */
  private boolean hidesOlderStatuses(TaskShard shard, long overwrittenSequence) {
    return !shard.job().quarantined()
        && (context.snapshots().exists(shard)
            || context.slots().isMentionedBefore(shard.job().uid(), overwrittenSequence));
  }

  private BitSet notYetIncluded(TaskShard shard, BitSet tasks) {
    BitSet missing = batch.notYetIncluded(shard, tasks);
    missing.andNot(includedTasks.getOrDefault(shard, NO_TASKS));
    return missing;
  }

  /**
   * Appends the current status of as many tasks as fit of those whose shard is too large for a
   * snapshot and whose latest status is in a record up to this one.
   *
   * @return false if there are no such tasks that the batch does not include yet
   */
  boolean appendOversizedShards(long lastSequence) {
    boolean foundMissing = false;
    for (Map<TaskShard, BitSet> shards : context.slots().latestStatusUpTo(lastSequence).values()) {
      for (Map.Entry<TaskShard, BitSet> entry : shards.entrySet()) {
        TaskShard shard = entry.getKey();
        Job job = shard.job();
        if (!job.quarantined() && !job.isFullyStopped() && context.isTooLarge(shard)) {
          BitSet missing = notYetIncluded(shard, entry.getValue());
          foundMissing |= !missing.isEmpty();
          if (!appendTasks(job, missing)) {
            return true;
          }
        }
      }
    }
    return foundMissing;
  }

  /**
   * Appends the current status of as many of these tasks as fit.
   *
   * @return false if there are no tasks that this record does not include yet
   */
  boolean appendStatuses(Map<Job, BitSet> tasksByJob) {
    boolean foundMissing = false;
    for (Map.Entry<Job, BitSet> entry : tasksByJob.entrySet()) {
      Job job = entry.getKey();
      BitSet missing = (BitSet) entry.getValue().clone();
      for (TaskShard shard : TaskShard.splitByShard(job, missing).keySet()) {
        missing.andNot(includedTasks.getOrDefault(shard, NO_TASKS));
      }
      foundMissing |= !missing.isEmpty();
      if (!appendTasks(job, missing)) {
        return true;
      }
    }
    return foundMissing;
  }

  /**
   * Appends the current status of as many of the tasks as fit, and removes the appended ones from
   * the set.
   *
   * @return whether all of them fit
   */
  private boolean appendTasks(Job job, BitSet missing) {
    int maxTasks = context.limits().initialTasksPerRecord();
    while (!missing.isEmpty()) {
      BitSet tasks = firstTasks(missing, maxTasks);
      TaskStatuses taskStatuses = TaskStatuses.of(job, tasks);
      if (builder.add(context.encoder().encodeDelta(taskStatuses))) {
        missing.andNot(tasks);
        include(taskStatuses);
      } else if (maxTasks == 1) {
        return false;
      } else {
        maxTasks = Math.max(1, Math.min(maxTasks, tasks.cardinality()) / 2);
      }
    }
    return true;
  }

  private void include(TaskStatuses taskStatuses) {
    statuses.add(taskStatuses);
    TaskShard.splitByShard(taskStatuses.job(), taskStatuses.tasks())
        .forEach(
            (shard, shardTasks) ->
                includedTasks.computeIfAbsent(shard, s -> new BitSet()).or(shardTasks));
  }

  private static BitSet firstTasks(BitSet tasks, int maxCount) {
    BitSet first = new BitSet();
    int count = 0;
    for (int task = tasks.nextSetBit(0);
        task >= 0 && count < maxCount;
        task = tasks.nextSetBit(task + 1)) {
      first.set(task);
      count++;
    }
    return first;
  }
}
