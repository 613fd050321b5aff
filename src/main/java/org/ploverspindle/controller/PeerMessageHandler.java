package org.ploverspindle.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.state.Replica;

/**
 * Handles messages of other controllers. They are hints: all that they can do is to have the state
 * service read sooner, or to have a leader resign that others replace without harm.
 */
final class PeerMessageHandler {
  private final Replica replica;
  private final Election election;
  private final StateReachability stateReachability;
  private final Supplier<Optional<Leader>> localLeader;

  /**
   * @param localLeader the leader while this controller leads
   */
  PeerMessageHandler(
      Replica replica,
      Election election,
      StateReachability stateReachability,
      Supplier<Optional<Leader>> localLeader) {
    this.replica = replica;
    this.election = election;
    this.stateReachability = stateReachability;
    this.localLeader = localLeader;
  }

  void handle(PeerMessage message) {
    if (message instanceof PeerMessage.StateChanged) {
      if (localLeader.get().isPresent()) {
        replica.readBarrier(isRead -> {});
      }
    } else if (message instanceof PeerMessage.MisdirectedHeartbeats misdirected) {
      localLeader.get().ifPresent(leader -> leader.misdirectedHeartbeats(misdirected.count()));
    } else if (message instanceof PeerMessage.Leading leading) {
      election.observeToken(leading.token());
    } else if (message instanceof PeerMessage.ReachabilityProbe probe) {
      stateReachability.replyToProbe(probe.member());
    } else if (message instanceof PeerMessage.ReachabilityReply) {
      stateReachability.handleReply();
    } else {
      // A leader resigned: its record may be gone already.
      replica.readBarrier(isRead -> {});
    }
  }
}
