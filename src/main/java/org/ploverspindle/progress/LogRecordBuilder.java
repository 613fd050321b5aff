package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.ProgressLogRecord;

/** Builds one record of the progress log. It has no effect until it is added to its batch. */
final class LogRecordBuilder {
  private static final BitSet NO_TASKS = new BitSet();

  private final long sequence;
  private final WriteBatch batch;
  private final WriteBatchContext context;
  private final ProgressLogRecord.Builder builder;
  private final Map<Job, TaskStatuses> statusesByJob = new LinkedHashMap<>();

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

  boolean isEmpty() {
    return statusesByJob.isEmpty();
  }

  /** Returns the tasks whose status is in the record, by job. */
  Map<Job, BitSet> includedTasks() {
    Map<Job, BitSet> tasks = new LinkedHashMap<>();
    statusesByJob.forEach((job, statuses) -> tasks.put(job, statuses.tasks()));
    return tasks;
  }

  /** Returns the statuses in the record, one element per job. */
  Collection<TaskStatuses> statuses() {
    return Collections.unmodifiableCollection(statusesByJob.values());
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
    Map<Job, BitSet> overwritten = context.slots().latestStatuses().latestIn(overwrittenSequence);
    for (Map.Entry<Job, BitSet> entry : overwritten.entrySet()) {
      Job job = entry.getKey();
      BitSet tasks = entry.getValue();
      if (job.isFullyStopped()) {
        tasks = hidingOlderStatuses(job, tasks, overwrittenSequence);
      }
      BitSet missing = notYetIncluded(job, tasks);
      if (!missing.isEmpty() && (job.quarantined() || !appendTasks(job, missing))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns those of the tasks of which a snapshot exists, or all of them if a record before the
   * overwritten one has statuses of the job. Readers would use these older statuses if the
   * overwritten record were gone. Returns no tasks for a quarantined job.
   */
  private BitSet hidingOlderStatuses(Job job, BitSet tasks, long overwrittenSequence) {
    if (job.quarantined()) {
      return NO_TASKS;
    }
    if (context.slots().isMentionedBefore(job.uid(), overwrittenSequence)) {
      return tasks;
    }
    BitSet hiding = new BitSet();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      hiding.set(task, context.snapshots().exists(TaskShard.of(job, task)));
    }
    return hiding;
  }

  private BitSet notYetIncluded(Job job, BitSet tasks) {
    BitSet missing = batch.notYetIncluded(job, tasks);
    missing.andNot(includedTasks(job));
    return missing;
  }

  private BitSet includedTasks(Job job) {
    TaskStatuses statuses = statusesByJob.get(job);
    return statuses == null ? NO_TASKS : statuses.tasks();
  }

  /**
   * Appends the current status of as many tasks as fit of those whose shard is too large for a
   * snapshot and whose latest status is in a record up to this one.
   *
   * @return false if there are no such tasks that the batch does not include yet
   */
  boolean appendOversizedShards(long lastSequence) {
    AtomicBoolean foundMissing = new AtomicBoolean();
    LatestStatuses latestStatuses = context.slots().latestStatuses();
    latestStatuses.visitShardsUpTo(
        lastSequence,
        shard -> {
          Job job = shard.job();
          if (job.quarantined() || job.isFullyStopped() || !context.isTooLarge(shard)) {
            return true;
          }
          BitSet missing = notYetIncluded(job, latestStatuses.latestUpTo(shard, lastSequence));
          if (!missing.isEmpty()) {
            foundMissing.set(true);
          }
          return appendTasks(job, missing);
        });
    return foundMissing.get();
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
      missing.andNot(includedTasks(job));
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
    statusesByJob.merge(taskStatuses.job(), taskStatuses, TaskStatuses::plus);
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
