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
 * Carries out the terminations of machines: records each durably, asks the cloud until it confirms,
 * and removes the record once no list can show the machines any more.
 *
 * <p>Guarantees: the cloud is asked only after the record is known to be durable; a termination
 * that has begun is not taken back in its term, and one that is recorded is not taken back in any.
 */
public final class MachineTerminations {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTerminations.class);

  private static final long WRITE_RETRY_MS = 500;
  private static final long REMOVE_RETRY_MS = 2_000;

  /** A termination that takes longer shows that the state service or the cloud is failing. */
  private static final long STALLED_MS = 3_000;

  /**
   * A delayed request to the cloud is executed within this time. For so long after a record was
   * found unreadable, a request of an earlier leader may still terminate the machines that the
   * record names.
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

  /** By key of the record. */
  private final Map<String, PendingTermination> terminations = new LinkedHashMap<>();

  /**
   * @param recordRetentionMs for how long a record is kept after the cloud's confirmation: as long
   *     as a list may still show the machines
   * @param onLost receives the placements that were on a machine when its end was confirmed
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
   * Takes over a termination that an earlier leader recorded. To be called for all records before
   * the first placement of the term.
   */
  public void inheritTermination(Entry entry) {
    Optional<TerminationRecord> record = TerminationRecord.decode(entry.value());
    if (record.isEmpty()) {
      LOG.error(
          "unreadable termination record, record kept as it is, machines of earlier terms"
              + " quarantined: key={} quarantine_s={}",
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
    statistics.recordInherited(hosts.size());
    LOG.info("termination inherited: key={} machines={}", entry.key(), hosts);
  }

  /**
   * Begins the termination of these machines. From now on nothing is placed on them in this term,
   * whatever the outcome of the write: one without a response may be carried out later.
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

  /** Whether the write budget allows a record now whose machines could also wait. */
  public boolean hasSpareWrites() {
    return writer.hasSpareWrites();
  }

  /** Whether some termination has taken longer than it does while all services work. */
  public boolean isStalled() {
    long nowMs = scheduler.nowMs();
    return terminations.values().stream()
        .anyMatch(
            pending ->
                pending.phase() != PendingTermination.Phase.CONFIRMED
                    && nowMs - pending.startedMs() > STALLED_MS);
  }

  /**
   * Repeats writes without a response, removes outdated records, and sends the requests that may be
   * sent by now. To be called each second.
   */
  public void advance() {
    long nowMs = scheduler.nowMs();
    for (PendingTermination pending : List.copyOf(terminations.values())) {
      if (!pending.mayWrite(nowMs)) {
        continue;
      }
      if (pending.phase() == PendingTermination.Phase.RECORDING) {
        createRecord(pending);
      } else if (isOutdated(pending, nowMs) && writer.hasSpareWrites()) {
        removeRecord(pending);
      }
    }
    sendDue();
  }

  private boolean isOutdated(PendingTermination pending, long nowMs) {
    return pending.phase() == PendingTermination.Phase.CONFIRMED
        && nowMs - pending.confirmedMs() >= recordRetentionMs;
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
    // Under the same key: if an earlier write of it is carried out late, it writes the same value.
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
    List<String> due = dueHosts();
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
   * Whether the machine is empty, or its heartbeats have stopped: then the cloud's confirmation is
   * the proof that its tasks are gone. A machine that reports tasks is drained first.
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

  /** Counts and latencies of this term's terminations, in one line for operators. */
  public String summary() {
    return statistics.text(
        count(PendingTermination.Phase.RECORDING),
        count(PendingTermination.Phase.RECORDED),
        count(PendingTermination.Phase.CONFIRMED));
  }

  private int count(PendingTermination.Phase phase) {
    return (int) terminations.values().stream().filter(each -> each.phase() == phase).count();
  }
}
