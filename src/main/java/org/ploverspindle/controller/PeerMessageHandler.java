package org.ploverspindle.controller;

import java.util.Optional;
import java.util.function.Supplier;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.state.Replica;

/**
 * Handles messages from other controllers. Messages are hints: they cause an earlier read of the
 * state service, a reply to a probe, or a change of this controller's readiness, or they end its
 * leadership, which is safe since another controller can take over.
 */
final class PeerMessageHandler {
  private final Replica replica;
  private final Election election;
  private final StateReachability stateReachability;
  private final PeerObservations observations;
  private final Supplier<Optional<Leader>> localLeader;

  /**
   * @param localLeader supplies the leader while this controller leads, and empty otherwise
   */
  PeerMessageHandler(
      Replica replica,
      Election election,
      StateReachability stateReachability,
      PeerObservations observations,
      Supplier<Optional<Leader>> localLeader) {
    this.replica = replica;
    this.election = election;
    this.stateReachability = stateReachability;
    this.observations = observations;
    this.localLeader = localLeader;
  }

  void handle(PeerMessage message) {
    observations.record(message);
    if (message instanceof PeerMessage.StateChanged) {
      if (localLeader.get().isPresent()) {
        replica.readBarrier(isRead -> {});
      }
    } else if (message instanceof PeerMessage.MisdirectedHeartbeats misdirected) {
      localLeader
          .get()
          .ifPresent(leader -> leader.recordMisdirectedHeartbeats(misdirected.count()));
    } else if (message instanceof PeerMessage.Leading leading) {
      election.observeToken(leading.token());
    } else if (message instanceof PeerMessage.ReachabilityProbe probe) {
      stateReachability.replyToProbe(probe.controllerName());
    } else if (message instanceof PeerMessage.ReachabilityReply) {
      stateReachability.handleReply();
    } else if (message instanceof PeerMessage.Resigned) {
      // The leader key may already be free, which a read shows.
      replica.readBarrier(isRead -> {});
    }
  }
}
