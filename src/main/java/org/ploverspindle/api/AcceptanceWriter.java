package org.ploverspindle.api;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores accepted jobs, many in one transaction, and answers their users when they are durable. One
 * transaction is under way at a time.
 */
final class AcceptanceWriter {
  private static final Logger LOG = LoggerFactory.getLogger(AcceptanceWriter.class);

  /** So long after it came a submission is not written any more: its user is about to give up. */
  static final long WRITE_DEADLINE_MS = 2_500;

  private static final int MOST_WAITING = 200;

  /** Jobs that come within this time share a transaction. */
  private static final long GATHER_MS = 4;

  private static final long NO_BUDGET_MS = 20;

  /** After a refusal for its rate every node keeps to its share of the changes for a while. */
  private static final long STRICT_MS = 5_000;

  /** Beyond the share one write in so long, while the state service refuses nobody. */
  private static final long BEYOND_SHARE_MS = 60;

  private static final double REFUSED_COST = 2;
  private static final int CREATED = 201;
  private static final int TOO_LARGE = 400;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final Scheduler scheduler;
  private final StateStore store;
  private final LinearizableReads reads;
  private final JobStatusReader states;
  private final DependencyCheck dependencies;
  private final TokenBucket writes;
  private final String nonce;
  private final LeaderNotifier leaderHints;
  private final int valueBytes;
  private final int txnOps;
  private final Deque<PendingAcceptance> creations = new ArrayDeque<>();
  private final Map<String, PendingAcceptance> pending = new HashMap<>();

  /** Those of them whose write is out. */
  private final Set<String> sent = new HashSet<>();

  private long batches;
  private boolean creating;
  private boolean flushPlanned;
  private long flushedMs = Long.MIN_VALUE / 2;
  private long refusedMs = Long.MIN_VALUE / 2;

  /**
   * @param writes this node's share of the changes
   * @param nonce names this process's records: no other's, and none of an earlier run's
   * @param valueBytes the largest value
   * @param txnOps the most changes of a transaction
   */
  AcceptanceWriter(
      Scheduler scheduler,
      StateStore store,
      LinearizableReads reads,
      JobStatusReader states,
      DependencyCheck dependencies,
      TokenBucket writes,
      String nonce,
      LeaderNotifier leaderHints,
      int valueBytes,
      int txnOps) {
    this.scheduler = scheduler;
    this.store = store;
    this.reads = reads;
    this.states = states;
    this.dependencies = dependencies;
    this.writes = writes;
    this.nonce = nonce;
    this.leaderHints = leaderHints;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
  }

  /** Stores the job and answers its user, or tells the user at once to come back. */
  void accept(Submission submission, List<String> guards) {
    String uid = submission.spec().uid();
    PendingAcceptance same = pending.get(uid);
    if (same != null) {
      // The user asks again while its first request is under way: one record answers both. What
      // comes after the write went out has to be told how things are after it.
      boolean covered = same.isGuarded() && !sent.contains(uid);
      (covered ? same.askers() : same.late()).add(submission.responder());
      return;
    }
    if (creations.size() >= MOST_WAITING) {
      submission
          .responder()
          .accept(ApiResponse.retryLater(TOO_MANY, "too many submissions at once", 2));
      return;
    }
    PendingAcceptance creation = PendingAcceptance.of(submission, guards);
    pending.put(uid, creation);
    creations.add(creation);
    planFlush(GATHER_MS);
  }

  private void planFlush(long delayMs) {
    if (!flushPlanned && !creating) {
      flushPlanned = true;
      scheduler.schedule(
          delayMs,
          () -> {
            flushPlanned = false;
            flush();
          });
    }
  }

  private void flush() {
    if (creating) {
      return;
    }
    giveUpLateOnes();
    if (creations.isEmpty()) {
      return;
    }
    long nowMs = scheduler.nowMs();
    int budget = (int) Math.min(txnOps, Math.floor(writes.available()));
    boolean beyond = budget < 1;
    if (beyond && (nowMs - refusedMs < STRICT_MS || nowMs - flushedMs < BEYOND_SHARE_MS)) {
      planFlush(NO_BUDGET_MS);
      return;
    }
    flushedMs = nowMs;
    AcceptanceBatch batch = new AcceptanceBatch(valueBytes, txnOps);
    batch.fill(creations, Math.max(1, budget), () -> Keys.jobBatch(nonce + "-" + ++batches));
    batch.acceptances().forEach(creation -> sent.add(creation.uid()));
    creating = true;
    if (!beyond) {
      writes.take(batch.size());
    }
    store.commit(batch.transaction(), result -> answered(batch.acceptances(), result));
  }

