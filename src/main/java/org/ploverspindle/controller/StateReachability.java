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
  private static final long ASK_MS = 1_000;

  /** The copy is read every 700 ms; one lost answer is no reason to ask. */
  private static final long STALE_MS = 2_500;

  private static final long ALONE_MS = 4_000;

  /** Who answers for the state service has read it itself just now. */
  private static final long FRESH_MS = 1_500;

  private static final long BELIEVED_MS = 3_000;

  private final Scheduler clock;
  private final Replica replica;
  private final StateStore store;
  private final Peers peers;
  private final String member;
  private final Set<String> askers = new LinkedHashSet<>();
  private boolean probing;
  private long askedMs = Long.MIN_VALUE / 2;
  private long othersMs = Long.MIN_VALUE / 2;

  StateReachability(
      Scheduler clock, Replica replica, StateStore store, Peers peers, String member) {
    this.clock = clock;
    this.replica = replica;
    this.store = store;
    this.peers = peers;
    this.member = member;
  }

  private long staleMs() {
    return clock.nowMs() - replica.freshAsOfMs();
  }

  /**
   * @param failing this controller's writes are not carried out
   */
  void check(boolean failing) {
    long now = clock.nowMs();
    if ((failing || staleMs() > STALE_MS) && now - askedMs >= ASK_MS) {
      askedMs = now;
      peers.broadcast(new PeerMessage.ReachabilityProbe(member));
    }
  }

  /** Another controller asks whether the state service is there: a comparison shows it. */
  void probed(String from) {
    if (staleMs() > FRESH_MS) {
      return;
    }
    askers.add(from);
    if (probing) {
      return;
    }
    probing = true;
    long stamp = replica.get(Keys.LEADER).map(Entry::modRevision).orElse(0L);
    store.commit(
        new StateStore.Transaction(List.of(new Condition(Keys.LEADER, stamp)), List.of()),
        result -> {
          probing = false;
          if (result instanceof TransactionResult.Committed
              || result instanceof TransactionResult.Conflict) {
            askers.forEach(a -> peers.send(a, new PeerMessage.ReachabilityReply(member)));
          }
          askers.clear();
        });
  }

  /** Another controller reads and writes the state service. */
  void peerReached() {
    othersMs = clock.nowMs();
  }

  boolean othersReachIt() {
    return clock.nowMs() - othersMs < BELIEVED_MS;
  }

  /** Others have what this controller lacks: its users are better served there. */
  boolean isAloneWithout() {
    return staleMs() > ALONE_MS && othersReachIt();
  }
}
