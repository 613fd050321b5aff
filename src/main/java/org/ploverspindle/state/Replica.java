package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.ChangedEntry;
import org.ploverspindle.state.StateStore.ChangesResult;
import org.ploverspindle.state.StateStore.Entry;

/**
 * This process's replica of the state service. Short reads of the changes since the last read keep
 * it up to date.
 *
 * <p>Each read is also a read barrier: it is sent after the requests that wait for it arrived, so
 * its result contains everything that any controller can have acknowledged before that. One read
 * serves all requests that wait when it is sent.
 */
public final class Replica {
  /** Is notified of every change of a key. */
  public interface Listener {
    /**
     * Called after a change was applied to the replica.
     *
     * @param entry the new entry of the key; empty if the key was removed
     */
    void changed(String key, Optional<Entry> entry);

    /** Called during a load when a page of the records of accepted jobs was applied. */
    default void jobRecordsLoaded() {}
  }

  /**
   * A read that takes longer than this is not prompt. A request may have to wait for the read in
   * flight and for the next one, and users wait for 2 s.
   */
  private static final long PROMPT_READ_MS = 1_000;

  private final Scheduler scheduler;
  private final StateStore store;
  private final String prefix;
  private final long idlePeriodMs;
  private final EndedJobs endedJobs;
  private final ReplicaEntries entries;
  private final ReadPacing pacing;
  private final LoadPacing loadPacing;

  private List<Consumer<Boolean>> waitingReaders = new ArrayList<>();
  private boolean urgentReadWaiting;
  private boolean readInFlight;
  private Optional<Cancellable> scheduledRead = Optional.empty();
  private long scheduledReadMs;

  private boolean loaded;
  private Optional<ReplicaLoad> load = Optional.empty();
  private long revision;
  private long freshAsOfMs = ReadPacing.NEVER_MS;
  private long promptAsOfMs = ReadPacing.NEVER_MS;

  /**
   * @param prefix the prefix of the keys that are replicated
   * @param idlePeriodMs the time between two reads while no reader waits, in milliseconds; it is
   *     longer while reads fail
   * @param random the source of the jitter of loads
   */
  public Replica(
      Scheduler scheduler,
      StateStore store,
      String prefix,
      long idlePeriodMs,
      RandomGenerator random) {
    this.scheduler = scheduler;
    this.store = store;
    this.prefix = prefix;
    this.idlePeriodMs = idlePeriodMs;
    this.pacing = new ReadPacing(scheduler);
    this.loadPacing = new LoadPacing(scheduler, random);
    this.endedJobs = new EndedJobs(random);
    this.entries = new ReplicaEntries(endedJobs);
  }

  /**
   * Adds a listener. Listeners are notified of all keys, also of those whose entries are not kept:
   * accepted jobs, completions and cancellations, see {@link #get}. A listener that belongs to a
   * term must be cancelled at the end of the term; otherwise the replica keeps the objects of the
   * deposed leader in memory until the process ends.
   *
   * @return removes the listener when cancelled
   */
  public Cancellable addListener(Listener listener) {
    return entries.addListener(listener);
  }

  /** Loads the replica, and reads changes periodically until the returned handle is cancelled. */
  public Cancellable start() {
    reload();
    return scheduler.scheduleWithFixedDelay(idlePeriodMs, () -> readIfOlderThan(idlePeriodMs));
  }

  /**
   * Sets the average time between reads, in milliseconds. It expresses this process's share of the
   * state service's request rate limit.
   */
  public void setReadInterval(long ms) {
    pacing.setInterval(ms);
  }

  /**
   * Sets the average number of requests per second of a load. Together, the rates of all
   * controllers must leave room for the other requests to the state service.
   */
  public void setLoadRate(double requestsPerS) {
    loadPacing.setRate(requestsPerS);
  }

  /**
   * Reads immediately if the last read was sent at least {@code ms} milliseconds ago. Each
   * consecutive failed read adds another {@code ms} to this time.
   */
  public void readIfOlderThan(long ms) {
    if (pacing.isLastReadOlderThan(ms)) {
      read();
    }
  }

  /**
   * Returns whether all keys were read at least once, and the changes since then can still be read
   * from the state service.
   */
  public boolean isLoaded() {
    return loaded;
  }

  /**
   * Returns when the last successful read was sent. The replica contains everything that was
   * committed before that time.
   */
  public long freshAsOfMs() {
    return freshAsOfMs;
  }

  /**
   * Returns when the last successful read was sent that was answered promptly, or a full load. If
   * all reads are slow, the replica is fresh, and yet most requests can't wait for a read barrier.
   */
  public long promptAsOfMs() {
    return promptAsOfMs;
  }

  /**
   * Returns the entry of a key; empty if the key does not exist. The replica has no entries of
   * accepted jobs, completions and cancellations: {@link AcceptedJobIndex} and {@link #endedJobs}
   * have these, and their number has no bound.
   */
  public Optional<Entry> get(String key) {
    return entries.get(key);
  }

  /** Returns the entries with this prefix in key order, as an unmodifiable live view. */
  public SortedMap<String, Entry> withPrefix(String keyPrefix) {
    return entries.withPrefix(keyPrefix);
  }

  /** Returns the outcomes of all jobs that have ended. */
  public EndedJobs endedJobs() {
    return endedJobs;
  }

  /** Returns the time of the wall clock in milliseconds since the epoch. */
  long wallMs() {
    return scheduler.wallMs();
  }

