package org.ploverspindle.controller;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.Peers;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Does this controller alone lack the state service? It can't tell an outage from refusals that
 * only it gets, so it asks the others. What they say is a hint: it sends users elsewhere and gives
 * up a lead that is of no use, and nothing is decided by it.
 */
final class StateReachability {
  private static final long PROBE_INTERVAL_MS = 1_000;

  /** The copy is read every 700 ms; one lost answer is no reason to ask. */
  private static final long PROBE_AFTER_STALE_MS = 2_500;

  private static final long UNREACHABLE_AFTER_STALE_MS = 4_000;

  /** Who answers for the state service has read it itself just now. */
  private static final long MAX_STALENESS_TO_REPLY_MS = 1_500;

  private static final long REPLY_VALID_MS = 3_000;

  private final Scheduler scheduler;
  private final Replica replica;
  private final StateStore store;
  private final Peers peers;
  private final String member;
  private final Set<String> probingMembers = new LinkedHashSet<>();
  private boolean replyPending;
  private long lastProbeMs = Long.MIN_VALUE / 2;
  private long lastReplyMs = Long.MIN_VALUE / 2;

  StateReachability(
      Scheduler scheduler, Replica replica, StateStore store, Peers peers, String member) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.store = store;
    this.peers = peers;
    this.member = member;
  }

  private long staleMs() {
    return scheduler.nowMs() - replica.freshAsOfMs();
  }

  /**
   * @param failing this controller's writes are not carried out
   */
  void probeIfStale(boolean isFailingToWrite) {
    long nowMs = scheduler.nowMs();
    if ((isFailingToWrite || staleMs() > PROBE_AFTER_STALE_MS)
        && nowMs - lastProbeMs >= PROBE_INTERVAL_MS) {
      lastProbeMs = nowMs;
      peers.broadcast(new PeerMessage.ReachabilityProbe(member));
    }
  }

  /** Another controller asks whether the state service is there: a comparison shows it. */
  void replyToProbe(String probingMember) {
    if (staleMs() > MAX_STALENESS_TO_REPLY_MS) {
      return;
    }
    probingMembers.add(probingMember);
    if (replyPending) {
      return;
    }
    replyPending = true;
    long modRevision = replica.get(Keys.LEADER).map(Entry::modRevision).orElse(0L);
    store.commit(
        new StateStore.Transaction(List.of(new Condition(Keys.LEADER, modRevision)), List.of()),
        result -> {
          replyPending = false;
          if (result instanceof TransactionResult.Committed
              || result instanceof TransactionResult.Conflict) {
            probingMembers.forEach(a -> peers.send(a, new PeerMessage.ReachabilityReply(member)));
          }
          probingMembers.clear();
        });
  }

  /** Another controller reads and writes the state service. */
  void replyReceived() {
    lastReplyMs = scheduler.nowMs();
  }

  boolean isReachableByPeers() {
    return scheduler.nowMs() - lastReplyMs < REPLY_VALID_MS;
  }

  /** Others have what this controller lacks: its users are better served there. */
  boolean isUnreachableHereOnly() {
    return staleMs() > UNREACHABLE_AFTER_STALE_MS && isReachableByPeers();
  }
}
