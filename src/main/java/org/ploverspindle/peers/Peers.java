package org.ploverspindle.peers;

/**
 * Sends messages to the other controllers. Delivery is not guaranteed: while a controller can't be
 * reached, messages to it are dropped.
 */
public interface Peers {
  /** Sends to one controller; an unknown name is ignored. */
  void send(String member, PeerMessage message);

  /** Sends to all other controllers. */
  void broadcast(PeerMessage message);
}
