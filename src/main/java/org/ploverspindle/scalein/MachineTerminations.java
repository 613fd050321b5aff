package org.ploverspindle.scalein;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.cluster.HeartbeatTimeout;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.LeaderWriter.CreateOutcome;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries returns out: records each, asks the cloud until it confirms, and removes the record once
 * no list can show the machines any more. A return that was begun is never taken back in its term,
 * and one that is recorded in no term.
 */
public final class MachineTerminations {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTerminations.class);

  private static final long WRITE_RETRY_MS = 500;
  private static final long REMOVE_RETRY_MS = 2_000;

  /**
   * A return that has not come further for so long: the state service or the cloud is in trouble.
   */
  private static final long STALLED_MS = 3_000;

  /**
   * Requests that were held up on the way are executed within this time. So long after a record
   * could not be read, its machines may still be taken by a request of an earlier leader.
   */
  private static final long LATE_REQUEST_MS = 300_000;

  private final Scheduler scheduler;
  private final MachineRegistry registry;
  private final HeartbeatTimeout heartbeatTimeout;
  private final TerminationRecordWriter writer;
  private final TerminationSender sender;
  private final long recordRetentionMs;
  private final Consumer<List<Placement>> onLost;
  private final TerminationStatistics statistics = new TerminationStatistics();
  private final Map<String, PendingTermination> terminations = new LinkedHashMap<>();

  /**
   * @param recordRetentionMs for how long a record outlives the cloud's confirmation: as long as a
   *     list may still show the machines
   * @param onLost told of tasks that went with a machine
   */
  public MachineTerminations(
      Scheduler scheduler,
      MachineRegistry registry,
      HeartbeatTimeout heartbeatTimeout,
      TerminationRecordWriter writer,
      TerminationSender sender,
      long recordRetentionMs,
      Consumer<List<Placement>> onLost) {
    this.scheduler = scheduler;
    this.registry = registry;
    this.heartbeatTimeout = heartbeatTimeout;
    this.writer = writer;
    this.sender = sender;
    this.recordRetentionMs = recordRetentionMs;
    this.onLost = onLost;
  }

  /**
   * An earlier leader's return, which this leader completes. To be called for all records before
   * the first placement of the term.
   */
  public void inherit(Entry entry) {
    Optional<TerminationRecord> record = TerminationRecord.decode(entry.value());
    if (record.isEmpty()) {
      LOG.error(
          "the record {} can't be read and is left as it is: machines of earlier terms get no work"
              + " for {} s",
          entry.key(),
          LATE_REQUEST_MS / 1_000);
      registry.quarantineEarlierMachines(scheduler.nowMs() + LATE_REQUEST_MS);
      return;
    }
    List<String> hosts = record.get().hosts();
    terminations.put(
        entry.key(),
        new PendingTermination(
            entry.key(), record.get(), PendingTermination.Phase.RECORDED, scheduler.nowMs()));
    hosts.forEach(registry::beginTermination);
    statistics.inherited(hosts.size());
    LOG.info("returning {} as an earlier leader recorded", hosts);
  }

  /**
   * Begins the return of these machines. From now on nothing is placed on them in this term,
   * whatever becomes of the write: one without an answer may be carried out later.
   */
  public void begin(List<Machine> machines) {
    if (machines.isEmpty()) {
      return;
    }
    List<String> hosts = machines.stream().map(Machine::host).toList();
    LOG.info("returning {}", hosts);
    statistics.recordDecided(hosts.size());
    hosts.forEach(registry::beginTermination);
    writer.prepare(hosts, scheduler.nowMs()).forEach(this::add);
  }

  private void add(PendingTermination pending) {
    terminations.put(pending.key(), pending);
    createRecord(pending);
  }

  /** True when a record that can wait may be written now. */
  public boolean hasSpareWrites() {
    return writer.hasSpareWrites();
  }

  /** True while returns that were begun a while ago do not come further. */
  public boolean isStalled() {
    long nowMs = scheduler.nowMs();
    return terminations.values().stream()
        .anyMatch(
            pending ->
                pending.phase() != PendingTermination.Phase.CONFIRMED
                    && nowMs - pending.startedMs() > STALLED_MS);
  }

  /** Repeats what was not answered, and sends what may be sent by now. To be called each second. */
  public void advance() {
    long nowMs = scheduler.nowMs();
    for (PendingTermination pending : List.copyOf(terminations.values())) {
      if (!pending.mayWrite(nowMs)) {
        continue;
      }
      if (pending.phase() == PendingTermination.Phase.RECORDING) {
        createRecord(pending);
      } else if (pending.phase() == PendingTermination.Phase.CONFIRMED
          && nowMs - pending.confirmedMs() >= recordRetentionMs
          && writer.hasSpareWrites()) {
        removeRecord(pending);
      }
    }
    sendDue();
  }

  private void createRecord(PendingTermination pending) {
    pending.markWriting();
    writer.create(pending, outcome -> onCreateResult(pending, outcome));
  }

  private void onCreateResult(PendingTermination pending, CreateOutcome outcome) {
    if (outcome == CreateOutcome.CREATED) {
      pending.markRecorded();
      sendDue();
      return;
    }
    if (outcome == CreateOutcome.TOO_LARGE && pending.hosts().size() > 1) {
      terminations.remove(pending.key());
      writer.halve(pending, scheduler.nowMs()).forEach(this::add);
      return;
    }
    // The same key again: an earlier write of it that is carried out late says the same.
    pending.retryWriteAt(scheduler.nowMs() + WRITE_RETRY_MS);
  }

  private void removeRecord(PendingTermination pending) {
    pending.markWriting();
    writer.remove(
        pending,
        removed -> {
          if (removed) {
            terminations.remove(pending.key());
          } else {
            pending.retryWriteAt(scheduler.nowMs() + REMOVE_RETRY_MS);
          }
        });
  }

  private void sendDue() {
    List<String> due = new ArrayList<>();
    for (PendingTermination pending : terminations.values()) {
      if (pending.phase() == PendingTermination.Phase.RECORDED) {
        pending.unconfirmed().stream()
            .filter(host -> sender.maySend(host) && mayTerminate(host))
            .forEach(due::add);
      }
    }
    for (int from = 0; from < due.size(); from += TerminationClient.MAX_HOSTS_PER_RELEASE) {
      int end = Math.min(due.size(), from + TerminationClient.MAX_HOSTS_PER_RELEASE);
      List<String> hosts = List.copyOf(due.subList(from, end));
      boolean isRepeat = hosts.stream().anyMatch(sender::wasSent);
      if (!sender.send(hosts, this::onConfirmed)) {
        return;
      }
      statistics.recordRequest(isRepeat);
    }
  }

  /**
   * A machine goes when it is empty, or silent: then the answer to its release is the proof that
   * its tasks are gone. One that reports tasks is drained first.
   */
  private boolean mayTerminate(String host) {
    Optional<Machine> machine = registry.get(host);
    if (machine.isEmpty()
        || machine.get().isEmpty()
        || heartbeatTimeout.isExpired(machine.get(), scheduler.nowMs())) {
      return true;
    }
    TerminationDrain.drain(machine.get());
    return false;
  }

  private void onConfirmed(List<String> hosts) {
    long nowMs = scheduler.nowMs();
    for (String host : hosts) {
      onLost.accept(registry.confirmTermination(host, nowMs));
    }
    for (PendingTermination pending : terminations.values()) {
      for (String host : hosts) {
        if (pending.unconfirmed().contains(host)) {
          pending.confirm(host, nowMs);
          statistics.recordConfirmed(nowMs - pending.startedMs());
        }
      }
    }
  }

  /** Numbers for people. */
  public String summary() {
    return statistics.text(
        count(PendingTermination.Phase.RECORDING),
        count(PendingTermination.Phase.RECORDED),
        count(PendingTermination.Phase.CONFIRMED));
  }

  private int count(PendingTermination.Phase phase) {
    return (int) terminations.values().stream().filter(pending -> pending.phase() == phase).count();
  }
}
