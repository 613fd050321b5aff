package org.ploverspindle.sim;

import java.util.function.BiConsumer;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.Peers;

/** Sends messages between controllers over the simulated network; each may be lost. */
final class SimPeers implements Peers {
  private final SimNetwork network;
  private final int self;
  private final int controllerCount;
  private final BiConsumer<Integer, PeerMessage> deliver;

  /**
   * @param deliver receives the index of the controller that a message reached, and the message
   */
  SimPeers(
      SimNetwork network, int self, int controllerCount, BiConsumer<Integer, PeerMessage> deliver) {
    this.network = network;
    this.self = self;
    this.controllerCount = controllerCount;
    this.deliver = deliver;
  }

  @Override
  public void send(String member, PeerMessage message) {
    int to = Integer.parseInt(member.substring(1));
    if (to != self && !network.drawPeerMessageLoss()) {
      network.request(
          SimLink.controllerName(self), member, () -> deliver.accept(to, message), () -> {});
    }
  }

  @Override
  public void broadcast(PeerMessage message) {
    for (int to = 0; to < controllerCount; to++) {
      send(SimLink.controllerName(to), message);
    }
  }
}
