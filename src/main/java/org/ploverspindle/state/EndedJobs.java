package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ploverspindle.state.AcceptedJobIndex.AcceptedJob;

/**
 * The outcomes of all jobs that have ended, in a few bytes each. They are kept for as long as the
 * process runs, since users may ask about a job at any later time.
 *
 * <p>An outcome is known from the key of the job's completion or cancellation. The record of the
 * job is packed into the same entry once nothing else needs it, see {@link AcceptedJobIndex}.
 */
public final class EndedJobs {
  /**
   * A job that has ended and whose record is packed.
   *
   * @param completedTasks the number of completed tasks, for display
   */
  public record EndedJob(
      JobOutcome outcome, int completedTasks, boolean isService, JobOwner owner) {}

  private static final String TASKS_FIELD = "tasks";

  private final UidIntMap packed;
  private final List<JobOwner> owners = new ArrayList<>();
  private final Map<JobOwner, Integer> ownerIndexes = new HashMap<>();

  EndedJobs(RandomGenerator random) {
    this.packed = new UidIntMap(random);
  }

  /** Returns whether the completion of the job is recorded. */
  public boolean isDone(String uid) {
    return hasOutcome(uid, JobOutcome.DONE);
  }

  /** Returns whether the job's own cancellation is recorded, and not its completion. */
  public boolean isCancelled(String uid) {
    return hasOutcome(uid, JobOutcome.CANCELLED);
  }

  /**
   * Returns whether the job's own cancellation is recorded, or the job was packed as aborted by a
   * dependency.
   */
  public boolean isAborted(String uid) {
    return isCancelled(uid) || hasOutcome(uid, JobOutcome.ABORTED_BY_DEPENDENCY);
  }

  /** Returns whether the job is known to have ended, whether or not its record is packed. */
  boolean isEnded(String uid) {
    return packed.get(uid) != PackedJob.NONE;
  }

  /** Returns whether the job has ended and its record is packed. */
  public boolean isPacked(String uid) {
    return PackedJob.isRecordRead(packed.get(uid));
  }

  /** Returns the job if it has ended and its record is packed. */
  public Optional<EndedJob> get(String uid) {
    int value = packed.get(uid);
    return PackedJob.isRecordRead(value)
        ? Optional.of(
            new EndedJob(
                PackedJob.outcome(value),
                PackedJob.completedTasks(value),
                PackedJob.isService(value),
                owners.get(PackedJob.owner(value))))
        : Optional.empty();
  }

  /** Returns the number of jobs that are known to have ended. */
  public int size() {
    return packed.size();
  }

  private boolean hasOutcome(String uid, JobOutcome outcome) {
    int value = packed.get(uid);
    return value != PackedJob.NONE && PackedJob.outcome(value) == outcome;
  }

  /** Records the completion of a job; returns whether it was not known. */
  boolean markDone(String uid, JsonNode completion) {
    if (isDone(uid)) {
      return false;
    }
    setOutcome(uid, JobOutcome.DONE, completion.path(TASKS_FIELD).asInt());
    return true;
  }

  /** Records the cancellation of a job; returns whether it was not known. */
  boolean markCancelled(String uid) {
    if (isDone(uid) || isCancelled(uid)) {
      return false;
    }
    setOutcome(uid, JobOutcome.CANCELLED, 0);
    return true;
  }

  private void setOutcome(String uid, JobOutcome outcome, int completedTasks) {
    int value = PackedJob.ofOutcome(outcome, completedTasks);
    int previous = packed.get(uid);
    packed.put(
        uid,
        PackedJob.isRecordRead(previous)
            ? PackedJob.withRecord(value, PackedJob.isService(previous), PackedJob.owner(previous))
            : value);
  }

  /**
   * Packs the record of an ended job.
   *
   * @return whether it was packed; false if there are too many different owners
   */
  boolean pack(AcceptedJob job, JobOutcome outcome, int completedTasks) {
    JobOwner owner = JobOwner.of(job.value());
    Integer index = ownerIndexes.get(owner);
    if (index == null) {
      if (owners.size() == PackedJob.MAX_OWNERS) {
        return false;
      }
      index = owners.size();
      owners.add(owner);
      ownerIndexes.put(owner, index);
    }
    int value = PackedJob.ofOutcome(outcome, completedTasks);
    packed.put(job.uid(), PackedJob.withRecord(value, JobRecord.isService(job.value()), index));
    return true;
  }

  /** Creates an empty map from job ids, whose jobs {@link #forgetAll} can forget. */
  UidIntMap newMapForSameIds() {
    return packed.newMapForSameIds();
  }

  /** Forgets the jobs in this map. */
  void forgetAll(UidIntMap uids) {
    packed.removeAll(uids);
  }
}
