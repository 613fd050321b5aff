package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.ProgressLogRecord;

/** One record of the log in the making; nothing of it counts before its batch takes it in. */
final class LogRecordBuilder {
  private static final BitSet NO_TASKS = new BitSet();

  private final long sequence;
  private final WriteBatch batch;
  private final WriteBatchContext context;
  private final ProgressLogRecord.Builder builder;
  private final Map<TaskShard, BitSet> includedTasks = new LinkedHashMap<>();
  private final List<TaskStatuses> statuses = new ArrayList<>();

  LogRecordBuilder(long n, String id, WriteBatch batch, WriteBatchContext sources) {
    this.sequence = n;
    this.batch = batch;
    this.context = sources;
    this.builder = new ProgressLogRecord.Builder(n, id, sources.limits().recordBytes());
  }

  long sequence() {
    return sequence;
  }

  ProgressLogRecord.Builder builder() {
    return builder;
  }

  Map<TaskShard, BitSet> includedTasks() {
    return includedTasks;
  }

  List<TaskStatuses> statuses() {
    return statuses;
  }

  /** Says all that rests on the record it replaces; false if that can't be. */
  boolean carryOver(long old) {
    for (Map.Entry<TaskShard, BitSet> e : context.slots().latestStatusIn(old).entrySet()) {
      TaskShard c = e.getKey();
      if (c.job().isFullyStopped() && !isNeeded(c, old)) {
        continue;
      }
      BitSet open = batch.notYetIncluded(c, e.getValue());
      open.andNot(includedTasks.getOrDefault(c, NO_TASKS));
      if (!open.isEmpty() && (c.job().quarantined() || !appendTasks(c.job(), open))) {
        return false;
      }
    }
    return true;
  }

  /** Does anything older speak of the chunk, so that it would count without the record? */
  private boolean isNeeded(TaskShard c, long record) {
    return !c.job().quarantined()
        && (context.snapshots().exists(c)
            || context.slots().isMentionedBefore(c.job().uid(), record));
  }

  /** Says what rests on records up to this one and fits in no checkpoint; true if there was any. */
  boolean appendOversized(long upTo) {
    boolean any = false;
    for (Map<TaskShard, BitSet> resting : context.slots().latestStatusUpTo(upTo).values()) {
      for (Map.Entry<TaskShard, BitSet> e : resting.entrySet()) {
        TaskShard c = e.getKey();
        if (!c.job().quarantined() && !c.job().isFullyStopped() && context.isTooLarge(c)) {
          BitSet open = batch.notYetIncluded(c, e.getValue());
          open.andNot(includedTasks.getOrDefault(c, NO_TASKS));
          any |= !open.isEmpty();
          if (!appendTasks(c.job(), open)) {
            return true;
          }
        }
      }
    }
    return any;
  }

  /** Says as many of these tasks as fit, as they are now; true if there was any. */
  boolean append(Map<Job, BitSet> tasks) {
    boolean any = false;
    for (Map.Entry<Job, BitSet> e : tasks.entrySet()) {
      BitSet open = (BitSet) e.getValue().clone();
      TaskShard.of(e.getKey(), open)
          .keySet()
          .forEach(c -> open.andNot(includedTasks.getOrDefault(c, NO_TASKS)));
      any |= !open.isEmpty();
      if (!appendTasks(e.getKey(), open)) {
        return true;
      }
    }
    return any;
  }

  /** Says as many of the tasks as fit; true if all did. */
  private boolean appendTasks(Job job, BitSet open) {
    int group = context.limits().tasksInRecord();
    while (!open.isEmpty()) {
      BitSet tasks = firstOf(open, group);
      TaskStatuses s = TaskStatuses.of(job, tasks);
      if (builder.add(context.encoder().delta(s))) {
        open.andNot(tasks);
        statuses.add(s);
        TaskShard.of(job, tasks)
            .forEach((c, some) -> includedTasks.computeIfAbsent(c, x -> new BitSet()).or(some));
      } else if (group == 1) {
        return false;
      } else {
        group = Math.max(1, Math.min(group, tasks.cardinality()) / 2);
      }
    }
    return true;
  }

  private static BitSet firstOf(BitSet tasks, int most) {
    BitSet first = new BitSet();
    int count = 0;
    for (int t = tasks.nextSetBit(0); t >= 0 && count < most; t = tasks.nextSetBit(t + 1)) {
      first.set(t);
      count++;
    }
    return first;
  }
}
