package org.ploverspindle.peers;

/** Sends messages to the other controllers. What can't be sent at once is dropped. */
public interface Peers {
  /** Sends to one controller; an unknown name is ignored. */
  void tell(String member, PeerMessage record);

  /** Sends to all other controllers. */
  void tellAll(PeerMessage record);
}
