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

/** Notifies the leader, here or on another controller, of what this controller wrote for users. */
final class RoutingLeaderNotifier implements LeaderNotifier {
  private final Replica replica;
  private final Election election;
  private final Peers peers;
  private final String member;
  private final Supplier<Optional<Leader>> localLeader;

  /**
   * @param member the name of this controller
   * @param localLeader the leader while this controller leads
   */
  RoutingLeaderNotifier(
      Replica replica,
      Election election,
      Peers peers,
      String member,
      Supplier<Optional<Leader>> localLeader) {
    this.replica = replica;
    this.election = election;
    this.peers = peers;
    this.member = member;
    this.localLeader = localLeader;
  }

  @Override
  public void cancellationSent() {
    // A leader on this controller sees its cancellations in the replica without a read.
    if (localLeader.get().isEmpty()) {
      notifyRemoteLeader();
    }
  }

  @Override
  public void cancellationsCommitted(List<Change.Put> cancellations, long revision) {
    if (localLeader.get().isPresent()) {
      // Applied before the user is answered, so that the leader launches nothing of the job after.
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
        .ifPresent(leader -> peers.send(leader, new PeerMessage.StateChanged(member)));
  }
}
