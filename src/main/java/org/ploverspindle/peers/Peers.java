package org.ploverspindle.peers;

/**
 * Sends messages to the other controllers. Delivery is not guaranteed: messages to a controller
 * that can't be reached are dropped.
 */
public interface Peers {
  /** Sends a message to one controller. A message to an unknown name is dropped. */
  void send(String controllerName, PeerMessage message);

  /** Sends a message to all other controllers. */
  void broadcast(PeerMessage message);
}
