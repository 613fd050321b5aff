package org.ploverspindle.controller;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
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
 * Finds out whether only this controller can't reach the state service. A controller can't tell an
 * outage of the service from requests that fail for itself alone, so it probes the others. Their
 * replies are hints: they send users elsewhere and end a leadership that is of no use, and nothing
 * else is decided by them.
 */
final class StateReachability {
  private static final long PROBE_INTERVAL_MS = 1_000;

  /** Above several intervals of reading the replica: one lost answer is no reason to probe. */
  private static final long PROBE_AFTER_STALE_MS = 2_500;

  private static final long UNREACHABLE_AFTER_STALE_MS = 4_000;

  /** A controller replies to probes only if it has just read the state service itself. */
  private static final long MAX_STALENESS_TO_REPLY_MS = 1_500;

  private static final long REPLY_VALID_MS = 3_000;

  private final Scheduler scheduler;
  private final Replica replica;
  private final StateStore store;
  private final Peers peers;
  private final String member;
  private final Set<String> probingMembers = new LinkedHashSet<>();
  private boolean replyPending;
  private OptionalLong lastProbeMs = OptionalLong.empty();
  private OptionalLong lastReplyMs = OptionalLong.empty();

  /**
   * @param member the name of this controller
   */
  StateReachability(
      Scheduler scheduler, Replica replica, StateStore store, Peers peers, String member) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.store = store;
    this.peers = peers;
    this.member = member;
  }

  private long stalenessMs() {
    return scheduler.nowMs() - replica.freshAsOfMs();
  }

  /**
   * Probes the other controllers if this one seems to lack the state service.
   *
   * @param isFailingToWrite whether this controller leads and none of its writes is executed
   */
  void probeIfStale(boolean isFailingToWrite) {
    long nowMs = scheduler.nowMs();
    boolean isDue = lastProbeMs.isEmpty() || nowMs - lastProbeMs.getAsLong() >= PROBE_INTERVAL_MS;
    if ((isFailingToWrite || stalenessMs() > PROBE_AFTER_STALE_MS) && isDue) {
      lastProbeMs = OptionalLong.of(nowMs);
      peers.broadcast(new PeerMessage.ReachabilityProbe(member));
    }
  }

  /**
   * Replies to another controller's probe if the state service executes a transaction for this one.
   * One transaction serves all probes that arrive meanwhile.
   */
  void replyToProbe(String probingMember) {
    if (stalenessMs() > MAX_STALENESS_TO_REPLY_MS) {
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
            replyToProbingMembers();
          }
          probingMembers.clear();
        });
  }

  private void replyToProbingMembers() {
    PeerMessage reply = new PeerMessage.ReachabilityReply(member);
    probingMembers.forEach(probing -> peers.send(probing, reply));
  }

  /** Another controller replied that it reads and writes the state service. */
  void handleReply() {
    lastReplyMs = OptionalLong.of(scheduler.nowMs());
  }

  /** Did another controller show lately that it reaches the state service? */
  boolean isReachableByPeers() {
    return lastReplyMs.isPresent() && scheduler.nowMs() - lastReplyMs.getAsLong() < REPLY_VALID_MS;
  }

  /** Other controllers reach the state service and this one does not: they serve users better. */
  boolean isUnreachableHereOnly() {
    return stalenessMs() > UNREACHABLE_AFTER_STALE_MS && isReachableByPeers();
  }
}
