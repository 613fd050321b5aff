package org.ploverspindle.peers;

/** Tells other controllers; what can't be told at once is lost. */
public interface Peers {
  void tell(String member, PeerRecord record);

  void tellAll(PeerRecord record);
}
