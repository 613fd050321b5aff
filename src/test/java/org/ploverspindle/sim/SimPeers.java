package org.ploverspindle.sim;

import java.util.function.BiConsumer;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.Peers;

/** Hints between controllers: each may be lost. */
final class SimPeers implements Peers {
  private final SimNetwork network;
  private final int self;
  private final int nodes;
  private final BiConsumer<Integer, PeerMessage> deliver;

  /**
   * @param deliver takes a record that reached the node with this number
   */
  SimPeers(SimNetwork network, int self, int nodes, BiConsumer<Integer, PeerMessage> deliver) {
    this.network = network;
    this.self = self;
    this.nodes = nodes;
    this.deliver = deliver;
  }

  @Override
  public void send(String member, PeerMessage record) {
    int to = Integer.parseInt(member.substring(1));
    if (to != self && !network.losesHint()) {
      network.request(SimLink.nodeName(self), member, () -> deliver.accept(to, record), () -> {});
    }
  }

  @Override
  public void broadcast(PeerMessage record) {
    for (int to = 0; to < nodes; to++) {
      send(SimLink.nodeName(to), record);
    }
  }
}
