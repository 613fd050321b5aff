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
 * Exchanges with the other controllers who reaches the state service. A controller can't tell an
 * outage of the service from requests that fail for itself alone, so it probes the others, and all
 * send heartbeats that say whether they read it. These are hints: they decide only whether users
 * are sent to other controllers, see {@link ReadinessRule}, and whether a leader resigns that can't
 * use the state service.
 */
final class StateReachability {
  private static final long PROBE_INTERVAL_MS = 1_000;

  /**
   * Longer than several read intervals of the replica: one lost response must not cause a probe.
   */
  private static final long PROBE_AFTER_STALE_MS = 2_500;

  /** A controller reports that it reads only if its last answered read is not older than this. */
  private static final long MAX_STALENESS_TO_REPORT_MS = 1_500;

  /** How long a reply shows that another controller reaches the state service. */
  private static final long REPLY_VALID_MS = 3_000;

  private final Scheduler scheduler;
  private final Replica replica;
  private final StateStore store;
  private final Peers peers;
  private final String controllerName;
  private final Set<String> probingMembers = new LinkedHashSet<>();
  private boolean replyPending;
  private OptionalLong lastProbeMs = OptionalLong.empty();
  private OptionalLong lastReplyMs = OptionalLong.empty();

  /**
   * @param controllerName the name of this controller
   */
  StateReachability(
      Scheduler scheduler, Replica replica, StateStore store, Peers peers, String controllerName) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.store = store;
    this.peers = peers;
    this.controllerName = controllerName;
  }

  /** Returns how long ago the last answered read of the replica was sent, in milliseconds. */
  private long stalenessMs() {
    return scheduler.nowMs() - replica.freshAsOfMs();
  }

  /** Whether the last answered read is so old that reads seem to fail. */
  boolean isUnreachable() {
    return stalenessMs() > ReadinessRule.UNREACHABLE_AFTER_STALE_MS;
  }

  /**
   * Probes the other controllers if this one seems unable to reach the state service, at most once
   * per probe interval.
   *
   * @param isFailingToWrite whether this controller leads and none of its writes is executed
   */
  void probeIfStale(boolean isFailingToWrite) {
    long nowMs = scheduler.nowMs();
    boolean isDue = lastProbeMs.isEmpty() || nowMs - lastProbeMs.getAsLong() >= PROBE_INTERVAL_MS;
    if ((isFailingToWrite || stalenessMs() > PROBE_AFTER_STALE_MS) && isDue) {
      lastProbeMs = OptionalLong.of(nowMs);
      peers.broadcast(new PeerMessage.ReachabilityProbe(controllerName));
    }
  }

  /** Tells the other controllers that this one runs, and whether it reads the state service. */
  void sendHeartbeat() {
    boolean readsState = stalenessMs() <= MAX_STALENESS_TO_REPORT_MS;
    peers.broadcast(new PeerMessage.Heartbeat(controllerName, readsState));
  }

  /**
   * Replies to another controller's probe once the state service has processed a transaction of
   * this controller, whether it committed or its condition did not hold. Probes that arrive while
   * the transaction is in flight are answered by its result. Sends no reply if this controller has
   * not read the state service recently.
   */
  void replyToProbe(String probingMember) {
    if (stalenessMs() > MAX_STALENESS_TO_REPORT_MS) {
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
    PeerMessage reply = new PeerMessage.ReachabilityReply(controllerName);
    probingMembers.forEach(probing -> peers.send(probing, reply));
  }

  /** Records that another controller replied that it reads and writes the state service. */
  void handleReply() {
    lastReplyMs = OptionalLong.of(scheduler.nowMs());
  }

  /** Returns whether another controller has replied recently that it reaches the state service. */
  boolean isReachableByPeers() {
    return lastReplyMs.isPresent() && scheduler.nowMs() - lastReplyMs.getAsLong() < REPLY_VALID_MS;
  }
}
