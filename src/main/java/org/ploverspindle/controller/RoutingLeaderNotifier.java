package org.ploverspindle.controller;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.ploverspindle.api.LeaderNotifier;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.Peers;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Change;

/**
 * Notifies the leader of what this controller wrote for users. A leader on this controller is
 * notified through the replica, and a leader on another controller by a peer message.
 */
final class RoutingLeaderNotifier implements LeaderNotifier {
  private final Replica replica;
  private final Election election;
  private final Peers peers;
  private final String controllerName;
  private final Supplier<Optional<Leader>> localLeader;

  /**
   * @param controllerName the name of this controller
   * @param localLeader supplies the leader while this controller leads, and empty otherwise
   */
  RoutingLeaderNotifier(
      Replica replica,
      Election election,
      Peers peers,
      String controllerName,
      Supplier<Optional<Leader>> localLeader) {
    this.replica = replica;
    this.election = election;
    this.peers = peers;
    this.controllerName = controllerName;
    this.localLeader = localLeader;
  }

  @Override
  public void cancellationSent() {
    // A leader on this controller finds the cancellation in the replica once it is committed.
    // Only a leader on another controller has to read the state service.
    if (localLeader.get().isEmpty()) {
      notifyRemoteLeader();
    }
  }

  @Override
  public void cancellationsCommitted(List<Change.Put> cancellations, long revision) {
    if (localLeader.get().isPresent()) {
      // The replica is changed before the user gets a response, so that the leader launches no task
      // of a cancelled job after that response.
      cancellations.forEach(put -> replica.applyCreated(put, revision));
    } else {
      notifyRemoteLeader();
    }
  }

  @Override
  public void jobsAccepted() {
    if (localLeader.get().isPresent()) {
      replica.readBarrier(isRead -> {});
    } else {
      notifyRemoteLeader();
    }
  }

  private void notifyRemoteLeader() {
    election
        .leaderName()
        .ifPresent(leader -> peers.send(leader, new PeerMessage.StateChanged(controllerName)));
  }
}