  /**
   * Returns whether the outcomes of jobs and the recorded progress are as of one revision. That is
   * so at all times except in the first part of a load.
   */
  boolean isProgressConsistent() {
    return loaded || load.map(ReplicaLoad::isLoadingJobRecords).orElse(false);
  }

  /**
   * Has the load in progress begin anew when it would be complete, as what was concluded from it so
   * far may be wrong.
   */
  void repeatLoad() {
    load.ifPresent(ReplicaLoad::repeat);
  }

  /** Removes the parts of a list of dependencies that is no longer needed from the replica. */
  void dropDependencies(String listName) {
    entries.drop(Keys.DEPENDENCIES + listName + "/");
  }

  /** Returns the text in a field of the key's value, if the key exists and the field is text. */
  public Optional<String> text(String key, String field) {
    return get(key)
        .map(Entry::value)
        .map(value -> value.path(field))
        .filter(JsonNode::isTextual)
        .map(JsonNode::asText);
  }

  /**
   * Calls {@code callback} with true once the replica contains everything that was committed before
   * this call, or with false if the state service could not be read.
   */
  public void readBarrier(Consumer<Boolean> callback) {
    waitingReaders.add(callback);
    urgentReadWaiting = true;
    scheduleRead();
  }

  /**
   * Gives the same guarantee as {@link #readBarrier}, for frequent requests that can wait. Reads
   * for these requests are paced to half of the share of requests, and leave the other half to
   * readers that users wait for.
   */
  public void lowPriorityReadBarrier(Consumer<Boolean> callback) {
    waitingReaders.add(callback);
    scheduleRead();
  }

  private void scheduleRead() {
    if (readInFlight) {
      return;
    }
    long dueMs = pacing.nextReadMs(urgentReadWaiting);
    if (scheduledRead.isPresent() && scheduledReadMs <= dueMs) {
      return;
    }
    scheduledRead.ifPresent(Cancellable::cancel);
    scheduledRead = Optional.empty();
    long waitMs = dueMs - scheduler.nowMs();
    if (waitMs <= 0) {
      read();
      return;
    }
    scheduledReadMs = dueMs;
    scheduledRead =
        Optional.of(
            scheduler.schedule(
                waitMs,
                () -> {
                  scheduledRead = Optional.empty();
                  read();
                }));
  }

  private void read() {
    if (readInFlight) {
      return;
    }
    if (!loaded) {
      reload();
      return;
    }
    readInFlight = true;
    pacing.readSent();
    long sentMs = pacing.lastSentMs();
    List<Consumer<Boolean>> servedReaders = takeWaitingReaders();
    urgentReadWaiting = false;
    store.readChanges(prefix, revision, result -> changesReceived(result, sentMs, servedReaders));
  }

  private List<Consumer<Boolean>> takeWaitingReaders() {
    List<Consumer<Boolean>> readers = waitingReaders;
    waitingReaders = new ArrayList<>();
    return readers;
  }

  private void changesReceived(
      ChangesResult result, long sentMs, List<Consumer<Boolean>> servedReaders) {
    readInFlight = false;
    if (result instanceof ChangesResult.Changes changes) {
      pacing.readSucceeded();
      changes.changes().forEach(entries::apply);
      revision = Math.max(revision, changes.revision());
      freshAsOfMs = Math.max(freshAsOfMs, sentMs);
      if (scheduler.nowMs() - sentMs <= PROMPT_READ_MS) {
        promptAsOfMs = sentMs;
      }
      servedReaders.forEach(reader -> reader.accept(true));
    } else if (result instanceof ChangesResult.TooOld) {
      loaded = false;
      waitingReaders.addAll(servedReaders);
      urgentReadWaiting = true;
      reload();
    } else {
      pacing.readFailed();
      servedReaders.forEach(reader -> reader.accept(false));
    }
    if (!waitingReaders.isEmpty()) {
      scheduleRead();
    }
  }

  /**
   * Applies a key that a transaction of this process created, without waiting for the next read. It
   * may be used only for keys that are created once and never change. The replica may still lack
   * other keys with lower revisions, so readers must not draw conclusions from missing keys.
   *
   * @param createdRevision the revision of the transaction that created the key
   */
  public void applyCreated(Change.Put put, long createdRevision) {
    // During a reload the key may be missing from a page that was read before the key was created.
    // The end of the reload would then remove the key from the replica.
    if (loaded) {
      entries.apply(new ChangedEntry(put.key(), Optional.of(put.value()), createdRevision));
    }
  }

  private void reload() {
    if (readInFlight) {
      return;
    }
    readInFlight = true;
    pacing.readSent();
    ReplicaLoad newLoad =
        new ReplicaLoad(scheduler, store, prefix, entries, loadPacing, new LoadEvents());
    load = Optional.of(newLoad);
    newLoad.sendNext();
  }

  /** Ends the waiting of readers when a load is refused, and the load when it is complete. */
  private final class LoadEvents implements ReplicaLoad.Listener {
    @Override
    public void requestFailed() {
      takeWaitingReaders().forEach(reader -> reader.accept(false));
    }

    @Override
    public void completed(long loadedRevision, long sentMs) {
      revision = loadedRevision;
      readInFlight = false;
      loaded = true;
      load = Optional.empty();
      pacing.readSucceeded();
      freshAsOfMs = Math.max(freshAsOfMs, sentMs);
      promptAsOfMs = Math.max(promptAsOfMs, sentMs);
      // A waiting reader may have arrived after the last read of the load was sent. It is served by
      // another read, since the load may lack changes that were committed before it arrived.
      scheduleRead();
    }
  }
}