  private void giveUpLateOnes() {
    while (!creations.isEmpty()
        && scheduler.nowMs() - creations.peek().receivedMs() > WRITE_DEADLINE_MS) {
      PendingAcceptance late = creations.poll();
      pending.remove(late.uid());
      late.answerAll(ApiResponse.retryLater(UNAVAILABLE, "the state service is busy", 2));
    }
  }

  private void answered(List<PendingAcceptance> batch, TransactionResult result) {
    creating = false;
    if (result instanceof TransactionResult.Conflict) {
      reads.readBarrier(fresh -> batch.forEach(creation -> afterConflict(creation, fresh)));
      // What came meanwhile waits for nobody: all of the batch may be over already.
      flushTheRest();
      return;
    }
    for (PendingAcceptance creation : batch) {
      pending.remove(creation.uid());
      sent.remove(creation.uid());
    }
    if (result instanceof TransactionResult.Committed) {
      committed(batch);
    } else if (result instanceof TransactionResult.Refused refused) {
      refused(batch, refused);
    } else {
      // It may stand or may yet come to stand: only what is read back is said.
      reads.readBarrier(
          fresh -> batch.forEach(c -> c.answerAll(states.responseAfterRead(c.uid(), fresh))));
    }
    flushTheRest();
  }

  private void flushTheRest() {
    if (!creations.isEmpty()) {
      planFlush(GATHER_MS);
    }
  }

  private void committed(List<PendingAcceptance> batch) {
    LOG.debug(
        "accepted {} jobs, the first {} after {} ms",
        batch.size(),
        batch.get(0).uid(),
        scheduler.nowMs() - batch.get(0).receivedMs());
    for (PendingAcceptance creation : batch) {
      boolean aborted = creation.spec().dependencies().stream().anyMatch(states::isAborted);
      String status = aborted ? "aborted" : "queued";
      creation.answer(
          ApiResponse.of(CREATED, Cbor.map().put("uid", creation.uid()).put("status", status)));
      answerLate(creation);
    }
    leaderHints.accepted();
  }

  private void refused(List<PendingAcceptance> batch, TransactionResult.Refused refused) {
    if (refused.status() == TOO_LARGE) {
      LOG.error(
          "the state service takes no write of {} jobs, {} bytes together",
          batch.size(),
          batch.stream().mapToInt(PendingAcceptance::bytes).sum());
    }
    // All nodes together ask for more than the service gives: the leader's writes go first.
    writes.take(REFUSED_COST);
    refusedMs = scheduler.nowMs();
    batch.forEach(
        c -> c.answerAll(ApiResponse.retryLater(UNAVAILABLE, "the state service refuses", 1)));
  }

  /** Some of the batch are over already and are answered so; the others are tried again. */
  private void afterConflict(PendingAcceptance creation, boolean fresh) {
    String uid = creation.uid();
    sent.remove(uid);
    if (fresh && !states.isKnown(uid)) {
      // The conditions are worked out anew: a job before it may have been cancelled, or done.
      PendingAcceptance again =
          creation.guardedBy(
              creation.guards().isEmpty()
                  ? List.of()
                  : dependencies.guards(creation.spec()).orElse(List.of()));
      pending.put(uid, again);
      creations.addFirst(again);
      planFlush(GATHER_MS);
    } else {
      pending.remove(uid);
      creation.answer(states.responseAfterRead(uid, fresh));
      answerLate(creation);
    }
  }

  /** Some of them may have asked after the last read went out. */
  private void answerLate(PendingAcceptance creation) {
    if (!creation.late().isEmpty()) {
      reads.readBarrier(
          fresh ->
              creation
                  .late()
                  .forEach(asker -> asker.accept(states.responseAfterRead(creation.uid(), fresh))));
    }
  }
}
