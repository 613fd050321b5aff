package org.ploverspindle.peers;

/** Sends messages to the other controllers. What can't be sent at once is dropped. */
public interface Peers {
  /** Sends to one controller; an unknown name is ignored. */
  void send(String member, PeerMessage message);

  /** Sends to all other controllers. */
  void broadcast(PeerMessage message);
}
