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
 * Carries out the terminations of machines: records each termination durably, repeats the request
 * to the cloud until the cloud confirms it, and removes the record once no list of machines can
 * show the machines any more.
 *
 * <p>Guarantees: a termination is requested from the cloud only after its record is known to be
 * durable. A termination that has begun is not revoked in its term, and a recorded one is not
 * revoked in any term.
 */
public final class MachineTerminations {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTerminations.class);

  private static final long WRITE_RETRY_MS = 500;
  private static final long REMOVE_RETRY_MS = 2_000;

  /**
   * A termination that is not confirmed after this time counts as stalled: the state service or the
   * cloud is probably failing.
   */
  private static final long STALLED_MS = 3_000;

  /**
   * Longest delay after which the cloud still executes a request. For this long after an unreadable
   * record is found, a request of an earlier leader may still terminate the machines that the
   * record names.
   */
  private static final long MAX_REQUEST_DELAY_MS = 300_000;

  private final Scheduler scheduler;
  private final MachineRegistry registry;
  private final HeartbeatTimeout heartbeatTimeout;
  private final TerminationRecordWriter writer;
  private final TerminationSender sender;
  private final long recordRetentionMs;
  private final Consumer<List<Placement>> onPlacementsLost;
  private final TerminationStatistics statistics = new TerminationStatistics();

  /** The terminations whose records exist or are being written, by the key of the record. */
  private final Map<String, PendingTermination> terminations = new LinkedHashMap<>();

  /**
   * @param recordRetentionMs for how long a record is kept after the cloud's confirmation, since a
   *     list may still show the machines for this time
   * @param onPlacementsLost called for each machine whose termination is confirmed, with the
   *     placements that were on it
   */
  public MachineTerminations(
      Scheduler scheduler,
      MachineRegistry registry,
      HeartbeatTimeout heartbeatTimeout,
      TerminationRecordWriter writer,
      TerminationSender sender,
      long recordRetentionMs,
      Consumer<List<Placement>> onPlacementsLost) {
    this.scheduler = scheduler;
    this.registry = registry;
    this.heartbeatTimeout = heartbeatTimeout;
    this.writer = writer;
    this.sender = sender;
    this.recordRetentionMs = recordRetentionMs;
    this.onPlacementsLost = onPlacementsLost;
  }

  /**
   * Inherits a termination that an earlier leader recorded. Must be called for all records before
   * the first placement of the term. If the record is unreadable, it is kept, and machines of
   * earlier terms are quarantined while a request that rests on it may still be executed.
   */
  public void inheritTermination(Entry entry) {
    Optional<TerminationRecord> record = TerminationRecord.decode(entry.value());
    if (record.isEmpty()) {
      LOG.error(
          "unreadable termination record, record kept as it is, machines of earlier terms"
              + " quarantined: key={} quarantine_s={}",
          entry.key(),
          MAX_REQUEST_DELAY_MS / 1_000);
      registry.quarantineEarlierMachines(scheduler.nowMs() + MAX_REQUEST_DELAY_MS);
      return;
    }
    List<String> hosts = record.get().hosts();
    terminations.put(
        entry.key(),
        new PendingTermination(
            entry.key(), record.get(), PendingTermination.Phase.RECORDED, scheduler.nowMs()));
    hosts.forEach(registry::beginTermination);
    statistics.recordInherited(hosts.size());
    LOG.info("termination inherited: key={} machines={}", entry.key(), hosts);
  }

  /**
   * Begins the termination of these machines. From now on no task is placed on them in this term,
   * whatever the outcome of writing the record: a write without a response may be executed later.
   */
  public void beginTermination(List<Machine> machines) {
    if (machines.isEmpty()) {
      return;
    }
    List<String> hosts = machines.stream().map(Machine::host).toList();
    LOG.info("termination begun: machines={}", hosts);
    statistics.recordDecided(hosts.size());
    hosts.forEach(registry::beginTermination);
    writer.prepare(hosts, scheduler.nowMs()).forEach(this::add);
  }

  private void add(PendingTermination pending) {
    terminations.put(pending.key(), pending);
    createRecord(pending);
  }

  /** Whether the write budget allows a record now for machines whose termination can also wait. */
  public boolean hasSpareWrites() {
    return writer.hasSpareWrites();
  }

  /** Whether a termination has not been confirmed within {@link #STALLED_MS} of its beginning. */
  public boolean isStalled() {
    long nowMs = scheduler.nowMs();
    return terminations.values().stream()
        .anyMatch(
            pending ->
                pending.phase() != PendingTermination.Phase.CONFIRMED
                    && nowMs - pending.startedMs() > STALLED_MS);
  }

  /**
   * Repeats writes that failed or had no response, removes records that need not be kept any more,
   * and sends the requests that are due. Must be called every second.
   */
  public void advance() {
    long nowMs = scheduler.nowMs();
    for (PendingTermination pending : List.copyOf(terminations.values())) {
      if (!pending.mayWrite(nowMs)) {
        continue;
      }
      if (pending.phase() == PendingTermination.Phase.RECORDING) {
        createRecord(pending);
      } else if (isRetentionOver(pending, nowMs) && writer.hasSpareWrites()) {
        removeRecord(pending);
      }
    }
    sendDueRequests();
  }

  private boolean isRetentionOver(PendingTermination pending, long nowMs) {
    return pending.phase() == PendingTermination.Phase.CONFIRMED
        && nowMs - pending.confirmedMs() >= recordRetentionMs;
  }

  private void createRecord(PendingTermination pending) {
    pending.markWriteInFlight();
    writer.create(pending, outcome -> onCreateResult(pending, outcome));
  }

  private void onCreateResult(PendingTermination pending, CreateOutcome outcome) {
    if (outcome == CreateOutcome.CREATED) {
      pending.markRecorded();
      sendDueRequests();
      return;
    }
    if (outcome == CreateOutcome.TOO_LARGE && pending.hosts().size() > 1) {
      terminations.remove(pending.key());
      writer.halve(pending, scheduler.nowMs()).forEach(this::add);
      return;
    }
    // The write is repeated under the same key: if the earlier write is executed late, it writes
    // the same value.
    pending.retryWriteAt(scheduler.nowMs() + WRITE_RETRY_MS);
  }

  private void removeRecord(PendingTermination pending) {
    pending.markWriteInFlight();
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

  private void sendDueRequests() {
    List<String> due = dueHosts();
    for (int from = 0; from < due.size(); from += TerminationClient.MAX_MACHINES_PER_REQUEST) {
      int end = Math.min(due.size(), from + TerminationClient.MAX_MACHINES_PER_REQUEST);
      List<String> hosts = List.copyOf(due.subList(from, end));
      boolean isRepeat = hosts.stream().anyMatch(sender::wasSent);
      if (!sender.send(hosts, this::onConfirmed)) {
        return;
      }
      statistics.recordRequest(isRepeat);
    }
  }

  private List<String> dueHosts() {
    List<String> due = new ArrayList<>();
    for (PendingTermination pending : terminations.values()) {
      if (pending.phase() == PendingTermination.Phase.RECORDED) {
        pending.unconfirmed().stream()
            .filter(host -> sender.maySend(host) && mayTerminate(host))
            .forEach(due::add);
      }
    }
    return due;
  }

  /**
   * Whether the cloud may be asked to terminate the machine now: it is unknown to this leader, has
   * no tasks, or its heartbeats have timed out, in which case the cloud's confirmation proves that
   * its tasks are gone. A machine that has tasks and sends heartbeats is drained first.
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
      onPlacementsLost.accept(registry.confirmTermination(host, nowMs));
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

  /** Counts and latencies of this term's terminations, as one line of the status output. */
  public String summary() {
    return statistics.statusLine(
        count(PendingTermination.Phase.RECORDING),
        count(PendingTermination.Phase.RECORDED),
        count(PendingTermination.Phase.CONFIRMED));
  }

  private int count(PendingTermination.Phase phase) {
    return (int)
        terminations.values().stream().filter(termination -> termination.phase() == phase).count();
  }
}
